package main

import "runtime/debug"

// updateLimits applies this process's share of the gateway's limits.
func (g *gateway) updateLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLimitsLocked()
}

// updateLimitsLocked applies this process's share of the gateway's limits; g.mu is held. While another process runs, each has half of
// the memory and of the connections to hosts, and no idle client is evicted: a request that its client sends during the eviction would
// be lost, although two processes could serve it.
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

// clientSlotsLocked returns this process's share of the limit on client connections. Once the newer process serves, clients move to it
// from the older one, and so does most of the limit.
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

// reserveBudgetLocked leaves half of the budget for buffered client bytes to the other process while there is one. If less than that is
// free, it is tried again at the next change of the limits.
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
