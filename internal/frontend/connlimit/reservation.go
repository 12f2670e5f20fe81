package connlimit

import (
	"context"
	"fmt"
	"time"
)

// ReservationLimitError is returned by Reserve where half of the descriptors are reserved already.
type ReservationLimitError struct{ Reserved, Slots int }

// Error says what an operator can do.
func (e ReservationLimitError) Error() string {
	return fmt.Sprintf("%d of %d client slots are reserved for other connections, the most allowed; raise limits.sockets or "+
		"the limit on open files (ulimit -n), or have fewer processes connect", e.Reserved, e.Slots)
}

// Reserve takes one descriptor for an internal connection, of at most half of all. Where clients hold them it evicts
// idle ones, the longest idle first, and waits; meanwhile no new client is accepted in their place. The caller must call
// release exactly once. Reserve returns a ReservationLimitError, or ctx's error.
func (l *Limiter) Reserve(ctx context.Context) (release func(), err error) {
	l.mu.Lock()
	if l.reserved >= l.capacity/2 {
		defer l.mu.Unlock()
		return nil, ReservationLimitError{Reserved: l.reserved, Slots: l.capacity}
	}
	l.reserved++
	granted, released := l.pollReservation()
	l.mu.Unlock()
	for !granted {
		select {
		case <-released:
		case <-time.After(evictionRetryInterval): // an evicted client may have become active again
		case <-ctx.Done():
			l.releaseReservation()
			return nil, ctx.Err()
		}
		l.mu.Lock()
		granted, released = l.pollReservation()
		l.mu.Unlock()
	}
	return l.releaseReservation, nil
}

// pollReservation reports whether a pending reservation has its descriptor. Otherwise it evicts a client unless enough are
// leaving, and returns a channel that is closed on the next release. l.mu is held.
func (l *Limiter) pollReservation() (granted bool, released <-chan struct{}) {
	if len(l.slots)+l.reserved <= l.capacity {
		return true, nil
	}
	if l.pendingReservations() > 0 {
		l.evictLongestIdle()
	}
	return false, l.nextRelease()
}

// releaseReservation returns a descriptor to the clients.
func (l *Limiter) releaseReservation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
	l.notifyReleased()
}

// pendingReservations is how many more clients have to be evicted for the reservations. l.mu is held.
func (l *Limiter) pendingReservations() int {
	missing := len(l.slots) + l.reserved - l.capacity
	if missing <= 0 {
		return 0
	}
	return missing - l.leaving()
}
