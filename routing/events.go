package routing

import (
	"slices"
	"time"
)

// maxUnsentShare is the share of its remaining time for which a request may wait until a member receives
// it. A client that is rejected later has no time left to retry.
const maxUnsentShare = 0.5

// Request handles a client's request. A request whose id is open, or whose class is unknown, is ignored.
func (r *Router) Request(now time.Duration, in Request) {
	r.advanceClock(now)
	if r.requests[in.ID] != nil || in.Class < 0 || in.Class >= len(r.cfg.Classes) {
		return
	}
	req := r.newRequest(in)
	r.observeTraffic(req)
	r.earnHealthChecks(req.class)
	req.group.openRequests++
	r.requests[req.ID] = req
	r.openRequests = append(r.openRequests, req)
	r.advanceRequest(req)
	r.scheduleSweep()
}

// newRequest computes the deadlines and requirements of a request that arrives now.
func (r *Router) newRequest(in Request) *requestState {
	class := &r.cfg.Classes[in.Class]
	req := &requestState{
		Request:         in,
		class:           class,
		expectedLatency: &r.expectedLatency[in.Class],
		group:           r.findGroup(in.Group),
		overQuota:       r.drawOverQuota(in.Tenant),
		needsPrimary:    class.Consistency == ConsistencyWrite || class.Consistency == ConsistencyStrong,
		deadline:        r.now + in.Remaining,
		minPosition:     r.sessionPosition(class, in),
	}
	objective := class.LatencyObjective + time.Duration(class.ObjectiveWorkFactor*float64(in.Work))
	req.latencyObjectiveAt = min(r.now+objective, req.deadline)
	req.usefulUntil = req.latencyObjectiveAt
	if class.LateShare > 0 {
		req.usefulUntil = req.deadline
	}
	// The sweep that rejects the request may run one interval late.
	req.unsentDeadline = r.now + time.Duration(maxUnsentShare*float64(in.Remaining)) - requestSweepInterval
	return req
}

// sessionPosition returns the position that a strong or session read requires, or 0 for none.
func (r *Router) sessionPosition(class *Class, in Request) int64 {
	switch {
	case class.Consistency == ConsistencyStrong:
		return r.positionAt(r.now)
	case class.Consistency != ConsistencySession:
		return 0
	case r.cfg.LocalSessions:
		return r.sessionMarks.required(in.Session, r.positionAt(r.now))
	case in.SinceWrite > 0:
		return r.positionAt(r.now - in.SinceWrite)
	}
	return 0
}

// observeTraffic updates the means over the latest requests.
func (r *Router) observeTraffic(req *requestState) {
	r.meanPriorityWeight += (req.class.PriorityWeight - r.meanPriorityWeight) / trafficAveragingRequests
	expected := req.expectedLatency.Seconds()
	r.meanExpectedLatency += (expected - r.meanExpectedLatency) / trafficAveragingRequests
}

// Outcome handles the end of an attempt. An attempt that is not in flight is ignored.
func (r *Router) Outcome(now time.Duration, outcome Outcome) {
	r.advanceClock(now)
	req := r.requests[outcome.Request]
	i := req.attemptIndex(outcome.Attempt)
	if i < 0 {
		return
	}
	attempt := req.inFlight[i]
	req.inFlight = slices.Delete(req.inFlight, i, i+1)
	attempt.member.removeAttempt(attempt)
	if req.group.searchAttempt == attempt {
		req.group.searchAttempt = nil
	}
	primaryBefore := req.group.primary()
	r.observe(attempt, outcome)
	if r.now < r.connectionShortageUntil && len(attempt.member.inFlight) == 0 {
		r.gateway.CloseIdle(attempt.member.id) // frees connections for other gateways
	}
	if outcome.Closed || req.ended {
		r.endRequest(req)
	} else {
		r.attemptFailed(req, attempt, outcome.Result)
	}
	r.resumeGroup(req.group, primaryBefore)
}

// StreamStarted handles the start of a streamed answer. The attempts of the request no longer count for the
// silence of their members, and all but the streaming attempt are cancelled.
func (r *Router) StreamStarted(now time.Duration, id uint64, number int) {
	r.advanceClock(now)
	req := r.requests[id]
	if req == nil || req.ended {
		return
	}
	req.streaming = true
	for _, attempt := range req.inFlight {
		attempt.member.removeAttempt(attempt)
		if attempt.number != number {
			r.cancelAttempt(attempt)
		}
	}
}

// ClientDisconnected handles the end of a client's connection. The request needs no answer any more.
func (r *Router) ClientDisconnected(now time.Duration, id uint64) {
	r.advanceClock(now)
	if req := r.requests[id]; req != nil {
		r.endRequest(req)
	}
}

// HealthChecked handles the end of a health check. A successful check clears the member's failures. It ends
// the member's silence only if the member's position has advanced, if a check since its last answer could not
// connect, which indicates a new process, or if the check's connection proves that the process survived an
// outage of its zone.
func (r *Router) HealthChecked(now time.Duration, check HealthCheckResult) {
	r.advanceClock(now)
	member := r.members[check.Member]
	if member == nil {
		return
	}
	primaryBefore := member.group.primary()
	advanced := check.Report.Position > member.position
	member.healthCheckPending = false
	r.observeReport(member, check.Report)
	r.recordHealthCheck(member, check)
	switch check.Result {
	case ResultOK:
		if member.down || advanced || member.survivedZoneLoss(check.ConnectedAt) {
			r.observeAnswer(member, check.ConnectedAt)
		} else {
			member.failures = 0
			member.connectFailures = 0
		}
	case ResultConnectFailed:
		member.failures++
		member.connectFailures++
		member.down = true
	case ResultReset:
		member.failures++
	}
	r.resumeGroup(member.group, primaryBefore)
}

// resumeGroup advances a group's waiting requests if the group has another primary than before.
func (r *Router) resumeGroup(group *groupState, previousPrimary *memberState) {
	primary := group.primary()
	if primary == nil || primary == previousPrimary {
		return
	}
	for _, req := range r.openRequests {
		if req.group == group && len(req.inFlight) == 0 {
			req.pausedUntil = 0
			r.advanceRequest(req)
		}
	}
}
