// Package core drives the decision module. It deals in requests, attempts and outcomes and knows no wire.
//
// The module's actor is the one goroutine that runs Core.Run. It owns the module, its clock and timers, and the
// table of open requests; it is the one place where a request gets its final answer, once. It never waits for
// another actor: work goes to the database hosts through a call that may say no, and answers go back through
// a call that must not block.
package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"cranegate/internal/hands"
	"cranegate/internal/invariant"
	"cranegate/internal/logging"
	"cranegate/internal/stats"
	"cranegate/internal/zones"
	"cranegate/rules"
)

// Status says how a request ended.
type Status int

// The statuses.
const (
	Served  Status = iota // with a value that a database host made for it
	Refused               // nothing has run, or a repeat is harmless
	Failed                // nothing is promised
)

func (s Status) String() string { return [...]string{"served", "refused", "failed"}[s] }

// Answer is a request's final answer.
type Answer struct {
	Status   Status
	Value    any           // Served: what the database host gave, in its protocol's form
	ComeBack time.Duration // Refused: advice when to come back, 0 for none
}

// Request is one request that a front has taken in.
type Request struct {
	Class   string
	Group   int
	Session string
	Arrived time.Time     // when its last byte was read
	Wait    time.Duration // how long the client waits from then on; 0 for the class's deadline, which is the most
	After   int64         // Unix time in milliseconds that a session's read has to see, 0 for none
	Repeat  bool
	Payload any // the statement, in its protocol's form

	// ID is the client's own name for the request, for the log. It may be empty.
	ID string

	// Left says whether the client has gone by now. It is called by any goroutine and must not block; nil: only Gone tells.
	Left func() bool

	// Reply takes the final answer. It is called once, by the module's actor, and must not block.
	Reply func(Answer)

	leftAt   atomic.Int64 // when the client was known to have gone, on the core's clock; 0: it is there. Set once, by any goroutine
	answered atomic.Bool  // its final answer has been handed to the client; owned by the guards
	ledger   invariant.Ledger
	id       uint64
	class    *rules.Class
	deadline time.Duration
	ended    bool
	sent     int
	out      []*Attempt
	overdue  *timer
}

// hasLeft says whether the client is known to have gone. A probe has none.
func (q *Request) hasLeft() bool { return q != nil && q.leftAt.Load() != 0 }

// leave notes that the client has gone.
func (q *Request) leave(c *Core) { q.leftAt.CompareAndSwap(0, int64(c.clock.now())) }

// name is the client's id of the request; that of a probe is "probe".
func (q *Request) name() string {
	if q == nil {
		return "probe"
	}
	return q.ID
}

// lookAfter is how long a request may be out before its client is looked at right before an attempt begins. It was looked at
// when the request came; from a client's close on 0.1 s may pass.
const lookAfter = 20 * time.Millisecond

// leaves looks whether the client has gone, where its close may not have been heard of yet.
func (q *Request) leaves(c *Core) bool {
	if q != nil && q.Left != nil && !q.hasLeft() && time.Since(q.Arrived) > lookAfter && q.Left() {
		q.leave(c)
	}
	return q.hasLeft()
}

// Effect says what a repeat of the request does; known once the request is submitted.
func (q *Request) Effect() rules.Effect { return q.class.Effect }

// Host is a database host as discovery lists it.
type Host struct {
	Address string
	Entry   rules.Entry
}

// List is news of the hosts.
type List struct {
	Kind  rules.ListKind
	Hosts []Host
}

// Servers runs attempts at database hosts. None of its calls may block.
type Servers interface {
	// Update takes news of the list, before the module does.
	Update(List)
	// Start hands an attempt to a host; false says that it can't be taken and never ran.
	Start(*Attempt) bool
	// CloseIdle shuts idle connections to a host.
	CloseIdle(member string)
}

// Options are what the core needs beside the module's own configuration.
type Options struct {
	Rules        rules.Config
	Seed         uint64
	AnswerSlack  time.Duration // a final answer may come this much after the client's deadline
	ProbeTimeout time.Duration
	Counters     *stats.Counters
	Monitor      *invariant.Monitor // takes violations of the rules; nil: they are not counted
}

// mailboxSize bounds what waits for the module's actor. Senders wait when it is full.
const mailboxSize = 1024

// Core is the module's actor.
type Core struct {
	opt      Options
	classes  map[string]int
	mailbox  chan func()
	servers  Servers
	router   *rules.Router
	clock    clock
	now      time.Duration
	timers   timers
	requests map[uint64]*Request
	waiting  map[string][]*Attempt // by member: attempts that may not have been written
	notices  notices
	ended    []func() // outcomes for the module, after the event in hand
	lastID   uint64
	zonesAt  time.Duration   // when their reads are counted next
	ctx      context.Context // of all attempts; ends with the actor
	hands    hands.Hands     // which members are out by hand; the module's actor alone uses it
	ready    chan struct{}   // closed when the first list has come
	done     chan struct{}
}

