package backend

import (
	"math"
	"slices"
	"time"

	"cranegate/routing"
)

// ReuseDelay is how long a connection stays unused behind an answer. Nothing ties an answer to its statement, so bytes that the host
// sends behind an answer, such as a second copy of it, have to arrive before the next statement is written.
const ReuseDelay = 100 * time.Millisecond

const (
	postRetryInterval = 50 * time.Millisecond // until a message is posted again to a mailbox that was full
	newConnWait       = 10 * time.Millisecond // after it an attempt that waits for a new connection also takes a used one
)

// takeIdle removes and returns an idle connection that a policy allows an attempt to use, or returns nil if the attempt
// needs a new connection. Whatever the policy, the connection is reusable. With ConnOldest the estimated idle timeout does not apply.
func (h *host) takeIdle(policy routing.ConnPolicy) *pooledConn {
	switch policy {
	case routing.ConnNew:
		return nil
	case routing.ConnOldest:
		return h.takeOldest()
	}
	return h.takeRecent()
}

// takeOldest removes and returns the connection that was opened first among the reusable ones, or returns nil.
func (h *host) takeOldest() *pooledConn {
	var oldest *pooledConn
	for _, c := range h.idle {
		if c.reusable() && (oldest == nil || c.openedAt.Before(oldest.openedAt)) {
			oldest = c
		}
	}
	h.removeIdle(oldest)
	return oldest
}

// takeRecent removes and returns the most recently used connection that is reusable, so that surplus connections stay idle until
// they are closed, or returns nil. First it closes the connections that have been idle for the estimated idle timeout.
func (h *host) takeRecent() *pooledConn {
	h.closeExpired()
	for _, c := range slices.Backward(h.idle) {
		if c.reusable() {
			h.removeIdle(c)
			return c
		}
	}
	return nil
}

// closeExpired closes the connections that have been idle for the estimated idle timeout.
func (h *host) closeExpired() {
	limit := h.pool.idleTimeout.estimate(h.pool.options.IdleTimeout)
	for len(h.idle) > 0 && time.Since(h.idle[0].freedAt) >= limit {
		h.closeIdle(len(h.idle) - 1) // closes the least recently used one
	}
}

// reusable reports whether an idle connection can take an attempt: it has been idle for ReuseDelay, or has carried no statement yet.
func (c *pooledConn) reusable() bool { return !c.used || time.Since(c.freedAt) >= ReuseDelay }

// putNew gives a new connection to the oldest waiting attempt, or else adds it to the idle ones.
func (h *host) putNew(c *pooledConn) {
	c.freedAt = time.Now()
	if h.hasWaiting() {
		c.firstUse = true
		c.give(h.nextWaiting())
		return
	}
	h.addIdle(c)
}

// putUsed adds a connection that an attempt has used to the idle ones.
func (h *host) putUsed(c *pooledConn) {
	c.freedAt, c.firstUse = time.Now(), false
	h.addIdle(c)
	h.scheduleReuse()
}

// addIdle adds a connection to the idle ones, or closes it if the host is retired.
func (h *host) addIdle(c *pooledConn) {
	h.idle = append(h.idle, c)
	if h.ctx.Err() != nil {
		h.closeIdle(0) // keeps none
	} else {
		h.trimIdle()
	}
}

// reuseIdle gives reusable connections to the attempts that have waited for newConnWait and may take a used one.
func (h *host) reuseIdle() {
	for {
		next := h.nextReuse()
		if next < 0 || time.Since(h.waiting[next].since) < newConnWait {
			break
		}
		c := h.takeRecent()
		if c == nil {
			break
		}
		c.give(h.waiting[next].Attempt)
		h.waiting = slices.Delete(h.waiting, next, next+1)
	}
	h.scheduleReuse()
}

// nextReuse returns the index of the oldest waiting attempt that may take a used connection, or -1. An attempt with ConnNew may only
// if fewer connections are being opened than attempts wait, as its own connect has failed. It first removes the attempts that no
// longer wait.
func (h *host) nextReuse() int {
	h.waiting = slices.DeleteFunc(h.waiting, func(a waitingAttempt) bool { return !a.Waiting() })
	return slices.IndexFunc(h.waiting, func(a waitingAttempt) bool {
		return a.Conn != routing.ConnNew || h.connecting < len(h.waiting)
	})
}

// scheduleReuse schedules the next reuseIdle, unless no connection is idle or no waiting attempt may take a used one.
func (h *host) scheduleReuse() {
	if len(h.idle) == 0 {
		return
	}
	next := h.nextReuse()
	if next < 0 {
		return
	}
	at := h.idle[0].freedAt.Add(ReuseDelay)
	if waited := h.waiting[next].since.Add(newConnWait); waited.After(at) {
		at = waited
	}
	if now := time.Now(); h.reuseAt.Before(now) || at.Before(h.reuseAt) {
		h.reuseAt = at
		h.postAfter(time.Until(at), reuseIdle{})
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
		h.postAfter(next, trimIdle{})
	}
}

// postAfter posts a message to this host's actor after a delay. If the mailbox is full then, it tries again, as the actor counts
// on the message.
func (h *host) postAfter(delay time.Duration, message any) {
	time.AfterFunc(delay, func() {
		if !h.post(message) && h.ctx.Err() == nil {
			h.postAfter(postRetryInterval, message)
		}
	})
}

// closeIdle closes the least recently used idle connections until at most keep are left.
func (h *host) closeIdle(keep int) {
	for len(h.idle) > keep {
		c := h.idle[0]
		h.idle[0] = nil // the connection's buffer is freed with it
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
