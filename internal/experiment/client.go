package experiment

import (
	"time"

	"cranegate/routing"
)

// operation is one database operation of a client, which sends one or more requests for it.
type operation struct {
	class        *class
	classIndex   int // index of class
	group        *group
	work         time.Duration
	arrived      time.Duration
	sessionToken time.Duration // position of the commit that the session must read; 0: none
	gateway      int
	requests     int     // number of requests sent
	earned       float64 // priority weight
	settled      bool    // a request has been served
}

// request is one request of an operation, sent to one gateway.
type request struct {
	*operation
	id             uint64
	acceptedAt     time.Duration
	deadline       time.Duration
	attempts       int
	responses      int
	finished       bool
	inFlight       []*attempt
	servedBy       *attempt // set on sockets only
	servedPosition time.Duration
}

// generateArrival draws the next operation and schedules its successor. The draws do not depend on the outcome of
// earlier operations.
func (g *gateway) generateArrival() {
	f, random := g.fleet, g.arrivals
	if g.finished {
		return
	}
	rate := f.Rate * f.zoneRate(g.zone) * g.trafficFactor * (1 + f.extraRate)
	f.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), g.generateArrival)
	draw01, classIndex := random.Float64(), 0
	for ; classIndex < len(classes)-1 && draw01 >= classes[classIndex].trafficFraction; classIndex++ {
		draw01 -= classes[classIndex].trafficFraction
	}
	class := &classes[classIndex]
	op := &operation{class: class, classIndex: classIndex, gateway: g.number, group: f.hosts[random.IntN(len(f.hosts))].group, arrived: f.now,
		work: time.Duration(float64(draw(random, class.minWork, class.maxWork)) * f.workScale)}
	follows, gap := random.Float64() < 0.78, time.Duration(random.ExpFloat64()*float64(400*time.Millisecond))
	if primary := op.group.primary; class.Consistency == routing.ConsistencySession && follows && primary != nil {
		op.sessionToken = min(f.now-gap, primary.position) // no commit is possible without a primary
	}
	f.judge.recordOperation(op)
	g.sendRequest(op)
}

// sendRequest sends the next request of an operation. Clients of a gateway that is down use the next gateway that is up.
func (g *gateway) sendRequest(op *operation) {
	f := g.fleet
	op.requests++
	for range f.gateways {
		if g.down { // clients move at once: the time of this failover is not modelled
			g = f.gateways[(g.number+1)%len(f.gateways)]
		}
	}
	if g.down {
		return
	}
	g.lastID++
	request := &request{operation: op, id: g.lastID, acceptedAt: f.now}
	request.deadline = f.now + time.Duration((0.42+0.58*f.rng.Float64())*float64(op.class.Deadline))
	g.requests[request.id] = request
	in := routing.Request{ID: request.id, Class: op.classIndex, Tenant: -1, Group: op.group.number, Remaining: request.deadline - f.now}
	if op.sessionToken > 0 {
		in.SinceWrite = max(1, f.now-op.sessionToken)
	}
	if g.submit != nil {
		f.after(request.deadline-f.now+missingResponseSlack, func() { g.requestTimedOut(request) })
		g.submit(request)
		return
	}
	f.after(request.deadline-f.now+10*time.Millisecond, func() { g.requestTimedOut(request) })
	g.router.Request(f.now, in)
}

// requestTimedOut ends a request whose deadline has passed without a response.
func (g *gateway) requestTimedOut(request *request) {
	if !request.finished && !g.finished {
		request.finished = true
		g.fleet.judge.unanswered++
		g.fleet.judge.note("%s at gateway %d got no answer %v after it was sent", request.class.Name, g.number, g.fleet.now-request.acceptedAt)
		if g.router != nil {
			g.router.ClientDisconnected(g.fleet.now, request.id)
		}
	}
	delete(g.requests, request.id)
}

// respond delivers a final response to the client, which may retry: after Retry-After, at once, or after a short wait.
func (g *gateway) respond(request *request, served bool, nothingRan bool, retryAfter time.Duration, servedBy *attempt, position time.Duration) {
	f := g.fleet
	if request.responses++; g.submit != nil && f.now > request.deadline+lateResponseSlack {
		f.judge.lateResponses++
	}
	if g.finished {
		return
	} else if request.finished {
		if request.responses > 1 { // a single late response is counted by requestTimedOut
			f.judge.extraResponses++
		}
		return
	}
	request.finished = true
	if served {
		f.judge.requestServed(request, servedBy, position)
		return
	}
	f.judge.requestRejected(request, nothingRan)
	g.retry(request, nothingRan, retryAfter)
}

// retry sends another request of the operation. It does nothing if the operation is settled, a write may have run, or
// the client has no requests or no time left.
func (g *gateway) retry(request *request, nothingRan bool, retryAfter time.Duration) {
	f := g.fleet
	if request.settled || request.requests > 3 || !nothingRan && request.class.Effect == routing.NonIdempotent {
		return
	}
	wait := retryAfter
	if wait == 0 && f.rng.IntN(2) == 0 {
		wait = 50 * time.Millisecond
	}
	if f.now+wait < request.arrived+request.class.Deadline {
		f.after(wait, func() { g.sendRequest(request.operation) })
	}
}
