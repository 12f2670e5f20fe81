package core

import (
	"log/slog"
	"sync/atomic"
	"time"

	"cranegate/internal/invariant"
	"cranegate/internal/logging"
	"cranegate/routing"
)

// Status is the kind of a request's final answer.
type Status int

// The statuses.
const (
	Served   Status = iota // with a value that a database host made for it
	Rejected               // nothing has run, or a repeat is harmless
	Failed                 // nothing is promised
)

// String returns the status as counters and logs name it.
func (s Status) String() string { return [...]string{"served", "refused", "failed"}[s] }

// Answer is a request's final answer.
type Answer struct {
	Status     Status
	Value      any           // Served: what the database host returned, in its protocol's form
	RetryAfter time.Duration // Rejected: how long the client should wait before a retry, 0 for no advice
}

// Request is one request that a frontend has read from a client.
type Request struct {
	Class       string
	Group       int
	Session     string
	Arrived     time.Time     // when its last byte was read
	Timeout     time.Duration // how long the client waits from Arrived on; 0 for the class's deadline, which is the maximum
	MinPosition int64         // Unix time in milliseconds of the writes that a session's read has to see, 0 for none
	Retry       bool          // the client marked it as a retry
	Payload     any           // the statement, in its protocol's form

	// ID is the client's own id for the request, for the log. It may be empty.
	ID string

	// Disconnected reports whether the client has closed its connection. Any goroutine may call it, and it must not block.
	// It may be nil; Core.ClientDisconnected is then the only notice.
	Disconnected func() bool

	// Reply takes the final answer. The actor calls it once, and it must not block.
	Reply func(Answer)

	disconnectedAt atomic.Int64 // on the core's clock; 0: the client is connected. Set once, by any goroutine
	answered       atomic.Bool  // the final answer was given to Reply; read by the invariant checks
	ledger         invariant.Ledger

	// The actor alone uses the fields below.
	id           uint64
	class        *routing.Class
	deadline     time.Duration
	ended        bool
	attemptCount int        // attempts so far, those never sent included
	attempts     []*Attempt // attempts without an outcome
	overdueTimer *timer
}

// Effect returns what a repeat of the request does. It is known once the request is submitted.
func (r *Request) Effect() routing.Effect { return r.class.Effect }

// isDisconnected reports whether the client is known to have disconnected. A health check has no client.
func (r *Request) isDisconnected() bool { return r != nil && r.disconnectedAt.Load() != 0 }

// markDisconnected records that the client has disconnected.
func (r *Request) markDisconnected(c *Core) { r.disconnectedAt.CompareAndSwap(0, int64(c.clock.now())) }

// disconnectCheckAge is the age from which on a request's client is checked right before an attempt begins. A younger
// request's client was checked as it arrived; an attempt may begin up to 0.1 s after its client's close.
const disconnectCheckAge = 20 * time.Millisecond

// checkDisconnected reports whether the client has disconnected. It asks the client's connection where the close may not
// have been notified yet.
func (r *Request) checkDisconnected(c *Core) bool {
	if r == nil || r.Disconnected == nil || r.isDisconnected() {
		return r.isDisconnected()
	}
	if time.Since(r.Arrived) > disconnectCheckAge && r.Disconnected() {
		r.markDisconnected(c)
	}
	return r.isDisconnected()
}

// logID is the client's id of the request; that of a health check is "probe".
func (r *Request) logID() string {
	if r == nil {
		return "probe"
	}
	return r.ID
}

