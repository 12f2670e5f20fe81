package soak

import "sync"

// reservation lets at most one fault at a time act on a target.
type reservation struct {
	mu    sync.Mutex
	taken bool
}

// tryReserve reserves the target. It returns false if it is reserved already.
func (r *reservation) tryReserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken {
		return false
	}
	r.taken = true
	return true
}

// release ends the reservation.
func (r *reservation) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = false
}
