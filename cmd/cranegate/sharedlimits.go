package main

import "runtime/debug"

// updateLimits applies this process's part of the gateway's limits.
func (g *gateway) updateLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLimitsLocked()
}

// updateLimitsLocked applies this process's part of the gateway's limits; g.mu is held. While another process lives each has half of
// the memory and of the connections to hosts, and no idle client is evicted: a request that crosses the eviction
// would be lost, and there are two processes to take it.
func (g *gateway) updateLimitsLocked() {
	shared := g.olderAlive || g.newerAlive
	memoryBytes := runtimeMemoryBytes(g.limits)
	reservedConns := 0
	if shared {
		memoryBytes /= 2
		reservedConns = g.maxBackendConns / 2
	}
	g.limiter.SetEvictIdle(!shared)
	g.limiter.Resize(g.clientSlotsLocked())
	debug.SetMemoryLimit(memoryBytes)
	for _, f := range g.fleets {
		f.pool.ReserveDescriptors(reservedConns)
	}
	g.reserveBudgetLocked(shared)
}

// clientSlotsLocked is this process's part of the client connections. Clients move from the older process to the newer one once that
// serves, and so does most of the limit.
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

// reserveBudgetLocked leaves half of the budget for clients' bytes to the other process while there is one. Where the budget has not that
// much free, the next change of the limits tries again.
func (g *gateway) reserveBudgetLocked(shared bool) {
	bytes := g.limits.MemoryMB << 20 / 8
	switch {
	case shared && g.reservedBytes == 0 && g.budget.Reserve(bytes):
		g.reservedBytes = bytes
	case !shared && g.reservedBytes > 0:
		g.budget.Release(g.reservedBytes)
		g.reservedBytes = 0
	}
}
