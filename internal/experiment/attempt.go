package experiment

import (
	"slices"
	"time"

	"cranegate/routing"
)

// attempt is one attempt of a request at one host.
type attempt struct {
	gateway            *gateway
	gatewayIncarnation int // at the time of the send
	request            *request
	host               *host
	number             int
	sentAt             time.Duration
	connectedAt        time.Duration // when its connection was established
	abandonAt          time.Duration
	beginBy            time.Duration // latest time at which it may be written; 0: none
	requiredPosition   time.Duration // minimum log position of the data
	written, finished  bool
	onOutcome          func(routing.Outcome, time.Duration) // receives the outcome on sockets; nil: the decision module does
}

// Send starts an attempt; see routing.Effects.
func (g *gateway) Send(id uint64, member string, abandonAt, beginBy time.Duration) {
	f, request, h := g.fleet, g.requests[id], g.hosts[member]
	if abandonAt <= 0 || abandonAt > request.deadline {
		abandonAt = request.deadline
	}
	attempt := g.newAttempt(request, h, abandonAt)
	attempt.beginBy = beginBy
	request.inFlight = append(request.inFlight, attempt)
	f.after(abandonAt-f.now, func() { attempt.abandon(routing.ResultTimeout) })
	g.dial(h, routing.ConnAny, attempt.write)
}

// newAttempt creates the next attempt of a request, with the position that its data must have if it is sent now.
func (g *gateway) newAttempt(request *request, h *host, abandonAt time.Duration) *attempt {
	attempt := &attempt{
		gateway:            g,
		gatewayIncarnation: g.incarnation,
		request:            request,
		host:               h,
		number:             request.attempts,
		sentAt:             g.fleet.now,
		abandonAt:          abandonAt,
		requiredPosition:   request.sessionToken,
	}
	switch request.class.Consistency {
	case routing.ConsistencyBounded:
		attempt.requiredPosition = g.fleet.now - request.class.StalenessBound
	case routing.ConsistencyStrong:
		attempt.requiredPosition = request.acceptedAt
	}
	request.attempts++
	g.fleet.judge.attemptSent(attempt)
	return attempt
}

// write sends the attempt over its connection, unless it has been abandoned or its start deadline has passed.
func (a *attempt) write(connectedAt time.Duration) {
	g, h, f := a.gateway, a.host, a.gateway.fleet
	if a.finished {
		if connectedAt > 0 && a.gatewayIncarnation == g.incarnation {
			g.release(h, connectedAt)
		} else if connectedAt > 0 {
			h.connections--
		}
		return
	}
	if a.connectedAt = connectedAt; connectedAt == 0 {
		a.finish(routing.Outcome{Result: routing.ResultConnectFailed}, 0)
		return
	} else if connectedAt == overCapacity {
		f.after(2*g.networkDelay(h), func() { a.finish(routing.Outcome{Result: routing.ResultOverCapacity}, 0) })
		return
	}
	if a.beginBy > 0 && f.now >= a.beginBy {
		g.release(h, connectedAt)
		a.finish(routing.Outcome{Result: routing.ResultNotSent}, 0)
		return
	}
	a.written = true
	g.pools[h].inFlight = append(g.pools[h].inFlight, a)
	hostIncarnation := h.incarnation
	f.judge.attemptWritten(a)
	f.after(g.networkDelay(h), func() {
		if h.partitions == 0 && h.incarnation == hostIncarnation {
			h.receive(a, a.request.work)
		}
	})
}

// abandon gives up an attempt and closes its connection. An attempt without a byte written has never run.
func (a *attempt) abandon(result routing.Result) {
	if !a.written {
		result = routing.ResultNotSent
	}
	a.finish(routing.Outcome{Result: result}, 0)
}

// finish ends an attempt, unless it has ended before. The decision module receives the outcome after the current event.
func (a *attempt) finish(outcome routing.Outcome, position time.Duration) {
	if a.finished {
		return
	}
	a.finished = true
	if a.onOutcome != nil {
		a.onOutcome(outcome, position)
		return
	}
	g, f := a.gateway, a.gateway.fleet
	if p := g.pools[a.host]; a.written {
		p.inFlight = slices.DeleteFunc(p.inFlight, func(x *attempt) bool { return x == a })
		if outcome.Result == routing.ResultTimeout || outcome.Result == routing.ResultCancelled {
			a.host.connections--
		} else if outcome.Result != routing.ResultReset {
			g.release(a.host, a.connectedAt)
			outcome.ConnectedAt = a.connectedAt
		}
	}
	f.after(0, func() {
		request := a.request
		request.inFlight = slices.DeleteFunc(request.inFlight, func(x *attempt) bool { return x == a })
		if outcome.Result == routing.ResultOK && !request.finished {
			g.respond(request, true, false, 0, a, position)
		}
		outcome.Request, outcome.Attempt, outcome.Member, outcome.Latency, outcome.Closed = request.id, a.number, a.host.id, f.now-a.sentAt, request.finished
		if a.gatewayIncarnation == g.incarnation {
			g.router.Outcome(f.now, outcome)
		}
	})
}

// Cancel abandons one attempt.
func (g *gateway) Cancel(id uint64, number int) {
	if request := g.requests[id]; request != nil {
		for _, a := range request.inFlight {
			if a.number == number {
				a.abandon(routing.ResultCancelled)
				return
			}
		}
	}
}
