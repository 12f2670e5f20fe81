package core

import (
	"cranegate/internal/zones"
	"cranegate/routing"
	"log/slog"
	"time"
)

// gateway is the side of the core that the module acts through. The module calls it from within an event, so
// whatever an action brings about at once is told to the module only after that event.
type gateway Core

// Send starts the next attempt of a request.
func (g *gateway) Send(id uint64, member string, abandonAt, beginBy time.Duration) {
	c := (*Core)(g)
	q := c.requests[id]
	if q == nil {
		slog.Warn("send_unknown", "request", id, "member", member)
		return
	}
	if abandonAt <= 0 || abandonAt > q.deadline {
		abandonAt = q.deadline
	}
	a := c.attempt(q, member, abandonAt)
	if beginBy < abandonAt {
		a.within(beginBy)
	}
	a.number = q.sent
	q.sent++
	q.out = append(q.out, a)
	c.opt.Counters.Add("attempts", 1)
	if q.ended || a.number >= c.opt.Routing.MaxAttempts || abandonAt <= c.now {
		a.neverBegins(routing.ResultNotSent, "not_started")
		return
	}
	c.checkStart(member)
	c.start(a)
}

// Cancel abandons one attempt.
func (g *gateway) Cancel(id uint64, number int) {
	if q := g.requests[id]; q != nil {
		for _, a := range q.out {
			if a.number == number {
				a.abandon(routing.ResultCancelled)
			}
		}
	}
}

// Refuse gives a final answer that promises that nothing ran.
func (g *gateway) Reject(id uint64, comeBack time.Duration, why routing.Reason) {
	if q := g.requests[id]; q != nil {
		(*Core)(g).unserved(q, Answer{Status: Rejected, RetryAfter: comeBack}, why)
	}
}

// Fail gives a final answer that promises nothing.
func (g *gateway) Fail(id uint64, why routing.Reason) {
	if q := g.requests[id]; q != nil {
		(*Core)(g).unserved(q, Answer{Status: Failed}, why)
	}
}

// Close shuts idle connections to a member.
func (g *gateway) CloseIdle(member string) { g.servers.CloseIdle(member) }

// Probe examines a member.
func (g *gateway) CheckHealth(member string, by routing.ConnPolicy) {
	c := (*Core)(g)
	c.opt.Counters.Add("probes", 1)
	a := c.attempt(nil, member, c.now+c.opt.HealthCheckTimeout)
	a.Conn = by
	c.start(a)
}

// SetTimer asks for a timer event.
func (g *gateway) SetTimer(after time.Duration, name string) {
	g.timers.add(g.now+after, func() { g.router.Timer(g.now, name) })
}

// Subscribe and FetchEndpoints have nothing to do: the list's actor holds a watch all the time.
func (g *gateway) Subscribe(bool)  {}
func (g *gateway) FetchEndpoints() {}

// ZoneChanged notes that a zone has come into another state.
func (g *gateway) ZoneChanged(c zones.Change) {
	g.opt.Counters.Add("zone_"+c.To.String(), 1)
	slog.Info("zone", "zone", c.Zone, "from", c.From, "to", c.To, "evidence", c.Reason)
}

// Log writes a line for people.
func (g *gateway) Log(text string) { slog.Info("module", "text", text) }
