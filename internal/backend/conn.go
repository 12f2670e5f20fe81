package backend

import (
	"context"
	"fmt"
	"time"

	"cranegate/internal/core"
	"cranegate/routing"
)

// pooledConn is one open connection of a host's pool.
type pooledConn struct {
	conn     Conn
	attempts chan *core.Attempt // holds one at most; the host gives the next only to an idle connection
	openedAt time.Time

	// The host's actor alone uses these fields.
	freedAt  time.Time // when it last became free; zero: it has been neither idle nor used
	used     bool      // it was given an attempt
	firstUse bool      // its current attempt is its first, given to it as soon as it was open

	// The connection's goroutine alone uses these fields.
	uses       int
	rejectedAt time.Time // when its first attempt was rejected; zero after another attempt
}

// openConn opens one connection and runs attempts on it until it ends. The connection belongs to the host, not to the
// attempt for which it is opened.
func (h *host) openConn() {
	ctx, cancel := context.WithTimeout(h.ctx, h.pool.options.ConnectTimeout)
	defer cancel()
	if h.pool.full() {
		h.pool.evictIdle()
	}
	select {
	case h.pool.slots <- struct{}{}:
	case <-ctx.Done():
		h.mailbox <- connectFailed{errNoDescriptor}
		return
	}
	defer func() { <-h.pool.slots }()
	conn, err := h.pool.connect(ctx, h.address)
	if err != nil {
		h.mailbox <- connectFailed{err}
		return
	}
	h.pool.options.Counters.Add("server_connects", 1)
	c := &pooledConn{conn: conn, attempts: make(chan *core.Attempt, 1), openedAt: time.Now()}
	h.mailbox <- connOpened{c}
	c.serve(h)
	conn.Close()
	h.mailbox <- connClosed{c}
}

// connect opens a connection and runs the protocol's startup on it, both before the context ends.
func (p *Pool) connect(ctx context.Context, address string) (Conn, error) {
	raw, err := p.options.Connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, err := p.options.Start(raw)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("starting up: %w", err)
	}
	return conn, nil
}

// give hands an attempt to a connection that has none.
func (c *pooledConn) give(a *core.Attempt) {
	c.used = true
	c.attempts <- a
	c.conn.Wake()
}

// serve runs attempts until the connection ends, is closed by the host's actor, or has been idle for too long. The actor
// gives an attempt that is still in c.attempts then to another connection.
func (c *pooledConn) serve(h *host) {
	defer func() {
		if time.Since(c.rejectedAt) < ReuseDelay {
			h.recordRejection()
		}
	}()
	for {
		idleSince := time.Now()
		idleUntil := idleSince.Add(h.pool.idleTimeout.estimate(h.pool.options.IdleTimeout))
		err := c.conn.Park(idleUntil, func() bool { return len(c.attempts) > 0 })
		if err != nil || len(c.attempts) == 0 && !c.conn.Alive() {
			return
		}
		select {
		case a := <-c.attempts:
			if !c.runAttempt(h, a, idleSince) {
				return
			}
		default:
		}
	}
}

// runAttempt runs one attempt, and returns whether the connection can take another.
func (c *pooledConn) runAttempt(h *host, a *core.Attempt, idleSince time.Time) bool {
	if !a.Waiting() {
		h.mailbox <- connFreed{c}
		return true
	}
	began := time.Now()
	outcome, inStep := c.conn.Exchange(a)
	if !inStep && outcome.Result == routing.ResultNotSent {
		if a.Waiting() {
			c.attempts <- a // never blocks, as the host gives no attempt to a connection that is not idle
		}
		return false
	}
	outcome.Opened = c.openedAt
	c.recordCapacity(h, outcome.Result)
	broke := outcome.Result == routing.ResultReset && time.Since(began) < immediateBreak && a.Context().Err() == nil
	h.pool.idleTimeout.recordUse(began.Sub(idleSince), broke)
	if !inStep {
		a.Done(outcome)
		return false
	}
	h.mailbox <- connFreed{c} // before Done, so that the core's next attempt finds the connection free
	a.Done(outcome)
	return true
}

// recordCapacity records whether the host had capacity for this connection, as the result of its first attempt shows. A host
// that is short of connections rejects the attempt and closes the connection; a host whose queue is full leaves it open.
func (c *pooledConn) recordCapacity(h *host, result routing.Result) {
	c.uses++
	if c.uses == 1 && result == routing.ResultOverCapacity {
		c.rejectedAt = time.Now()
		return
	}
	c.rejectedAt = time.Time{}
	if c.uses == 1 {
		h.pool.sizer.recordConnect()
	}
}
