package core

import (
	"cranegate/internal/invariant"
	"cranegate/routing"
	"sync/atomic"
	"time"
)

// Status says how a request ended.
type Status int

// The statuses.
const (
	Served   Status = iota // with a value that a database host made for it
	Rejected               // nothing has run, or a repeat is harmless
	Failed                 // nothing is promised
)

func (s Status) String() string { return [...]string{"served", "refused", "failed"}[s] }

// Answer is a request's final answer.
type Answer struct {
	Status     Status
	Value      any           // Served: what the database host gave, in its protocol's form
	RetryAfter time.Duration // Refused: advice when to come back, 0 for none
}

// Request is one request that a front has taken in.
type Request struct {
	Class       string
	Group       int
	Session     string
	Arrived     time.Time     // when its last byte was read
	Timeout     time.Duration // how long the client waits from then on; 0 for the class's deadline, which is the most
	MinPosition int64         // Unix time in milliseconds that a session's read has to see, 0 for none
	Retry       bool
	Payload     any // the statement, in its protocol's form

	// ID is the client's own name for the request, for the log. It may be empty.
	ID string

	// Left says whether the client has gone by now. It is called by any goroutine and must not block; nil: only Gone tells.
	Disconnected func() bool

	// Reply takes the final answer. It is called once, by the module's actor, and must not block.
	Reply func(Answer)

	leftAt   atomic.Int64 // when the client was known to have gone, on the core's clock; 0: it is there. Set once, by any goroutine
	answered atomic.Bool  // its final answer has been handed to the client; owned by the guards
	ledger   invariant.Ledger
	id       uint64
	class    *routing.Class
	deadline time.Duration
	ended    bool
	sent     int
	out      []*Attempt
	overdue  *timer
}

// hasLeft says whether the client is known to have gone. A probe has none.
func (q *Request) hasLeft() bool { return q != nil && q.leftAt.Load() != 0 }

// leave notes that the client has gone.
func (q *Request) leave(c *Core) { q.leftAt.CompareAndSwap(0, int64(c.clock.now())) }

// name is the client's id of the request; that of a probe is "probe".
func (q *Request) name() string {
	if q == nil {
		return "probe"
	}
	return q.ID
}

// lookAfter is how long a request may be out before its client is looked at right before an attempt begins. It was looked at
// when the request came; from a client's close on 0.1 s may pass.
const lookAfter = 20 * time.Millisecond

// leaves looks whether the client has gone, where its close may not have been heard of yet.
func (q *Request) leaves(c *Core) bool {
	if q != nil && q.Disconnected != nil && !q.hasLeft() && time.Since(q.Arrived) > lookAfter && q.Disconnected() {
		q.leave(c)
	}
	return q.hasLeft()
}

// Effect says what a repeat of the request does; known once the request is submitted.
func (q *Request) Effect() routing.Effect { return q.class.Effect }
