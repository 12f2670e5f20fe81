// Package pace decides when a gateway calls a service that its whole fleet calls. It is free of I/O and clocks.
//
// What is harmless for one gateway is not for all at once: a service that turns calls away when it has too many
// never gets through them while each gateway that was turned away comes again at once. So one that was turned away
// waits for a time that grows with the fleet and with its failures, at random. The first call is not held back: what
// discovery would have told binds a gateway that has not asked.
package pace

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	quickly   = 100 * time.Millisecond // a call that broke is made again after this: a watch lives on for 200 ms
	failEach  = 50 * time.Millisecond  // the wait once turned away, for each gateway; never under quickly
	failMost  = 4 * time.Second        // and at most
	doublings = 2                      // of either wait
	askedMost = 30 * time.Second       // longest wait that the service may ask for
)

// Caller is the pace of one gateway's calls. One goroutine uses it; Fleet alone may be called by others.
type Caller struct {
	fleet    atomic.Int64
	rng      *rand.Rand
	failures int // in a row
}

// New makes the pace of one of so many gateways. The seed has to differ from gateway to gateway.
func New(fleet int, seed uint64) *Caller {
	c := &Caller{rng: rand.New(rand.NewPCG(seed, 1))}
	c.Fleet(fleet)
	return c
}

// Fleet takes the number of gateways.
func (c *Caller) Fleet(n int) { c.fleet.Store(int64(max(1, n))) }

// Answered notes a call that was answered.
func (c *Caller) Answered() { c.failures = 0 }

// Failed is the wait after a call that failed. Turned away says that the service has too many calls: only then does
// the wait grow with the fleet, as a service that is merely away is not brought back by waiting, and what it tells
// soon binds. Asked is the wait that it asked for, 0 for none.
func (c *Caller) Failed(turnedAway bool, asked time.Duration) time.Duration {
	wait := quickly
	if c.failures++; turnedAway {
		wait = min(max(wait, time.Duration(c.fleet.Load())*failEach), failMost)
	} else if c.failures == 1 {
		return wait
	}
	wait <<= min(c.failures-1, doublings)
	wait = wait/2 + time.Duration(c.rng.Int64N(int64(wait)))
	return max(wait, min(asked, askedMost))
}
