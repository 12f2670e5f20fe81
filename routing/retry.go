package routing

import (
	"slices"
	"time"
)

const (
	hedgeLatencyFactor = 3.0                   // in expected latencies; 1 in 20 answers takes longer
	overCapacityDelay  = 25 * time.Millisecond // before a retry at a primary over capacity

	// unreachableThreshold is a limit of a group's unansweredShare. Above it, requests wait only for
	// 1/unreachableWaitDivisor of their time while the primary is unreachable. The share moves by
	// unansweredGain of its distance: towards 1 with each request that abandonReason ends before an attempt
	// that may have run has ended, and towards 0 with each successful attempt.
	unreachableThreshold   = 0.5
	unreachableWaitDivisor = 8
)

// attemptFailed decides how an open request continues after an attempt that has not brought its final answer.
// ResultInvalidStatement fails the request at once.
func (r *Router) attemptFailed(req *requestState, attempt *attemptState, result Result) {
	switch result {
	case ResultMissed:
		req.missedMembers = append(req.missedMembers, attempt.member)
	case ResultOverCapacity:
		if req.needsPrimary {
			req.pausedUntil = r.now + overCapacityDelay
		}
	case ResultConnectFailed, ResultNotSent:
	case ResultInvalidStatement: // the client's error: no other member can execute the statement
		r.gateway.Fail(req.ID, ReasonRejected)
		r.endRequest(req)
		return
	default:
		req.endedMayHaveRun = true
	}
	if result != ResultConnectFailed && result != ResultNotSent {
		req.reachedMember = true
	}
	req.mayHaveRun = req.endedMayHaveRun || len(req.inFlight) > 0
	r.spendRetryToken(req, attempt)
	r.advanceRequest(req)
}

// spendRetryToken spends a token for the retry of a request that may have run. Without a token the request is
// abandoned. For a cancelled attempt hedgeOrCancel has spent the token already.
func (r *Router) spendRetryToken(req *requestState, attempt *attemptState) {
	if !req.endedMayHaveRun || attempt.cancelled || len(req.inFlight) > 0 {
		return
	}
	if r.retryTokens < 1 {
		r.abandonRequest(req, ReasonRetryBudget)
		return
	}
	r.retryTokens--
}

// abandonReason returns why a request without an attempt in flight must be abandoned, or "" if it may
// continue.
func (r *Router) abandonReason(req *requestState) Reason {
	sinceArrival := r.now - req.deadline + req.Remaining // Remaining is as of the arrival
	switch {
	case r.now+max(*req.expectedLatency/2, requestSweepInterval) > req.usefulUntil:
		return ReasonHopeless
	case req.attempts >= r.cfg.MaxAttempts:
		return ReasonAttemptsUsed
	case r.now >= req.retryDeadline():
		return ReasonWindowOver
	case r.now >= req.unsentDeadline && !req.reachedMember:
		return ReasonUnsent
	case r.mostlyUnanswered(req) && sinceArrival > req.Remaining/unreachableWaitDivisor:
		return ReasonUnreachable
	}
	return ""
}

// mostlyUnanswered reports whether most requests of a request's group end unanswered while the group has no
// healthy primary. This also holds for reads, which a replica could serve. It returns false if an attempt of
// the request that has ended may have run.
func (r *Router) mostlyUnanswered(req *requestState) bool {
	if req.group.unansweredShare <= unreachableThreshold || req.endedMayHaveRun {
		return false
	}
	primary := req.group.primary()
	return primary == nil || r.unhealthy(primary)
}

// advanceRequest decides what to do next for a request: on its arrival, after each outcome, and at each
// sweep.
func (r *Router) advanceRequest(req *requestState) {
	if req.ended || req.streaming {
		return
	}
	if len(req.inFlight) > 0 {
		r.hedgeOrCancel(req)
		return
	}
	if reason := r.abandonReason(req); reason != "" {
		r.abandonRequest(req, reason)
		if !req.endedMayHaveRun {
			req.group.unansweredShare += unansweredGain * (1 - req.group.unansweredShare)
		}
		return
	}
	member := r.chooseMember(req)
	if member == nil {
		return
	}
	isSearch := req.needsPrimary && member != req.group.primary() // a write that looks for the new primary
	if req.attempts == 0 && !isSearch && !r.admit(req, member) {
		r.abandonRequest(req, ReasonShed)
		return
	}
	attempt := r.sendAttempt(req, member)
	r.countPlacement(attempt)
	if isSearch {
		req.group.searchAttempt = attempt
	}
}

// hedgeOrCancel hedges a request whose attempt is slow or whose member is unhealthy. If hedging is not
// allowed, it cancels the attempt at an unhealthy member if another member can serve the request. The end of
// the cancelled attempt then starts the retry.
func (r *Router) hedgeOrCancel(req *requestState) {
	last := req.inFlight[len(req.inFlight)-1]
	if !r.mayRetryWhileInFlight(req, last) {
		return
	}
	waited := float64(r.now - last.sentAt)
	slow := r.cfg.AllowHedging && waited > hedgeLatencyFactor*float64(last.expectedLatency)
	if !slow && !r.unhealthy(last.member) {
		return
	}
	if r.cfg.AllowHedging {
		member := r.chooseMember(req)
		if member != nil && (member == req.group.primary() || !req.needsPrimary) {
			r.retryTokens--
			r.sendAttempt(req, member)
		}
	} else if r.cfg.AllowCancel && r.hasAlternative(req, last.member) {
		r.retryTokens--
		r.cancelAttempt(last)
	}
}

// mayRetryWhileInFlight reports whether a request may be retried while its last attempt is in flight.
func (r *Router) mayRetryWhileInFlight(req *requestState, last *attemptState) bool {
	if len(req.inFlight) > 1 || req.class.Effect == NonIdempotent || last.cancelled {
		return false
	}
	return r.retryTokens >= 1 && r.now+*req.expectedLatency <= req.usefulUntil
}

// hasAlternative reports whether another healthy member has the role and the freshness that a request needs.
// It checks less than eligible, so that the retry may still have to wait.
func (r *Router) hasAlternative(req *requestState, current *memberState) bool {
	primary := req.group.primary()
	return slices.ContainsFunc(req.group.members, func(m *memberState) bool {
		if m == current || !m.usable || r.unhealthy(m) {
			return false
		}
		return m == primary || !req.needsPrimary && r.freshEnough(req, m)
	})
}
