package routing

import "time"

const (
	// primarySearchInterval is the pause after a round of the search, in which every other healthy, eligible
	// member was tried and none was the primary. A failover takes at least that long.
	primarySearchInterval = 500 * time.Millisecond

	// trialInterval is the time until the next trial request to an unhealthy member; after a failed attempt
	// it is half of that. It limits the number of requests that an unresponsive member can delay.
	trialInterval = time.Second

	// minTrialLatencies is the time that a trial request must have left until its usefulUntil, in expected
	// latencies.
	minTrialLatencies = 4
)

// choosePrimary returns the member for a write or a strong read, or nil if the request has to wait. Without a
// healthy primary, a write searches for it: it tries the other healthy members that are eligible, in order of
// their ids, with a pause after each round. Only one write of a group searches at a time, because further
// ones would end in the same way.
func (r *Router) choosePrimary(req *requestState) *memberState {
	group, primary := req.group, req.group.primary()
	if primary != nil && r.eligible(req, primary) && (!r.unhealthy(primary) || r.allowTrial(req, primary)) {
		return primary
	}
	group.primaryWantedAt = r.now
	if !r.maySearch(req, primary) {
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

// maySearch reports whether a request may search its group for the primary now: either begin a round
// of the search, or continue one after its last attempt has ended.
func (r *Router) maySearch(req *requestState, primary *memberState) bool {
	if req.class.Consistency != ConsistencyWrite || primary != nil && !r.unhealthy(primary) {
		return false
	}
	return req.group.searchAttempt == nil && r.now >= req.group.nextSearchAt
}

// allowTrial reports whether a request may be sent to an unhealthy member as a trial, which shows whether the
// member has recovered. An Idempotent request may be a trial, and any other only if connects to the member
// fail, because it is then hardly ever written. An allowed trial delays the next one by trialInterval.
func (r *Router) allowTrial(req *requestState, member *memberState) bool {
	if req.class.Effect != Idempotent && member.connectFailures < maxFailures {
		return false
	}
	if r.now < member.nextTrialAt || r.now+minTrialLatencies*(*req.expectedLatency) > req.usefulUntil {
		return false
	}
	// Health checks find out whether a member whose zone went down has recovered: they cost clients nothing.
	if r.cfg.AllowHealthChecks && member.zoneState.MemberDown(member.healthCheckAnsweredAt) {
		return false
	}
	member.nextTrialAt = r.now + trialInterval
	return true
}
