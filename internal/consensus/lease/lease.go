// Package lease is the lease holder's side of a lease on the replicated state: whether this process may act on the state
// it knows, by its own monotonic clock. It reads no clock; the caller passes the current time.
//
// The clock must continue while the process and the machine are suspended (CLOCK_BOOTTIME on Linux; the monotonic reading
// of time.Now stops while a machine is suspended), and may run too fast or too slow by a third.
package lease

import (
	"errors"
	"fmt"
	"time"

	"cranegate/internal/consensus/statemachine"
)

// Durations, each measured on the clock of the process that waits.
const (
	// Duration is how long a lease is valid, from when its holder requested it.
	Duration = 6 * time.Second
	// RenewInterval is the time between two requests for a renewal.
	RenewInterval = time.Second
	// MaxStall limits the time between the check of an operation and its last byte. Beyond it End returns ErrStalled, and
	// the receiver must reject the operation by its log index.
	MaxStall = 1500 * time.Millisecond
	// ExpiryWait is how long the leader waits after it saw a renewal until that lease, and the operations that it
	// permitted, have certainly ended. The factor 2 covers a holder's clock that is slow by a third, which takes 3/2 s for
	// each second, and a leader's that is fast by a third, which counts 4/3 s for one.
	ExpiryWait = 2 * (Duration + MaxStall)
)

const (
	maxOutstandingRounds = 16 // requests whose renewal may still arrive
	maxOperations        = 4096
)

var (
	// ErrNoLease means that this gateway may not act on the state now, because it has not reached a voter for too long. It
	// recovers by itself when a voter is reached; if it persists, check the network to the voters.
	ErrNoLease = errors.New("consensus: no lease on the replicated state")
	// ErrTooManyOperations means that maxOperations are in progress. End some first.
	ErrTooManyOperations = errors.New("consensus: too many operations in progress")
	// ErrStalled means that the process stalled between the check and the last byte of an operation for longer than
	// MaxStall and beyond the end of its lease: the operation may have happened after a restriction was complete. Its
	// receiver must have rejected it by its log index; if the receiver can't, treat the outcome as unknown.
	ErrStalled = errors.New("consensus: stalled between the check and the last byte of an operation")
)

// Holder is one gateway's lease. It is not safe for concurrent use.
type Holder struct {
	id             uint64
	round          uint64                   // of the latest request
	requestedAt    map[uint64]time.Duration // by round, for the latest maxOutstandingRounds
	validUntil     time.Duration
	renewedRound   uint64 // the latest round that was renewed
	now            time.Duration
	operations     map[uint64]int // in progress, by the log index that they depend on
	operationCount int
}

// New makes a holder without a lease. The identity must be new with every start of the process.
func New(id uint64) *Holder {
	return &Holder{id: id, requestedAt: map[uint64]time.Duration{}, operations: map[uint64]int{}}
}

// advance sets the current time. Time never goes back.
func (h *Holder) advance(now time.Duration) { h.now = max(h.now, now) }

// Acknowledge makes the next request for a renewal. It acknowledges appliedIndex, or the lowest log index that an
// operation in progress depends on.
func (h *Holder) Acknowledge(now time.Duration, appliedIndex uint64) statemachine.Ack {
	h.advance(now)
	h.round++
	h.requestedAt[h.round] = h.now
	delete(h.requestedAt, h.round-maxOutstandingRounds)
	for index := range h.operations {
		appliedIndex = min(appliedIndex, index)
	}
	return statemachine.Ack{Holder: h.id, Round: h.round, Index: appliedIndex}
}

// ObserveState updates the lease from the local state after entries were applied. A lease counts from when it was
// requested, never from when the renewal arrived.
func (h *Holder) ObserveState(state *statemachine.State) {
	latest, ok := state.Lease(h.id)
	if !ok {
		h.validUntil, h.renewedRound = 0, 0
		return
	}
	requestedAt, known := h.requestedAt[latest.Round]
	if known && latest.Round > h.renewedRound {
		h.renewedRound, h.validUntil = latest.Round, requestedAt+Duration
	}
}

// Valid reports whether the lease is valid, and for how long on this clock.
func (h *Holder) Valid(now time.Duration) (remaining time.Duration, ok bool) {
	h.advance(now)
	return h.validUntil - h.now, h.now < h.validUntil
}

// Operation is an operation that a check permitted.
type Operation struct {
	Index      uint64 // the log index that it depends on; it goes with the operation so that the receiver can reject it
	LeaseUntil time.Duration
	startedAt  time.Duration
}

// Begin is called immediately before the first byte of an operation, with the log index of the state that permits it. If
// it returns ErrNoLease or ErrTooManyOperations, no byte may be sent.
func (h *Holder) Begin(now time.Duration, index uint64) (Operation, error) {
	if remaining, ok := h.Valid(now); !ok {
		return Operation{}, fmt.Errorf("%w: ended %v ago", ErrNoLease, -remaining)
	}
	if h.operationCount >= maxOperations {
		return Operation{}, ErrTooManyOperations
	}
	h.operations[index]++
	h.operationCount++
	return Operation{Index: index, LeaseUntil: h.validUntil, startedAt: h.now}, nil
}

// End is called after the last byte of an operation, or when it was abandoned. Until then Acknowledge acknowledges no
// index beyond the operation's. It returns ErrStalled if the operation may have come too late.
func (h *Holder) End(now time.Duration, operation Operation) error {
	h.advance(now)
	h.operations[operation.Index]--
	if h.operations[operation.Index] <= 0 {
		delete(h.operations, operation.Index)
	}
	h.operationCount--
	elapsed := h.now - operation.startedAt
	if elapsed > MaxStall && h.now > operation.LeaseUntil {
		return fmt.Errorf("%w: %v, at most %v", ErrStalled, elapsed, MaxStall)
	}
	return nil
}
