package routing

const (
	sheddingThreshold = 0.9  // expected value of an answer below which a growing share of requests is shed
	sheddingRamp      = 0.3  // by how much lower all but minAdmittedShare are shed
	minAdmittedShare  = 0.05 // admitted all the same, to observe whether latencies recover

	overQuotaThreshold = 0.8 // expected value below which requests over their tenant's quota are devalued

	// trafficAveragingRequests is the number of requests that means over the latest requests, and tenants'
	// shares, are averaged over. A tenant's share has a standard error of about 0.04.
	trafficAveragingRequests = 200.0

	minPriorityWeight = 1e-9 // lower weights count as this
)

// admit reports whether the first attempt of a request is admitted. It sheds a share of the requests whose
// answers would likely be late: those that are over quota first, and fewer of those whose priority weight
// is high for their work. A request that is marked as a retry has had its draw: it is admitted only while
// nothing is shed.
func (r *Router) admit(req *requestState, member *memberState) bool {
	value := r.expectedValue(req, member)
	if req.overQuota && value < overQuotaThreshold {
		value *= r.cfg.OverQuotaWeight
	}
	shed := value < sheddingThreshold-sheddingRamp*r.rng.Float64() && r.rng.Float64() >= minAdmittedShare
	if req.Retry { // it must not renew shedUntil, and so delay other retries
		return value >= sheddingThreshold && r.now >= req.group.shedUntil[req.Class]
	}
	if shed {
		req.group.shedUntil[req.Class] = r.now + req.class.LatencyObjective
	}
	return !shed
}

// expectedValue is the score of a member, raised for requests whose priority weight for their latency is
// above the mean.
func (r *Router) expectedValue(req *requestState, member *memberState) float64 {
	weight := max(req.class.PriorityWeight, minPriorityWeight)
	relativeCost := r.meanPriorityWeight / r.meanExpectedLatency * req.expectedLatency.Seconds() / weight
	return 1 - (1-r.score(req, member))*min(1, relativeCost)
}

// overQuota draws whether a request counts as over its tenant's quota: with the odds by which the tenant's
// share of this gateway's traffic exceeds its share of all quotas. The traffic of all gateways together is
// not known.
func (r *Router) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(r.tenantRequests) || r.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	requests, quotas := 0.0, 0.0
	for i, t := range r.cfg.Tenants {
		r.tenantRequests[i] *= 1 - 1.0/trafficAveragingRequests
		requests += r.tenantRequests[i]
		quotas += t.Quota
	}
	r.tenantRequests[tenant]++
	drawn := r.rng.Float64() * r.tenantRequests[tenant] / (requests + 1)
	return drawn > r.cfg.Tenants[tenant].Quota/quotas
}
