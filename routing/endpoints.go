package routing

import "time"

const (
	// minSubscribeBackoff is the initial time between two calls to subscribe. Each failure doubles the time,
	// up to half of Config.MaxPollInterval.
	minSubscribeBackoff = 500 * time.Millisecond

	// unlistedMemberTTL is how long after its last answer an unhealthy member is kept though the endpoint
	// list no longer contains it. This is checked only when a message of the list arrives.
	unlistedMemberTTL = 60 * time.Second
)

// UpdateEndpoints handles a message of the endpoint list. From then on, draining members are sent nothing,
// and neither are removed members, unless Config.UseRemovedMembers allows it.
func (r *Router) UpdateEndpoints(now time.Duration, list EndpointList) {
	r.advanceClock(now)
	r.subscribing = false
	if list.Kind == EndpointListFailed {
		r.subscribed = false
		r.subscribeBackoff = min(2*r.subscribeBackoff, max(r.cfg.MaxPollInterval/2, minSubscribeBackoff))
		return
	}
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Member] = true
		r.updateEndpoint(endpoint, list.Kind)
	}
	for _, member := range r.sortedMembers {
		if list.Kind != EndpointListPatch && !listed[member.id] {
			r.removeEndpoint(member)
		}
	}
	if r.hasEndpoints {
		r.subscribed = true
		r.subscribeBackoff = minSubscribeBackoff
		return
	}
	r.hasEndpoints = true
	r.keepSubscribed()
	r.sendHealthChecks()
}

// updateEndpoint applies one endpoint of a message.
func (r *Router) updateEndpoint(endpoint Endpoint, kind EndpointListKind) {
	member := r.members[endpoint.Member]
	if endpoint.Phase == PhaseRemoved {
		r.removeEndpoint(member)
		return
	}
	if member == nil {
		member = r.addMember(endpoint)
	}
	member.previousStartedAt = max(member.previousStartedAt, endpoint.StartedAt)
	restarted := endpoint.StartedAt > member.startedAt
	if restarted {
		member.resetForNewProcess()
	}
	// An outdated list must not undo the draining of the same process.
	draining := endpoint.Phase == PhaseDraining || member.draining && !restarted
	member.zone = endpoint.Zone
	member.zoneState = r.zoneState(endpoint.Zone)
	member.capacity = endpoint.Capacity
	member.startedAt = max(endpoint.StartedAt, member.startedAt)
	member.draining = draining
	member.usable = endpoint.Phase == PhaseServing && !draining
	r.observeListedRole(member, endpoint.Primary, kind)
}

// addMember adds a member that is new on the list.
func (r *Router) addMember(endpoint Endpoint) *memberState {
	member := &memberState{id: endpoint.Member, group: r.findGroup(endpoint.Group), answeredAt: r.now}
	r.members[member.id] = member
	r.sortedMembers = insertMember(r.sortedMembers, member)
	member.group.members = insertMember(member.group.members, member)
	return member
}

// resetForNewProcess clears what was observed of a member's previous process: failures, silence, latencies,
// slow-start tokens and being down. The role and position stay, and connectFailures stays until an answer.
func (m *memberState) resetForNewProcess() {
	m.failures = 0
	m.endedSilence = 0
	m.latencyWindow = nil
	m.tokensAt = 0
	m.down = false
}

// observeListedRole takes the primary from the endpoint list. Answers and reports are more recent than the
// list. The list therefore counts only if it newly names the member, if listFollowsRole allows it, and while
// no healthy primary is known. If no primary is known at all, the member's own role must be unknown too.
func (r *Router) observeListedRole(member *memberState, isPrimary bool, kind EndpointListKind) {
	changed := isPrimary && !member.listedPrimary
	member.listedPrimary = isPrimary
	if !changed || !r.listFollowsRole(kind) {
		return
	}
	primary := member.group.primary()
	if primary == nil && member.role == RoleUnknown {
		member.role = RolePrimary
	} else if primary != nil && primary != member && r.unhealthy(primary) {
		r.observeRole(member, RolePrimary, primary.rolePosition+1)
	}
}

// listFollowsRole reports whether the primaries in a message of the endpoint list may be current. With
// RoleSourceInitial, the list names the primaries at the start of the deployment. They are used only from a
// stale list, such as the one that a gateway has at its own start.
func (r *Router) listFollowsRole(kind EndpointListKind) bool {
	switch r.cfg.RoleSource {
	case RoleSourceDelayed:
		return true
	case RoleSourceInitial:
		return kind == EndpointListStale
	}
	return false
}

// removeEndpoint removes a member. With Config.UseRemovedMembers, a member that was not draining is kept
// if it is responsive. This is tested again only when a further message omits or removes the member.
func (r *Router) removeEndpoint(member *memberState) {
	if member == nil || r.cfg.UseRemovedMembers && !member.draining && r.isResponsive(member) {
		return
	}
	member.usable = false
	delete(r.members, member.id)
	r.sortedMembers = removeMember(r.sortedMembers, member)
	member.group.members = removeMember(member.group.members, member)
}

// isResponsive reports whether a member is healthy, or has answered within unlistedMemberTTL.
func (r *Router) isResponsive(member *memberState) bool {
	return r.now-member.answeredAt < unlistedMemberTTL || !r.unhealthy(member)
}

// keepSubscribed subscribes to the endpoint list if changes are sent only to subscribers and no subscription
// is active.
func (r *Router) keepSubscribed() {
	due := r.subscribeSentAt == 0 || r.now-r.subscribeSentAt >= r.subscribeBackoff
	if r.cfg.Subscribe && r.hasEndpoints && due && !r.subscribing && !r.subscribed {
		r.subscribing = true
		r.subscribeSentAt = r.now
		r.gateway.Subscribe(true)
	}
}
