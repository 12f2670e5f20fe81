package invariant

import (
	"sync"
	"time"

	"cranegate/routing"
)

// Limits are the limits on further attempts of a request, from its class and the settings.
type Limits struct {
	Effect         routing.Effect
	IdempotencyTTL time.Duration // how long hosts recognise an idempotency key, from the first attempt that may have run
	AllowHedging   bool          // several attempts may be in flight at once
	MaxAttempts    int
}

// Ledger records the attempts of one request that were written. The zero value is empty. It is safe for use by several goroutines
// at once.
type Ledger struct {
	mu       sync.Mutex
	attempts []writtenAttempt
}

// writtenAttempt is the record of one attempt.
type writtenAttempt struct {
	number    int
	startedAt time.Duration
	inFlight  bool
	notRun    bool // it has ended and provably did not run
}

// Begin calls write and, if that reports true, records the attempt as written. It returns the reason why the attempt violates the rule
// Repeat, or None. If write reports false, nothing is recorded. A concurrent End of the attempt blocks until the attempt is recorded.
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

// check returns the reason why one more attempt violates the rule Repeat, or None. l.mu must be held.
func (l *Ledger) check(now time.Duration, limits Limits) Reason {
	for _, earlier := range l.attempts {
		switch {
		case earlier.notRun:
		case limits.Effect == routing.NonIdempotent:
			return DuplicateRun
		case limits.Effect == routing.IdempotentByKey && now-earlier.startedAt > limits.IdempotencyTTL+SuspensionGrace:
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
			l.attempts[i].notRun = ProvablyNotRun(result)
		}
	}
}

// ProvablyNotRun reports whether an attempt with this result provably did not run.
func ProvablyNotRun(result routing.Result) bool {
	switch result {
	case routing.ResultOverCapacity, routing.ResultMissed, routing.ResultInvalidStatement, routing.ResultConnectFailed, routing.ResultNotSent:
		return true
	}
	return false
}
