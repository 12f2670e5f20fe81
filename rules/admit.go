package rules

const (
	shedBelow, shedRamp = 0.9, 0.3 // expected worth under which a growing share is refused, to a trickle

	trickle      = 0.05  // keeps evidence coming while shedding, so that it ends
	pressedBelow = 0.8   // expected worth under which work past a tenant's share is refused
	askedKept    = 200.0 // requests over which tenants' parts are counted: good to 0.04
)

// admit refuses a share of what would likely come too late, less of what is worth more for its work. The
// share falls as answers get better, and some always go, so a shed group comes back by itself. Work past a
// tenant's share goes first.
func (r *Router) admit(q *request, m *member) bool {
	v := 1 - (1-r.product(q, m))*min(1, r.worth/r.weight*q.usual.Seconds()/max(q.class.Worth, 1e-9))
	if q.over && v < pressedBelow {
		v *= r.cfg.OverShareWorth
	}
	return v >= shedBelow-shedRamp*r.rng.Float64() || r.rng.Float64() < trickle
}

// overShare says, with the odds of it, that a request is past its tenant's share: by the part of our
// traffic against its part of all quotas. How much of all traffic comes here no gateway can know.
func (r *Router) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(r.asked) || r.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	asked, quotas := 0.0, 0.0
	for i, t := range r.cfg.Tenants {
		r.asked[i] *= 1 - 1.0/askedKept
		asked, quotas = asked+r.asked[i], quotas+t.Quota
	}
	r.asked[tenant]++
	return r.rng.Float64()*r.asked[tenant]/(asked+1) > r.cfg.Tenants[tenant].Quota/quotas
}
