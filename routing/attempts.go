package routing

import (
	"slices"
	"time"
)

const (
	retryTokensPerRequest, maxRetryTokens = 0.1, 20.0 // further attempts for each first one: none must feed a jam

	hedgeLatencyFactor = 3.0                   // times usual before a second copy: about the slowest twentieth
	overCapacityDelay  = 25 * time.Millisecond // before a write or fresh read asks a full primary again
	roleValidityPeriod = 75 * time.Millisecond // an answer that names another primary counts as known after 100 ms
	retryAfterShare    = 0.05                  // advice to come back, of the deadline: while an answer still earns
)

// legal is the gate that every send passes; each line keeps one rule.
func (r *Router) eligible(q *requestState, m *memberState) bool {
	switch {
	case q.ended, q.streaming, r.now < q.pausedUntil, r.now >= q.retryDeadline(), q.attempts >= r.cfg.MaxAttempts,
		!m.usable, m.group != q.group, // drains, and groups
		len(q.inFlight) > 0 && (!r.cfg.AllowHedging || q.class.Effect == NonIdempotent), // copies out together
		slices.ContainsFunc(q.inFlight, func(a *attemptState) bool { return a.member == m }),
		slices.Contains(q.missedMembers, m) && m.position < r.requiredPosition(q) && m != q.group.primary(),    // a sure miss
		r.cfg.StaleReads == StaleReadServed && q.class.Consistency != ConsistencyWrite && !r.freshEnough(q, m): // stale reads
		return false
	}
	return r.admitSlowStart(m, r.expectedWork[q.Class])
}

// retryDeadline is when an attempt has to have begun as things are: in time, and inside the window for repeats.
func (q *requestState) retryDeadline() time.Duration {
	if q.class.Effect == Idempotent || !q.mayHaveRun {
		return q.usefulUntil
	} else if q.class.Effect == IdempotentByKey {
		return min(q.usefulUntil, q.firstRunAt+q.class.IdempotencyTTL)
	}
	return 0
}

// startDeadline is the same where it waits for a connection: what its member has must be recent enough then too.
func (r *Router) startDeadline(q *requestState, m *memberState) time.Duration {
	holds := r.cfg.PositionEpoch + time.Duration(m.position)*time.Millisecond + q.class.StalenessBound
	if r.cfg.StaleReads != StaleReadServed || q.class.Consistency != ConsistencyBounded && m.position >= q.minPosition {
		return q.retryDeadline()
	} else if m == q.group.primary() {
		holds = max(holds, r.now+roleValidityPeriod)
	}
	return min(q.retryDeadline(), holds)
}

// send is the only way to a server.
func (r *Router) sendAttempt(q *requestState, m *memberState) *attemptState {
	if !r.eligible(q, m) {
		return nil
	}
	a := &attemptState{request: q, number: q.attempts, member: m, sentAt: r.now, expectedLatency: *q.expectedLatency, work: r.expectedWork[q.Class]}
	if q.attempts == 0 {
		r.retryTokens = min(maxRetryTokens, r.retryTokens+retryTokensPerRequest)
	}
	by := r.startDeadline(q, m)
	if !q.mayHaveRun {
		q.mayHaveRun, q.firstRunAt = true, r.now
	}
	q.attempts++
	q.inFlight, m.inFlight = append(q.inFlight, a), append(m.inFlight, a)
	m.tokens -= a.work.Seconds() // as flow counts it, however long queues are
	r.gateway.Send(q.ID, m.id, q.usefulUntil, by)
	return a
}

func (r *Router) cancelAttempt(a *attemptState) {
	if r.cfg.AllowCancel && !a.cancelled {
		a.cancelled = true
		r.gateway.Cancel(a.request.ID, a.number)
	}
}

// end is the only way to end a request. Where an answer is owed it is given at once: a refusal where that is
// true, else a failure. Copies still out are cancelled where they may be.
func (r *Router) endRequest(q *requestState, owed bool, why Reason) {
	harmless := !q.mayHaveRun || q.class.Effect == IdempotentByKey && q.class.KeyIsGlobal
	if !q.ended && owed && (harmless || q.class.Effect == Idempotent) {
		r.gateway.Reject(q.ID, min(time.Duration(retryAfterShare*float64(q.class.Deadline)), r.cfg.MaxRetryAfter), why)
	} else if !q.ended && owed {
		r.gateway.Fail(q.ID, why)
	}
	q.ended = true
	for _, a := range q.inFlight {
		if q.class.Effect == Idempotent && !q.streaming { // what streams is the client's
			r.cancelAttempt(a)
		}
	}
	if len(q.inFlight) == 0 {
		if r.requests[q.ID] == q {
			r.closeGroupRequest(q.group)
		}
		delete(r.requests, q.ID)
	}
}

