package routing

import "time"

const minSubscribeBackoff = 500 * time.Millisecond // first wait after a failed call to discovery, then doubled

// Members takes news of the list. A drain stops sends at once.
func (r *Router) UpdateEndpoints(now time.Duration, l EndpointList) {
	r.advanceClock(now)
	if l.Kind == EndpointListFailed {
		r.subscribing, r.subscribed = false, false
		r.subscribeBackoff = min(2*r.subscribeBackoff, max(r.cfg.MaxPollInterval/2, minSubscribeBackoff))
		return
	}
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		seen[e.Member] = true
		r.updateEndpoint(e, l.Kind)
	}
	for _, m := range r.sortedMembers {
		if l.Kind != EndpointListPatch && !seen[m.id] {
			r.removeEndpoint(m)
		}
	}
	if r.subscribing = false; r.hasEndpoints {
		r.subscribed, r.subscribeBackoff = true, minSubscribeBackoff
		return
	}
	r.hasEndpoints = true
	r.keepSubscribed()
	r.sendHealthChecks()
}

// entry takes one line of the list.
func (r *Router) updateEndpoint(e Endpoint, kind EndpointListKind) {
	m := r.members[e.Member]
	if e.Phase == PhaseRemoved {
		r.removeEndpoint(m)
		return
	}
	if m == nil {
		m = &memberState{id: e.Member, group: r.findGroup(e.Group), answeredAt: r.now}
		r.members[m.id] = m
		r.sortedMembers, m.group.members = insertMember(r.sortedMembers, m), insertMember(m.group.members, m)
	}
	if m.previousStartedAt = max(m.previousStartedAt, e.StartedAt); e.StartedAt > m.startedAt {
		m.failures, m.endedSilence, m.latencyWindow, m.tokensAt, m.down = 0, 0, nil, 0, false // a new process
	}
	drained := e.Phase == PhaseDraining || m.draining && e.StartedAt <= m.startedAt // no old list undoes it
	m.zone, m.zoneState, m.capacity, m.startedAt = e.Zone, r.zoneState(e.Zone), e.Capacity, max(e.StartedAt, m.startedAt)
	m.usable, m.draining = e.Phase == PhaseServing && !drained, drained
	r.observeListedRole(m, e.Primary, kind)
}

// hint takes the list's word on the primary: only news of it counts, only where the role follows, and only
// while no primary is known that answers; answers and reports are newer.
func (r *Router) observeListedRole(m *memberState, leader bool, kind EndpointListKind) {
	told := r.cfg.RoleSource == RoleSourceDelayed || r.cfg.RoleSource == RoleSourceInitial && kind == EndpointListStale
	news := told && leader && !m.listedPrimary
	m.listedPrimary = leader
	if p := m.group.primary(); news && p == nil && m.role == RoleUnknown {
		m.role = RolePrimary
	} else if news && p != nil && p != m && r.unhealthy(p) {
		r.observeRole(m, RolePrimary, p.rolePosition+1)
	}
}

const unlistedMemberTTL = 60 * time.Second // an unlisted member is forgotten when silent this long

// gone takes a member off the list. Where only draining binds, one that was never drained may still be used.
func (r *Router) removeEndpoint(m *memberState) {
	if m == nil || r.cfg.UseRemovedMembers && !m.draining && (r.now-m.answeredAt < unlistedMemberTTL || !r.unhealthy(m)) {
		return
	}
	m.usable = false
	delete(r.members, m.id)
	r.sortedMembers, m.group.members = removeMember(r.sortedMembers, m), removeMember(m.group.members, m)
}

// keepSubscribed keeps a subscription where the list comes only to those who ask.
func (r *Router) keepSubscribed() {
	due := r.subscribeSentAt == 0 || r.now-r.subscribeSentAt >= r.subscribeBackoff
	if r.cfg.Subscribe && r.hasEndpoints && due && !r.subscribing && !r.subscribed {
		r.subscribing, r.subscribeSentAt = true, r.now
		r.gateway.Subscribe(true)
	}
}
