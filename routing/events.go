package routing

import (
	"slices"
	"time"
)

const requestSweepInterval, memberSweepInterval = 20 * time.Millisecond, 100 * time.Millisecond // looks at requests; at members

// wake moves the clock. Where sweeps are long overdue this gateway stood still: members were not silent.
func (r *Router) advanceClock(now time.Duration) {
	if now-r.now > 2*memberSweepInterval {
		r.resumedAt = now
	}
	r.now = now
}

const maxUnsentShare, unreachableThreshold, unansweredGain = 0.5, 0.5, 0.1 // of its time unsent; an eighth if most wait in vain

// Request takes a client's request.
func (r *Router) Request(now time.Duration, in Request) {
	r.advanceClock(now)
	if r.requests[in.ID] != nil || in.Class < 0 || in.Class >= len(r.cfg.Classes) {
		return
	}
	c := &r.cfg.Classes[in.Class]
	q := &requestState{Request: in, class: c, expectedLatency: &r.expectedLatency[in.Class], group: r.findGroup(in.Group),
		deadline: now + in.Remaining, overQuota: r.overQuota(in.Tenant)}
	q.needsPrimary = c.Consistency == ConsistencyWrite || c.Consistency == ConsistencyStrong
	q.latencyObjectiveAt = min(now+c.LatencyObjective+time.Duration(c.ObjectiveWorkFactor*float64(in.Work)), q.deadline)
	q.unsentDeadline = now + time.Duration(maxUnsentShare*float64(in.Remaining)) - requestSweepInterval
	if q.usefulUntil = q.latencyObjectiveAt; c.LateShare > 0 {
		q.usefulUntil = q.deadline
	}
	if c.Consistency == ConsistencyStrong {
		q.minPosition = r.positionAt(now)
	} else if c.Consistency == ConsistencySession && r.cfg.LocalSessions {
		q.minPosition = r.sessionMarks.positions[in.Session]
	} else if c.Consistency == ConsistencySession && in.SinceWrite > 0 {
		q.minPosition = r.positionAt(now - in.SinceWrite)
	}
	r.meanPriorityWeight += (c.PriorityWeight - r.meanPriorityWeight) / trafficAveragingRequests
	r.meanExpectedLatency += (q.expectedLatency.Seconds() - r.meanExpectedLatency) / trafficAveragingRequests
	share := healthCheckTokensPerRequest * min(1, fullRateMembers/float64(1+len(r.sortedMembers)))
	if r.cfg.StaleReads == StaleReadServed && c.Consistency == ConsistencyBounded {
		share = 1 // members do not check: one may have to be asked first
	}
	r.healthCheckTokens = min(maxHealthCheckTokens, r.healthCheckTokens+share)
	q.group.openRequests++
	r.requests[q.ID], r.openRequests = q, append(r.openRequests, q)
	r.advanceRequest(q)
	r.scheduleSweep()
}

// Outcome takes the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.advanceClock(now)
	q := r.requests[o.Request]
	i := q.attemptIndex(o.Attempt)
	if i < 0 {
		return
	}
	a := q.inFlight[i]
	q.inFlight = slices.Delete(q.inFlight, i, i+1)
	a.member.inFlight = slices.DeleteFunc(a.member.inFlight, func(x *attemptState) bool { return x == a })
	if q.group.searchAttempt == a {
		q.group.searchAttempt = nil
	}
	before := q.group.primary()
	r.observe(a, o)
	if r.now < r.connectionShortageUntil && len(a.member.inFlight) == 0 {
		r.gateway.CloseIdle(a.member.id) // idle connections of ours would keep other gateways out
	}
	if o.Closed || q.ended {
		r.endRequest(q, false, "")
	} else {
		r.attemptFailed(q, a, o.Result)
	}
	r.resumeGroup(q.group, before)
}

// Started tells that a streamed answer has begun: the attempt is the client's now, other copies are waste.
func (r *Router) StreamStarted(now time.Duration, id uint64, number int) {
	r.advanceClock(now)
	q := r.requests[id]
	if q == nil || q.ended {
		return
	}
	q.streaming = true
	for _, a := range q.inFlight {
		a.member.inFlight = slices.DeleteFunc(a.member.inFlight, func(x *attemptState) bool { return x == a }) // no silence
		if a.number != number {
			r.cancelAttempt(a)
		}
	}
}

// ClientDisconnected tells that the client has left: nothing is owed.
func (r *Router) ClientDisconnected(now time.Duration, id uint64) {
	r.advanceClock(now)
	if q := r.requests[id]; q != nil {
		r.endRequest(q, false, "")
	}
}

// Probed takes the end of a probe: it ends doubts of the connection, of silence if the position moved on.
func (r *Router) HealthChecked(now time.Duration, p HealthCheckResult) {
	r.advanceClock(now)
	m := r.members[p.Member]
	if m == nil {
		return
	}
	before, moved := m.group.primary(), p.Report.Position > m.position
	m.healthCheckPending = false
	r.observeReport(m, p.Report)
	r.recordHealthCheck(m, p)
	if p.Result == ResultOK && (m.down || moved || m.survivedZoneLoss(p.ConnectedAt)) {
		r.observeAnswer(m, p.ConnectedAt)
	} else if p.Result == ResultOK {
		m.failures, m.connectFailures = 0, 0
	} else if p.Result == ResultConnectFailed || p.Result == ResultReset {
		if m.failures++; p.Result == ResultConnectFailed {
			m.connectFailures, m.down = m.connectFailures+1, true
		}
	}
	r.resumeGroup(m.group, before)
}

// Timer takes a timer.
func (r *Router) Timer(now time.Duration, name string) {
	if name != "sweep" || now+time.Millisecond < r.nextSweepAt {
		return
	}
	r.advanceClock(now)
	r.nextSweepAt = 0
	if now >= r.nextMemberSweepAt {
		r.nextMemberSweepAt = now + memberSweepInterval
		r.keepSubscribed()
		r.judgeZones()
		r.sendHealthChecks()
	}
	for _, q := range r.openRequests {
		r.advanceRequest(q)
	}
	r.openRequests = slices.DeleteFunc(r.openRequests, func(q *requestState) bool { return q.ended })
	r.scheduleSweep()
}

// scheduleSweep asks for the next sweep: soon while requests are open. Timers that are overtaken are ignored.
func (r *Router) scheduleSweep() {
	at := r.now + memberSweepInterval
	if len(r.openRequests) > 0 {
		at = r.now + requestSweepInterval
	}
	if r.nextSweepAt == 0 || at < r.nextSweepAt {
		r.nextSweepAt = at
		r.gateway.SetTimer(at-r.now, "sweep")
	}
}

// release looks again at a group's open requests as soon as another primary is named.
func (r *Router) resumeGroup(g *groupState, before *memberState) {
	p := g.primary()
	for _, q := range r.openRequests {
		if q.group == g && len(q.inFlight) == 0 && p != nil && p != before {
			q.pausedUntil = 0
			r.advanceRequest(q)
		}
	}
}