// attemptFailed decides what follows an attempt that did not answer.
func (r *Router) attemptFailed(q *requestState, a *attemptState, result Result) {
	switch result {
	case ResultMissed:
		q.missedMembers = append(q.missedMembers, a.member)
	case ResultOverCapacity:
		if q.needsPrimary {
			q.pausedUntil = r.now + overCapacityDelay
		}
	case ResultConnectFailed, ResultNotSent:
	case ResultInvalidStatement: // the client's fault: no other member would do better
		r.gateway.Fail(q.ID, ReasonRejected)
		r.endRequest(q, false, ReasonRejected)
		return
	default:
		q.endedMayHaveRun = true
	}
	q.reachedMember = q.reachedMember || result != ResultConnectFailed && result != ResultNotSent
	q.mayHaveRun = q.endedMayHaveRun || len(q.inFlight) > 0
	if again := q.endedMayHaveRun && !a.cancelled && len(q.inFlight) == 0; again && r.retryTokens < 1 {
		r.endRequest(q, true, ReasonRetryBudget)
	} else if again {
		r.retryTokens--
	}
	r.advanceRequest(q)
}

// abandonReason says why a request that has nothing out is ended; none if it goes on.
func (r *Router) abandonReason(q *requestState) Reason {
	p := q.group.primary()
	switch waited := r.now - q.deadline + q.Remaining; {
	case r.now+max(*q.expectedLatency/2, requestSweepInterval) > q.usefulUntil:
		return ReasonHopeless
	case q.attempts >= r.cfg.MaxAttempts:
		return ReasonAttemptsUsed
	case r.now >= q.retryDeadline():
		return ReasonWindowOver
	case r.now >= q.unsentDeadline && !q.reachedMember:
		return ReasonUnsent
	case q.group.unansweredShare > unreachableThreshold && !q.endedMayHaveRun && (p == nil || r.unhealthy(p)) && waited > q.Remaining/8:
		return ReasonUnreachable
	}
	return ""
}

// advance decides what to do next for a request: on arrival, after an outcome, and at each sweep.
func (r *Router) advanceRequest(q *requestState) {
	p := q.group.primary()
	if q.ended || q.streaming {
		return
	} else if len(q.inFlight) > 0 {
		r.hedgeOrMove(q)
	} else if why := r.abandonReason(q); why != "" {
		if r.endRequest(q, true, why); !q.endedMayHaveRun {
			q.group.unansweredShare += unansweredGain * (1 - q.group.unansweredShare)
		}
	} else if m := r.chooseMember(q); m != nil && q.attempts == 0 && (m == p || !q.needsPrimary) && !r.admit(q, m) {
		r.endRequest(q, true, ReasonShed)
	} else if m != nil {
		a := r.sendAttempt(q, m)
		if r.countPlacement(a); m != p && q.needsPrimary {
			q.group.searchAttempt = a
		}
	}
}

// reconsider moves a request off a silent member, or sends a second copy of a slow one.
func (r *Router) hedgeOrMove(q *requestState) {
	a := q.inFlight[len(q.inFlight)-1]
	slow := r.cfg.AllowHedging && float64(r.now-a.sentAt) > hedgeLatencyFactor*float64(a.expectedLatency)
	if len(q.inFlight) > 1 || q.class.Effect == NonIdempotent || a.cancelled || r.retryTokens < 1 || r.now+*q.expectedLatency > q.usefulUntil ||
		!slow && !r.unhealthy(a.member) {
		return
	}
	p := q.group.primary()
	if r.cfg.AllowHedging {
		if m := r.chooseMember(q); m != nil && (m == p || !q.needsPrimary) {
			r.retryTokens--
			r.sendAttempt(q, m)
		}
	} else if r.cfg.AllowCancel && slices.ContainsFunc(q.group.members, func(m *memberState) bool {
		return m != a.member && m.usable && !r.unhealthy(m) && (m == p || !q.needsPrimary && r.freshEnough(q, m))
	}) {
		r.retryTokens--
		r.cancelAttempt(a)
	}
}
