package routing

import "time"

// primary is the usable member last told to be primary.
func (g *groupState) primary() *memberState {
	for _, m := range g.members {
		if m.role == RolePrimary && m.usable {
			return m
		}
	}
	return nil
}

const primarySearchInterval = 500 * time.Millisecond // after a round of misses: a switch takes at least that long

// choosePrimary finds the place for a write or a fresh read; nil holds it. Without a primary a write tries
// members in order of ids, with a pause after each round, one at a time: many would fall into one hole.
func (r *Router) choosePrimary(q *requestState) *memberState {
	g, p := q.group, q.group.primary()
	if p != nil && r.eligible(q, p) && (!r.unhealthy(p) || r.allowTrial(q, p)) {
		return p
	}
	g.primaryWantedAt = r.now
	if q.class.Consistency != ConsistencyWrite || p != nil && !r.unhealthy(p) || g.searchAttempt != nil || r.now < g.nextSearchAt {
		return nil
	}
	for g.searchIndex < len(g.members) {
		m := g.members[g.searchIndex]
		if g.searchIndex++; m != p && !r.unhealthy(m) && r.eligible(q, m) {
			return m
		}
	}
	g.searchIndex, g.nextSearchAt = 0, r.now+primarySearchInterval
	return nil
}

const trialInterval = time.Second // one trial read a suspect member: bounds what a hang can eat

// trial lets one request through to a suspect member now and then, so that it can come back: one that may
// be repeated, or any where connections fail, as it hardly gets written then.
func (r *Router) allowTrial(q *requestState, m *memberState) bool {
	if q.class.Effect != Idempotent && m.connectFailures < maxFailures ||
		r.now < m.nextTrialAt || r.now+4**q.expectedLatency > q.usefulUntil ||
		r.cfg.AllowHealthChecks && m.zoneState.Condemned(m.healthCheckAnsweredAt) { // probes cost clients nothing
		return false
	}
	m.nextTrialAt = r.now + trialInterval
	return true
}
