package connlimit

import (
	"context"
	"fmt"
	"time"
)

// ReservationLimitError is returned by Reserve if half of the descriptors are already reserved.
type ReservationLimitError struct{ Reserved, Slots int }

// Error describes the limit and how an operator can raise it.
func (e ReservationLimitError) Error() string {
	return fmt.Sprintf("%d of %d client slots are reserved for other connections, the most allowed; raise limits.sockets or "+
		"the limit on open files (ulimit -n), or have fewer processes connect", e.Reserved, e.Slots)
}

// Reserve takes one descriptor for one of the gateway's own connections. At most half of all descriptors can be reserved.
// If clients use them all, Reserve evicts idle clients, the longest idle first, and waits. Meanwhile no new client gets
// the slots that become free. The caller must call release exactly once. The error is a ReservationLimitError or ctx's.
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

// pollReservation reports whether there is a descriptor for a pending reservation. If not, it evicts a client, unless
// enough evicted clients are still closing, and returns a channel that is closed on the next release. l.mu is held.
func (l *Limiter) pollReservation() (granted bool, released <-chan struct{}) {
	if len(l.slots)+l.reserved <= l.capacity {
		return true, nil
	}
	if l.pendingReservations() > 0 {
		l.evictLongestIdle()
	}
	return false, l.nextRelease()
}

// releaseReservation ends a reservation, granted or pending. Clients may use its descriptor.
func (l *Limiter) releaseReservation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
	l.notifyReleased()
}

// pendingReservations returns how many more clients have to be evicted for the reservations. l.mu is held.
func (l *Limiter) pendingReservations() int {
	missing := len(l.slots) + l.reserved - l.capacity
	if missing <= 0 {
		return 0
	}
	return missing - l.evictedCount()
}
