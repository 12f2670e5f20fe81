package backend

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/poolsize"
	"cranegate/routing"
)

// What may wait for a host's actor, and for those of all hosts together: the actors only sort, so that hundreds of hosts need
// no room for a crowd at each. A place takes 16 bytes, as soon as the host is listed.
const (
	mailboxSize  = 1024
	mailboxLeast = 128
	mailboxesAll = 128 << 10
)

// mailboxOf is the size of a mailbox among so many hosts: 1,024 up to 128 hosts, 128 from 1,024 hosts on.
func mailboxOf(hosts int) int {
	return min(mailboxSize, max(mailboxLeast, mailboxesAll/max(1, hosts)))
}

const (
	restFor   = 100 * time.Millisecond // a connection rests after an answer: what does not belong to it may follow
	mostRests = 12                     // but no more than so many connections to a host are opened for that
	lookAgain = 50 * time.Millisecond  // after a full mailbox
	waitFor   = 10 * time.Millisecond  // an attempt that has waited so long for a new connection takes any
)

// host is one database host's actor.
type host struct {
	pool          *Pool
	name, address string
	mailbox       chan any
	ctx           context.Context // ends when the host is gone from the list
	retire        context.CancelFunc

	idle    []*link // the one used last is at the end
	waiting []waiter
	links   int           // connections open or being opened
	opening int           // of those: not yet up
	asked   poolsize.Host // how often attempts come
	trimAt  time.Time     // when idle connections are looked at next; zero: not planned

	loggedAt time.Time // when a failed connect was logged last
}

// waiter is an attempt without a connection.
type waiter struct {
	*core.Attempt
	since time.Time
}

// What a host's mailbox takes, beside attempts.
type (
	closeIdle struct{}
	trim      struct{}            // some idle connection's time may be up
	relieve   struct{}            // another host's connection needs a descriptor
	opened    struct{ l *link }   // a connection is up
	notOpened struct{ err error } // or is not
	freed     struct{ l *link }   // a connection can take another attempt
	lost      struct{ l *link }   // a connection has ended
)

// tell puts a message into the mailbox without waiting.
func (h *host) tell(m any) bool {
	select {
	case h.mailbox <- m:
		return true
	default:
		return false
	}
}

// run is the actor's life: until the host is gone and its last connection has ended.
func (h *host) run() error {
	gone := h.ctx.Done()
	for gone != nil || h.links > 0 {
		select {
		case m := <-h.mailbox:
			h.take(m)
		case <-gone:
			gone = nil
			h.closeIdle(0)
		}
	}
	for { // what came too late never ran
		select {
		case m := <-h.mailbox:
			if a, ok := m.(*core.Attempt); ok {
				h.fail(a, routing.ResultConnectFailed)
			}
		default:
			return nil
		}
	}
}

func (h *host) take(m any) {
	switch m := m.(type) {
	case *core.Attempt:
		h.place(m)
	case closeIdle:
		h.closeIdle(0)
	case trim:
		h.trimAt = time.Time{}
		h.trim()
	case relieve:
		h.closeIdle(max(0, len(h.idle)-1))
	case opened:
		h.opening--
		h.free(m.l)
	case freed:
		h.free(m.l)
	case notOpened:
		h.links--
		h.opening--
		h.notOpened(m.err)
	case lost:
		h.links--
		h.drop(m.l)
		select {
		case a := <-m.l.jobs: // it was handed over as the connection ended, and never began
			if m.l.untried { // or it would go round for all its time where each new connection ends like this
				h.fail(a, routing.ResultConnectFailed)
			} else {
				h.place(a)
			}
		default:
		}
	}
}

// place gives an attempt an idle connection, or opens one and lets it wait for that.
func (h *host) place(a *core.Attempt) {
	if !a.Waiting() {
		return
	}
	h.pool.keep.asked(&h.asked)
	if l := h.link(a.Conn); l != nil {
		l.give(a)
		return
	}
	if h.ctx.Err() != nil {
		h.fail(a, routing.ResultConnectFailed)
		return
	}
	h.waiting = append(h.waiting, waiter{a, time.Now()})
	h.links++
	h.opening++
	h.pool.group.Go(func() error { h.open(); return nil })
}

// link takes the idle connection that an attempt may go by; nil: a new one.
func (h *host) link(by routing.ConnPolicy) *link {
	switch {
	case by == routing.ConnNew:
		return nil
	case by == routing.ConnOldest && len(h.idle) > 0:
		l := slices.MinFunc(h.idle, func(a, b *link) int { return a.openedAt.Compare(b.openedAt) })
		h.drop(l)
		return l
	}
	return h.rested()
}

// rested takes the idle connection that was used last of those that have rested since, so that the surplus ages;
// where many are open and none has, the one that rests longest.
func (h *host) rested() *link {
	trusted := h.pool.stale.trusted(h.pool.opt.IdleTimeout)
	for len(h.idle) > 0 && time.Since(h.idle[0].freedAt) >= trusted {
		h.closeIdle(len(h.idle) - 1)
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		if l := h.idle[i]; time.Since(l.freedAt) >= restFor || i == 0 && (h.links >= mostRests || h.pool.full()) {
			h.idle = append(h.idle[:i:i], h.idle[i+1:]...)
			return l
		}
	}
	return nil
}

