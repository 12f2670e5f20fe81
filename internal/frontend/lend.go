package frontend

import (
	"context"
	"fmt"
	"time"
)

// ReservationLimitError says that no more places of clients are lent.
type ReservationLimitError struct{ Reserved, Slots int }

func (e ReservationLimitError) Error() string {
	return fmt.Sprintf("%d of %d places for clients are lent to other connections already, which is all that may be; raise limits.sockets or "+
		"the limit on open files (ulimit -n), or have fewer processes connect", e.Reserved, e.Slots)
}

// Lend takes a place from the clients for a connection of another kind, so that its descriptor is one that there is. Half of
// the places may be lent, at most. Where clients hold them all it waits for one: those at rest are let go, the one that has
// rested longest first, and newcomers get none meanwhile. Errors: ReservationLimitError, and the context's.
func (r *Limiter) Reserve(ctx context.Context) (giveBack func(), err error) {
	r.mu.Lock()
	if r.lent >= r.whole/2 {
		defer r.mu.Unlock()
		return nil, ReservationLimitError{r.lent, r.whole}
	}
	r.lent++
	for {
		if len(r.sessions)+r.lent <= r.whole {
			r.mu.Unlock()
			return r.giveBack, nil
		}
		if r.owes() > 0 {
			r.askFirst()
		}
		if r.returned == nil {
			r.returned = make(chan struct{})
		}
		returned := r.returned
		r.mu.Unlock()
		select {
		case <-returned:
		case <-time.After(roomLook): // one that was asked to leave may have gone on
		case <-ctx.Done():
			r.giveBack()
			return nil, ctx.Err()
		}
		r.mu.Lock()
	}
}

// giveBack returns a place to the clients.
func (r *Limiter) giveBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lent--
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
	r.back()
}

// back says that a place was given back. r.mu is held.
func (r *Limiter) back() {
	if r.returned != nil {
		close(r.returned)
		r.returned = nil
	}
}

// owes is how many clients hold places that are lent, less those that are leaving. r.mu is held.
func (r *Limiter) owes() int {
	n := len(r.sessions) + r.lent - r.whole
	if n <= 0 {
		return 0
	}
	for s := range r.sessions {
		if s.leaving.Load() {
			n--
		}
	}
	return n
}

// askFirst asks the session to leave that has rested longest. r.mu is held.
func (r *Limiter) askFirst() {
	var first *Session
	for s := range r.sessions {
		if !s.resting.IsZero() && (first == nil || s.resting.Before(first.resting)) {
			first = s
		}
	}
	if first != nil {
		first.ask()
	}
}

// places is how many clients the room takes now. r.mu is held.
func (r *Limiter) places() int { return max(1, min(r.size, r.whole-r.lent)) }
