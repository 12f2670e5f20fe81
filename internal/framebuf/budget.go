package framebuf

import "sync/atomic"

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
