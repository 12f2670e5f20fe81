package routing

import (
	"slices"
	"time"
)

const (
	retryShare, retryBurst = 0.1, 20.0 // further attempts for each first one: none must feed a jam

	hedgeAfter  = 3.0                   // times usual before a second copy: about the slowest twentieth
	pauseFull   = 25 * time.Millisecond // before a write or fresh read asks a full primary again
	roleHolds   = 75 * time.Millisecond // an answer that names another primary counts as known after 100 ms
	adviceShare = 0.05                  // advice to come back, of the deadline: while an answer still earns
)

// legal is the gate that every send passes; each line keeps one rule.
func (r *Router) legal(q *request, m *member) bool {
	switch {
	case q.ended, q.streaming, r.now < q.pause, r.now >= q.repeatBy(), q.sent >= r.cfg.MaxAttempts,
		!m.usable, m.group != q.group, // drains, and groups
		len(q.out) > 0 && (!r.cfg.AllowHedging || q.class.Effect == NonIdempotent), // copies out together
		slices.ContainsFunc(q.out, func(a *attempt) bool { return a.m == m }),
		slices.Contains(q.missed, m) && m.position < r.minimum(q) && m != q.group.primary(),              // a sure miss
		r.cfg.StaleReads == StaleReadServed && q.class.Consistency != ConsistencyWrite && !r.fresh(q, m): // stale reads
		return false
	}
	return r.coldRoom(m, r.work[q.Class])
}

// repeatBy is when an attempt has to have begun as things are: in time, and inside the window for repeats.
func (q *request) repeatBy() time.Duration {
	if q.class.Effect == Idempotent || !q.mayRun {
		return q.limit
	} else if q.class.Effect == IdempotentByKey {
		return min(q.limit, q.ranAt+q.class.IdempotencyTTL)
	}
	return 0
}

// beginBy is the same where it waits for a connection: what its member has must be recent enough then too.
func (r *Router) beginBy(q *request, m *member) time.Duration {
	holds := r.cfg.PositionZero + time.Duration(m.position)*time.Millisecond + q.class.StalenessBound
	if r.cfg.StaleReads != StaleReadServed || q.class.Consistency != ConsistencyBounded && m.position >= q.need {
		return q.repeatBy()
	} else if m == q.group.primary() {
		holds = max(holds, r.now+roleHolds)
	}
	return min(q.repeatBy(), holds)
}

// send is the only way to a server.
func (r *Router) send(q *request, m *member) *attempt {
	if !r.legal(q, m) {
		return nil
	}
	a := &attempt{q: q, number: q.sent, m: m, sentAt: r.now, usual: *q.usual, work: r.work[q.Class]}
	if q.sent == 0 {
		r.tokens = min(retryBurst, r.tokens+retryShare)
	}
	by := r.beginBy(q, m)
	if !q.mayRun {
		q.mayRun, q.ranAt = true, r.now
	}
	q.sent++
	q.out, m.out = append(q.out, a), append(m.out, a)
	m.credit -= a.work.Seconds() // as flow counts it, however long queues are
	r.gw.Send(q.ID, m.id, q.limit, by)
	return a
}

func (r *Router) cancel(a *attempt) {
	if r.cfg.AllowCancel && !a.cancelled {
		a.cancelled = true
		r.gw.Cancel(a.q.ID, a.number)
	}
}

// end is the only way to end a request. Where an answer is owed it is given at once: a refusal where that is
// true, else a failure. Copies still out are cancelled where they may be.
func (r *Router) end(q *request, owed bool, why Reason) {
	harmless := !q.mayRun || q.class.Effect == IdempotentByKey && q.class.KeyIsGlobal
	if !q.ended && owed && (harmless || q.class.Effect == Idempotent) {
		r.gw.Reject(q.ID, min(time.Duration(adviceShare*float64(q.class.Deadline)), r.cfg.MaxRetryAfter), why)
	} else if !q.ended && owed {
		r.gw.Fail(q.ID, why)
	}
	q.ended = true
	for _, a := range q.out {
		if q.class.Effect == Idempotent && !q.streaming { // what streams is the client's
			r.cancel(a)
		}
	}
	if len(q.out) == 0 {
		if r.requests[q.ID] == q {
			r.leaveGroup(q.group)
		}
		delete(r.requests, q.ID)
	}
}

