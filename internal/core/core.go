// Package core drives the routing module. It deals in requests, attempts and outcomes and is independent of the
// database protocols.
//
// One goroutine, the actor, runs Core.Run. It owns the router, its clock and timers, and the table of open requests. It
// alone answers the requests that were submitted to it, each at most once; a request whose client has disconnected gets no
// answer. The actor never waits for another actor: the calls that start work at the database hosts return at once and may
// decline it, and the calls that reply to clients must not block.
package core

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
	"cranegate/internal/override"
	"cranegate/routing"
)

// Host is a database host as discovery lists it. The backend connects to Address; Endpoint is what the router gets, which
// calls the host a member and identifies it by Endpoint.Member.
type Host struct {
	Address  string
	Endpoint routing.Endpoint
}

// EndpointList is an update of the endpoint list from discovery.
type EndpointList struct {
	Kind  routing.EndpointListKind
	Hosts []Host
}

// Backend runs attempts at database hosts. None of its calls may block.
type Backend interface {
	// Update applies an update of the endpoint list. It is called before the router gets the update.
	Update(EndpointList)
	// Start gives an attempt to a host to run. It returns false if the host declines it; the attempt has then not run.
	Start(*Attempt) bool
	// CloseIdle closes all idle connections to a host. A busy backend may ignore the call.
	CloseIdle(member string)
}

// Options are the settings of a Core and, in Routing, of its router.
type Options struct {
	Routing            routing.Config
	Seed               uint64
	AnswerSlack        time.Duration // how long after the client's deadline a final answer may still be given
	HealthCheckTimeout time.Duration
	Counters           *metrics.Counters
	Monitor            *invariant.Monitor // receives violations of the invariants; nil: they are not counted
}

// mailboxSize is the capacity of the actor's mailbox in events. Senders wait while it is full.
const mailboxSize = 1024

// Core is the routing module's actor.
type Core struct {
	options    Options
	classIndex map[string]int // class name to index in the router's configuration
	mailbox    chan event
	done       chan struct{} // closed when the actor has ended
	ready      chan struct{} // closed when the first endpoint list has arrived

	// The actor alone uses the fields below, except for clock and withdrawals.
	backend         Backend
	router          *routing.Router
	clock           clock
	now             time.Duration
	timers          timers
	requests        map[uint64]*Request
	unwritten       map[string][]*Attempt // by member: attempts that may still wait for a connection, with no byte written
	withdrawals     withdrawals
	pendingOutcomes []attemptEnded // to be reported to the router after the current event
	lastRequestID   uint64
	nextZoneCount   time.Duration
	ctx             context.Context // parent of all attempts' contexts; ends with the actor
	overrides       override.Overrides
}

// New makes a Core; Run starts its actor.
func New(options Options, backend Backend) (*Core, error) {
	options.Routing.PositionEpoch = 0 // the core's clock counts from the Unix epoch, and so do positions on the wire
	c := &Core{
		options:    options,
		classIndex: map[string]int{},
		mailbox:    make(chan event, mailboxSize),
		done:       make(chan struct{}),
		ready:      make(chan struct{}),
		backend:    backend,
		clock:      newClock(),
		requests:   map[uint64]*Request{},
		unwritten:  map[string][]*Attempt{},
	}
	for i, class := range options.Routing.Classes {
		c.classIndex[class.Name] = i
	}
	c.now = c.clock.now()
	var err error
	c.router, err = routing.New(c.now, options.Routing, options.Seed, (*gateway)(c))
	return c, err
}

// HasClass reports whether a class of requests is configured.
func (c *Core) HasClass(name string) bool {
	_, ok := c.classIndex[name]
	return ok
}

// Ready returns a channel that is closed once the router has received an endpoint list. The list may name no hosts.
func (c *Core) Ready() <-chan struct{} { return c.ready }

// Timeout returns how long a request waits for its answer: the client's own timeout, but no longer than its class's deadline.
func (c *Core) Timeout(request *Request) time.Duration {
	i, ok := c.classIndex[request.Class]
	if !ok {
		return request.Timeout
	}
	deadline := c.options.Routing.Classes[i].Deadline
	if request.Timeout <= 0 || request.Timeout > deadline { // an answer past the deadline has no value
		return deadline
	}
	return request.Timeout
}

