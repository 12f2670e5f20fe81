package routing

import (
	"slices"
	"time"
)

const (
	retryTokensPerRequest = 0.1  // retries earned by each first attempt: too few to amplify an overload
	maxRetryTokens        = 20.0 // retries that can be saved up

	// roleValidityPeriod is how long a read may start at the presumed primary after the decision to send it
	// there. It has to stay below 100 ms: an answer that names another primary counts as known to the gateway
	// 100 ms after the answer was sent.
	roleValidityPeriod = 75 * time.Millisecond

	// retryAfterShare is the Retry-After of a rejection, as a share of the class's deadline. It is so small
	// that a retry by the client can still be answered on time.
	retryAfterShare = 0.05
)

// eligible reports whether a request may be sent to a member now. Every attempt must pass this check.
func (r *Router) eligible(req *requestState, member *memberState) bool {
	switch {
	case req.ended, req.streaming:
		return false
	case r.now < req.pausedUntil, r.now >= req.retryDeadline(), req.attempts >= r.cfg.MaxAttempts:
		return false
	case !member.usable, member.group != req.group:
		return false
	case len(req.inFlight) > 0 && !r.mayHedge(req), req.isInFlightAt(member):
		return false
	case r.wouldMiss(req, member), r.wouldBeStale(req, member):
		return false
	}
	return r.admitSlowStart(member, r.expectedWork[req.Class])
}

// mayHedge reports whether two attempts of a request may be in flight at the same time.
func (r *Router) mayHedge(req *requestState) bool {
	return r.cfg.AllowHedging && req.class.Effect != NonIdempotent
}

// isInFlightAt reports whether the request has an attempt in flight at a member.
func (r *requestState) isInFlightAt(member *memberState) bool {
	return slices.ContainsFunc(r.inFlight, func(a *attemptState) bool { return a.member == member })
}

// wouldMiss reports whether a member has answered the request with ResultMissed and would do so again.
func (r *Router) wouldMiss(req *requestState, member *memberState) bool {
	return slices.Contains(req.missedMembers, member) && member.position < r.requiredPosition(req) &&
		member != req.group.primary()
}

// wouldBeStale reports whether a member would serve a read from data that is too old.
func (r *Router) wouldBeStale(req *requestState, member *memberState) bool {
	return r.cfg.StaleReads == StaleReadServed && req.class.Consistency != ConsistencyWrite &&
		!r.freshEnough(req, member)
}

// retryDeadline returns the time before which the next attempt must start: while its answer is useful, and
// before the request could run a second time. It is 0 if no further attempt is allowed.
func (r *requestState) retryDeadline() time.Duration {
	switch {
	case r.class.Effect == Idempotent || !r.mayHaveRun:
		return r.usefulUntil
	case r.class.Effect == IdempotentByKey:
		return min(r.usefulUntil, r.firstRunAt+r.class.IdempotencyTTL)
	}
	return 0
}

// startDeadline returns the time before which an attempt at a member must start, as it may wait for a
// connection: the retry deadline or, if that is earlier, the time at which the member's data becomes too old.
func (r *Router) startDeadline(req *requestState, member *memberState) time.Duration {
	class := req.class
	if r.cfg.StaleReads != StaleReadServed {
		return req.retryDeadline()
	}
	if class.Consistency != ConsistencyBounded && member.position >= req.minPosition {
		return req.retryDeadline()
	}
	freshUntil := r.cfg.PositionEpoch + time.Duration(member.position)*time.Millisecond + class.StalenessBound
	if member == req.group.primary() {
		freshUntil = max(freshUntil, r.now+roleValidityPeriod)
	}
	return min(req.retryDeadline(), freshUntil)
}

// sendAttempt sends a request to a member and returns the attempt, or nil if the request is not eligible
// there. All attempts are sent by this function.
func (r *Router) sendAttempt(req *requestState, member *memberState) *attemptState {
	if !r.eligible(req, member) {
		return nil
	}
	attempt := &attemptState{
		request:         req,
		number:          req.attempts,
		member:          member,
		sentAt:          r.now,
		expectedLatency: *req.expectedLatency,
		work:            r.expectedWork[req.Class],
	}
	if req.attempts == 0 {
		r.retryTokens = min(maxRetryTokens, r.retryTokens+retryTokensPerRequest)
	}
	startBy := r.startDeadline(req, member)
	if !req.mayHaveRun {
		req.mayHaveRun = true
		req.firstRunAt = r.now
	}
	req.attempts++
	req.inFlight = append(req.inFlight, attempt)
	member.inFlight = append(member.inFlight, attempt)
	// The budget counts the same work as recordThroughput does, without any queueing.
	member.tokens -= attempt.work.Seconds()
	r.gateway.Send(req.ID, member.id, req.usefulUntil, startBy)
	return attempt
}

// cancelAttempt cancels an attempt if cancellation is allowed.
func (r *Router) cancelAttempt(attempt *attemptState) {
	if !r.cfg.AllowCancel || attempt.cancelled {
		return
	}
	attempt.cancelled = true
	r.gateway.Cancel(attempt.request.ID, attempt.number)
}

// abandonRequest gives an open request its final answer and ends it. The request is rejected if nothing ran
// or a retry by the client does no harm; otherwise it fails.
func (r *Router) abandonRequest(req *requestState, reason Reason) {
	class := req.class
	harmless := !req.mayHaveRun || class.Effect == IdempotentByKey && class.KeyIsGlobal
	if harmless || class.Effect == Idempotent {
		retryAfter := time.Duration(retryAfterShare * float64(class.Deadline))
		r.gateway.Reject(req.ID, min(retryAfter, r.cfg.MaxRetryAfter), reason)
	} else {
		r.gateway.Fail(req.ID, reason)
	}
	r.endRequest(req)
}

// endRequest ends a request that needs no further answer. It cancels attempts that are still in flight,
// unless their effect is wanted or the client is reading the answer. The request is removed as soon as none
// of its attempts is in flight.
func (r *Router) endRequest(req *requestState) {
	req.ended = true
	for _, attempt := range req.inFlight {
		if req.class.Effect == Idempotent && !req.streaming {
			r.cancelAttempt(attempt)
		}
	}
	if len(req.inFlight) > 0 {
		return
	}
	if r.requests[req.ID] == req {
		r.closeGroupRequest(req.group)
	}
	delete(r.requests, req.ID)
}
