package routing

import "time"

const (
	maxSilence  = 5.0 // in expected latencies; exponential latencies exceed it with a probability of e^-5
	maxFailures = 2   // consecutive failed connects or broken connections

	minRestartSilence  = time.Second            // a member that answered within this time has not restarted
	failureGracePeriod = 150 * time.Millisecond // after an answer, in which failures are no outage

	maxReplicaLagMillis = 300 // a lag up to this is normal: replication or a report's age explains it

	// connectionShortageDuration is how long members are presumed to lack free connections after a sign of
	// it. Meanwhile idle connections are closed, and failures are no sign of a restart.
	connectionShortageDuration = 5 * time.Second
)

// observeAnswer records that a member has answered, which clears its failures and its silence. The member
// counts as restarted and begins its slow start now if it had not answered for minRestartSilence, the
// endpoint list has reported no start since, and it was down, was lost with its zone or had maxFailures. The
// list may report a restart late or never. Members known to have run all the time are excepted.
func (r *Router) observeAnswer(member *memberState, connectedAt time.Duration) {
	// The position of this answer has been recorded already.
	caughtUp := member.role == RoleReplica && r.positionAt(r.now)-member.position < maxReplicaLagMillis
	longSilent := r.now-member.answeredAt >= minRestartSilence
	lostWithZone := member.zoneState.MemberDown(member.answeredAt)
	startIsListed := member.startedAt > member.answeredAt
	restarted := member.down || lostWithZone
	if member.survivedZoneLoss(connectedAt) {
		restarted = false
		member.undoZoneLoss()
	} else if longSilent && lostWithZone {
		member.previousStartedAt = member.startedAt
		member.answeredBeforeZoneLoss = member.answeredAt
	}
	// A replica that has kept up was running all the time. During a connection shortage, failures are no sign
	// of a restart.
	failed := member.failures >= maxFailures && !caughtUp && r.now >= r.connectionShortageUntil
	if longSilent && !startIsListed && (restarted || failed) {
		member.startedAt = r.now
		member.latencyWindow = nil
		member.tokensAt = 0
	} else if member.connectFailures > 0 && caughtUp && !longSilent {
		// The member was running and reachable all the time, so it had no free connections.
		r.connectionShortageUntil = r.now + connectionShortageDuration
	}
	member.answeredAt = r.now
	member.failures = 0
	member.connectFailures = 0
	member.endedSilence = 0
	member.down = false
}

// unhealthy reports whether a member is silent, failing or unreachable, or was lost with its zone. Silence is
// measured on attempts that are presumably not queued, so that one rule covers a hang, a network partition
// and a slowdown at any load. The first answer ends the silence. A member that answered within
// failureGracePeriod is running although connections broke; failed connects show that it accepts no new ones.
func (r *Router) unhealthy(member *memberState) bool {
	failing := member.failures >= maxFailures && r.now-member.answeredAt >= failureGracePeriod
	unreachable := member.connectFailures >= maxFailures
	lostWithZone := member.zoneState.MemberDown(member.answeredAt)
	return lostWithZone || failing || unreachable || r.silence(member) > maxSilence
}

// silence returns the longest time for which one of a member's attempts has been unanswered, in expected
// latencies. endedSilence covers the attempts that have ended. Of those in flight only the first
// assumedConcurrency count; they may still wait for a connection.
func (r *Router) silence(member *memberState) float64 {
	longest := member.endedSilence
	for _, attempt := range member.inFlight[:min(len(member.inFlight), assumedConcurrency)] {
		longest = max(longest, r.attemptSilence(attempt))
	}
	return longest
}

// attemptSilence returns how long an attempt has been in flight without any answer of its member, in expected
// latencies. It counts from the sending of the attempt, from the member's last answer or from resumedAt,
// whichever is latest.
func (r *Router) attemptSilence(attempt *attemptState) float64 {
	since := max(attempt.sentAt, attempt.member.answeredAt, r.resumedAt)
	return float64(r.now-since) / float64(attempt.expectedLatency)
}
