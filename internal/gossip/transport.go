// Package gossip is the transport of the membership protocol: it sends and receives the messages of a membership.Node as
// datagrams, and full state exchanges over streams. Messages are sealed with the fleet's keys.
//
// One goroutine, the actor, owns the node. Readers pass messages to it through a bounded mailbox. They drop a message when
// the mailbox is full, because the protocol tolerates lost messages. No client's request waits for this package:
// Options.OnSizeChange passes the number of gateways and the budget share on when they change.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/membership"
	"cranegate/internal/metrics"
)

// Bounds and timeouts of the sockets.
const (
	tickInterval    = 50 * time.Millisecond
	mailboxSize     = 256
	maxQueued       = 1024                 // datagrams that wait to be sent
	burstSize       = 32                   // datagrams sent at once
	burstInterval   = 2 * time.Millisecond // between two bursts from a queue that is not empty: 16,000 datagrams a second
	maxStreamsIn    = 16                   // handled at a time
	maxStreamsOut   = 8
	dialTimeout     = time.Second
	streamTimeout   = 3 * time.Second // for one full state exchange
	leaveTimeout    = 200 * time.Millisecond
	fullLogInterval = time.Minute // between two log lines about a full fleet
)

// Options are the settings of a Transport.
type Options struct {
	Members  membership.Options // Addr is the address at which other members reach this one
	Listen   string             // the address for datagrams and streams
	Keys     Keys               // without keys, messages are not sealed
	Counters *metrics.Counters

	// OnSizeChange is called by the actor when the number of gateways to assume has changed, and also when only this
	// gateway's share of fleet-wide budgets (see membership.Node.BudgetShare) has. It must not block.
	OnSizeChange func(gateways int, budgetShare float64)
}

// Transport connects one gateway to the others of its fleet. Its exported methods are safe for concurrent use.
type Transport struct {
	options   Options
	sealer    *sealer
	udp       *net.UDPConn
	tcp       *net.TCPListener
	startedAt time.Time
	mailbox   chan membership.Message
	calls     chan func()
	done      chan struct{} // closed when the actor has stopped
	sending   errgroup.Group

	// Owned by the actor.
	node           *membership.Node
	queue          []datagram
	size           int           // last reported to OnSizeChange
	budgetShare    float64       // last reported to OnSizeChange
	loggedRejected int           // number of rejected members in the last fleet_full log line
	lastFullLog    time.Duration // time of that log line
}

// callBacklog is the number of calls that may wait for the actor.
const callBacklog = 16

// datagram is a sealed message that waits to be sent.
type datagram struct {
	to      netip.AddrPort
	payload []byte
}

// Listen opens the sockets; Run serves them. It fails if the address can't be listened on, or if an option or a key
// is invalid.
func Listen(opt Options) (*Transport, error) {
	t := &Transport{
		options:   opt,
		startedAt: time.Now(),
		mailbox:   make(chan membership.Message, mailboxSize),
		calls:     make(chan func(), callBacklog),
		done:      make(chan struct{}),
	}
	var err error
	if t.sealer, err = newSealer(opt.Members.Fleet, opt.Keys); err != nil {
		return nil, err
	}
	if t.node, err = membership.New(0, opt.Members); err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening for other gateways: %w", err)
	}
	if t.udp, err = net.ListenUDP("udp", address); err != nil {
		return nil, fmt.Errorf("listening for other gateways: %w", err)
	}
	port := t.udp.LocalAddr().(*net.UDPAddr).Port
	if t.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: address.IP, Port: port, Zone: address.Zone}); err != nil {
		t.udp.Close()
		return nil, fmt.Errorf("listening for other gateways: %w", err)
	}
	t.sending.SetLimit(maxStreamsOut)
	return t, nil
}

// Addr returns the address of the sockets.
func (t *Transport) Addr() netip.AddrPort { return t.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run serves the sockets until the context ends, and then closes them.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() {
		t.udp.Close()
		t.tcp.Close()
	})()
	group.Go(func() error { return t.readDatagrams(ctx) })
	group.Go(func() error { return t.acceptStreams(ctx) })
	group.Go(func() error {
		defer close(t.done)
		return t.runActor(ctx)
	})
	err := group.Wait()
	t.sending.Wait()
	return err
}

// ErrStopped is returned by methods that need the actor after it has stopped.
var ErrStopped = errors.New("gossip: stopped")

