package core

import (
	"log/slog"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// gateway implements routing.Gateway, the router's actions. The router calls it while the actor handles an event. If an
// attempt ends during such a call, its outcome is reported to the router only after the event.
type gateway Core

// Send starts the next attempt of a request.
func (g *gateway) Send(id uint64, member string, abandonAt, startBy time.Duration) {
	c := (*Core)(g)
	request := c.requests[id]
	if request == nil {
		slog.Warn("send_for_unknown_request", "sequence", id, "host", member)
		return
	}
	if abandonAt <= 0 || abandonAt > request.deadline {
		abandonAt = request.deadline
	}
	a := c.newAttempt(request, member, abandonAt)
	if startBy < abandonAt {
		a.setStartDeadline(startBy)
	}
	a.number = request.attemptCount
	request.attemptCount++
	request.attempts = append(request.attempts, a)
	c.options.Counters.Add("attempts", 1)
	if request.ended || a.number >= c.options.Routing.MaxAttempts || abandonAt <= c.now {
		a.withdraw(routing.ResultNotSent, "not_started")
		return
	}
	c.checkSlowStart(member)
	c.startAttempt(a)
}

// Cancel abandons one attempt.
func (g *gateway) Cancel(id uint64, number int) {
	request := g.requests[id]
	if request == nil {
		return
	}
	for _, a := range request.attempts {
		if a.number == number {
			a.abandon(routing.ResultCancelled)
		}
	}
}

// Reject gives a final answer with a Retry-After: nothing ran, or a retry by the client does no harm.
func (g *gateway) Reject(id uint64, retryAfter time.Duration, reason routing.Reason) {
	if request := g.requests[id]; request != nil {
		(*Core)(g).answerUnserved(request, Answer{Status: Rejected, RetryAfter: retryAfter}, reason)
	}
}

// Fail gives a final answer that guarantees nothing.
func (g *gateway) Fail(id uint64, reason routing.Reason) {
	if request := g.requests[id]; request != nil {
		(*Core)(g).answerUnserved(request, Answer{Status: Failed}, reason)
	}
}

// CloseIdle closes idle connections to a member.
func (g *gateway) CloseIdle(member string) { g.backend.CloseIdle(member) }

// CheckHealth starts a health check of a member, over a connection of the given kind.
func (g *gateway) CheckHealth(member string, conn routing.ConnPolicy) {
	c := (*Core)(g)
	c.options.Counters.Add("probes", 1)
	a := c.newAttempt(nil, member, c.now+c.options.HealthCheckTimeout)
	a.Conn = conn
	c.startAttempt(a)
}

// SetTimer schedules a call of Router.Timer.
func (g *gateway) SetTimer(after time.Duration, name string) {
	g.timers.add(g.now+after, func() { g.router.Timer(g.now, name) })
}

// Subscribe does nothing, because package discovery watches the endpoint list at all times.
func (g *gateway) Subscribe(bool) {}

// FetchEndpoints does nothing, for the same reason as Subscribe.
func (g *gateway) FetchEndpoints() {}

// ZoneChanged counts and logs a zone's change of state.
func (g *gateway) ZoneChanged(change zones.Change) {
	g.options.Counters.Add("zone_"+change.To.String(), 1)
	slog.Info("zone", "zone", change.Zone, "from", change.From, "to", change.To, "evidence", change.Reason)
}

// Log writes a log line for operators.
func (g *gateway) Log(text string) { slog.Info("routing", "text", text) }
