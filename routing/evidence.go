package routing

import (
	"cmp"
	"time"
)

const (
	silenceLimit, failuresMax = 5.0, 2 // times usual in silence (a live one's: e^-5); breaks in a row

	awayAtLeast, heardLately = time.Second, 150 * time.Millisecond // no restart or death shows so soon

	laggard  = 300             // ms behind that neither shipping nor old reports explain
	tightFor = 5 * time.Second // idle connections are shut, after a sign that members lack them

	usualGain, usualClip = 0.03, 4.0         // weight of one answer in what is usual; its bound
	workGain, workOver   = 0.25, time.Minute // work is near the shortest round trips; others queue

	sessionsKept = 100000 // remembered session marks, the oldest dropped first: bounds memory
)

// learn takes what an attempt's end tells of its member.
func (r *Router) learn(a *attempt, o Outcome) {
	m, ratio := a.m, float64(o.Latency)/float64(a.usual)
	r.learnReport(m, o.Report)
	r.learnReport(m, Report{HasPosition: true, Position: o.Position}) // its role is dated below
	role, date := o.Role, cmp.Or(o.Position, r.ms(r.now))
	if o.Result == ResultMissed && a.q.class.Consistency == ConsistencyWrite {
		role = RoleReplica // it turns writes away, whatever it says
	}
	if role != RoleUnknown {
		r.learnRole(m, role, max(date, m.roleDate))
	}
	r.spare(a, o.Result)
	switch o.Result {
	case ResultOK:
		r.hear(m, o.Opened)
		m.group.vain -= vainGain * m.group.vain
		r.flowed(m, a.work)
		r.addSample(m, sample{at: r.now, ratio: ratio})
		u := a.q.usual
		w, since := &r.work[a.q.Class], float64(r.now-r.workAt[a.q.Class])/float64(workOver)
		r.workAt[a.q.Class] = r.now
		*w = min(*w+time.Duration(since*float64(*w)), r.usual[a.q.Class])
		*w -= time.Duration(workGain * float64(max(0, *w-o.Latency)))
		*u += time.Duration(usualGain * (min(ratio, usualClip)*float64(a.usual) - float64(*u)))
		if r.cfg.LocalSessions && a.q.class.Consistency == ConsistencyWrite && a.q.Session != "" && o.Position > 0 {
			r.marks.put(a.q.Session, o.Position, sessionsKept)
		}
	case ResultMissed, ResultError, ResultInvalidStatement, ResultMalformed: // the last are no sign of load
		if r.hear(m, o.Opened); o.Result == ResultError {
			r.addSample(m, sample{at: r.now, ratio: 1e9})
		}
	case ResultTimeout, ResultCancelled:
		m.lost, m.trialAt = max(m.lost, r.missing(a)), r.now+trialGap/2 // its next place is no trial here
		r.addSample(m, sample{at: r.now, ratio: ratio, censored: true})
	case ResultOverCapacity: // a jam, and no proof of service: a hung member fills up too
		r.addSample(m, sample{at: r.now, ratio: 1e9})
	case ResultConnectFailed, ResultReset: // no sign of load: must not feed admission
		m.failed, m.trialAt = m.failed+1, r.now+trialGap/2
		if o.Result == ResultConnectFailed {
			m.shut++
		}
	}
}

// learnReport takes a report. Its position dates it: a role that it tells counts only if the position is past
// that of what is known. That guards against reports that come seconds late.
func (r *Router) learnReport(m *member, p Report) {
	if p.HasPosition && p.Role != RoleUnknown && p.Position > m.roleDate {
		r.learnRole(m, p.Role, p.Position)
	}
	if p.HasPosition && p.Position > m.position {
		m.position, m.posAt = p.Position, r.now
	}
}

// learnRole takes a dated claim; a newer primary unmakes the older one.
func (r *Router) learnRole(m *member, role Role, date int64) {
	for _, x := range m.group.members {
		if both := role == RolePrimary && x != m && x.role == RolePrimary; both && x.roleDate > date {
			return
		} else if both {
			x.role = RoleUnknown
		}
	}
	m.role, m.roleDate = role, date
}

// hear ends all doubts of a member: it has answered. One that was down is cold from now: that guards against
// pushing over a member whose restart the list tells late or never.
func (r *Router) hear(m *member, opened time.Duration) {
	kept := m.role == RoleReplica && r.ms(r.now)-m.position < laggard
	away := r.now-m.heardAt >= awayAtLeast
	died := m.down || m.at.MemberDown(m.heardAt) // what went with its zone may have started anew
	listed := m.startedAt > m.heardAt            // and this is the start that the list has told
	if m.lived(opened) {
		if died = false; m.awayAt > 0 {
			m.startedAt, m.awayAt = m.was, 0
		}
	} else if away && m.at.MemberDown(m.heardAt) {
		m.was, m.awayAt = m.startedAt, m.heardAt
	}
	if away && !listed && (died || m.failed >= failuresMax && !kept && r.now >= r.tightUntil) {
		m.startedAt, m.window, m.creditAt = r.now, nil, 0
	} else if m.shut > 0 && kept && !away { // else it may have been cut off
		r.tightUntil = r.now + tightFor // it ran all the time, so it was short of connections
	}
	m.heardAt, m.failed, m.shut, m.lost, m.down = r.now, 0, 0, 0, false
}

// suspect says that a member is silent or out of reach. Silence is measured on the attempts that it
// surely works on: one rule covers a hang, a cut and a crawl, at any load; it ends with the first answer.
func (r *Router) suspect(m *member) bool {
	broken := m.failed >= failuresMax && r.now-m.heardAt >= heardLately
	return m.at.MemberDown(m.heardAt) || broken || m.shut >= failuresMax || r.silence(m) > silenceLimit
}

// silence is the longest of a member's attempts without an answer, in times usual.
func (r *Router) silence(m *member) float64 {
	lost := m.lost
	for _, a := range m.out[:min(len(m.out), sureCores)] {
		lost = max(lost, r.missing(a))
	}
	return lost
}

// missing is how long an attempt has been out with its member silent, in times usual.
func (r *Router) missing(a *attempt) float64 {
	return float64(r.now-max(a.sentAt, a.m.heardAt, r.awakeAt)) / float64(a.usual)
}
