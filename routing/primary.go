package routing

import "time"

const (
	// primarySearchInterval is the pause after a search that found no primary: a failover takes at least
	// that long.
	primarySearchInterval = 500 * time.Millisecond

	// trialInterval bounds the requests that an unresponsive member can delay.
	trialInterval = time.Second

	// minTrialLatencies is the time that a request must have left for a trial, in expected latencies.
	minTrialLatencies = 4
)

// choosePrimary returns the member for a write or a strong read; nil if it has to wait. Without a healthy
// primary a write tries the other members in order of their ids, with a pause after each round. Only one
// write of a group searches at a time, as all others would fail alike.
func (r *Router) choosePrimary(req *requestState) *memberState {
	group, primary := req.group, req.group.primary()
	if primary != nil && r.eligible(req, primary) && (!r.unhealthy(primary) || r.allowTrial(req, primary)) {
		return primary
	}
	group.primaryWantedAt = r.now
	if !r.mayStartSearch(req, primary) {
		return nil
	}
	for group.searchIndex < len(group.members) {
		member := group.members[group.searchIndex]
		group.searchIndex++
		if member != primary && !r.unhealthy(member) && r.eligible(req, member) {
			return member
		}
	}
	group.searchIndex = 0
	group.nextSearchAt = r.now + primarySearchInterval
	return nil
}

// mayStartSearch reports whether a request may search its group for the primary.
func (r *Router) mayStartSearch(req *requestState, primary *memberState) bool {
	if req.class.Consistency != ConsistencyWrite || primary != nil && !r.unhealthy(primary) {
		return false
	}
	return req.group.searchAttempt == nil && r.now >= req.group.nextSearchAt
}

// allowTrial lets one request through to an unhealthy member now and then, so that it can recover. The
// request must be one that may be repeated, or connects to the member must fail, so that it is hardly ever
// written.
func (r *Router) allowTrial(req *requestState, member *memberState) bool {
	if req.class.Effect != Idempotent && member.connectFailures < maxFailures {
		return false
	}
	if r.now < member.nextTrialAt || r.now+minTrialLatencies*(*req.expectedLatency) > req.usefulUntil {
		return false
	}
	// A member that was lost with its zone is tried by health checks: they cost clients nothing.
	if r.cfg.AllowHealthChecks && member.zoneState.MemberDown(member.healthCheckAnsweredAt) {
		return false
	}
	member.nextTrialAt = r.now + trialInterval
	return true
}
