package backend

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/poolsize"
	"cranegate/routing"
)

// The bounds on the messages that may wait for one host's actor, and for those of all hosts together. The actors only sort, so
// that they need no large mailboxes where there are hundreds. A message takes 16 bytes, allocated when the host is listed.
const (
	maxMailboxSize   = 1024
	minMailboxSize   = 128
	totalMailboxSize = 128 << 10
)

// mailboxSize returns the size of a host's mailbox among so many hosts: 1,024 up to 128 hosts, 128 from 1,024 hosts on.
func mailboxSize(hosts int) int {
	return min(maxMailboxSize, max(minMailboxSize, totalMailboxSize/max(1, hosts)))
}

// connectLogInterval is how often a host's failed connects are logged at most: an outage fails many.
const connectLogInterval = time.Second

// host is one database host's actor.
type host struct {
	pool            *Pool
	member, address string
	mailbox         chan any        // takes *core.Attempt and the messages below
	ctx             context.Context // ends when the host is removed from the list
	retire          context.CancelFunc

	idle       []*pooledConn // the most recently used at the end
	waiting    []connRequest // the oldest first
	open       int           // connections open or being opened
	connecting int           // of those: being opened
	demand     poolsize.Host // how often attempts come
	trimAt     time.Time     // when idle connections are trimmed next; zero: not scheduled

	connectLogged time.Time // when a failed connect was logged last
}

// connRequest is an attempt that waits for a connection.
type connRequest struct {
	*core.Attempt
	since time.Time
}

// The messages of a host's mailbox, beside attempts.
type (
	closeIdle     struct{}                   // close all idle connections
	trimIdle      struct{}                   // close the idle connections whose time is over
	evictOldest   struct{}                   // close the longest idle connection: another host's needs a slot
	connOpened    struct{ conn *pooledConn } // a new connection is ready
	connectFailed struct{ err error }        // a new connection failed
	connFreed     struct{ conn *pooledConn } // a connection can take another attempt
	connClosed    struct{ conn *pooledConn } // a connection has ended
)

// post puts a message into the mailbox without waiting. It returns false if the mailbox is full.
func (h *host) post(message any) bool {
	select {
	case h.mailbox <- message:
		return true
	default:
		return false
	}
}

// run is the actor's loop: until the host is retired and its last connection has ended.
func (h *host) run() error {
	retired := h.ctx.Done()
	for retired != nil || h.open > 0 {
		select {
		case message := <-h.mailbox:
			h.handle(message)
		case <-retired:
			retired = nil
			h.closeIdle(0)
		}
	}
	h.failLeft()
	return nil
}

// failLeft fails the attempts that are left in the mailbox when the actor ends: they have not run.
func (h *host) failLeft() {
	for {
		select {
		case message := <-h.mailbox:
			if a, ok := message.(*core.Attempt); ok {
				h.failAttempt(a, routing.ResultConnectFailed, 0)
			}
		default:
			return
		}
	}
}

func (h *host) handle(message any) {
	switch m := message.(type) {
	case *core.Attempt:
		h.assign(m)
	case closeIdle:
		h.closeIdle(0)
	case trimIdle:
		h.trimAt = time.Time{}
		h.trimIdle()
	case evictOldest:
		h.closeIdle(max(0, len(h.idle)-1))
	case connOpened:
		h.connecting--
		h.putConn(m.conn)
	case connFreed:
		h.putConn(m.conn)
	case connectFailed:
		h.open--
		h.connecting--
		h.handleConnectFailed(m.err)
	case connClosed:
		h.open--
		h.removeIdle(m.conn)
		h.reassign(m.conn)
	}
}