// afterAttempt decides what follows an attempt that did not answer.
func (r *Router) afterAttempt(q *request, a *attempt, result Result) {
	switch result {
	case ResultMissed:
		q.missed = append(q.missed, a.m)
	case ResultOverCapacity:
		if q.atPrimary {
			q.pause = r.now + pauseFull
		}
	case ResultConnectFailed, ResultNotSent:
	case ResultInvalidStatement: // the client's fault: no other member would do better
		r.gw.Fail(q.ID, ReasonRejected)
		r.end(q, false, ReasonRejected)
		return
	default:
		q.ran = true
	}
	q.reached = q.reached || result != ResultConnectFailed && result != ResultNotSent
	q.mayRun = q.ran || len(q.out) > 0
	if again := q.ran && !a.cancelled && len(q.out) == 0; again && r.tokens < 1 {
		r.end(q, true, ReasonRetryBudget)
	} else if again {
		r.tokens--
	}
	r.advance(q)
}

// givesUp says why a request that has nothing out is ended; none if it goes on.
func (r *Router) givesUp(q *request) Reason {
	p := q.group.primary()
	switch waited := r.now - q.deadline + q.Remaining; {
	case r.now+max(*q.usual/2, sweepEvery) > q.limit:
		return ReasonHopeless
	case q.sent >= r.cfg.MaxAttempts:
		return ReasonAttemptsUsed
	case r.now >= q.repeatBy():
		return ReasonWindowOver
	case r.now >= q.heldTo && !q.reached:
		return ReasonUnsent
	case q.group.vain > vainAbove && !q.ran && (p == nil || r.suspect(p)) && waited > q.Remaining/8:
		return ReasonUnreachable
	}
	return ""
}

// advance decides what to do next for a request: on arrival, after an outcome, and at each sweep.
func (r *Router) advance(q *request) {
	p := q.group.primary()
	if q.ended || q.streaming {
		return
	} else if len(q.out) > 0 {
		r.reconsider(q)
	} else if why := r.givesUp(q); why != "" {
		if r.end(q, true, why); !q.ran {
			q.group.vain += vainGain * (1 - q.group.vain)
		}
	} else if m := r.choose(q); m != nil && q.sent == 0 && (m == p || !q.atPrimary) && !r.admit(q, m) {
		r.end(q, true, ReasonShed)
	} else if m != nil {
		a := r.send(q, m)
		if r.placed(a); m != p && q.atPrimary {
			q.group.seeking = a
		}
	}
}

// reconsider moves a request off a silent member, or sends a second copy of a slow one.
func (r *Router) reconsider(q *request) {
	a := q.out[len(q.out)-1]
	slow := r.cfg.AllowHedging && float64(r.now-a.sentAt) > hedgeAfter*float64(a.usual)
	if len(q.out) > 1 || q.class.Effect == NonIdempotent || a.cancelled || r.tokens < 1 || r.now+*q.usual > q.limit ||
		!slow && !r.suspect(a.m) {
		return
	}
	p := q.group.primary()
	if r.cfg.AllowHedging {
		if m := r.choose(q); m != nil && (m == p || !q.atPrimary) {
			r.tokens--
			r.send(q, m)
		}
	} else if r.cfg.AllowCancel && slices.ContainsFunc(q.group.members, func(m *member) bool {
		return m != a.m && m.usable && !r.suspect(m) && (m == p || !q.atPrimary && r.fresh(q, m))
	}) {
		r.tokens--
		r.cancel(a)
	}
}
