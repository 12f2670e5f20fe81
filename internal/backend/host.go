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

// The bounds on the number of messages in one host's mailbox, and in the mailboxes of all hosts together. With more than 1,024
// hosts the total is exceeded, because each mailbox keeps minMailboxSize. An actor handles each message without waiting, so
// that a small mailbox is enough in a list of hundreds of hosts. Each message takes 16 bytes, allocated when the host is listed.
const (
	maxMailboxSize   = 1024
	minMailboxSize   = 128
	totalMailboxSize = 128 << 10 // messages
)

// mailboxSize returns the size of each host's mailbox for a number of listed hosts: 1,024 up to 128 hosts, 128 from 1,024
// hosts on.
func mailboxSize(hosts int) int {
	return min(maxMailboxSize, max(minMailboxSize, totalMailboxSize/max(1, hosts)))
}

// connectLogInterval is the minimum time between two log lines on a host's failed connects: in an outage many fail.
const connectLogInterval = time.Second

// host is the actor of one database host.
type host struct {
	pool            *Pool
	member, address string
	mailbox         chan any        // of *core.Attempt and the messages below
	ctx             context.Context // ends when the host is removed from the list
	retire          context.CancelFunc

	idle       []*pooledConn    // the most recently used at the end
	waiting    []waitingAttempt // the oldest first
	open       int              // connections open or being opened
	connecting int              // the part of open that is still being opened
	demand     poolsize.Host    // how often attempts arrive
	trimAt     time.Time        // when idle connections are trimmed next; zero: not scheduled
	reuseAt    time.Time        // when a reuseIdle arrives next; zero: not scheduled

	connectLogged time.Time // when a failed connect was logged last
}

// waitingAttempt is an attempt that waits for a connection.
type waitingAttempt struct {
	*core.Attempt
	since time.Time
}

// The messages in a host's mailbox, besides attempts.
type (
	closeIdle     struct{}                   // close all idle connections
	trimIdle      struct{}                   // close the idle connections whose idle time is over
	reuseIdle     struct{}                   // give reusable idle connections to waiting attempts
	evictOldest   struct{}                   // close the connection that has been idle longest: its slot is needed elsewhere
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

// run is the actor's loop. It ends once the host is retired and its last connection has ended.
func (h *host) run() error {
	retired := h.ctx.Done()
	for retired != nil || h.open > 0 {
		select {
		case message := <-h.mailbox:
			h.handle(message)
		case <-retired:
			retired = nil
			h.closeIdle(0) // keeps none
		}
	}
	h.failRemaining()
	return nil
}

// failRemaining fails the attempts that remain in the mailbox when the actor ends. They have not run.
func (h *host) failRemaining() {
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
	case reuseIdle:
		h.reuseAt = time.Time{}
		h.reuseIdle()
	case evictOldest:
		h.closeIdle(max(0, len(h.idle)-1))
	case connOpened:
		h.connecting--
		h.putNew(m.conn)
	case connFreed:
		h.putUsed(m.conn)
	case connectFailed:
		h.open--
		h.connecting--
		h.handleConnectFailed(m.err)
	case connClosed:
		h.open--
		h.removeIdle(m.conn)
		h.reassign(m.conn)
	}
	h.failUncovered(routing.ResultConnectFailed, 0)
}

// assign gives an attempt to an idle connection. If there is none for it, assign opens a connection and lets the attempt wait
// or, if the host is retired, fails the attempt.
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
	h.waiting = append(h.waiting, waitingAttempt{a, time.Now()})
	h.open++
	h.connecting++
	h.scheduleReuse()
	h.pool.group.Go(func() error {
		h.openConn()
		return nil
	})
}

// reassign gives the attempt that a connection received just before it ended, and did not begin, to another connection. It
// fails the attempt instead if it was given to a new connection: if each new connection ended like this, the attempt would
// go through new connections until its deadline.
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

// hasWaiting reports whether an attempt still waits. It removes the attempts before the oldest of these, which no longer wait.
func (h *host) hasWaiting() bool {
	for len(h.waiting) > 0 && !h.waiting[0].Waiting() {
		h.removeOldestWaiting()
	}
	return len(h.waiting) > 0
}

// nextWaiting removes and returns the oldest attempt, after hasWaiting has reported that there is one.
func (h *host) nextWaiting() *core.Attempt {
	oldest := h.waiting[0]
	h.removeOldestWaiting()
	return oldest.Attempt
}

// removeOldestWaiting removes the oldest attempt, with the reference to its statement.
func (h *host) removeOldestWaiting() {
	h.waiting[0] = waitingAttempt{}
	h.waiting = h.waiting[1:]
}

// handleConnectFailed handles a failed connect. It fails the oldest waiting attempt, unless other connections are left for all
// waiting attempts.
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
	h.failUncovered(result, delay)
	h.scheduleReuse() // an attempt that waits for a new connection may take a used one now
}

// failUncovered fails the attempts that have waited longest, until each that is left has a connection to come.
func (h *host) failUncovered(result routing.Result, delay time.Duration) {
	for h.hasUncovered() {
		h.waiting = slices.DeleteFunc(h.waiting, func(a waitingAttempt) bool { return !a.Waiting() })
		if h.hasUncovered() {
			h.failAttempt(h.nextWaiting(), result, delay)
		}
	}
}

// hasUncovered reports whether there are more waiting attempts than connections to come: idle ones, which take any attempt once they
// are reusable, and those that are being opened. An attempt that has waited for the connect timeout does not wait for another
// attempt's connect: its own is over.
func (h *host) hasUncovered() bool {
	if len(h.waiting) <= len(h.idle) {
		return false
	}
	return len(h.waiting) > len(h.idle)+h.connecting || time.Since(h.waiting[0].since) >= h.pool.options.ConnectTimeout
}

// failAttempt ends an attempt of which nothing was written, after a delay or as soon as it is abandoned. It does not call
// Begin, so that the attempt counts as never run even if its deadline passes before the core handles the outcome. A separate
// goroutine waits for the delay and reports the outcome, because Done waits while the core's mailbox is full. Meanwhile this
// actor must empty its own mailbox: the core does not wait for it, and attempts fail while the mailbox is full.
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

// recordRejection records that the host rejected a new connection, or rejected a new connection's first attempt and closed
// the connection. The host is short of capacity for connections.
func (h *host) recordRejection() {
	h.pool.options.Counters.Add("server_connections_no_room", 1)
	if h.pool.sizer.recordRejection() {
		h.pool.broadcast(trimIdle{}) // idle connections to the other hosts use up capacity there, too
	}
}
