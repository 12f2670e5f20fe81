package routing

const (
	sheddingThreshold = 0.9  // expected value of an answer below which a growing share of requests is shed
	sheddingRamp      = 0.3  // at a value lower by this, all but minAdmittedShare are shed
	minAdmittedShare  = 0.05 // share that is always admitted, to observe whether latencies recover

	overQuotaThreshold = 0.8 // expected value below which requests over their tenant's quota are devalued

	// trafficAveragingRequests is the number of requests over which the traffic's means and the tenants'
	// shares are averaged. A tenant's share then has a standard error of about 0.04.
	trafficAveragingRequests = 200.0

	minPriorityWeight = 1e-9 // lower priority weights count as this
)

// admit reports whether the first attempt of a request is admitted. It sheds a random share of the requests
// whose expected value is below sheddingThreshold, as their answers would likely be late, but always admits
// minAdmittedShare of them. Requests over quota are devalued and so shed first. A request that the client
// marked as a retry is admitted only if its value is at least sheddingThreshold and no request of its class
// and group was shed within the last latency objective; minAdmittedShare does not apply to it.
func (r *Router) admit(req *requestState, member *memberState) bool {
	value := r.expectedValue(req, member)
	if req.overQuota && value < overQuotaThreshold {
		value *= r.cfg.OverQuotaWeight
	}
	shed := value < sheddingThreshold-sheddingRamp*r.rng.Float64() && r.rng.Float64() >= minAdmittedShare
	if req.Retry { // it must not extend shedUntil, which would delay other retries
		return value >= sheddingThreshold && r.now >= req.group.shedUntil[req.Class]
	}
	if shed {
		req.group.shedUntil[req.Class] = r.now + req.class.LatencyObjective
	}
	return !shed
}

// expectedValue returns the score of a member. For a request whose priority weight divided by its expected
// latency is above the quotient of the two means, the loss (1 - score) is reduced in proportion, so that
// fewer such requests are shed.
func (r *Router) expectedValue(req *requestState, member *memberState) float64 {
	weight := max(req.class.PriorityWeight, minPriorityWeight)
	relativeCost := r.meanPriorityWeight / r.meanExpectedLatency * req.expectedLatency.Seconds() / weight
	return 1 - (1-r.score(req, member))*min(1, relativeCost)
}

// drawOverQuota counts a request of a tenant with a quota, and decides at random whether it is over that
// quota. The tenant's share of this gateway's requests is compared with its share of all quotas; requests of
// tenants without a quota are not counted. The probability is the fraction of the former share that lies
// above the latter. The traffic of all gateways together is not known.
func (r *Router) drawOverQuota(tenant int) bool {
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