// handleRequest adds a request to the table, which holds it until its last attempt is over, and gives it to the router.
func (c *Core) handleRequest(request *Request) {
	class, ok := c.classIndex[request.Class]
	if !ok || request.ended {
		request.Reply(Answer{Status: Failed})
		return
	}
	c.options.Counters.Add("requests", 1)
	if request.isDisconnected() { // while it was in the mailbox: the router need not know of it
		c.options.Counters.Add("clients_gone", 1)
		request.ended = true
		return
	}
	c.lastRequestID++
	request.id = c.lastRequestID
	request.class = &c.options.Routing.Classes[class]
	arrived := min(c.now, c.clock.at(request.Arrived))
	request.Timeout = c.Timeout(request)
	request.deadline = arrived + request.Timeout
	c.requests[request.id] = request
	request.overdueTimer = c.timers.add(request.deadline+c.options.AnswerSlack/2, func() { c.handleOverdue(request) })
	c.router.Request(c.now, routing.Request{
		ID:         request.id,
		Class:      class,
		Tenant:     -1,
		Session:    request.Session,
		Group:      request.Group,
		Retry:      request.Retry,
		Remaining:  request.deadline - c.now,
		SinceWrite: c.sinceWrite(request),
	})
}

// sinceWrite returns the time since the commit that a session's read has to see, or zero for none. A commit is rounded up
// and may lie a little ahead of this clock; zero would then mean that there is none.
func (c *Core) sinceWrite(request *Request) time.Duration {
	if request.MinPosition <= 0 {
		return 0
	}
	return max(1, c.now-time.Duration(request.MinPosition)*time.Millisecond)
}

// handleOverdue fails a request that has no answer in time. The router answers before, unless it has a fault.
func (c *Core) handleOverdue(request *Request) {
	if request.ended {
		return
	}
	c.options.Counters.Add("overdue", 1)
	c.options.Monitor.Report(invariant.Violation{Rule: invariant.Close, Reason: invariant.LateAnswer, Request: request.ID})
	slog.Warn("request_overdue", "request_id", request.ID, "sequence", request.id, "class", request.Class,
		"attempts", request.attemptCount)
	c.answer(request, Answer{Status: Failed})
	c.router.ClientDisconnected(c.now, request.id)
	c.removeIfDone(request)
}

// handleDisconnect ends a request whose client has disconnected.
func (c *Core) handleDisconnect(request *Request) {
	if request.ended || request.id == 0 {
		return
	}
	c.options.Counters.Add("clients_gone", 1)
	c.closeRequest(request)
	c.router.ClientDisconnected(c.now, request.id)
	c.removeIfDone(request)
}

// answer gives the final answer. It is the only function that does.
func (c *Core) answer(request *Request, answer Answer) {
	if request.ended {
		return
	}
	c.closeRequest(request)
	latency := c.now - request.deadline + request.Timeout
	c.options.Counters.Add(answer.Status.String(), 1)
	c.options.Counters.ObserveLatency(latency)
	if logging.Debugs() {
		slog.Debug("request_answered", "request_id", request.ID, "class", request.Class, "status", answer.Status,
			"attempts", request.attemptCount, "latency", latency)
	}
	request.answered.Store(true)
	request.Reply(answer)
}

// answerUnserved rejects or fails a request, and counts the reason.
func (c *Core) answerUnserved(request *Request, answer Answer, reason routing.Reason) {
	if request.ended {
		return
	}
	c.options.Counters.Add(answer.Status.String()+"_"+string(reason), 1)
	if logging.Debugs() {
		slog.Debug("request_unserved", "request_id", request.ID, "status", answer.Status, "reason", reason,
			"attempts", request.attemptCount)
	}
	c.answer(request, answer)
}

// closeRequest marks a request as ended. Its attempts that still wait for a connection never begin.
func (c *Core) closeRequest(request *Request) {
	request.ended = true
	request.overdueTimer.cancel()
	for _, a := range request.attempts {
		a.withdraw(routing.ResultNotSent, "request_ended")
	}
	c.removeIfDone(request)
}

// removeIfDone removes a request from the table once it has ended with all its attempts. A request may end without any.
func (c *Core) removeIfDone(request *Request) {
	if request.ended && len(request.attempts) == 0 {
		delete(c.requests, request.id)
	}
}
