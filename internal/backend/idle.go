package backend

import (
	"math"
	"slices"
	"time"

	"cranegate/routing"
)

const (
	reuseDelay        = 100 * time.Millisecond // a connection is not reused before: surplus bytes may follow an answer
	maxConnsForDelay  = 12                     // with as many connections open to a host the delay is not observed
	trimRetryInterval = 50 * time.Millisecond  // after a full mailbox
	newConnWait       = 10 * time.Millisecond  // an attempt that has waited so long for a new connection takes any
)

// takeIdle removes and returns the idle connection that an attempt may go by; nil: it needs a new one.
func (h *host) takeIdle(by routing.ConnPolicy) *pooledConn {
	switch {
	case by == routing.ConnNew:
		return nil
	case by == routing.ConnOldest && len(h.idle) > 0:
		oldest := slices.MinFunc(h.idle, func(a, b *pooledConn) int { return a.openedAt.Compare(b.openedAt) })
		h.removeIdle(oldest)
		return oldest
	}
	return h.takeRecent()
}

// takeRecent removes and returns the most recently used connection of those idle for reuseDelay, so that surplus ones age;
// where many are open and none has been, the one that has been idle longest.
func (h *host) takeRecent() *pooledConn {
	limit := h.pool.idleTimeout.estimate(h.pool.options.IdleTimeout)
	for len(h.idle) > 0 && time.Since(h.idle[0].freedAt) >= limit {
		h.closeIdle(len(h.idle) - 1)
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

// connsScarce reports whether there are too many connections to open another only to observe the reuse delay.
func (h *host) connsScarce() bool { return h.open >= maxConnsForDelay || h.pool.full() }

// putConn returns a connection to the idle ones, unless an attempt waits: a new connection serves that at once, a used one
// only if the attempt has waited for newConnWait.
func (h *host) putConn(c *pooledConn) {
	isNew := c.freedAt.IsZero()
	minWait := newConnWait
	if isNew || h.connsScarce() {
		minWait = 0
	}
	c.freedAt, c.firstUse = time.Now(), false
	if a := h.nextRequest(minWait); a != nil {
		c.firstUse = isNew
		c.give(a)
		return
	}
	h.idle = append(h.idle, c)
	if h.ctx.Err() != nil {
		h.closeIdle(0)
	} else {
		h.trimIdle()
	}
}

// trimIdle closes the idle connections whose time is over, and schedules the next trim. The least recently used have the
// least time left.
func (h *host) trimIdle() {
	now := time.Now()
	for len(h.idle) > 0 {
		if h.pool.sizer.idleTimeLeft(&h.demand, h.idle[0].freedAt, now, len(h.idle)-1) > 0 {
			break
		}
		h.closeIdle(len(h.idle) - 1)
	}
	next := time.Duration(math.MaxInt64)
	for i, c := range h.idle {
		next = min(next, h.pool.sizer.idleTimeLeft(&h.demand, c.freedAt, now, len(h.idle)-1-i))
	}
	if len(h.idle) == 0 || next >= h.pool.options.IdleTimeout { // the connections themselves observe IdleTimeout
		return
	}
	if at := now.Add(next); h.trimAt.IsZero() || at.Before(h.trimAt) {
		h.trimAt = at
		h.scheduleTrim(next)
	}
}

// scheduleTrim has idle connections trimmed after a delay. Where the mailbox is full then it tries again, as no other trim
// is scheduled.
func (h *host) scheduleTrim(delay time.Duration) {
	time.AfterFunc(delay, func() {
		if !h.post(trimIdle{}) && h.ctx.Err() == nil {
			h.scheduleTrim(trimRetryInterval)
		}
	})
}

// closeIdle closes idle connections except for a number of them. The least recently used go first.
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