// Effect returns what running a request of a class a second time does.
func (c *Core) Effect(class string) routing.Effect {
	i, ok := c.classIndex[class]
	if !ok {
		return routing.Idempotent // such a request never runs
	}
	return c.options.Routing.Classes[i].Effect
}

// Submit gives a request to the actor. It returns false if the actor has ended; no answer then follows.
func (c *Core) Submit(request *Request) bool {
	return c.post(requestSubmitted{request})
}

// ClientDisconnected marks the request's client as disconnected, so that the request gets no answer. No attempt of the
// request begins after the call, however long the actor takes to handle the event.
func (c *Core) ClientDisconnected(request *Request) {
	request.markDisconnected(c)
	c.post(clientDisconnected{request})
}

// UpdateEndpoints gives an update of the endpoint list to the actor.
func (c *Core) UpdateEndpoints(list EndpointList) {
	c.post(endpointsUpdated{list})
}

// Run is the actor's loop. It ends with the context.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.done)
	c.ctx = ctx
	wake := time.NewTimer(idleWake)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.mailbox:
			c.now = c.clock.now()
			e.handle(c)
		case <-wake.C:
			c.now = c.clock.now()
		}
		c.deliverOutcomes()
		c.countZoneReads()
		for fire, ok := c.timers.popExpired(c.now); ok; fire, ok = c.timers.popExpired(c.now) {
			fire()
			c.deliverOutcomes()
		}
		wake.Reset(c.timers.next(c.clock.now()))
	}
}

// deliverOutcomes passes to the router the outcomes of attempts that ended during the current event. They are passed only
// after the event, because the router must not be called from within one of its own actions.
func (c *Core) deliverOutcomes() {
	for len(c.pendingOutcomes) > 0 {
		ended := c.pendingOutcomes[0]
		c.pendingOutcomes[0] = attemptEnded{} // refers to a statement and its answer
		c.pendingOutcomes = c.pendingOutcomes[1:]
		c.reportOutcome(ended.attempt, ended.outcome)
	}
}

// zoneCountInterval is the minimum time between two additions of the zone tiers' reads to the counters.
const zoneCountInterval = time.Second

// countZoneReads adds to the counters how many reads each zone tier received (tier_N_reads), and how many it should have
// received (tier_N_stated): the sum of the tier's weights in the draws for all reads.
func (c *Core) countZoneReads() {
	zones := c.router.Zones()
	if zones == nil || c.now < c.nextZoneCount {
		return
	}
	c.nextZoneCount = c.now + zoneCountInterval
	for tier, m := range zones.Metrics() {
		c.options.Counters.Add(fmt.Sprintf("tier_%d_reads", tier), int64(m.Reads))
		c.options.Counters.Add(fmt.Sprintf("tier_%d_stated", tier), int64(m.ConfiguredShare*float64(m.All)+0.5))
	}
}

// handleEndpoints applies an update of the endpoint list.
func (c *Core) handleEndpoints(list EndpointList) {
	c.backend.Update(list)
	update := routing.EndpointList{Kind: list.Kind}
	for _, host := range list.Hosts {
		update.Endpoints = append(update.Endpoints, host.Endpoint)
	}
	c.applyEndpoints(c.overrides.Apply(c.now, update))
	if list.Kind != routing.EndpointListFailed {
		select {
		case <-c.ready:
		default:
			close(c.ready)
		}
	}
}

// applyEndpoints gives the router an endpoint list with the manual overrides applied, and withdraws the attempts that wait
// for a connection to a host that no longer serves. This prevents sends to a host after it was listed as draining. A list of
// the kind EndpointListFailed, which package discovery does not send, withdraws all attempts that wait for a connection.
func (c *Core) applyEndpoints(list routing.EndpointList) {
	serving := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		serving[endpoint.Member] = endpoint.Phase == routing.PhaseServing
	}
	c.withdrawals.update(c.now, list, c.options.Routing.UseRemovedMembers)
	c.router.UpdateEndpoints(c.now, list)
	for member, attempts := range c.unwritten {
		serves, listed := serving[member]
		unchanged := !listed && list.Kind == routing.EndpointListPatch
		if serves || unchanged {
			continue
		}
		for _, a := range slices.Clone(attempts) { // a withdrawn attempt removes itself
			a.withdraw(routing.ResultNotSent, "host_withdrawn")
		}
		delete(c.unwritten, member) // the member may never be listed again, which would leave its entry here
	}
}
