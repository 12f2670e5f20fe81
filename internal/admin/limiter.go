package admin

import (
	"context"
	"net"
	"sync"
	"time"
)

// limiter is a listener with a bounded number of connections. While all slots are in use, one accepted connection waits in Accept, and
// the others in the system's queue. They get slots when calls end, or when callers that don't finish their call are evicted. The caller
// whose grace period ended first is evicted first.
type limiter struct {
	net.Listener
	ctx      context.Context // parent of the contexts of all actions; also ends the wait for a slot
	maxSlots int
	freed    chan struct{} // signals that a slot was released; has a capacity of one

	mu    sync.Mutex
	slots map[*slot]struct{}
}

func newLimiter(ctx context.Context, l net.Listener, maxSlots int) *limiter {
	return &limiter{Listener: l, ctx: ctx, maxSlots: maxSlots, freed: make(chan struct{}, 1), slots: map[*slot]struct{}{}}
}

// Accept returns the next connection, once it has a slot. It returns net.ErrClosed if the context ends while the connection waits for
// a slot.
func (l *limiter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &slot{Conn: c, limiter: l}
	for {
		evicted, wait := l.tryAcquire(s, time.Now())
		if evicted != nil {
			evicted.Close()
		}
		if wait <= 0 {
			return s, nil
		}
		select {
		case <-l.freed:
		case <-time.After(wait):
		case <-l.ctx.Done():
			c.Close()
			return nil, net.ErrClosed
		}
	}
}

// tryAcquire gives a connection a slot. If all are in use, it evicts a connection, which the caller has to close. If none may be
// evicted yet, it returns how long to wait before the next try.
func (l *limiter) tryAcquire(s *slot, now time.Time) (evicted *slot, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.slots) >= l.maxSlots {
		candidate, at := l.evictionCandidate(now)
		if candidate == nil {
			return nil, readGrace // the shortest grace period; Accept tries earlier if a slot is released
		}
		if at.After(now) {
			return nil, at.Sub(now)
		}
		candidate.phase = phaseClosed
		delete(l.slots, candidate)
		evicted = candidate
	}
	s.phaseSince = now
	l.slots[s] = struct{}{}
	return evicted, 0
}

// evictionCandidate returns the connection that may be evicted first, and the time from which on it may be. While a connection
// whose answer is being written or has been written can be evicted, now or later, connections without a complete header (phaseReading)
// get contentionGrace more, so that a caller which has its answer is evicted before them.
func (l *limiter) evictionCandidate(now time.Time) (candidate *slot, at time.Time) {
	consider := func(s *slot, evictableAt time.Time) {
		if candidate == nil || evictableAt.Before(at) {
			candidate, at = s, evictableAt
		}
	}
	grace := time.Duration(0)
	for s := range l.slots {
		evictableAt := s.evictableAt(now)
		if s.phase != phaseReading && !evictableAt.IsZero() {
			grace = contentionGrace
			consider(s, evictableAt)
		}
	}
	for s := range l.slots {
		evictableAt := s.evictableAt(now)
		if s.phase == phaseReading && !evictableAt.IsZero() {
			consider(s, evictableAt.Add(grace))
		}
	}
	return candidate, at
}

// release frees the slot of a closed connection.
func (l *limiter) release(s *slot) {
	l.mu.Lock()
	s.phase = phaseClosed
	delete(l.slots, s)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
