// Package lease is the holder's side of a lease on the facts: whether this process may act on what it knows, by its own
// monotonic clock. It reads no clock itself; every call is handed the present.
//
// The clock must go on while the process and the machine stand still (CLOCK_BOOTTIME on Linux; time.Now's monotonic reading
// stops while a machine is suspended), and may run too fast or too slow by a third.
package lease

import (
	"errors"
	"fmt"
	"time"

	"cranegate/internal/consensus/statemachine"
)

// Lengths. All are measured on the clock of whoever waits.
const (
	Length = 6 * time.Second // of a lease, from when its holder asked for it
	Period = time.Second     // between two askings
	// Stop bounds the time between a check and the last byte that it allows. Past it a holder calls its act late (ErrLate),
	// and whoever takes it must refuse by its place in the order.
	Stop = 1500 * time.Millisecond
	// Ended is how long the council waits after it saw a renewal until that lease, and what a check in it allowed, has
	// certainly ended: a holder's clock that is slow by a third takes 3/2 s for each of its seconds, and a waiter's that is fast by a
	// third counts 4/3 s for one, which makes 2.
	Ended = 2 * (Length + Stop)
)

const (
	maxRounds  = 16   // askings whose answer may still come
	maxPermits = 4096 // acts under way
)

var (
	// ErrNoLease says that this gateway may not act on the facts now: it has not heard of the council for long enough. It
	// ends by itself when a voter is reached; if it stays, look at the links to the voters.
	ErrNoLease = errors.New("council: no lease on the facts")
	// ErrBusy says that so many acts are under way that no more are counted. End some first.
	ErrBusy = errors.New("council: too many acts under way")
	// ErrLate says that the process stood between a check and its last byte for longer than Stop, so that the act may have
	// come after a narrowing was done. Who took it must have refused it by its place in the order; if the one who took it can't,
	// treat the act as of unknown outcome.
	ErrLate = errors.New("council: stood still between a check and its last byte")
)

// Holder is one gateway's lease. One goroutine uses it, or a lock guards it.
type Holder struct {
	id      uint64
	round   uint64
	asked   map[uint64]time.Duration // when the last rounds were asked
	until   time.Duration
	granted uint64
	now     time.Duration
	acts    map[uint64]int // under way, by the place in the order that they stand on
	acting  int
}

// New is a holder without a lease. The identity is new with every start of the process.
func New(id uint64) *Holder {
	return &Holder{id: id, asked: map[uint64]time.Duration{}, acts: map[uint64]int{}}
}

func (h *Holder) advance(now time.Duration) { h.now = max(h.now, now) }

// Ask makes the next acknowledgement: of all that has been applied, as far as no act stands on less.
func (h *Holder) Ask(now time.Duration, applied uint64) statemachine.Ack {
	h.advance(now)
	h.round++
	h.asked[h.round] = h.now
	delete(h.asked, h.round-maxRounds)
	for index := range h.acts {
		applied = min(applied, index)
	}
	return statemachine.Ack{Holder: h.id, Round: h.round, Index: applied}
}

// Applied looks at what the order says of this lease, after it has been applied here. A lease counts from when it was asked
// for, never from when the answer came.
func (h *Holder) Applied(s *statemachine.State) {
	row, ok := s.Lease(h.id)
	if !ok {
		h.until, h.granted = 0, 0
	} else if at, known := h.asked[row.Round]; known && row.Round > h.granted {
		h.granted, h.until = row.Round, at+Length
	}
}

// Valid says whether the lease runs, and for how long yet on this clock.
func (h *Holder) Valid(now time.Duration) (time.Duration, bool) {
	h.advance(now)
	return h.until - h.now, h.now < h.until
}

// Act is one act that a check allowed.
type Act struct {
	Index uint64 // the place in the order that it stands on: goes with the act, for who takes it to refuse by
	Until time.Duration
	began time.Duration
}

// Begin is called right before the first byte of an act, with the place in the order whose facts allow it. It is an error
// if the lease does not run: then no byte may go out.
func (h *Holder) Begin(now time.Duration, index uint64) (Act, error) {
	if left, ok := h.Valid(now); !ok {
		return Act{}, fmt.Errorf("%w: ended %v ago", ErrNoLease, -left)
	}
	if h.acting >= maxPermits {
		return Act{}, ErrBusy
	}
	h.acts[index]++
	h.acting++
	return Act{Index: index, Until: h.until, began: h.now}, nil
}

// End is called after the last byte, or when the act was given up. Until then no acknowledgement passes the act's place.
func (h *Holder) End(now time.Duration, a Act) error {
	h.advance(now)
	if h.acts[a.Index]--; h.acts[a.Index] <= 0 {
		delete(h.acts, a.Index)
	}
	h.acting--
	if stood := h.now - a.began; stood > Stop && h.now > a.Until {
		return fmt.Errorf("%w: %v, at most %v", ErrLate, stood, Stop)
	}
	return nil
}
