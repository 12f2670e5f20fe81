package backend

import (
	"sync"
	"time"
)

// descriptorReserve is the number of slots that are left unused, as another process of the same gateway uses their
// descriptors.
type descriptorReserve struct {
	mu        sync.Mutex
	wanted    int
	held      int
	adjusting bool // a goroutine brings held to wanted
}

// reserveRetryInterval is how often idle connections are evicted while too many are open for the reserve.
const reserveRetryInterval = 50 * time.Millisecond

// ReserveDescriptors leaves n of the slots for connections unused, as soon as that few are open. Idle connections are
// evicted for it; at least one slot stays in use. It never blocks.
func (p *Pool) ReserveDescriptors(n int) {
	r := &p.reserve
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = max(0, min(n, cap(p.slots)-1))
	if !r.adjusting {
		r.adjusting = true
		p.group.Go(func() error {
			p.adjustReserve()
			return nil
		})
	}
}

// adjustReserve takes or releases slots until as many are held as are wanted.
func (p *Pool) adjustReserve() {
	r := &p.reserve
	for !p.releaseReserve() {
		select {
		case p.slots <- struct{}{}:
			r.mu.Lock()
			r.held++
			r.mu.Unlock()
		case <-time.After(reserveRetryInterval):
			p.evictIdle()
		case <-p.ctx.Done():
		}
	}
}

// releaseReserve releases the slots that are held and no longer wanted. It returns true, and ends the adjustment, if as many
// are held as are wanted, or the pool has ended.
func (p *Pool) releaseReserve() bool {
	r := &p.reserve
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.held > r.wanted {
		<-p.slots
		r.held--
	}
	if r.held != r.wanted && p.ctx.Err() == nil {
		return false
	}
	r.adjusting = false
	return true
}
