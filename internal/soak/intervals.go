package soak

import "time"

// interval is a span of time. A zero to means that it has not ended.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval overlaps the span.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

// beginDisruption marks the start of a time in which processes end abruptly or pause. The returned function marks its end.
func (g *gateway) beginDisruption() (end func()) { return g.beginInterval(&g.disruptions, time.Now()) }

// beginDrain marks the start of a time in which the gateway may close its clients' connections. The returned function
// marks its end.
func (g *gateway) beginDrain() (end func()) { return g.beginInterval(&g.drains, time.Now()) }

// beginInterval appends an interval that starts at from. The returned function ends it.
func (g *gateway) beginInterval(intervals *[]interval, from time.Time) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(*intervals)
	*intervals = append(*intervals, interval{from: from})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		(*intervals)[n].to = time.Now()
	}
}

// disruptedDuring reports whether a process may have ended abruptly or paused in a span.
func (g *gateway) disruptedDuring(from, to time.Time) bool {
	return g.anyOverlaps(&g.disruptions, from, to)
}

// drainedDuring reports whether the gateway may have closed its clients' connections in a span.
func (g *gateway) drainedDuring(from, to time.Time) bool { return g.anyOverlaps(&g.drains, from, to) }

// anyOverlaps reports whether one of the intervals overlaps a span.
func (g *gateway) anyOverlaps(intervals *[]interval, from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range *intervals {
		if i.overlaps(from, to) {
			return true
		}
	}
	return false
}

// beginDiscoveryOutage marks discovery as unreachable. The returned function marks it as reachable again.
func (g *gateway) beginDiscoveryOutage() (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discoveryReachableAt = time.Now().Add(time.Hour)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.discoveryReachableAt = time.Now()
	}
}

// discoveryReachableSince returns since when the current process can reach discovery; during an outage it returns a time
// in the future.
func (g *gateway) discoveryReachableSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discoveryReachableAt
}
