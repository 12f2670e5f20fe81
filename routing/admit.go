package routing

const (
	shedBelow, shedRamp = 0.9, 0.3 // expected worth under which a growing share is refused, to a trickle

	trickle, pressedBelow = 0.05, 0.8 // sent all the same, as evidence; worth under which excess is refused
	askedKept             = 200.0     // requests over which tenants' parts are counted: good to 0.04
)

// admit refuses a share of what would likely come too late, less of what is worth more for its work, past a
// quota first; some always go, so it ends by itself. Marked retries had their draw: they wait till it has.
func (r *Router) admit(q *request, m *member) bool {
	v := 1 - (1-r.product(q, m))*min(1, r.worth/r.weight*q.usual.Seconds()/max(q.class.PriorityWeight, 1e-9))
	if q.over && v < pressedBelow {
		v *= r.cfg.OverQuotaWeight
	}
	shed := v < shedBelow-shedRamp*r.rng.Float64() && r.rng.Float64() >= trickle
	if q.Retry { // one that waits must not keep others waiting
		return v >= shedBelow && r.now >= q.group.shedTo[q.Class]
	} else if shed {
		q.group.shedTo[q.Class] = r.now + q.class.LatencyObjective
	}
	return !shed
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
