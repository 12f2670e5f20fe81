package routing

const (
	sheddingThreshold, sheddingRamp = 0.9, 0.3 // expected worth under which a growing share is refused, to a trickle

	minAdmittedShare, overQuotaThreshold = 0.05, 0.8 // sent all the same, as evidence; worth under which excess is refused
	trafficAveragingRequests             = 200.0     // requests over which tenants' parts are counted: good to 0.04
)

// admit refuses a share of what would likely come too late, less of what is worth more for its work, past a
// quota first; some always go, so it ends by itself. Marked retries had their draw: they wait till it has.
func (r *Router) admit(q *requestState, m *memberState) bool {
	v := 1 - (1-r.score(q, m))*min(1, r.meanPriorityWeight/r.meanExpectedLatency*q.expectedLatency.Seconds()/max(q.class.PriorityWeight, 1e-9))
	if q.overQuota && v < overQuotaThreshold {
		v *= r.cfg.OverQuotaWeight
	}
	shed := v < sheddingThreshold-sheddingRamp*r.rng.Float64() && r.rng.Float64() >= minAdmittedShare
	if q.Retry { // one that waits must not keep others waiting
		return v >= sheddingThreshold && r.now >= q.group.shedUntil[q.Class]
	} else if shed {
		q.group.shedUntil[q.Class] = r.now + q.class.LatencyObjective
	}
	return !shed
}

// overQuota says, with the odds of it, that a request is past its tenant's share: by the part of our
// traffic against its part of all quotas. How much of all traffic comes here no gateway can know.
func (r *Router) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(r.tenantRequests) || r.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	asked, quotas := 0.0, 0.0
	for i, t := range r.cfg.Tenants {
		r.tenantRequests[i] *= 1 - 1.0/trafficAveragingRequests
		asked, quotas = asked+r.tenantRequests[i], quotas+t.Quota
	}
	r.tenantRequests[tenant]++
	return r.rng.Float64()*r.tenantRequests[tenant]/(asked+1) > r.cfg.Tenants[tenant].Quota/quotas
}
