package invariant

import (
	"sync"
	"time"

	"cranegate/routing"
)

// Limits are what a request's class and the settings allow of further attempts.
type Limits struct {
	Effect         routing.Effect
	IdempotencyTTL time.Duration // for which hosts recognise an idempotency key, from the first attempt that may have run
	AllowHedging   bool          // several attempts may be in flight at once
	MaxAttempts    int
}

// Ledger records the attempts of one request that were written. The zero value is empty. It is safe for use by several goroutines
// at once.
type Ledger struct {
	mu       sync.Mutex
	attempts []writtenAttempt
}

// writtenAttempt is one attempt.
type writtenAttempt struct {
	number    int
	startedAt time.Duration
	inFlight  bool
	harmless  bool // it ended, and is proven not to have run
}

// Begin calls write and records the attempt that it reports to be written from now on. It returns what the attempt violates. If write
// reports false, nothing is recorded. An End of the attempt blocks until it is recorded.
func (l *Ledger) Begin(number int, now time.Duration, limits Limits, write func() bool) (reason Reason, written bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !write() {
		return None, false
	}
	reason = l.check(now, limits)
	l.attempts = append(l.attempts, writtenAttempt{number: number, startedAt: now, inFlight: true})
	return reason, true
}

// check returns what one more attempt violates. The caller holds l.mu.
func (l *Ledger) check(now time.Duration, limits Limits) Reason {
	for _, earlier := range l.attempts {
		switch {
		case earlier.harmless:
		case limits.Effect == routing.NonIdempotent:
			return DuplicateRun
		case limits.Effect == routing.IdempotentByKey && now-earlier.startedAt > limits.IdempotencyTTL+Stall:
			return IdempotencyExpired
		case earlier.inFlight && !limits.AllowHedging:
			return AttemptsInFlight
		}
	}
	if len(l.attempts) >= limits.MaxAttempts {
		return TooManyAttempts
	}
	return None
}

// End records the result of an attempt. An attempt that was never written is ignored.
func (l *Ledger) End(number int, result routing.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.attempts {
		if l.attempts[i].number == number {
			l.attempts[i].inFlight = false
			l.attempts[i].harmless = Harmless(result)
		}
	}
}

// Harmless reports whether an attempt with this result is proven not to have run.
func Harmless(result routing.Result) bool {
	switch result {
	case routing.ResultOverCapacity, routing.ResultMissed, routing.ResultInvalidStatement, routing.ResultConnectFailed, routing.ResultNotSent:
		return true
	}
	return false
}
