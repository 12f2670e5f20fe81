package framebuf

import (
	"context"
	"sync/atomic"
	"time"
)

// Budget bounds the memory that the buffers of many connections take together. A nil Budget bounds nothing. All methods are
// safe for concurrent use.
type Budget struct{ remaining atomic.Int64 }

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.remaining.Store(n)
	return b
}

// Reserve takes n bytes out of the budget. It reports false, and takes nothing, if fewer are left.
func (b *Budget) Reserve(n int) bool {
	if b == nil || b.remaining.Add(int64(-n)) >= 0 {
		return true
	}
	b.remaining.Add(int64(n))
	return false
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int) {
	if b != nil {
		b.remaining.Add(int64(n))
	}
}

// reservePollInterval is how often ReserveWait looks for free bytes.
const reservePollInterval = 5 * time.Millisecond

// Reservation is a number of bytes that ReserveWait has taken out of a budget.
type Reservation struct {
	budget *Budget
	bytes  atomic.Int64
}

// ReserveWait takes n bytes out of the budget as soon as they are left, or fails with the error of a context that has ended. Callers
// reserve all that they need at once, so that none waits for another that waits. A nil Budget returns nil, which may be released too.
func (b *Budget) ReserveWait(ctx context.Context, n int) (*Reservation, error) {
	if b == nil {
		return nil, nil
	}
	for !b.Reserve(n) {
		select {
		case <-time.After(reservePollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	r := &Reservation{budget: b}
	r.bytes.Store(int64(n))
	return r, nil
}

// Release returns the bytes to the budget. Further calls do nothing. Any goroutine may call it.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.Release(int(r.bytes.Swap(0)))
	}
}
