package routing

import "time"

const askAgain = 500 * time.Millisecond // first wait after a failed call to discovery, then doubled

// Members takes news of the list. A drain stops sends at once.
func (r *Router) UpdateEndpoints(now time.Duration, l EndpointList) {
	r.wake(now)
	if l.Kind == EndpointListFailed {
		r.asking, r.followed = false, false
		r.askAfter = min(2*r.askAfter, max(r.cfg.MaxPollInterval/2, askAgain))
		return
	}
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		seen[e.Member] = true
		r.entry(e, l.Kind)
	}
	for _, m := range r.sorted {
		if l.Kind != EndpointListPatch && !seen[m.id] {
			r.gone(m)
		}
	}
	if r.asking = false; r.listed {
		r.followed, r.askAfter = true, askAgain
		return
	}
	r.listed = true
	r.followList()
	r.probeAll()
}

// entry takes one line of the list.
func (r *Router) entry(e Endpoint, kind EndpointListKind) {
	m := r.members[e.Member]
	if e.Phase == PhaseRemoved {
		r.gone(m)
		return
	}
	if m == nil {
		m = &member{id: e.Member, group: r.groupOf(e.Group), heardAt: r.now}
		r.members[m.id] = m
		r.sorted, m.group.members = insert(r.sorted, m), insert(m.group.members, m)
	}
	if m.was = max(m.was, e.StartedAt); e.StartedAt > m.startedAt {
		m.failed, m.lost, m.window, m.creditAt, m.down = 0, 0, nil, 0, false // a new process
	}
	drained := e.Phase == PhaseDraining || m.drained && e.StartedAt <= m.startedAt // no old list undoes it
	m.zone, m.at, m.size, m.startedAt = e.Zone, r.zone(e.Zone), e.Capacity, max(e.StartedAt, m.startedAt)
	m.usable, m.drained = e.Phase == PhaseServing && !drained, drained
	r.hint(m, e.Primary, kind)
}

// hint takes the list's word on the primary: only news of it counts, only where the role follows, and only
// while no primary is known that answers; answers and reports are newer.
func (r *Router) hint(m *member, leader bool, kind EndpointListKind) {
	told := r.cfg.RoleSource == RoleSourceDelayed || r.cfg.RoleSource == RoleSourceInitial && kind == EndpointListStale
	news := told && leader && !m.leader
	m.leader = leader
	if p := m.group.primary(); news && p == nil && m.role == RoleUnknown {
		m.role = RolePrimary
	} else if news && p != nil && p != m && r.suspect(p) {
		r.learnRole(m, RolePrimary, p.roleDate+1)
	}
}

const goneKept = 60 * time.Second // an unlisted member is forgotten when silent this long

// gone takes a member off the list. Where only draining binds, one that was never drained may still be used.
func (r *Router) gone(m *member) {
	if m == nil || r.cfg.OnlyDrainingBinds && !m.drained && (r.now-m.heardAt < goneKept || !r.suspect(m)) {
		return
	}
	m.usable = false
	delete(r.members, m.id)
	r.sorted, m.group.members = remove(r.sorted, m), remove(m.group.members, m)
}

// followList keeps a subscription where the list comes only to those who ask.
func (r *Router) followList() {
	due := r.askedAt == 0 || r.now-r.askedAt >= r.askAfter
	if r.cfg.Subscribe && r.listed && due && !r.asking && !r.followed {
		r.asking, r.askedAt = true, r.now
		r.gw.Subscribe(true)
	}
}
