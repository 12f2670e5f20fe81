// Package backoff computes the delays between calls to a service that all gateways of a fleet call. It does no I/O and reads no clock.
//
// A service that rejects calls because it gets too many never catches up if each rejected gateway calls again at once. The delay
// after a rejection therefore grows with the number of gateways and with the failures in a row, and has jitter. The first call is not
// delayed, and each delay is bounded, because a gateway must know of a change at discovery within 6 s of the time at which discovery
// can be reached, however earlier calls ended.
package backoff

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// minDelay is the shortest delay. It also applies after a first failed call, because discovery ends a watch that gets no new call
	// within 200 ms of its last answer.
	minDelay                = 100 * time.Millisecond
	rejectedDelayPerGateway = 50 * time.Millisecond // the delay after a first rejection, for each gateway
	maxDoublings            = 2                     // at most, of a delay after failures in a row

	// MaxRejectedDelay bounds the time from the beginning of a rejected call to the next call, for any Retry-After value.
	// A service that takes 60 ms for a call never catches up with 80 callers that each call more often than every 2.85 s.
	// Within the 6 s there is still time for a connect and a call that is not answered.
	MaxRejectedDelay = 3000 * time.Millisecond
	// maxTwoRejectionsInterval bounds the time from the beginning of a rejected call to the call after the next, so
	// that this call can still be answered within the 6 s.
	maxTwoRejectionsInterval = 5800 * time.Millisecond
	// maxRejectedJitter is the interval over which the calls of gateways that reach MaxRejectedDelay are spread.
	maxRejectedJitter = 300 * time.Millisecond
)

// MaxFailureDelay returns the longest delay that Failed returns after the given number of failed calls in a row.
func MaxFailureDelay(failures int) time.Duration {
	return minDelay << min(max(failures, 1)-1, maxDoublings)
}

// Backoff computes the delays of one gateway. All methods but SetGateways must be called from one goroutine.
type Backoff struct {
	gateways     atomic.Int64
	rng          *rand.Rand
	failures     int           // in a row
	lastInterval time.Duration // from the last rejected call to the call after it; 0 if the last call was not rejected
}

// New makes the Backoff of one gateway of a fleet of the given size. Each gateway must have a different seed.
func New(gateways int, seed uint64) *Backoff {
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, 1))}
	b.SetGateways(gateways)
	return b
}

// SetGateways sets the number of gateways that call the service. Any goroutine may call it.
func (b *Backoff) SetGateways(n int) { b.gateways.Store(int64(max(1, n))) }

// Succeeded records a call that was answered.
func (b *Backoff) Succeeded() {
	b.failures = 0
	b.lastInterval = 0
}

// Failed records a call that was neither answered nor rejected, and returns the delay before the next. The delay does not
// depend on the number of gateways, because longer delays do not help a service that is merely unreachable.
func (b *Backoff) Failed() time.Duration {
	b.lastInterval = 0
	b.failures++
	maxDelay := MaxFailureDelay(b.failures)
	if b.failures == 1 {
		return maxDelay
	}
	return maxDelay/2 + b.random(maxDelay/2)
}

// Rejected records a call that the service rejected for lack of capacity, and returns the delay before the next. The call
// took elapsed; retryAfter is the delay that the service requested, 0 if none.
func (b *Backoff) Rejected(elapsed, retryAfter time.Duration) time.Duration {
	b.failures++
	delay := b.rejectedBaseDelay()
	delay = delay/2 + b.random(delay)
	retryAfter = min(max(retryAfter, 0), MaxRejectedDelay)
	delay = max(delay, retryAfter+b.random(retryAfter/4))

	maxInterval := min(MaxRejectedDelay, maxTwoRejectionsInterval-b.lastInterval)
	if b.lastInterval == 0 {
		maxInterval -= b.random(maxRejectedJitter)
	}
	delay = max(minDelay, min(delay, maxInterval-elapsed))
	b.lastInterval = elapsed + delay
	return delay
}

// rejectedBaseDelay returns the delay after a rejection, without jitter. It grows with the number of gateways and the failures in a row.
func (b *Backoff) rejectedBaseDelay() time.Duration {
	gateways := min(b.gateways.Load(), int64(MaxRejectedDelay/rejectedDelayPerGateway))
	first := max(minDelay, time.Duration(gateways)*rejectedDelayPerGateway)
	return first << min(b.failures-1, maxDoublings)
}

// random returns a random duration from 0 to limit.
func (b *Backoff) random(limit time.Duration) time.Duration {
	return time.Duration(b.rng.Int64N(int64(limit) + 1))
}
