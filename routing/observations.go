package routing

import (
	"cmp"
	"time"
)

const (
	latencyGain     = 0.03 // weight of one answer in its class's expected latency
	maxLatencyRatio = 4.0  // the most that an answer's latency ratio counts in the expected latency

	workGain = 0.25 // weight of an answer that took less than the expected work

	// workGrowthPeriod is the time in which the expected work doubles without such answers. The growth
	// compounds with each answer, to a factor of about e in this time if answers are frequent.
	workGrowthPeriod = time.Minute

	// unansweredGain is the weight of one request in its group's share of unanswered requests, which
	// observeSuccess lowers and advanceRequest raises.
	unansweredGain = 0.1

	// lateRatio is a latency ratio that is too long for any request.
	lateRatio = 1e9
)

// observe updates the state of the member, its zone and the class from the end of an attempt.
func (r *Router) observe(attempt *attemptState, outcome Outcome) {
	member := attempt.member
	ratio := float64(outcome.Latency) / float64(attempt.expectedLatency)
	r.observeReport(member, outcome.Report)
	r.observeReport(member, Report{HasPosition: true, Position: outcome.Position})
	r.observeAnsweredRole(attempt, outcome)
	r.recordZoneAnswer(attempt, outcome.Result)
	switch outcome.Result {
	case ResultOK:
		r.observeSuccess(attempt, outcome, ratio)
	case ResultMissed, ResultInvalidStatement, ResultMalformed: // no sign of load
		r.observeAnswer(member, outcome.ConnectedAt)
	case ResultError:
		r.observeAnswer(member, outcome.ConnectedAt)
		r.recordLatency(member, latencySample{at: r.now, ratio: lateRatio})
	case ResultTimeout, ResultCancelled:
		member.endedSilence = max(member.endedSilence, r.attemptSilence(attempt))
		member.nextTrialAt = r.now + trialInterval/2 // the request's retry must not be a trial of this member
		r.recordLatency(member, latencySample{at: r.now, ratio: ratio, censored: true})
	case ResultOverCapacity:
		// This is a sign of load, but not of health: an unresponsive member fills up too. Therefore it does
		// not count as an answer, which would clear failures and silence.
		r.recordLatency(member, latencySample{at: r.now, ratio: lateRatio})
	case ResultConnectFailed: // no sign of load: it must not cause load shedding
		member.failures++
		member.connectFailures++
		member.nextTrialAt = r.now + trialInterval/2
	case ResultReset: // no sign of load either
		member.failures++
		member.nextTrialAt = r.now + trialInterval/2
	}
}

// observeAnsweredRole records the role that an answer names. A member that rejects a write as ResultMissed is
// a replica, whatever role its answer names.
func (r *Router) observeAnsweredRole(attempt *attemptState, outcome Outcome) {
	role := outcome.Role
	if outcome.Result == ResultMissed && attempt.request.class.Consistency == ConsistencyWrite {
		role = RoleReplica
	}
	if role == RoleUnknown {
		return
	}
	position := cmp.Or(outcome.Position, r.positionAt(r.now))
	r.observeRole(attempt.member, role, max(position, attempt.member.rolePosition))
}

// observeSuccess records a successful attempt. The ratio is its latency divided by the expected latency.
func (r *Router) observeSuccess(attempt *attemptState, outcome Outcome, ratio float64) {
	req, member := attempt.request, attempt.member
	r.observeAnswer(member, outcome.ConnectedAt)
	member.group.unansweredShare -= unansweredGain * member.group.unansweredShare
	r.recordThroughput(member, attempt.work)
	r.recordLatency(member, latencySample{at: r.now, ratio: ratio})
	r.updateExpectedWork(req.Class, outcome.Latency)
	expected := req.expectedLatency
	bounded := min(ratio, maxLatencyRatio) * float64(attempt.expectedLatency)
	*expected += time.Duration(latencyGain * (bounded - float64(*expected)))
	isWrite := req.class.Consistency == ConsistencyWrite
	if r.cfg.LocalSessions && isWrite && req.Session != "" && outcome.Position > 0 {
		r.sessionMarks.put(req.Session, outcome.Position, maxSessionMarks)
	}
}

// updateExpectedWork updates the expected work of a class. It follows the shortest latencies, because others
// include queueing.
func (r *Router) updateExpectedWork(class int, latency time.Duration) {
	work := &r.expectedWork[class]
	periods := float64(r.now-r.workUpdatedAt[class]) / float64(workGrowthPeriod)
	r.workUpdatedAt[class] = r.now
	*work = min(*work+time.Duration(periods*float64(*work)), r.expectedLatency[class])
	*work -= time.Duration(workGain * float64(max(0, *work-latency)))
}

// observeReport records a member's report. Reports may arrive seconds late. Therefore the reported role
// counts only if the reported position is higher than the position as of which the role is known.
func (r *Router) observeReport(member *memberState, report Report) {
	if !report.HasPosition {
		return
	}
	if report.Role != RoleUnknown && report.Position > member.rolePosition {
		r.observeRole(member, report.Role, report.Position)
	}
	if report.Position > member.position {
		member.position = report.Position
		member.positionReportedAt = r.now
	}
}

// observeRole records a member's role as of a position. If two members of a group are reported as the
// primary, the one with the higher position counts as the primary. At equal positions it is the one reported
// last.
func (r *Router) observeRole(member *memberState, role Role, position int64) {
	for _, other := range member.group.members {
		if role != RolePrimary || other == member || other.role != RolePrimary {
			continue
		}
		if other.rolePosition > position {
			return
		}
		other.role = RoleUnknown
	}
	member.role = role
	member.rolePosition = position
}
