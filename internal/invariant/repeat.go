package invariant

import (
	"sync"
	"time"

	"cranegate/routing"
)

// Limits are what a request's class and the settings allow of further attempts.
type Limits struct {
	Effect   routing.Effect
	Window   time.Duration // Keyed: how long hosts recognise a repeat, from the first attempt that may have run
	Copies   bool          // several attempts may be out at once
	Attempts int           // written at most
}

// Ledger records the attempts of one request that were written. Its zero value is empty; all calls are safe from any goroutine.
type Ledger struct {
	mu    sync.Mutex
	tries []try
}

// try is one attempt that was written.
type try struct {
	number   int
	at       time.Duration
	out      bool
	harmless bool // it ended, and is proven not to have run
}

// Begin records an attempt that write says is written from now on, and what that violates. Where write says no nothing is recorded.
// An End of the attempt waits until it is.
func (l *Ledger) Begin(number int, now time.Duration, limits Limits, write func() bool) (reason Reason, written bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !write() {
		return None, false
	}
	reason = l.check(now, limits)
	l.tries = append(l.tries, try{number: number, at: now, out: true})
	return reason, true
}

// check is Begin's judgement. l.mu is held.
func (l *Ledger) check(now time.Duration, limits Limits) Reason {
	for _, t := range l.tries {
		switch {
		case t.harmless:
		case limits.Effect == routing.NonIdempotent:
			return DuplicateRun
		case limits.Effect == routing.IdempotentByKey && now-t.at > limits.Window+Stall:
			return WindowOver
		case t.out && !limits.Copies:
			return AttemptsInFlight
		}
	}
	if len(l.tries) >= limits.Attempts {
		return TooMany
	}
	return None
}

// End records how an attempt ended; one that was never written is passed over.
func (l *Ledger) End(number int, result routing.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.tries {
		if l.tries[i].number == number {
			l.tries[i].out, l.tries[i].harmless = false, Harmless(result)
		}
	}
}

// Harmless says that an attempt which ended so has not run.
func Harmless(result routing.Result) bool {
	switch result {
	case routing.ResultOverCapacity, routing.ResultMissed, routing.ResultInvalidStatement, routing.ResultConnectFailed, routing.ResultNotSent:
		return true
	}
	return false
}