// New makes the actor; Run starts it.
func New(opt Options, servers Servers) (*Core, error) {
	opt.Rules.PositionZero = 0 // the module's clock counts from the Unix epoch, and so do positions on sockets
	c := &Core{opt: opt, classes: map[string]int{}, mailbox: make(chan func(), mailboxSize), servers: servers,
		clock: newClock(), requests: map[uint64]*Request{}, waiting: map[string][]*Attempt{},
		ready: make(chan struct{}), done: make(chan struct{})}
	for i, k := range opt.Rules.Classes {
		c.classes[k.Name] = i
	}
	c.now = c.clock.now()
	var err error
	c.router, err = rules.New(c.now, opt.Rules, opt.Seed, (*gateway)(c))
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
func (c *Core) Wait(q *Request) time.Duration {
	i, ok := c.classes[q.Class]
	if !ok {
		return q.Wait
	}
	if d := c.opt.Rules.Classes[i].Deadline; q.Wait <= 0 || q.Wait > d { // later the answer is worth nothing
		return d
	}
	return q.Wait
}

// Submit hands in a request. False says that the core has ended and no answer will come.
func (c *Core) Submit(q *Request) bool { return c.post(func() { c.request(q) }) }

// Gone tells that the client has left: no answer is owed. No attempt of the request begins once it is called, however
// long the module's actor takes to hear of it.
func (c *Core) Gone(q *Request) {
	q.leave(c)
	c.post(func() { c.gone(q) })
}

// Members hands in news of the list.
func (c *Core) Members(l List) { c.post(func() { c.members(l) }) }

// ErrEnded says that the core has ended: the program is about to exit, and nothing goes out any more.
var ErrEnded = errors.New("the gateway has ended")

// Hand says what to do with a member by hand.
type Hand int

// The ways.
const (
	Detach Hand = iota // leave it out; one that nobody has is an error
	Hold               // leave it out even if nobody has it yet
	Attach             // it may serve again
)

// Hand takes a member out or calls it back. It returns once that holds in the module: from a nil on nothing is begun at
// a member that is out. It waits no longer than the context.
func (c *Core) Hand(ctx context.Context, id string, way Hand) error {
	var failed error
	err := c.ask(ctx, func() {
		act := []func(time.Duration, string) ([]rules.Entry, error){c.hands.Detach, c.hands.Hold, c.hands.Attach}[way]
		var entries []rules.Entry
		if entries, failed = act(c.now, id); len(entries) > 0 {
			c.entries(rules.MemberList{Kind: rules.ListPatch, Entries: entries})
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// ask has the actor run an event and returns once it has, or an error if it may not have. It waits no longer than the
// context.
func (c *Core) ask(ctx context.Context, event func()) error {
	done := make(chan struct{})
	select {
	case c.mailbox <- func() { event(); close(done) }:
	case <-c.done:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-c.done:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Known says whether anybody has a member of this id.
func (c *Core) Known(ctx context.Context, id string) (bool, error) {
	known := false // written after a return that has an error, maybe, and read only after one that has none
	if err := c.ask(ctx, func() { known = c.hands.Known(c.now, id) }); err != nil {
		return false, err
	}
	return known, nil
}

// Starts tells when the members started that may be cold still.
func (c *Core) Starts(ctx context.Context) (map[string]time.Time, error) {
	starts := map[string]time.Time{}
	if err := c.ask(ctx, func() {
		for id, at := range c.router.Starts() {
			starts[id] = c.clock.time(at)
		}
	}); err != nil {
		return nil, err
	}
	return starts, nil
}

// Learned is what the module has learned so far, and Learn hands that to the module of a process that follows; after the
// first list.
func (c *Core) Learned(ctx context.Context) (rules.Learned, error) {
	var l rules.Learned
	if err := c.ask(ctx, func() { l = c.router.Learned() }); err != nil {
		return rules.Learned{}, err
	}
	return l, nil
}

// Learn is described at Learned.
func (c *Core) Learn(l rules.Learned) { c.post(func() { c.router.Learn(l) }) }

// Started hands in what another process knew of members' starts. It comes before the first list.
func (c *Core) Started(ctx context.Context, starts map[string]time.Time) error {
	return c.ask(ctx, func() {
		for id, at := range starts {
			c.hands.Started(id, c.clock.at(at))
		}
	})
}

// Tune replaces how zones are judged and reads are shared out among them. The options have been checked; where the
// core was started without zones nothing changes.
func (c *Core) Tune(o zones.Options) {
	c.post(func() {
		if z := c.router.Zones(); z == nil {
			slog.Warn("zones_off", "detail", "the program was started without zones; a restart turns them on")
		} else if err := z.Tune(o); err != nil {
			slog.Warn("zones_refused", "error", err)
		}
	})
}

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
	for t, f := range z.Figures() {
		c.opt.Counters.Add(fmt.Sprintf("tier_%d_reads", t), int64(f.Reads))
		c.opt.Counters.Add(fmt.Sprintf("tier_%d_stated", t), int64(f.Stated*float64(f.All)+0.5))
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
	q.id, q.class = c.lastID, &c.opt.Rules.Classes[class]
	arrived := min(c.now, c.clock.at(q.Arrived))
	q.Wait = c.Wait(q)
	q.deadline = arrived + q.Wait
	in := rules.Request{ID: q.id, Class: class, Tenant: -1, Session: q.Session, Group: q.Group, Repeat: q.Repeat,
		Remaining: q.deadline - c.now}
	if q.After > 0 {
		// A commit is rounded up and may lie a little ahead of this clock; zero would mean that there is none.
		in.SinceWrite = max(1, c.now-time.Duration(q.After)*time.Millisecond)
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
	c.router.ClientGone(c.now, q.id)
	c.forget(q)
}

// gone takes a client's leaving.
func (c *Core) gone(q *Request) {
	if q.ended || q.id == 0 {
		return
	}
	c.opt.Counters.Add("clients_gone", 1)
	c.end(q)
	c.router.ClientGone(c.now, q.id)
	c.forget(q)
}

// members takes news of the list. What waits for a connection to a host that may not be sent anything new
// never ran: that guards against a send after a drain was told.
func (c *Core) members(l List) {
	c.servers.Update(l)
	m := rules.MemberList{Kind: l.Kind}
	for _, h := range l.Hosts {
		m.Entries = append(m.Entries, h.Entry)
	}
	c.entries(c.hands.Take(c.now, m))
	if l.Kind != rules.ListBroken {
		select {
		case <-c.ready:
		default:
			close(c.ready)
		}
	}
}

// entries hands the module what it has to hold of the members.
func (c *Core) entries(m rules.MemberList) {
	stays := map[string]bool{}
	for _, e := range m.Entries {
		stays[e.Member] = e.Phase == rules.PhaseOn
	}
	c.notices.take(c.now, m, c.opt.Rules.OnlyDrainingBinds)
	c.router.Members(c.now, m)
	for member, attempts := range c.waiting {
		on, listed := stays[member]
		if on || !listed && m.Kind == rules.ListPatch {
			continue
		}
		for _, a := range attempts {
			a.neverBegins(rules.ResultMoot, "host_withdrawn")
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
	c.opt.Counters.Took(c.now - q.deadline + q.Wait)
	if logging.Debugs() {
		slog.Debug("answered", "id", q.ID, "class", q.Class, "status", a.Status, "attempts", q.sent, "took", c.now-q.deadline+q.Wait)
	}
	q.answered.Store(true)
	q.Reply(a)
}

// unserved gives a final answer that is no service, and counts why.
func (c *Core) unserved(q *Request, a Answer, why rules.Reason) {
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
		a.neverBegins(rules.ResultMoot, "request_ended")
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
	if q.ended || a.number >= c.opt.Rules.MaxAttempts || abandonAt <= c.now {
		a.neverBegins(rules.ResultMoot, "not_started")
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
				a.abandon(rules.ResultCancelled)
			}
		}
	}
}

// Refuse gives a final answer that promises that nothing ran.
func (g *gateway) Refuse(id uint64, comeBack time.Duration, why rules.Reason) {
	if q := g.requests[id]; q != nil {
		(*Core)(g).unserved(q, Answer{Status: Refused, ComeBack: comeBack}, why)
	}
}

// Fail gives a final answer that promises nothing.
func (g *gateway) Fail(id uint64, why rules.Reason) {
	if q := g.requests[id]; q != nil {
		(*Core)(g).unserved(q, Answer{Status: Failed}, why)
	}
}

// Close shuts idle connections to a member.
func (g *gateway) Close(member string) { g.servers.CloseIdle(member) }

// Probe examines a member.
func (g *gateway) Probe(member string, by rules.Conn) {
	c := (*Core)(g)
	c.opt.Counters.Add("probes", 1)
	a := c.attempt(nil, member, c.now+c.opt.ProbeTimeout)
	a.By = by
	c.start(a)
}

// SetTimer asks for a timer event.
func (g *gateway) SetTimer(after time.Duration, name string) {
	g.timers.add(g.now+after, func() { g.router.Timer(g.now, name) })
}

// Subscribe and LookUp have nothing to do: the list's actor holds a watch all the time.
func (g *gateway) Subscribe(bool) {}
func (g *gateway) LookUp()        {}

// ZoneChanged notes that a zone has come into another state.
func (g *gateway) ZoneChanged(c zones.Change) {
	g.opt.Counters.Add("zone_"+c.To.String(), 1)
	slog.Info("zone", "zone", c.Zone, "from", c.From, "to", c.To, "evidence", c.Reason)
}

// Log writes a line for people.
func (g *gateway) Log(text string) { slog.Info("module", "text", text) }
