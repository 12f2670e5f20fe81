package routing

import "time"

// primary is the usable member last told to be primary.
func (g *group) primary() *member {
	for _, m := range g.members {
		if m.role == RolePrimary && m.usable {
			return m
		}
	}
	return nil
}

const pauseSearch = 500 * time.Millisecond // after a round of misses: a switch takes at least that long

// choosePrimary finds the place for a write or a fresh read; nil holds it. Without a primary a write tries
// members in order of ids, with a pause after each round, one at a time: many would fall into one hole.
func (r *Router) choosePrimary(q *request) *member {
	g, p := q.group, q.group.primary()
	if p != nil && r.legal(q, p) && (!r.suspect(p) || r.trial(q, p)) {
		return p
	}
	g.soughtAt = r.now
	if q.class.Consistency != ConsistencyWrite || p != nil && !r.suspect(p) || g.seeking != nil || r.now < g.searchAt {
		return nil
	}
	for g.next < len(g.members) {
		m := g.members[g.next]
		if g.next++; m != p && !r.suspect(m) && r.legal(q, m) {
			return m
		}
	}
	g.next, g.searchAt = 0, r.now+pauseSearch
	return nil
}

const trialGap = time.Second // one trial read a suspect member: bounds what a hang can eat

// trial lets one request through to a suspect member now and then, so that it can come back: one that may
// be repeated, or any where connections fail, as it hardly gets written then.
func (r *Router) trial(q *request, m *member) bool {
	if q.class.Effect != Idempotent && m.shut < failuresMax ||
		r.now < m.trialAt || r.now+4**q.usual > q.limit ||
		r.cfg.AllowHealthChecks && m.at.MemberDown(m.seenAt) { // probes cost clients nothing
		return false
	}
	m.trialAt = r.now + trialGap
	return true
}
