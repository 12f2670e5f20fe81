// Package backoff decides when a gateway calls a service that its whole fleet calls. It is free of I/O and clocks.
//
// What is harmless for one gateway is not for all at once: a service that turns calls away when it has too many
// never gets through them while each gateway that was turned away comes again at once. So one that was turned away
// waits for a time that grows with the fleet and with its failures, at random. The first call is not held back, and no
// wait is long: what discovery has counts as told 6 s after it could be reached, whatever became of the call before.
package backoff

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	quickly   = 100 * time.Millisecond // a call that broke is made again after this: a watch lives on for 200 ms
	doublings = 2                      // of the wait after calls that broke, and of that once turned away
	failEach  = 50 * time.Millisecond  // the wait once turned away, for each gateway; never under quickly
	// Apart is the most from a call that was turned away to the next, whatever the service asks for, and twoApart that to
	// the one after it. With a connect and a call that goes unanswered either fits into the 6 s. Callers that come more often
	// than every 2.85 s are too many for a service of 60 ms a call once they are 80: it never gets free.
	MaxRejectedDelay = 3000 * time.Millisecond
	twoApart         = 5800 * time.Millisecond
	spread           = 300 * time.Millisecond // over which those who reach the bound first come again, at random
)

// Broke is the most that Failed gives after so many calls in a row that were not turned away.
func MaxFailureDelay(failures int) time.Duration {
	return quickly << min(max(failures, 1)-1, doublings)
}

// Caller is the pace of one gateway's calls. One goroutine uses it; Fleet alone may be called by others.
type Backoff struct {
	fleet    atomic.Int64
	rng      *rand.Rand
	failures int           // in a row
	apart    time.Duration // of the last call that was turned away from the one after it; zero: another has come since
}

// New makes the pace of one of so many gateways. The seed has to differ from gateway to gateway.
func New(fleet int, seed uint64) *Backoff {
	c := &Backoff{rng: rand.New(rand.NewPCG(seed, 1))}
	c.SetGateways(fleet)
	return c
}

// Fleet takes the number of gateways.
func (c *Backoff) SetGateways(n int) { c.fleet.Store(int64(max(1, n))) }

// Answered notes a call that was answered.
func (c *Backoff) Succeeded() { c.failures, c.apart = 0, 0 }

// Failed is the wait after a call that failed and was neither answered nor turned away.
func (c *Backoff) Failed() time.Duration {
	c.apart = 0
	c.failures++
	most := MaxFailureDelay(c.failures)
	if c.failures == 1 {
		return most
	}
	return most/2 + c.upTo(most/2)
}

// Rejected is the wait after a call that the service had no room for: only then does it grow with the fleet, as a
// service that is merely away is not brought back by waiting. Took is the time since the call was made, and asked the
// wait that the service asked for, 0 for none.
func (c *Backoff) Rejected(took, asked time.Duration) time.Duration {
	c.failures++
	wait := max(quickly, time.Duration(min(c.fleet.Load(), int64(MaxRejectedDelay/failEach)))*failEach) << min(c.failures-1, doublings)
	wait = wait/2 + c.upTo(wait)
	asked = min(max(asked, 0), MaxRejectedDelay)
	wait = max(wait, asked+c.upTo(asked/4))
	most := min(MaxRejectedDelay, twoApart-c.apart)
	if c.apart == 0 {
		most -= c.upTo(spread)
	}
	wait = max(quickly, min(wait, most-took))
	c.apart = took + wait
	return wait
}

// upTo is a time of d at most, at random.
func (c *Backoff) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}
