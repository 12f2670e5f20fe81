package main

import "runtime/debug"

// updateLimits applies the limits of this process, which depend on whether another process of the gateway runs.
func (g *gateway) updateLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLimitsLocked()
}

// updateLimitsLocked does the work of updateLimits; g.mu is held. While another process runs, each has half of the memory and of the
// connections to hosts, and no idle client is evicted while slots are free. A request that the client sends during its eviction would
// be lost, although two processes are there to serve it. The processes also share the clients' sessions.
func (g *gateway) updateLimitsLocked() {
	shared := g.olderAlive || g.newerAlive
	memoryBytes := runtimeMemoryBytes(g.limits)
	otherProcessConns := 0
	if shared {
		memoryBytes /= 2
		otherProcessConns = g.maxBackendConns / 2
	}
	g.limiter.SetEvictIdle(!shared)
	g.limiter.Resize(g.clientSlotsLocked())
	debug.SetMemoryLimit(memoryBytes)
	for _, f := range g.fleets {
		f.pool.ReserveDescriptors(otherProcessConns)
		f.core.ShareSessions(shared)
	}
	g.reserveBudgetLocked(shared)
}

// clientSlotsLocked returns the limit on this process's client connections. Until the newer process serves, each of the two has half of
// the gateway's limit. Then clients move to the newer one, which has the whole limit; the older one keeps a quarter of it until it ends.
// A process that has both an older and a newer one is limited as the older of two.
func (g *gateway) clientSlotsLocked() int {
	switch {
	case g.newerAlive && g.newerServing:
		return g.maxClients / 4
	case g.newerAlive:
		return g.maxClients / 2
	case g.olderAlive && !g.serving:
		return g.maxClients / 2
	}
	return g.maxClients
}

// reserveBudgetLocked leaves half of the budget for buffered client bytes to the other process while there is one. The budget is a
// quarter of the memory limit, half of it an eighth. If less than that is free, the next call of updateLimitsLocked tries again.
func (g *gateway) reserveBudgetLocked(shared bool) {
	bytes := g.limits.MemoryMB << 20 / 8
	switch {
	case shared && g.otherProcessBytes == 0 && g.budget.Reserve(bytes):
		g.otherProcessBytes = bytes
	case !shared && g.otherProcessBytes > 0:
		g.budget.Release(g.otherProcessBytes)
		g.otherProcessBytes = 0
	}
}
