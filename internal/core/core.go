// Package core drives the decision module. It deals in requests, attempts and outcomes and knows no wire.
//
// The module's actor is the one goroutine that runs Core.Run. It owns the module, its clock and timers, and the
// table of open requests; it is the one place where a request gets its final answer, once. It never waits for
// another actor: work goes to the database hosts through a call that may say no, and answers go back through
// a call that must not block.
package core

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"cranegate/internal/invariant"
	"cranegate/internal/logging"
	"cranegate/internal/metrics"
	"cranegate/internal/override"
	"cranegate/routing"
)

// Host is a database host as discovery lists it.
type Host struct {
	Address  string
	Endpoint routing.Endpoint
}

// List is news of the hosts.
type EndpointList struct {
	Kind  routing.EndpointListKind
	Hosts []Host
}

// Servers runs attempts at database hosts. None of its calls may block.
type Backend interface {
	// Update takes news of the list, before the module does.
	Update(EndpointList)
	// Start hands an attempt to a host; false says that it can't be taken and never ran.
	Start(*Attempt) bool
	// CloseIdle shuts idle connections to a host.
	CloseIdle(member string)
}

// Options are what the core needs beside the module's own configuration.
type Options struct {
	Routing            routing.Config
	Seed               uint64
	AnswerSlack        time.Duration // a final answer may come this much after the client's deadline
	HealthCheckTimeout time.Duration
	Counters           *metrics.Counters
	Monitor            *invariant.Monitor // takes violations of the rules; nil: they are not counted
}

// mailboxSize bounds what waits for the module's actor. Senders wait when it is full.
const mailboxSize = 1024

// Core is the module's actor.
type Core struct {
	opt      Options
	classes  map[string]int
	mailbox  chan func()
	servers  Backend
	router   *routing.Router
	clock    clock
	now      time.Duration
	timers   timers
	requests map[uint64]*Request
	waiting  map[string][]*Attempt // by member: attempts that may not have been written
	notices  notices
	ended    []func() // outcomes for the module, after the event in hand
	lastID   uint64
	zonesAt  time.Duration      // when their reads are counted next
	ctx      context.Context    // of all attempts; ends with the actor
	hands    override.Overrides // which members are out by hand; the module's actor alone uses it
	ready    chan struct{}      // closed when the first list has come
	done     chan struct{}
}

// New makes the actor; Run starts it.
func New(opt Options, servers Backend) (*Core, error) {
	opt.Routing.PositionEpoch = 0 // the module's clock counts from the Unix epoch, and so do positions on sockets
	c := &Core{opt: opt, classes: map[string]int{}, mailbox: make(chan func(), mailboxSize), servers: servers,
		clock: newClock(), requests: map[uint64]*Request{}, waiting: map[string][]*Attempt{},
		ready: make(chan struct{}), done: make(chan struct{})}
	for i, k := range opt.Routing.Classes {
		c.classes[k.Name] = i
	}
	c.now = c.clock.now()
	var err error
	c.router, err = routing.New(c.now, opt.Routing, opt.Seed, (*gateway)(c))
	return c, err
}

// HasClass says whether requests of a class are known.
func (c *Core) HasClass(name string) bool { _, ok := c.classes[name]; return ok }

// Ready is closed once the module has a list and can serve.
func (c *Core) Ready() <-chan struct{} { return c.ready }

// post puts an event into the mailbox; it waits while that is full, and gives up once the actor has ended.
func (c *Core) post(event func()) bool {
	select {
	case c.mailbox <- event:
		return true
	case <-c.done:
		return false
	}
}

// Wait is how long a request waits by itself: as its client says, and its class's deadline at most.
func (c *Core) Timeout(q *Request) time.Duration {
	i, ok := c.classes[q.Class]
	if !ok {
		return q.Timeout
	}
	if d := c.opt.Routing.Classes[i].Deadline; q.Timeout <= 0 || q.Timeout > d { // later the answer is worth nothing
		return d
	}
	return q.Timeout
}

// Submit hands in a request. False says that the core has ended and no answer will come.
func (c *Core) Submit(q *Request) bool { return c.post(func() { c.request(q) }) }

// Gone tells that the client has left: no answer is owed. No attempt of the request begins once it is called, however
// long the module's actor takes to hear of it.
func (c *Core) ClientDisconnected(q *Request) {
	q.leave(c)
	c.post(func() { c.gone(q) })
}

// Members hands in news of the list.
func (c *Core) UpdateEndpoints(l EndpointList) { c.post(func() { c.members(l) }) }

// Run is the actor's life. It ends with the context.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.done)
	c.ctx = ctx
	wake := time.NewTimer(time.Hour)
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.mailbox:
			c.now = c.clock.now()
			event()
		case <-wake.C:
			c.now = c.clock.now()
		}
		c.settle()
		c.countZones()
		for t, ok := c.timers.due(c.now); ok; t, ok = c.timers.due(c.now) {
			t()
			c.settle()
		}
		wake.Reset(c.timers.next(c.clock.now()))
	}
}

// countZones adds up, every second, where reads were stated to go and where they went.
func (c *Core) countZones() {
	z := c.router.Zones()
	if z == nil || c.now < c.zonesAt {
		return
	}
	c.zonesAt = c.now + time.Second
	for t, f := range z.Metrics() {
		c.opt.Counters.Add(fmt.Sprintf("tier_%d_reads", t), int64(f.Reads))
		c.opt.Counters.Add(fmt.Sprintf("tier_%d_stated", t), int64(f.ConfiguredShare*float64(f.All)+0.5))
	}
}