// next takes the oldest attempt that still waits, if it has done so for a time.
func (h *host) next(atLeast time.Duration) *core.Attempt {
	for len(h.waiting) > 0 {
		w := h.waiting[0]
		if w.Waiting() && time.Since(w.since) < atLeast {
			return nil
		}
		h.waiting = h.waiting[1:]
		if w.Waiting() {
			return w.Attempt
		}
	}
	return nil
}

// free keeps a connection idle, unless an attempt waits: a new one serves that at once, a used one only if it has
// waited in vain.
func (h *host) free(l *link) {
	wait := waitFor
	if l.freedAt.IsZero() || h.links >= mostRests || h.pool.full() {
		wait = 0
	}
	first := l.freedAt.IsZero()
	l.freedAt, l.untried = time.Now(), false
	if a := h.next(wait); a != nil {
		l.untried = first
		l.give(a)
		return
	}
	h.idle = append(h.idle, l)
	if h.ctx.Err() != nil {
		h.closeIdle(0)
	} else {
		h.trim()
	}
}

// trim closes the idle connections whose time is up, and plans the next look. Those used longest ago have the least
// time left.
func (h *host) trim() {
	now := time.Now()
	next := time.Duration(math.MaxInt64)
	for len(h.idle) > 0 {
		if h.pool.keep.left(&h.asked, h.idle[0].freedAt, now, len(h.idle)-1) > 0 {
			break
		}
		h.closeIdle(len(h.idle) - 1)
	}
	for i, l := range h.idle {
		next = min(next, h.pool.keep.left(&h.asked, l.freedAt, now, len(h.idle)-1-i))
	}
	if at := now.Add(next); len(h.idle) > 0 && next < h.pool.opt.IdleTimeout && (h.trimAt.IsZero() || at.Before(h.trimAt)) {
		h.trimAt = at
		h.lookAfter(next)
	}
}

// lookAfter has idle connections looked at after a time. Where the mailbox is full it comes again: no other look is planned.
func (h *host) lookAfter(wait time.Duration) {
	time.AfterFunc(wait, func() {
		if !h.tell(trim{}) && h.ctx.Err() == nil {
			h.lookAfter(lookAgain)
		}
	})
}

// closeIdle closes idle connections but for a number of them. The oldest go first.
func (h *host) closeIdle(keep int) {
	for len(h.idle) > keep {
		l := h.idle[0]
		h.idle = h.idle[1:]
		l.conn.Close()
	}
}

func (h *host) drop(l *link) {
	for i, x := range h.idle {
		if x == l {
			h.idle = append(h.idle[:i:i], h.idle[i+1:]...)
			return
		}
	}
}

// notOpened takes a connection that did not come up: the oldest attempt has waited for it, unless another one is coming up for
// that.
func (h *host) notOpened(err error) {
	result, wait := routing.ResultConnectFailed, time.Duration(0)
	switch {
	case errors.Is(err, ErrRejected):
		result = routing.ResultOverCapacity
		h.noRoom()
	case ownFault(err):
		result, wait = routing.ResultNotSent, ownFaultWait
		h.pool.opt.Counters.Add("server_connects_failed_here", 1)
	}
	h.pool.opt.Counters.Add("server_connects_failed", 1)
	if now := time.Now(); now.Sub(h.loggedAt) > time.Second { // an outage fails many
		h.loggedAt = now
		slog.Warn("connect_failed", "member", h.name, "error", err)
	}
	if h.expected() {
		return
	}
	if a := h.next(0); a != nil && len(h.idle) > 0 {
		l := h.idle[0]
		h.idle = h.idle[1:]
		l.give(a)
	} else if a != nil {
		h.failAfter(wait, a, result)
	}
}

// expected says whether each attempt that waits has a connection coming up still: others were served by used connections, or
// ended. One that has waited for as long as its own connect may have taken isn't made to wait for another's.
func (h *host) expected() bool {
	h.waiting = slices.DeleteFunc(h.waiting, func(w waiter) bool { return !w.Waiting() })
	return len(h.waiting) <= h.opening && (len(h.waiting) == 0 || time.Since(h.waiting[0].since) < h.pool.opt.ConnectTimeout)
}

// fail ends an attempt that was never written. It does not begin: where its time runs out before the core hears of this, it
// still never ran. The core hears of it from a goroutine of its own, as this actor must not wait for the core, which may be
// telling it something.
func (h *host) fail(a *core.Attempt, result routing.Result) { h.failAfter(0, a, result) }

// failAfter is fail some time later, or as soon as the attempt is given up.
func (h *host) failAfter(wait time.Duration, a *core.Attempt, result routing.Result) {
	if !a.Waiting() {
		return
	}
	h.pool.group.Go(func() error {
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-a.Context().Done():
			}
		}
		a.Done(core.Outcome{Result: result})
		return nil
	})
}

// noRoom notes a new connection that brought nothing but a refusal and its end: the host is short of room for
// connections. A full queue leaves them open.
func (h *host) noRoom() {
	h.pool.opt.Counters.Add("server_connections_no_room", 1)
	if h.pool.keep.noRoom() {
		h.pool.tell(trim{}) // what is kept idle elsewhere keeps others out, too
	}
}
