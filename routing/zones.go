package routing

import (
	"slices"
	"time"

	"cranegate/internal/zones"
)

// Zones returns the state of the zones, or nil if the health of zones is not evaluated. It must be used from
// the goroutine that calls the Router.
func (r *Router) Zones() *zones.Zones { return r.zones }

// zoneState returns the state of a zone, or nil if the health of zones is not evaluated.
func (r *Router) zoneState(name string) *zones.Zone {
	if r.zones == nil {
		return nil
	}
	return r.zones.Zone(name)
}

// evaluateZones updates the health of the zones from the state of their members.
func (r *Router) evaluateZones() {
	if r.zones == nil {
		return
	}
	r.zones.BeginRound(r.now)
	for _, member := range r.sortedMembers {
		if member.usable {
			r.zones.Observe(member.zoneState, r.zoneObservation(member))
		}
	}
	r.zones.EndRound()
	for _, change := range r.zones.Changes() {
		r.gateway.ZoneChanged(change)
	}
}

// zoneObservation returns what a member contributes to the health of its zone.
func (r *Router) zoneObservation(member *memberState) zones.Observation {
	observation := zones.Observation{
		LastHeard:       max(member.answeredAt, member.healthCheckAnsweredAt),
		Silence:         r.silence(member),
		Pending:         len(member.inFlight) > 0 || member.endedSilence > 0 || member.failures > 0,
		Broken:          member.failures > 0 && r.now-member.answeredAt >= failureGracePeriod,
		Unhealthy:       r.unhealthy(member),
		Capacity:        member.capacity,
		UnansweredFor:   r.healthCheckSilence(member),
		ExpectedLatency: slices.Min(r.expectedLatency),
	}
	if !observation.Unhealthy {
		observation.UsableCapacity = member.capacity * r.slowStartWeight(member)
	}
	return observation
}

// recordHealthCheck records a successful health check. Others are ignored.
func (r *Router) recordHealthCheck(member *memberState, check HealthCheckResult) {
	if check.Result != ResultOK {
		return
	}
	member.healthCheckAnsweredAt = r.now
	member.unansweredCheckAt = 0
	member.zoneState.ObserveRTT(check.Latency)
}

// healthCheckSent records the time of a health check if it is the first one since the member's last answer.
func (m *memberState) healthCheckSent(now time.Duration) {
	if m.unansweredCheckAt <= m.answeredAt {
		m.unansweredCheckAt = now
	}
}

// healthCheckSilence returns how long a member's health checks have been unanswered, or 0 if the member has
// answered since.
func (r *Router) healthCheckSilence(member *memberState) time.Duration {
	if member.unansweredCheckAt == 0 || member.unansweredCheckAt <= member.answeredAt {
		return 0
	}
	return r.now - max(member.unansweredCheckAt, r.resumedAt)
}

// recordZoneAnswer records that a member's zone has answered an attempt.
func (r *Router) recordZoneAnswer(attempt *attemptState, result Result) {
	if r.zones == nil {
		return
	}
	switch result {
	case ResultTimeout, ResultCancelled, ResultConnectFailed, ResultReset, ResultNotSent:
		return
	}
	r.zones.Reinstate(attempt.member.zoneState, attempt.sentAt)
}

// discardTierDraw discards the tier that was drawn for the previous read.
func (r *Router) discardTierDraw() {
	if r.zones != nil {
		r.zones.DiscardDraw()
	}
}

// countPlacement counts the tier of an attempt that was sent, unless it searches for the primary.
func (r *Router) countPlacement(attempt *attemptState) {
	if r.zones == nil || attempt == nil {
		return
	}
	if !attempt.request.needsPrimary || attempt.member == attempt.request.group.primary() {
		r.zones.RecordRoute(attempt.member.zoneState.Tier())
	}
}

// survivedZoneLoss reports whether a connection that was established before an outage of a member's zone
// carries an answer since. If so, the process has survived, and only the network was partitioned. The answer
// may also arrive after the zone has recovered.
func (m *memberState) survivedZoneLoss(connectedAt time.Duration) bool {
	lastAnswer := m.answeredBeforeZoneLoss
	if m.zoneState.MemberDown(m.answeredAt) {
		lastAnswer = m.answeredAt
	} else if lastAnswer == 0 {
		return false
	}
	return connectedAt > 0 && connectedAt <= lastAnswer
}

// undoZoneLoss restores the start time of a member whose process has survived the outage of its zone.
func (m *memberState) undoZoneLoss() {
	if m.answeredBeforeZoneLoss > 0 {
		m.startedAt = m.previousStartedAt
		m.answeredBeforeZoneLoss = 0
	}
}

// healthCheckConn returns which connection the next health check uses: a new one while the member is down
// with its zone, so that idle ones are kept, and the oldest as soon as the zone has recovered, which shows
// whether the process has survived.
func (m *memberState) healthCheckConn() ConnPolicy {
	if m.zoneState.MemberDown(m.answeredAt) {
		return ConnNew
	}
	if m.answeredBeforeZoneLoss > 0 && m.healthCheckSentAt <= m.answeredAt {
		return ConnOldest
	}
	return ConnAny
}
