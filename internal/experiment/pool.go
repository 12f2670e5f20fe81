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

// dial obtains a connection by the given policy and passes its connect time to then: 0 if the host can't be reached,
// overCapacity if it rejected the connection.
func (g *gateway) dial(h *host, by routing.ConnPolicy, then func(opened time.Duration)) {
	p, f := g.pools[h], g.f
	g.poolSizer.RecordAttempt(clock(f.now), &p.usage, len(g.hosts))
	switch n := len(p.idle) - 1; {
	case n >= 0 && by == routing.ConnOldest:
		i := slices.IndexFunc(p.idle, func(c idleConn) bool {
			return c.connectedAt == slices.MinFunc(p.idle, func(a, b idleConn) int { return cmp.Compare(a.connectedAt, b.connectedAt) }).connectedAt
		})
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		then(c.connectedAt)
	case n >= 0 && by == routing.ConnAny:
		c := p.idle[n]
		p.idle = p.idle[:n]
		then(c.connectedAt)
	case h.partitions > 0:
		f.after(connectTimeout, func() { then(0) })
	default:
		f.after(3*g.networkDelay(h)+connectDuration, func() {
			if room := cmp.Or(f.HostConnections, maxConnections); h.reachable() && h.connections < room {
				h.connections++
				f.judge.connects++
				g.poolSizer.RecordConnect()
				f.judge.maxHostConnections = max(f.judge.maxHostConnections, h.connections)
				then(f.now)
			} else if h.reachable() {
				f.judge.rejectedConnects++
				if g.poolSizer.RecordRejection(clock(f.now)) {
					for _, x := range f.hosts {
						g.closeExpired(x)
					}
				}
				then(overCapacity)
			} else if h.partitions > 0 {
				f.after(connectTimeout, func() { then(0) })
			} else {
				then(0)
			}
		})
	}
}

// release returns a connection to the pool.
func (g *gateway) release(h *host, up time.Duration) {
	p := g.pools[h]
	p.idle = append(p.idle, idleConn{up, g.f.now})
	g.closeExpired(h)
}

// closeExpired closes the idle connections to a host that have exceeded their idle timeout, and schedules the next
// check.
func (g *gateway) closeExpired(h *host) {
	p, f := g.pools[h], g.f
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
	out := p.inFlight
	p.idle, p.inFlight = nil, nil
	g.f.after(g.networkDelay(h), func() {
		for _, a := range out {
			a.finish(routing.Outcome{Result: routing.ResultReset}, 0)
		}
	})
}

// CloseIdle closes all idle connections to a host.
func (g *gateway) CloseIdle(member string) {
	h := g.hosts[member]
	h.connections, g.pools[h].idle = h.connections-len(g.pools[h].idle), nil
}
