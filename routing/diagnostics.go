package routing

// Sizes is the number of entries in each of the maps and slices that the module keeps, by name: what must not grow
// however long it runs. It is for tests and experiments.
func (r *Router) Sizes() map[string]int {
	s := map[string]int{"members": len(r.members), "sorted": len(r.sortedMembers), "groups": len(r.groups), "empty": len(r.emptyGroups), "requests": len(r.requests),
		"open": len(r.openRequests), "marks": len(r.sessionMarks.positions), "marks_order": len(r.sessionMarks.order), "asked": len(r.tenantRequests)}
	for _, m := range r.sortedMembers {
		s["windows"] += len(m.latencyWindow)
		s["out"] += len(m.inFlight)
	}
	for _, g := range r.groups {
		s["group_members"] += len(g.members)
	}
	for _, pool := range r.latencyPools {
		s["pools"] += len(pool)
	}
	return s
}
