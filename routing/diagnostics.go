package routing

// Sizes returns the number of entries in each map and slice of the Router, by name. It is for tests and
// experiments, which check that none of them grows without bound however long the Router runs.
func (r *Router) Sizes() map[string]int {
	sizes := map[string]int{
		"members":  len(r.members),
		"sorted":   len(r.sortedMembers),
		"groups":   len(r.groups),
		"empty":    len(r.emptyGroups),
		"requests": len(r.requests),
		"open":     len(r.openRequests),
		"marks":    r.sessionMarks.size(),
		"asked":    len(r.tenantRequests),
	}
	for _, member := range r.sortedMembers {
		sizes["windows"] += len(member.latencyWindow)
		sizes["out"] += len(member.inFlight)
	}
	for _, group := range r.groups {
		sizes["group_members"] += len(group.members)
	}
	for _, pool := range r.latencyPools {
		sizes["pools"] += len(pool)
	}
	return sizes
}

// Overdrawn reports whether a member in slow start has been sent more than its budget allowed. An attempt
// is sent only while the balance is not negative. Therefore the debt after an attempt is the attempt's own
// work at most.
func (r *Router) Overdrawn(id string) bool {
	member := r.members[id]
	if member == nil || r.slowStartWeight(member) >= 1 || member.tokensAt == 0 || len(member.inFlight) == 0 {
		return false
	}
	const rounding = 1e-9 // seconds
	last := member.inFlight[len(member.inFlight)-1]
	return member.tokens+last.work.Seconds() < -rounding
}
