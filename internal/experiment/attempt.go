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
	connectedAt        time.Duration // connect time of its connection
	abandonAt          time.Duration
	beginBy            time.Duration // latest start; 0: none
	requiredPosition   time.Duration // minimum log position of the data
	written, finished  bool
	onOutcome          func(routing.Outcome, time.Duration) // receives the outcome on sockets; nil: the decision module does
}

// Send starts an attempt; see routing.Effects.
func (g *gateway) Send(id uint64, member string, abandonAt, beginBy time.Duration) {
	f, request, h := g.f, g.requests[id], g.hosts[member]
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
	attempt := &attempt{gateway: g, gatewayIncarnation: g.incarnation, request: request, host: h, number: request.attempts, sentAt: g.f.now, abandonAt: abandonAt, requiredPosition: request.sessionToken}
	switch request.class.Consistency {
	case routing.ConsistencyBounded:
		attempt.requiredPosition = g.f.now - request.class.StalenessBound
	case routing.ConsistencyStrong:
		attempt.requiredPosition = request.acceptedAt
	}
	request.attempts++
	g.f.judge.attemptSent(attempt)
	return attempt
}

// write sends the attempt over its connection, unless it has been abandoned or its start deadline has passed.
func (a *attempt) write(opened time.Duration) {
	g, h, f := a.gateway, a.host, a.gateway.f
	if a.finished {
		if opened > 0 && a.gatewayIncarnation == g.incarnation {
			g.release(h, opened)
		} else if opened > 0 {
			h.connections--
		}
		return
	}
	if a.connectedAt = opened; opened == 0 {
		a.finish(routing.Outcome{Result: routing.ResultConnectFailed}, 0)
		return
	} else if opened == overCapacity {
		f.after(2*g.networkDelay(h), func() { a.finish(routing.Outcome{Result: routing.ResultOverCapacity}, 0) })
		return
	}
	if a.beginBy > 0 && f.now >= a.beginBy {
		g.release(h, opened)
		a.finish(routing.Outcome{Result: routing.ResultNotSent}, 0)
		return
	}
	a.written = true
	g.pools[h].inFlight = append(g.pools[h].inFlight, a)
	life := h.incarnation
	f.judge.attemptWritten(a)
	f.after(g.networkDelay(h), func() {
		if h.partitions == 0 && h.incarnation == life {
			h.receive(a, a.request.work)
		}
	})
}

// abandon gives up an attempt and closes its connection. An attempt without a byte written has never run.
func (a *attempt) abandon(r routing.Result) {
	if !a.written {
		r = routing.ResultNotSent
	}
	a.finish(routing.Outcome{Result: r}, 0)
}

// finish settles an attempt. The decision module receives the outcome after the current event.
func (a *attempt) finish(o routing.Outcome, position time.Duration) {
	if a.finished {
		return
	}
	a.finished = true
	if a.onOutcome != nil {
		a.onOutcome(o, position)
		return
	}
	g, f := a.gateway, a.gateway.f
	if p := g.pools[a.host]; a.written {
		p.inFlight = slices.DeleteFunc(p.inFlight, func(x *attempt) bool { return x == a })
		if o.Result == routing.ResultTimeout || o.Result == routing.ResultCancelled {
			a.host.connections--
		} else if o.Result != routing.ResultReset {
			g.release(a.host, a.connectedAt)
			o.ConnectedAt = a.connectedAt
		}
	}
	f.after(0, func() {
		q := a.request
		q.inFlight = slices.DeleteFunc(q.inFlight, func(x *attempt) bool { return x == a })
		if o.Result == routing.ResultOK && !q.finished {
			g.respond(q, true, false, 0, a, position)
		}
		o.Request, o.Attempt, o.Member, o.Latency, o.Closed = q.id, a.number, a.host.id, f.now-a.sentAt, q.finished
		if a.gatewayIncarnation == g.incarnation {
			g.router.Outcome(f.now, o)
		}
	})
}

// Cancel abandons one attempt.
func (g *gateway) Cancel(id uint64, number int) {
	if q := g.requests[id]; q != nil {
		for _, a := range q.inFlight {
			if a.number == number {
				a.abandon(routing.ResultCancelled)
				return
			}
		}
	}
}
