package routing

import (
	"cmp"
	"time"
)

const (
	maxSilence, maxFailures = 5.0, 2 // times usual in silence (a live one's: e^-5); breaks in a row

	minRestartSilence, failureGracePeriod = time.Second, 150 * time.Millisecond // no restart or death shows so soon

	maxReplicaLagMillis        = 300             // ms behind that neither shipping nor old reports explain
	connectionShortageDuration = 5 * time.Second // idle connections are shut, after a sign that members lack them

	latencyGain, maxLatencyRatio = 0.03, 4.0         // weight of one answer in what is usual; its bound
	workGain, workGrowthPeriod   = 0.25, time.Minute // work is near the shortest round trips; others queue

	maxSessionMarks = 100000 // remembered session marks, the oldest dropped first: bounds memory
)

// learn takes what an attempt's end tells of its member.
func (r *Router) observe(a *attemptState, o Outcome) {
	m, ratio := a.member, float64(o.Latency)/float64(a.expectedLatency)
	r.observeReport(m, o.Report)
	r.observeReport(m, Report{HasPosition: true, Position: o.Position}) // its role is dated below
	role, date := o.Role, cmp.Or(o.Position, r.positionAt(r.now))
	if o.Result == ResultMissed && a.request.class.Consistency == ConsistencyWrite {
		role = RoleReplica // it turns writes away, whatever it says
	}
	if role != RoleUnknown {
		r.observeRole(m, role, max(date, m.rolePosition))
	}
	r.recordZoneAnswer(a, o.Result)
	switch o.Result {
	case ResultOK:
		r.observeAnswer(m, o.ConnectedAt)
		m.group.unansweredShare -= unansweredGain * m.group.unansweredShare
		r.recordThroughput(m, a.work)
		r.recordLatency(m, latencySample{at: r.now, ratio: ratio})
		u := a.request.expectedLatency
		w, since := &r.expectedWork[a.request.Class], float64(r.now-r.workUpdatedAt[a.request.Class])/float64(workGrowthPeriod)
		r.workUpdatedAt[a.request.Class] = r.now
		*w = min(*w+time.Duration(since*float64(*w)), r.expectedLatency[a.request.Class])
		*w -= time.Duration(workGain * float64(max(0, *w-o.Latency)))
		*u += time.Duration(latencyGain * (min(ratio, maxLatencyRatio)*float64(a.expectedLatency) - float64(*u)))
		if r.cfg.LocalSessions && a.request.class.Consistency == ConsistencyWrite && a.request.Session != "" && o.Position > 0 {
			r.sessionMarks.put(a.request.Session, o.Position, maxSessionMarks)
		}
	case ResultMissed, ResultError, ResultInvalidStatement, ResultMalformed: // the last are no sign of load
		if r.observeAnswer(m, o.ConnectedAt); o.Result == ResultError {
			r.recordLatency(m, latencySample{at: r.now, ratio: 1e9})
		}
	case ResultTimeout, ResultCancelled:
		m.endedSilence, m.nextTrialAt = max(m.endedSilence, r.attemptSilence(a)), r.now+trialInterval/2 // its next place is no trial here
		r.recordLatency(m, latencySample{at: r.now, ratio: ratio, censored: true})
	case ResultOverCapacity: // a jam, and no proof of service: a hung member fills up too
		r.recordLatency(m, latencySample{at: r.now, ratio: 1e9})
	case ResultConnectFailed, ResultReset: // no sign of load: must not feed admission
		m.failures, m.nextTrialAt = m.failures+1, r.now+trialInterval/2
		if o.Result == ResultConnectFailed {
			m.connectFailures++
		}
	}
}

// observeReport takes a report. Its position dates it: a role that it tells counts only if the position is past
// that of what is known. That guards against reports that come seconds late.
func (r *Router) observeReport(m *memberState, p Report) {
	if p.HasPosition && p.Role != RoleUnknown && p.Position > m.rolePosition {
		r.observeRole(m, p.Role, p.Position)
	}
	if p.HasPosition && p.Position > m.position {
		m.position, m.positionAt = p.Position, r.now
	}
}

// observeRole takes a dated claim; a newer primary unmakes the older one.
func (r *Router) observeRole(m *memberState, role Role, date int64) {
	for _, x := range m.group.members {
		if both := role == RolePrimary && x != m && x.role == RolePrimary; both && x.rolePosition > date {
			return
		} else if both {
			x.role = RoleUnknown
		}
	}
	m.role, m.rolePosition = role, date
}

// hear ends all doubts of a member: it has answered. One that was down is cold from now: that guards against
// pushing over a member whose restart the list tells late or never.
func (r *Router) observeAnswer(m *memberState, opened time.Duration) {
	kept := m.role == RoleReplica && r.positionAt(r.now)-m.position < maxReplicaLagMillis
	away := r.now-m.answeredAt >= minRestartSilence
	died := m.down || m.zoneState.Condemned(m.answeredAt) // what went with its zone may have started anew
	listed := m.startedAt > m.answeredAt                  // and this is the start that the list has told
	if m.survivedZoneLoss(opened) {
		if died = false; m.answeredBeforeZoneLoss > 0 {
			m.startedAt, m.answeredBeforeZoneLoss = m.previousStartedAt, 0
		}
	} else if away && m.zoneState.Condemned(m.answeredAt) {
		m.previousStartedAt, m.answeredBeforeZoneLoss = m.startedAt, m.answeredAt
	}
	if away && !listed && (died || m.failures >= maxFailures && !kept && r.now >= r.connectionShortageUntil) {
		m.startedAt, m.latencyWindow, m.tokensAt = r.now, nil, 0
	} else if m.connectFailures > 0 && kept && !away { // else it may have been cut off
		r.connectionShortageUntil = r.now + connectionShortageDuration // it ran all the time, so it was short of connections
	}
	m.answeredAt, m.failures, m.connectFailures, m.endedSilence, m.down = r.now, 0, 0, 0, false
}

// suspect says that a member is silent or out of reach. Silence is measured on the attempts that it
// surely works on: one rule covers a hang, a cut and a crawl, at any load; it ends with the first answer.
func (r *Router) unhealthy(m *memberState) bool {
	broken := m.failures >= maxFailures && r.now-m.answeredAt >= failureGracePeriod
	return m.zoneState.Condemned(m.answeredAt) || broken || m.connectFailures >= maxFailures || r.silence(m) > maxSilence
}

// silence is the longest of a member's attempts without an answer, in times usual.
func (r *Router) silence(m *memberState) float64 {
	lost := m.endedSilence
	for _, a := range m.inFlight[:min(len(m.inFlight), assumedConcurrency)] {
		lost = max(lost, r.attemptSilence(a))
	}
	return lost
}

// missing is how long an attempt has been out with its member silent, in times usual.
func (r *Router) attemptSilence(a *attemptState) float64 {
	return float64(r.now-max(a.sentAt, a.member.answeredAt, r.resumedAt)) / float64(a.expectedLatency)
}
