package backend

import (
	"math"
	"slices"
	"time"

	"cranegate/routing"
)

const (
	reuseDelay        = 100 * time.Millisecond // idle time before reuse, so that surplus bytes of the last answer arrive before it
	maxConnsForDelay  = 12                     // with this many connections open to a host, reuseDelay does not apply
	trimRetryInterval = 50 * time.Millisecond  // until a trim is posted again to a mailbox that was full
	newConnWait       = 10 * time.Millisecond  // after it an attempt that waits for a new connection also takes a used one
)

// takeIdle removes and returns an idle connection that a policy allows an attempt to use, or returns nil if the attempt
// needs a new connection. With ConnOldest neither reuseDelay nor the estimated idle timeout applies.
func (h *host) takeIdle(policy routing.ConnPolicy) *pooledConn {
	switch {
	case policy == routing.ConnNew:
		return nil
	case policy == routing.ConnOldest && len(h.idle) > 0:
		oldest := slices.MinFunc(h.idle, func(a, b *pooledConn) int { return a.openedAt.Compare(b.openedAt) })
		h.removeIdle(oldest)
		return oldest
	}
	return h.takeRecent()
}

// takeRecent removes and returns the most recently used connection that has been idle for reuseDelay, so that surplus
// connections stay idle until they are closed. If there is none and connections are scarce, it takes the one that has been
// idle longest. First it closes the connections that have been idle for the estimated idle timeout.
func (h *host) takeRecent() *pooledConn {
	limit := h.pool.idleTimeout.estimate(h.pool.options.IdleTimeout)
	for len(h.idle) > 0 && time.Since(h.idle[0].freedAt) >= limit {
		h.closeIdle(len(h.idle) - 1) // closes the least recently used one
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if time.Since(c.freedAt) >= reuseDelay || i == 0 && h.connsScarce() {
			h.idle = append(h.idle[:i:i], h.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// connsScarce reports whether so many connections are open that no other is to be opened only because of reuseDelay.
func (h *host) connsScarce() bool { return h.open >= maxConnsForDelay || h.pool.full() }

// putConn gives a free connection to a waiting attempt, or else adds it to the idle ones. A used connection takes only an
// attempt that has waited for newConnWait, unless connections are scarce; a new one takes any.
func (h *host) putConn(c *pooledConn) {
	isNew := c.freedAt.IsZero()
	minWait := newConnWait
	if isNew || h.connsScarce() {
		minWait = 0
	}
	c.freedAt, c.firstUse = time.Now(), false
	if a := h.nextWaiting(minWait); a != nil {
		c.firstUse = isNew
		c.give(a)
		return
	}
	h.idle = append(h.idle, c)
	if h.ctx.Err() != nil {
		h.closeIdle(0) // keeps none
	} else {
		h.trimIdle()
	}
}

// trimIdle closes the idle connections whose idle time by the sizer is over, and schedules the next trim. The least recently
// used one always has the least time left: it has been idle longest, and the sizer gives it the shortest time.
//
// An idle connection is closed by the earliest of three limits: Options.IdleTimeout, the estimated idle timeout, which is
// never longer and which the connection's goroutine applies, and the time that the sizer gives it.
func (h *host) trimIdle() {
	now := time.Now()
	for len(h.idle) > 0 {
		if h.pool.sizer.idleTimeLeft(&h.demand, h.idle[0].freedAt, now, len(h.idle)-1) > 0 {
			break
		}
		h.closeIdle(len(h.idle) - 1) // closes the least recently used one
	}
	next := time.Duration(math.MaxInt64)
	for i, c := range h.idle {
		next = min(next, h.pool.sizer.idleTimeLeft(&h.demand, c.freedAt, now, len(h.idle)-1-i))
	}
	if len(h.idle) == 0 || next >= h.pool.options.IdleTimeout { // each connection's goroutine applies IdleTimeout itself
		return
	}
	if at := now.Add(next); h.trimAt.IsZero() || at.Before(h.trimAt) {
		h.trimAt = at
		h.scheduleTrim(next)
	}
}

// scheduleTrim posts a trimIdle after a delay. If the mailbox is full then, it tries again, as no other trim is scheduled.
func (h *host) scheduleTrim(delay time.Duration) {
	time.AfterFunc(delay, func() {
		if !h.post(trimIdle{}) && h.ctx.Err() == nil {
			h.scheduleTrim(trimRetryInterval)
		}
	})
}

// closeIdle closes the least recently used idle connections until at most keep are left.
func (h *host) closeIdle(keep int) {
	for len(h.idle) > keep {
		c := h.idle[0]
		h.idle = h.idle[1:]
		c.conn.Close()
	}
}

// removeIdle removes a connection from the idle ones, if it is one.
func (h *host) removeIdle(c *pooledConn) {
	if i := slices.Index(h.idle, c); i >= 0 {
		h.idle = append(h.idle[:i:i], h.idle[i+1:]...)
	}
}
