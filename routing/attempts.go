package routing

import (
	"slices"
	"time"
)

const (
	retryTokensPerRequest = 0.1  // retries earned by each first attempt: too few to amplify an overload
	maxRetryTokens        = 20.0 // retries that can be saved up

	// roleValidityPeriod is how long after the decision to send a read to the presumed primary the attempt
	// may begin. Another member may become the primary meanwhile. By the platform's rules, a stale read at
	// the old primary is a fault from 100 ms after an answer was sent that names another one. The period has
	// to stay below these 100 ms.
	roleValidityPeriod = 75 * time.Millisecond

	// retryAfterShare is the Retry-After of a rejection, as a share of the class's deadline. It is so small
	// that a retry by the client can still be answered on time.
	retryAfterShare = 0.05
)

// eligible reports whether a request may be sent to a member now. Every attempt must pass this check.
// If a member in slow start passes the other checks, eligible also draws its initial debt and refills its
// token bucket (see admitSlowStart). This happens even if no attempt is sent, as chooseMember checks every
// member of a read's group.
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
// ResultMissed means that the member rejected the request, because its data is too old or it is not the
// primary. wouldMiss returns false for requests that require no position, which are writes and reads of data
// of any age.
func (r *Router) wouldMiss(req *requestState, member *memberState) bool {
	return slices.Contains(req.missedMembers, member) && member.position < r.requiredPosition(req) &&
		member != req.group.primary()
}

// wouldBeStale reports whether a member would serve a read from data that is too old.
func (r *Router) wouldBeStale(req *requestState, member *memberState) bool {
	return r.cfg.StaleReads == StaleReadServed && req.class.Consistency != ConsistencyWrite &&
		!r.freshEnough(req, member)
}

// retryDeadline returns the time before which the next attempt, which may be the first, must start. Its
// answer must still be useful. If a request with an idempotency key may have run, the members must also still
// drop repeats of the key. The deadline is 0 if a non-idempotent request may have run. MaxAttempts is checked
// by eligible and abandonReason.
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
// Only the retry deadline applies if members check reads themselves, or if the class is not bounded and the
// member's position suffices. It always suffices for writes and ConsistencyAny, as their minPosition is 0.
// The time until which the data counts as fresh includes the class's StalenessBound, also for strong and
// session reads. For the presumed primary that time is at least roleValidityPeriod from now.
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
	// Computed before mayHaveRun is set: otherwise it would be 0 for the first attempt of a non-idempotent
	// request.
	startBy := r.startDeadline(req, member)
	if !req.mayHaveRun {
		req.mayHaveRun = true
		req.firstRunAt = r.now
	}
	req.attempts++
	req.inFlight = append(req.inFlight, attempt)
	member.inFlight = append(member.inFlight, attempt)
	// The slow-start budget counts the same work as recordThroughput does, without any queueing.
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
// or a retry by the client does no harm, because the request is idempotent or all members drop repeats of its
// key. Otherwise it fails.
func (r *Router) abandonRequest(req *requestState, reason Reason) {
	class := req.class
	cannotRunTwice := !req.mayHaveRun || class.Effect == IdempotentByKey && class.KeyIsGlobal
	if cannotRunTwice || class.Effect == Idempotent {
		retryAfter := time.Duration(retryAfterShare * float64(class.Deadline))
		r.gateway.Reject(req.ID, min(retryAfter, r.cfg.MaxRetryAfter), reason)
	} else {
		r.gateway.Fail(req.ID, reason)
	}
	r.endRequest(req)
}

// endRequest ends a request that needs no further answer. It cancels attempts that are still in flight if the
// request is idempotent and its answer is not being streamed. Attempts of other requests continue, because
// the client may want their effect. The request is removed as soon as none of its attempts is in flight.
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
	if r.requests[req.ID] == req { // false if the request was removed before: its group counts it only once
		r.closeGroupRequest(req.group)
	}
	delete(r.requests, req.ID)
}
