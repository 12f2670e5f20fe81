// Package lease implements the holder's side of a lease on the replicated state: it decides, by the monotonic clock of this
// process, whether the process may act on its local copy of the state. It reads no clock; the caller passes the current
// time.
//
// The clock must advance while the process or the machine is suspended (CLOCK_BOOTTIME on Linux; the monotonic reading of
// time.Now stops while a machine is suspended). It may run too fast or too slow by a third.
package lease

import (
	"errors"
	"fmt"
	"time"

	"cranegate/internal/consensus/statemachine"
)

// Durations, each measured on the clock of the process that waits.
const (
	// Duration is how long a lease is valid, counted from the time at which its holder requested it.
	Duration = 6 * time.Second
	// RenewInterval is the time between two requests for a renewal.
	RenewInterval = time.Second
	// MaxStall limits the time between the check of an operation and its last byte. If an operation takes longer, and its
	// lease has expired when it ends, End returns ErrStalled, and the receiver must reject the operation by its log index.
	MaxStall = 1500 * time.Millisecond
	// ExpiryWait is how long the leader waits after it saw a renewal of a lease. After that time the lease, and the
	// operations that it permitted, have certainly ended. The factor 2 is 3/2 times 4/3: a holder's clock that is slow by
	// a third needs 3/2 s to count one second, and a leader's clock that is fast by a third counts 4/3 s in one second.
	ExpiryWait = 2 * (Duration + MaxStall)
)

const (
	maxOutstandingRounds = 16 // requests for a renewal that may still be answered
	maxOperations        = 4096
)

var (
	// ErrNoLease means that this gateway may not act on the state now, because it has not reached a voter for too long. The
	// gateway gets a lease again when it reaches a voter; if the error persists, check the network to the voters.
	ErrNoLease = errors.New("consensus: no lease on the replicated state")
	// ErrTooManyOperations means that maxOperations are in progress. Call End for some of them first.
	ErrTooManyOperations = errors.New("consensus: too many operations in progress")
	// ErrStalled means that more than MaxStall passed between the check and the last byte of an operation, and that the
	// lease expired meanwhile. The operation may have happened after a restriction was complete. Its receiver must have
	// rejected it by its log index; if the receiver can't do that, treat the outcome as unknown.
	ErrStalled = errors.New("consensus: stalled between the check and the last byte of an operation")
)

// Holder is one gateway's lease. It is not safe for concurrent use.
type Holder struct {
	id             uint64
	round          uint64                   // sequence number of the latest request
	requestedAt    map[uint64]time.Duration // by round, of the latest maxOutstandingRounds requests
	validUntil     time.Duration
	renewedRound   uint64 // the latest round that was renewed
	now            time.Duration
	operations     map[uint64]int // number of operations in progress, by Operation.Index
	operationCount int
}

// New returns a holder that has no lease yet. The identity must be a new one at every start of the process.
func New(id uint64) *Holder {
	return &Holder{id: id, requestedAt: map[uint64]time.Duration{}, operations: map[uint64]int{}}
}

// advance sets the current time. It ignores a time earlier than the current one.
func (h *Holder) advance(now time.Duration) { h.now = max(h.now, now) }

// Acknowledge returns the next request for a renewal. The request acknowledges appliedIndex or, if it is lower, the lowest
// log index that an operation in progress depends on.
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

// ObserveState updates the lease from the local state after entries were applied. The duration of a lease counts from the
// time of its request, never from the arrival of the renewal.
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

// Valid reports whether the lease is valid, and how long it remains valid on the clock of this process.
func (h *Holder) Valid(now time.Duration) (remaining time.Duration, ok bool) {
	h.advance(now)
	return h.validUntil - h.now, h.now < h.validUntil
}

// Operation is an operation that Begin permitted.
type Operation struct {
	Index      uint64 // log index of the state that permits it; sent with it, so that the receiver can reject it
	LeaseUntil time.Duration
	startedAt  time.Duration
}

// Begin checks the lease and starts an operation. It must be called immediately before the first byte of the operation,
// with the log index of the state that permits it. If it returns ErrNoLease or ErrTooManyOperations, no byte may be sent.
func (h *Holder) Begin(now time.Duration, index uint64) (Operation, error) {
	if remaining, ok := h.Valid(now); !ok {
		return Operation{}, fmt.Errorf("%w: expired %v ago", ErrNoLease, -remaining)
	}
	if h.operationCount >= maxOperations {
		return Operation{}, ErrTooManyOperations
	}
	h.operations[index]++
	h.operationCount++
	return Operation{Index: index, LeaseUntil: h.validUntil, startedAt: h.now}, nil
}

// End ends an operation. It must be called after the last byte, or when the operation is abandoned; until then Acknowledge
// acknowledges no index beyond the operation's. End returns ErrStalled if the operation may have happened too late.
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