// assign gives an attempt an idle connection, or opens one and lets the attempt wait for it.
func (h *host) assign(a *core.Attempt) {
	if !a.Waiting() {
		return
	}
	h.pool.sizer.recordAttempt(&h.demand)
	if c := h.takeIdle(a.Conn); c != nil {
		c.give(a)
		return
	}
	if h.ctx.Err() != nil {
		h.failAttempt(a, routing.ResultConnectFailed, 0)
		return
	}
	h.waiting = append(h.waiting, connRequest{a, time.Now()})
	h.open++
	h.connecting++
	h.pool.group.Go(func() error {
		h.openConn()
		return nil
	})
}

// reassign gives the attempt that was handed to a connection as that ended, and never began, another connection. If it was
// the connection's first it fails: where each new connection ends like this it would try one after the other until its
// deadline.
func (h *host) reassign(c *pooledConn) {
	select {
	case a := <-c.attempts:
		if c.firstUse {
			h.failAttempt(a, routing.ResultConnectFailed, 0)
		} else {
			h.assign(a)
		}
	default:
	}
}

// nextRequest removes and returns the oldest attempt that still waits, if it has waited for at least minWait; else nil.
func (h *host) nextRequest(minWait time.Duration) *core.Attempt {
	for len(h.waiting) > 0 {
		request := h.waiting[0]
		if request.Waiting() && time.Since(request.since) < minWait {
			return nil
		}
		h.waiting = h.waiting[1:]
		if request.Waiting() {
			return request.Attempt
		}
	}
	return nil
}

// handleConnectFailed handles a failed connect: the oldest attempt has waited for it, unless another connection is being
// opened for that.
func (h *host) handleConnectFailed(err error) {
	result, delay := routing.ResultConnectFailed, time.Duration(0)
	switch {
	case errors.Is(err, ErrRejected):
		result = routing.ResultOverCapacity
		h.recordRejection()
	case isLocalFault(err):
		result, delay = routing.ResultNotSent, localFaultDelay
		h.pool.options.Counters.Add("server_connects_failed_here", 1)
	}
	h.pool.options.Counters.Add("server_connects_failed", 1)
	if now := time.Now(); now.Sub(h.connectLogged) > connectLogInterval {
		h.connectLogged = now
		slog.Warn("connect_failed", "host", h.member, "error", err)
	}
	if h.connectsCoverWaiting() {
		return
	}
	a := h.nextRequest(0)
	switch {
	case a == nil:
	case len(h.idle) > 0:
		c := h.idle[0]
		h.idle = h.idle[1:]
		c.give(a)
	default:
		h.failAttempt(a, result, delay)
	}
}

// connectsCoverWaiting reports whether each attempt that waits still has a connection being opened for it: others were
// served by used connections, or have ended. An attempt that has waited for as long as its own connect may have taken
// must not wait for another's.
func (h *host) connectsCoverWaiting() bool {
	h.waiting = slices.DeleteFunc(h.waiting, func(r connRequest) bool { return !r.Waiting() })
	if len(h.waiting) > h.connecting {
		return false
	}
	return len(h.waiting) == 0 || time.Since(h.waiting[0].since) < h.pool.options.ConnectTimeout
}

// failAttempt ends an attempt that was never written, after a delay or as soon as it is abandoned. It does not begin: where
// its deadline passes before the core handles the outcome, it still never ran. The outcome is reported from a goroutine of
// its own, as this actor must not wait for the core, which may be calling it.
func (h *host) failAttempt(a *core.Attempt, result routing.Result, delay time.Duration) {
	if !a.Waiting() {
		return
	}
	h.pool.group.Go(func() error {
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-a.Context().Done():
			}
		}
		a.Done(core.Outcome{Result: result})
		return nil
	})
}

// recordRejection records a new connection that the host rejected, or closed after it rejected the first attempt: the host
// is short of capacity for connections.
func (h *host) recordRejection() {
	h.pool.options.Counters.Add("server_connections_no_room", 1)
	if h.pool.sizer.recordRejection() {
		h.pool.broadcast(trimIdle{}) // idle connections to other hosts use up capacity there, too
	}
}
