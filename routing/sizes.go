package routing

// Sizes is the number of entries in each of the maps and slices that the module keeps, by name: what must not grow
// however long it runs. It is for tests and experiments.
func (r *Router) Sizes() map[string]int {
	s := map[string]int{"members": len(r.members), "sorted": len(r.sorted), "groups": len(r.groups), "empty": len(r.empty), "requests": len(r.requests),
		"open": len(r.open), "marks": len(r.marks.positions), "marks_order": len(r.marks.order), "asked": len(r.asked)}
	for _, m := range r.sorted {
		s["windows"] += len(m.window)
		s["out"] += len(m.out)
	}
	for _, g := range r.groups {
		s["group_members"] += len(g.members)
	}
	for _, pool := range r.pools {
		s["pools"] += len(pool)
	}
	return s
}