// runActor is the goroutine that owns the node.
func (t *Transport) runActor(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	nextBurst := time.NewTimer(burstInterval)
	defer nextBurst.Stop()
	waiting := false // true while the queue waits for nextBurst
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-t.mailbox:
			t.node.Step(t.now(), m)
		case call := <-t.calls:
			call()
		case <-tick.C:
			t.node.Tick(t.now())
		case <-nextBurst.C:
			waiting = false
		}
		t.collect()
		if waiting || len(t.queue) == 0 {
			continue
		}
		t.flush()
		if len(t.queue) > 0 {
			waiting = true
			nextBurst.Reset(burstInterval)
		}
	}
}

// now returns the node's clock. It is monotonic, so that steps of the wall clock change nothing.
func (t *Transport) now() time.Duration { return time.Since(t.startedAt) }

// collect queues the node's datagrams, starts its full state exchanges, and reports its changes.
func (t *Transport) collect() {
	messages, changes := t.node.Ready()
	for _, change := range changes {
		t.logChange(change)
	}
	for _, message := range messages {
		t.send(message)
	}
	t.logFleetFull()
	size := t.node.Size()
	budgetShare := t.node.BudgetShare()
	if size == t.size && budgetShare == t.budgetShare {
		return
	}
	if t.size != 0 {
		slog.Info("fleet_size_changed", "gateways", size, "budget_share", budgetShare, "before", t.size)
	}
	t.size = size
	t.budgetShare = budgetShare
	if t.options.OnSizeChange != nil {
		t.options.OnSizeChange(size, budgetShare)
	}
}

// logFleetFull logs that members were rejected because the view is full, at most once in fullLogInterval.
func (t *Transport) logFleetFull() {
	rejected := t.node.Rejected()
	now := t.now()
	if rejected == t.loggedRejected || t.loggedRejected > 0 && now-t.lastFullLog < fullLogInterval {
		return
	}
	t.loggedRejected = rejected
	t.lastFullLog = now
	slog.Warn("fleet_full", "error", FleetFullError{1 + len(t.node.Members())}, "rejected", rejected)
}

// FleetFullError reports that a gateway was not added to the view because the view is full.
type FleetFullError struct {
	Gateways int // in the view
}

// Error states the limit and what an operator can do.
func (e FleetFullError) Error() string {
	return fmt.Sprintf("the fleet has %d gateways, the largest number allowed; stop some, or give the others a different fleet name (fleet.fleet)",
		e.Gateways)
}

// logChange logs and counts a change of a member.
func (t *Transport) logChange(c membership.Change) {
	from := c.From.String()
	if c.New {
		from = "new"
	}
	t.options.Counters.Add("peers_changes_to_"+c.Member.State.String(), 1)
	slog.Info("member_changed", "name", c.Member.Name, "incarnation", formatIncarnation(c.Member.Incarnation), "address", c.Member.Addr,
		"zone", c.Member.Zone, "from", from, "to", c.Member.State.String(), "reporter", c.Reporter, "reason", c.Reason,
		"after", c.SinceLastChange.Round(time.Millisecond).String())
}

// formatIncarnation formats an incarnation for logs and the members' page.
func formatIncarnation(incarnation membership.Incarnation) string {
	return fmt.Sprintf("%016x", uint64(incarnation))
}

// callActor runs a function in the actor and waits for it.
func (t *Transport) callActor(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case t.calls <- func() {
		f()
		close(ran)
	}:
	case <-t.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-t.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reload replaces the keys and then the join addresses. If a key is invalid, it changes nothing. After any other error the keys are
// replaced, although the actor may not have taken over the join addresses.
func (t *Transport) Reload(ctx context.Context, join []string, keys Keys) error {
	if err := t.sealer.replace(keys); err != nil {
		return err
	}
	return t.callActor(ctx, func() { t.node.Join(join) })
}

// Drain announces that this gateway accepts no new work.
func (t *Transport) Drain() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	t.callActor(ctx, t.node.Drain) // an error means that Run has ended, or that the actor did not answer within leaveTimeout
}

// Leave announces that this gateway stops, and returns when the announcement is sent. If the actor has not sent it within leaveTimeout,
// Leave returns without it.
func (t *Transport) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	t.callActor(ctx, func() {
		t.queue = nil // the announcement goes first; other messages no longer matter
		t.node.Leave()
		t.collect()
		t.flush()
	})
}
