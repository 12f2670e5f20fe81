package experiment

import (
	"math/rand/v2"
	"time"
)

// group is a replication group: a primary and its replicas.
type group struct {
	fleet       *fleet
	number      int
	failoverRNG *rand.Rand // for failover times, which do not depend on what the gateways do
	members     []*host
	primary     *host
	electing    bool // the primary is unreachable and an election is pending
}

// tick advances the log positions. The primary is always current; a replica that the primary reaches applies the log
// with a single thread. It also schedules an election once the primary is unreachable or draining.
func (g *group) tick() {
	primary := g.primary
	if primary != nil && !g.electing && (!primary.reachable() || primary.draining) {
		g.electing = true
		wait := draw(g.failoverRNG, 1400*time.Millisecond, 2700*time.Millisecond) + draw(g.failoverRNG, 1200*time.Millisecond, 4*time.Second)
		if primary.draining && primary.reachable() {
			wait = draw(g.failoverRNG, 360*time.Millisecond, 730*time.Millisecond)
		}
		g.fleet.after(wait, g.elect)
	}
	for _, h := range g.members {
		if !h.reachable() {
			continue
		}
		if h == primary && primary.reachable() {
			h.position = g.fleet.now
		} else if primary != nil && primary.reachable() && h.up {
			h.position = min(g.fleet.now-g.fleet.replicationDelay, h.position+time.Duration(float64(replicationInterval)/g.fleet.applyUtilization))
		}
	}
}

// elect promotes the reachable member with the most advanced log. While no member qualifies, it schedules itself again.
func (g *group) elect() {
	old := g.primary
	if old != nil && old.reachable() && !old.draining { // it recovered before the election
		g.electing = false
		return
	}
	var best *host
	for _, h := range g.members {
		if h.reachable() && !h.draining && (best == nil || h.position > best.position) {
			best = h
		}
	}
	if best == nil {
		g.fleet.after(200*time.Millisecond, g.elect)
		return
	}
	// Nothing was written without a primary, so each member's lag behind the most advanced member is unchanged.
	last := best.position
	for _, h := range g.members {
		if h.reachable() {
			h.position = g.fleet.now - max(0, last-h.position)
		}
	}
	g.primary, g.electing = best, false
	for _, h := range []*host{old, best} {
		g.fleet.announce(h, draw(g.fleet.rng, 2300*time.Millisecond, 4400*time.Millisecond))
	}
}