// settle tells the module of attempts that ended while it was acting: it must not be called from within.
func (c *Core) settle() {
	for len(c.ended) > 0 {
		event := c.ended[0]
		c.ended = c.ended[1:]
		event()
	}
}

// request takes in one request. The table holds it until its last attempt is over.
func (c *Core) request(q *Request) {
	class, ok := c.classes[q.Class]
	if !ok || q.ended {
		q.Reply(Answer{Status: Failed})
		return
	}
	c.opt.Counters.Add("requests", 1)
	if q.hasLeft() { // while it waited for this actor: the module need not know of it
		c.opt.Counters.Add("clients_gone", 1)
		q.ended = true
		return
	}
	c.lastID++
	q.id, q.class = c.lastID, &c.opt.Routing.Classes[class]
	arrived := min(c.now, c.clock.at(q.Arrived))
	q.Timeout = c.Timeout(q)
	q.deadline = arrived + q.Timeout
	in := routing.Request{ID: q.id, Class: class, Tenant: -1, Session: q.Session, Group: q.Group, Retry: q.Retry,
		Remaining: q.deadline - c.now}
	if q.MinPosition > 0 {
		// A commit is rounded up and may lie a little ahead of this clock; zero would mean that there is none.
		in.SinceWrite = max(1, c.now-time.Duration(q.MinPosition)*time.Millisecond)
	}
	c.requests[q.id] = q
	q.overdue = c.timers.add(q.deadline+c.opt.AnswerSlack/2, func() { c.overdue(q) })
	c.router.Request(c.now, in)
}

// overdue guards against a request without an answer: the module gives one before, unless it is at fault.
func (c *Core) overdue(q *Request) {
	if q.ended {
		return
	}
	c.opt.Counters.Add("overdue", 1)
	c.opt.Monitor.Report(invariant.Violation{Rule: invariant.Close, Reason: invariant.LateAnswer, Request: q.ID})
	slog.Warn("overdue", "id", q.ID, "request", q.id, "class", q.Class, "attempts", q.sent)
	c.answer(q, Answer{Status: Failed})
	c.router.ClientDisconnected(c.now, q.id)
	c.forget(q)
}

// gone takes a client's leaving.
func (c *Core) gone(q *Request) {
	if q.ended || q.id == 0 {
		return
	}
	c.opt.Counters.Add("clients_gone", 1)
	c.end(q)
	c.router.ClientDisconnected(c.now, q.id)
	c.forget(q)
}

// members takes news of the list. What waits for a connection to a host that may not be sent anything new
// never ran: that guards against a send after a drain was told.
func (c *Core) members(l EndpointList) {
	c.servers.Update(l)
	m := routing.EndpointList{Kind: l.Kind}
	for _, h := range l.Hosts {
		m.Endpoints = append(m.Endpoints, h.Endpoint)
	}
	c.entries(c.hands.Apply(c.now, m))
	if l.Kind != routing.EndpointListFailed {
		select {
		case <-c.ready:
		default:
			close(c.ready)
		}
	}
}

// entries hands the module what it has to hold of the members.
func (c *Core) entries(m routing.EndpointList) {
	stays := map[string]bool{}
	for _, e := range m.Endpoints {
		stays[e.Member] = e.Phase == routing.PhaseServing
	}
	c.notices.take(c.now, m, c.opt.Routing.UseRemovedMembers)
	c.router.UpdateEndpoints(c.now, m)
	for member, attempts := range c.waiting {
		on, listed := stays[member]
		if on || !listed && m.Kind == routing.EndpointListPatch {
			continue
		}
		for _, a := range attempts {
			a.neverBegins(routing.ResultNotSent, "host_withdrawn")
		}
		delete(c.waiting, member) // its id may never come again
	}
}

// answer gives the final answer. It is the only place that does.
func (c *Core) answer(q *Request, a Answer) {
	if q.ended {
		return
	}
	c.end(q)
	c.opt.Counters.Add(a.Status.String(), 1)
	c.opt.Counters.ObserveLatency(c.now - q.deadline + q.Timeout)
	if logging.Debugs() {
		slog.Debug("answered", "id", q.ID, "class", q.Class, "status", a.Status, "attempts", q.sent, "took", c.now-q.deadline+q.Timeout)
	}
	q.answered.Store(true)
	q.Reply(a)
}

// unserved gives a final answer that is no service, and counts why.
func (c *Core) unserved(q *Request, a Answer, why routing.Reason) {
	if q.ended {
		return
	}
	c.opt.Counters.Add(a.Status.String()+"_"+string(why), 1)
	if logging.Debugs() {
		slog.Debug("unserved", "id", q.ID, "status", a.Status, "reason", why, "attempts", q.sent)
	}
	c.answer(q, a)
}

// end marks a request as over. What still waits for a connection on its behalf never begins.
func (c *Core) end(q *Request) {
	q.ended = true
	q.overdue.cancel()
	for _, a := range q.out {
		a.neverBegins(routing.ResultNotSent, "request_ended")
	}
	c.forget(q)
}

// forget drops a request once it is over with all its attempts. It guards against a table that grows by each request
// that ends without one.
func (c *Core) forget(q *Request) {
	if q.ended && len(q.out) == 0 {
		delete(c.requests, q.id)
	}
}
