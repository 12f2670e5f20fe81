package routing

import (
	"slices"
	"time"
)

const sweepEvery, lookEvery = 20 * time.Millisecond, 100 * time.Millisecond // looks at requests; at members

// wake moves the clock. Where sweeps are long overdue this gateway stood still: members were not silent.
func (r *Router) wake(now time.Duration) {
	if now-r.now > 2*lookEvery {
		r.awakeAt = now
	}
	r.now = now
}

const heldAtMost, vainAbove, vainGain = 0.5, 0.5, 0.1 // of its time unsent; an eighth if most wait in vain

// Request takes a client's request.
func (r *Router) Request(now time.Duration, in Request) {
	r.wake(now)
	if r.requests[in.ID] != nil || in.Class < 0 || in.Class >= len(r.cfg.Classes) {
		return
	}
	c := &r.cfg.Classes[in.Class]
	q := &request{Request: in, class: c, usual: &r.usual[in.Class], group: r.groupOf(in.Group),
		deadline: now + in.Remaining, over: r.overShare(in.Tenant)}
	q.atPrimary = c.Consistency == ConsistencyWrite || c.Consistency == ConsistencyStrong
	q.aimAt = min(now+c.LatencyObjective+time.Duration(c.ObjectiveWorkFactor*float64(in.Work)), q.deadline)
	q.heldTo = now + time.Duration(heldAtMost*float64(in.Remaining)) - sweepEvery
	if q.limit = q.aimAt; c.LateShare > 0 {
		q.limit = q.deadline
	}
	if c.Consistency == ConsistencyStrong {
		q.need = r.ms(now)
	} else if c.Consistency == ConsistencySession && r.cfg.LocalSessions {
		q.need = r.marks.positions[in.Session]
	} else if c.Consistency == ConsistencySession && in.SinceWrite > 0 {
		q.need = r.ms(now - in.SinceWrite)
	}
	r.worth += (c.PriorityWeight - r.worth) / askedKept
	r.weight += (q.usual.Seconds() - r.weight) / askedKept
	share := probeShare * min(1, probeMembers/float64(1+len(r.sorted)))
	if r.cfg.StaleReads == StaleReadServed && c.Consistency == ConsistencyBounded {
		share = 1 // members do not check: one may have to be asked first
	}
	r.probes = min(probeBurst, r.probes+share)
	q.group.open++
	r.requests[q.ID], r.open = q, append(r.open, q)
	r.advance(q)
	r.setTimer()
}

// Outcome takes the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.wake(now)
	q := r.requests[o.Request]
	i := q.find(o.Attempt)
	if i < 0 {
		return
	}
	a := q.out[i]
	q.out = slices.Delete(q.out, i, i+1)
	a.m.out = slices.DeleteFunc(a.m.out, func(x *attempt) bool { return x == a })
	if q.group.seeking == a {
		q.group.seeking = nil
	}
	before := q.group.primary()
	r.learn(a, o)
	if r.now < r.tightUntil && len(a.m.out) == 0 {
		r.gw.CloseIdle(a.m.id) // idle connections of ours would keep other gateways out
	}
	if o.Closed || q.ended {
		r.end(q, false, "")
	} else {
		r.afterAttempt(q, a, o.Result)
	}
	r.release(q.group, before)
}

// Started tells that a streamed answer has begun: the attempt is the client's now, other copies are waste.
func (r *Router) Started(now time.Duration, id uint64, number int) {
	r.wake(now)
	q := r.requests[id]
	if q == nil || q.ended {
		return
	}
	q.streaming = true
	for _, a := range q.out {
		a.m.out = slices.DeleteFunc(a.m.out, func(x *attempt) bool { return x == a }) // no silence
		if a.number != number {
			r.cancel(a)
		}
	}
}

// ClientDisconnected tells that the client has left: nothing is owed.
func (r *Router) ClientDisconnected(now time.Duration, id uint64) {
	r.wake(now)
	if q := r.requests[id]; q != nil {
		r.end(q, false, "")
	}
}

// Probed takes the end of a probe: it ends doubts of the connection, of silence if the position moved on.
func (r *Router) HealthChecked(now time.Duration, p HealthCheckResult) {
	r.wake(now)
	m := r.members[p.Member]
	if m == nil {
		return
	}
	before, moved := m.group.primary(), p.Report.Position > m.position
	m.probing = false
	r.learnReport(m, p.Report)
	r.seen(m, p)
	if p.Result == ResultOK && (m.down || moved || m.lived(p.Opened)) {
		r.hear(m, p.Opened)
	} else if p.Result == ResultOK {
		m.failed, m.shut = 0, 0
	} else if p.Result == ResultConnectFailed || p.Result == ResultReset {
		if m.failed++; p.Result == ResultConnectFailed {
			m.shut, m.down = m.shut+1, true
		}
	}
	r.release(m.group, before)
}

// Timer takes a timer.
func (r *Router) Timer(now time.Duration, name string) {
	if name != "sweep" || now+time.Millisecond < r.sweepAt {
		return
	}
	r.wake(now)
	r.sweepAt = 0
	if now >= r.lookAt {
		r.lookAt = now + lookEvery
		r.followList()
		r.lookZones()
		r.probeAll()
	}
	for _, q := range r.open {
		r.advance(q)
	}
	r.open = slices.DeleteFunc(r.open, func(q *request) bool { return q.ended })
	r.setTimer()
}

// setTimer asks for the next sweep: soon while requests are open. Timers that are overtaken are ignored.
func (r *Router) setTimer() {
	at := r.now + lookEvery
	if len(r.open) > 0 {
		at = r.now + sweepEvery
	}
	if r.sweepAt == 0 || at < r.sweepAt {
		r.sweepAt = at
		r.gw.SetTimer(at-r.now, "sweep")
	}
}

// release looks again at a group's open requests as soon as another primary is named.
func (r *Router) release(g *group, before *member) {
	p := g.primary()
	for _, q := range r.open {
		if q.group == g && len(q.out) == 0 && p != nil && p != before {
			q.pause = 0
			r.advance(q)
		}
	}
}
