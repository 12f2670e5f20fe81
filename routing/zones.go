package routing

import (
	"slices"
	"time"

	"cranegate/internal/zones"
)

// This file brings what is known of members to the zones; what follows from it is decided there and in the files of decisions.

// seen notes the end of a probe.
func (r *Router) recordHealthCheck(m *memberState, p HealthCheckResult) {
	if p.Result == ResultOK {
		m.healthCheckAnsweredAt, m.unansweredCheckAt = r.now, 0
		m.zoneState.Timed(p.Latency)
	}
}

// ask notes that a probe goes out: the first since the member was last heard, or since one was answered, counts.
func (m *memberState) healthCheckSent(now time.Duration) {
	if m.unansweredCheckAt <= m.answeredAt {
		m.unansweredCheckAt = now
	}
}

// mute is how long a member's probes have gone unanswered. A member that answers requests meanwhile is not mute.
func (r *Router) healthCheckSilence(m *memberState) time.Duration {
	if m.unansweredCheckAt == 0 || m.unansweredCheckAt <= m.answeredAt {
		return 0
	}
	return r.now - max(m.unansweredCheckAt, r.resumedAt)
}

// judgeZones has the zones judged by what is known of their members.
func (r *Router) judgeZones() {
	if r.zones == nil {
		return
	}
	r.zones.Begin(r.now)
	for _, m := range r.sortedMembers {
		if m.usable {
			e := zones.Observation{Heard: max(m.answeredAt, m.healthCheckAnsweredAt), Silent: r.silence(m), Asked: len(m.inFlight) > 0 || m.endedSilence > 0 || m.failures > 0,
				Broken: m.failures > 0 && r.now-m.answeredAt >= failureGracePeriod, Suspect: r.unhealthy(m), Size: m.capacity,
				Mute: r.healthCheckSilence(m), Usual: slices.Min(r.expectedLatency)}
			if !e.Suspect {
				e.Usable = m.capacity * r.slowStartWeight(m)
			}
			r.zones.Observe(m.zoneState, e)
		}
	}
	r.zones.Settle()
	for _, c := range r.zones.Changes() {
		r.gateway.ZoneChanged(c)
	}
}

// zone is a member's zone; nil where zones are not judged.
func (r *Router) zoneState(name string) *zones.Zone {
	if r.zones == nil {
		return nil
	}
	return r.zones.Zone(name)
}

// forgetZoneDraw drops what was drawn for the placing before.
func (r *Router) forgetZoneDraw() {
	if r.zones != nil {
		r.zones.Forget()
	}
}

// placed counts where a request went, unless that was a search for the primary.
func (r *Router) countPlacement(a *attemptState) {
	if r.zones != nil && a != nil && (!a.request.needsPrimary || a.member == a.request.group.primary()) {
		r.zones.Placed(a.member.zoneState.Tier())
	}
}

// spare notes that a member's zone has answered an attempt.
func (r *Router) recordZoneAnswer(a *attemptState, result Result) {
	if r.zones != nil && result != ResultTimeout && result != ResultCancelled && !reachedNobody(result) {
		r.zones.Spare(a.member.zoneState, a.sentAt)
	}
}

// away says that a result shows nothing of a member but that it could not be reached.
func reachedNobody(r Result) bool {
	return r == ResultConnectFailed || r == ResultReset || r == ResultNotSent
}

// Zones is what is held of zones; nil where they are not judged. Only the module's actor may use it.
func (r *Router) Zones() *zones.Zones { return r.zones }

// lived says that a connection that came up before a member went with its zone has brought an answer since: the process
// has lived on, and only the network was cut.
func (m *memberState) survivedZoneLoss(opened time.Duration) bool {
	if m.zoneState.Condemned(m.answeredAt) {
		return opened > 0 && opened <= m.answeredAt
	}
	return m.answeredBeforeZoneLoss > 0 && opened > 0 && opened <= m.answeredBeforeZoneLoss // the answer may also come after the zone is back
}

// healthCheckConn is the connection of the next probe: a new one while the member is away, so that idle ones are kept, and the
// oldest as soon as it is back, which shows whether it has lived on.
func (m *memberState) healthCheckConn() ConnPolicy {
	switch {
	case m.zoneState.Condemned(m.answeredAt):
		return ConnNew
	case m.answeredBeforeZoneLoss > 0 && m.healthCheckSentAt <= m.answeredAt:
		return ConnOldest
	}
	return ConnAny
}
