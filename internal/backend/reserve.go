package backend

import (
	"sync"
	"time"
)

// descriptorReserve counts the slots that connections leave unused because another process of the same gateway uses that
// many file descriptors.
type descriptorReserve struct {
	mu        sync.Mutex
	wanted    int
	reserved  int
	adjusting bool // a goroutine is bringing reserved to wanted
}

// reserveRetryInterval is the time between two evictions of idle connections while too many are open for the reserve.
const reserveRetryInterval = 50 * time.Millisecond

// ReserveDescriptors keeps n of the slots for connections unused, as soon as few enough connections are open. It evicts idle
// connections to that end. At least one slot stays available for connections. It never blocks.
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

// adjustReserve takes or releases slots until as many are reserved as wanted.
func (p *Pool) adjustReserve() {
	r := &p.reserve
	for !p.releaseReserve() {
		select {
		case p.slots <- struct{}{}:
			r.mu.Lock()
			r.reserved++
			r.mu.Unlock()
		case <-time.After(reserveRetryInterval):
			p.evictIdle()
		case <-p.ctx.Done():
		}
	}
}

// releaseReserve releases the reserved slots that are no longer wanted. It returns true, and ends the adjustment, if as many
// are reserved as wanted, or the pool has ended.
func (p *Pool) releaseReserve() bool {
	r := &p.reserve
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.reserved > r.wanted {
		<-p.slots
		r.reserved--
	}
	if r.reserved != r.wanted && p.ctx.Err() == nil {
		return false
	}
	r.adjusting = false
	return true
}
