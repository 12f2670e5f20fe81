package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranegate/internal/poolsize"
	"cranegate/routing"
)

// pool holds the connections of one gateway to one host.
type pool struct {
	idle            []idleConn // most recently used last
	inFlight        []*attempt // written attempts
	usage           poolsize.Host
	nextExpiryCheck time.Duration // time of the next closeExpired
}

// idleConn is an idle connection, with the times at which it was established and last released.
type idleConn struct{ connectedAt, releasedAt time.Duration }

// overCapacity is passed in place of a connect time for a connection that the host accepted and then rejected.
const overCapacity = -1

// idleTimeout is two thirds of the time after which hosts close idle connections.
const idleTimeout = 20 * time.Second

// dial obtains a connection by the given policy and passes its connect time to then. The time is 0 if the host
// can't be reached, and overCapacity if it rejected the connection.
func (g *gateway) dial(h *host, policy routing.ConnPolicy, then func(connectedAt time.Duration)) {
	p, f := g.pools[h], g.fleet
	g.poolSizer.RecordAttempt(clock(f.now), &p.usage, len(g.hosts))
	switch last := len(p.idle) - 1; {
	case last >= 0 && policy == routing.ConnOldest:
		then(p.take(p.oldest()))
	case last >= 0 && policy == routing.ConnAny:
		then(p.take(last))
	case h.partitions > 0:
		f.after(connectTimeout, func() { then(0) })
	default:
		f.after(3*g.networkDelay(h)+connectDuration, func() { g.connect(h, then) })
	}
}

// oldest returns the index of the idle connection that was established first.
func (p *pool) oldest() int {
	oldest := 0
	for i, c := range p.idle {
		if c.connectedAt < p.idle[oldest].connectedAt {
			oldest = i
		}
	}
	return oldest
}

// take removes an idle connection and returns its connect time.
func (p *pool) take(i int) time.Duration {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c.connectedAt
}

// connect completes a connection attempt at a host; see dial.
func (g *gateway) connect(h *host, then func(connectedAt time.Duration)) {
	f := g.fleet
	limit := cmp.Or(f.HostConnections, maxConnections)
	switch {
	case h.reachable() && h.connections < limit:
		h.connections++
		f.judge.connects++
		g.poolSizer.RecordConnect()
		f.judge.maxHostConnections = max(f.judge.maxHostConnections, h.connections)
		then(f.now)
	case h.reachable():
		f.judge.rejectedConnects++
		if g.poolSizer.RecordRejection(clock(f.now)) {
			for _, other := range f.hosts {
				g.closeExpired(other)
			}
		}
		then(overCapacity)
	case h.partitions > 0:
		f.after(connectTimeout, func() { then(0) })
	default:
		then(0)
	}
}

// release returns a connection to the pool.
func (g *gateway) release(h *host, connectedAt time.Duration) {
	p := g.pools[h]
	p.idle = append(p.idle, idleConn{connectedAt, g.fleet.now})
	g.closeExpired(h)
}

// closeExpired closes the idle connections to a host that have exceeded their idle timeout, and schedules the next
// check.
func (g *gateway) closeExpired(h *host) {
	p, f := g.pools[h], g.fleet
	remaining := func(i int) time.Duration {
		return g.poolSizer.IdleTimeout(clock(f.now), &p.usage, len(p.idle)-1-i) - (f.now - p.idle[i].releasedAt)
	}
	for len(p.idle) > 0 && remaining(0) <= 0 {
		p.idle = p.idle[1:]
		h.connections--
	}
	next := time.Duration(math.MaxInt64)
	for i := range p.idle {
		next = min(next, remaining(i))
	}
	if hostIncarnation, incarnation := h.incarnation, g.incarnation; len(p.idle) > 0 && (p.nextExpiryCheck <= f.now || f.now+next < p.nextExpiryCheck) {
		p.nextExpiryCheck = f.now + next
		f.after(next, func() {
			if h.incarnation == hostIncarnation && g.incarnation == incarnation {
				g.closeExpired(h)
			}
		})
	}
}

// resetConnections resets all connections to a host.
func (g *gateway) resetConnections(h *host) {
	p := g.pools[h]
	inFlight := p.inFlight
	p.idle, p.inFlight = nil, nil
	g.fleet.after(g.networkDelay(h), func() {
		for _, a := range inFlight {
			a.finish(routing.Outcome{Result: routing.ResultReset}, 0)
		}
	})
}

// CloseIdle closes all idle connections to a host.
func (g *gateway) CloseIdle(member string) {
	h := g.hosts[member]
	h.connections, g.pools[h].idle = h.connections-len(g.pools[h].idle), nil
}
