package routing

import (
	"slices"
	"time"

	"cranegate/internal/zones"
)

// This file brings what is known of members to the zones; what follows from it is decided there and in the files of decisions.

// seen notes the end of a probe.
func (r *Router) seen(m *member, p HealthCheckResult) {
	if p.Result == ResultOK {
		m.seenAt, m.askedAt = r.now, 0
		m.at.ObserveRTT(p.Latency)
	}
}

// ask notes that a probe goes out: the first since the member was last heard, or since one was answered, counts.
func (m *member) ask(now time.Duration) {
	if m.askedAt <= m.heardAt {
		m.askedAt = now
	}
}

// mute is how long a member's probes have gone unanswered. A member that answers requests meanwhile is not mute.
func (r *Router) mute(m *member) time.Duration {
	if m.askedAt == 0 || m.askedAt <= m.heardAt {
		return 0
	}
	return r.now - max(m.askedAt, r.awakeAt)
}

// lookZones has the zones judged by what is known of their members.
func (r *Router) lookZones() {
	if r.zones == nil {
		return
	}
	r.zones.BeginRound(r.now)
	for _, m := range r.sorted {
		if m.usable {
			e := zones.Observation{LastHeard: max(m.heardAt, m.seenAt), Silence: r.silence(m), Pending: len(m.out) > 0 || m.lost > 0 || m.failed > 0,
				Broken: m.failed > 0 && r.now-m.heardAt >= heardLately, Unhealthy: r.suspect(m), Capacity: m.size,
				UnansweredFor: r.mute(m), ExpectedLatency: slices.Min(r.usual)}
			if !e.Unhealthy {
				e.UsableCapacity = m.size * r.warmth(m)
			}
			r.zones.Observe(m.at, e)
		}
	}
	r.zones.EndRound()
	for _, c := range r.zones.Changes() {
		r.gw.ZoneChanged(c)
	}
}

// zone is a member's zone; nil where zones are not judged.
func (r *Router) zone(name string) *zones.Zone {
	if r.zones == nil {
		return nil
	}
	return r.zones.Zone(name)
}

// forgetZones drops what was drawn for the placing before.
func (r *Router) forgetZones() {
	if r.zones != nil {
		r.zones.DiscardDraw()
	}
}

// placed counts where a request went, unless that was a search for the primary.
func (r *Router) placed(a *attempt) {
	if r.zones != nil && a != nil && (!a.q.atPrimary || a.m == a.q.group.primary()) {
		r.zones.RecordRoute(a.m.at.Tier())
	}
}

// spare notes that a member's zone has answered an attempt.
func (r *Router) spare(a *attempt, result Result) {
	if r.zones != nil && result != ResultTimeout && result != ResultCancelled && !away(result) {
		r.zones.Reinstate(a.m.at, a.sentAt)
	}
}

// away says that a result shows nothing of a member but that it could not be reached.
func away(r Result) bool { return r == ResultConnectFailed || r == ResultReset || r == ResultNotSent }

// Zones is what is held of zones; nil where they are not judged. Only the module's actor may use it.
func (r *Router) Zones() *zones.Zones { return r.zones }

// lived says that a connection that came up before a member went with its zone has brought an answer since: the process
// has lived on, and only the network was cut.
func (m *member) lived(opened time.Duration) bool {
	if m.at.MemberDown(m.heardAt) {
		return opened > 0 && opened <= m.heardAt
	}
	return m.awayAt > 0 && opened > 0 && opened <= m.awayAt // the answer may also come after the zone is back
}

// probeBy is the connection of the next probe: a new one while the member is away, so that idle ones are kept, and the
// oldest as soon as it is back, which shows whether it has lived on.
func (m *member) probeBy() Conn {
	switch {
	case m.at.MemberDown(m.heardAt):
		return ConnNew
	case m.awayAt > 0 && m.probedAt <= m.heardAt:
		return ConnOldest
	}
	return ConnAny
}
