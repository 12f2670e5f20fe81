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
	Served   Status = iota // with a value that a database host returned
	Rejected               // nothing has run, or a repeat is harmless
	Failed                 // without a guarantee: the request may have run
)

// String returns the status's name in counters and log lines, in which Rejected is "refused".
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
	Timeout     time.Duration // how long the client waits, counted from Arrived; 0 for the class's deadline, which is the maximum
	MinPosition int64         // position that a session's read has to see, as Unix time in milliseconds; 0 for none
	Retry       bool          // the client marked it as a retry
	Payload     any           // the statement, in its protocol's form

	// ID is the client's own id for the request, for the log. It may be empty.
	ID string

	// Disconnected reports whether the client has closed its connection. Any goroutine may call it, and it must not block.
	// It may be nil; Core.ClientDisconnected is then the only notice.
	Disconnected func() bool

	// Unseen reports whether the client may have disconnected without a way to see it. An attempt does not begin meanwhile, but the
	// request is answered. Any goroutine may call it, and it must not block. It may be nil.
	Unseen func() bool

	// Reply receives the final answer. The actor calls it at most once after a Submit, and it must not block.
	Reply func(Answer)

	disconnectedAt atomic.Int64 // on the core's clock; 0: the client is connected. Set once, by any goroutine
	answered       atomic.Bool  // Reply is being called or was called, for a request in the table; read by the invariant checks
	ledger         invariant.Ledger

	// The actor alone uses the fields below.
	id           uint64
	class        *routing.Class
	deadline     time.Duration
	ended        bool
	attemptCount int        // attempts so far, including those that were never sent
	attempts     []*Attempt // attempts without an outcome
	overdueTimer *timer
}

// Effect returns what running the request a second time does. It must not be called before the request has an attempt.
func (r *Request) Effect() routing.Effect { return r.class.Effect }

// isDisconnected reports whether the client is known to have disconnected. A health check has no client.
func (r *Request) isDisconnected() bool { return r != nil && r.disconnectedAt.Load() != 0 }

// markDisconnected records that the client has disconnected.
func (r *Request) markDisconnected(c *Core) { r.disconnectedAt.CompareAndSwap(0, int64(c.clock.now())) }

// disconnectCheckAge is the age from which on a request's client is checked right before an attempt begins. The client of a
// younger request, connected when the request arrived, has disconnected at most 20 ms ago. An attempt may begin up to 0.1 s
// after its client has disconnected, so no check is needed and a margin is left.
const disconnectCheckAge = 20 * time.Millisecond

// checkDisconnected reports whether the client has disconnected. It polls the client's connection if a disconnect
// may not have been notified yet.
func (r *Request) checkDisconnected(c *Core) bool {
	if r == nil || r.Disconnected == nil || r.isDisconnected() {
		return r.isDisconnected()
	}
	if time.Since(r.Arrived) > disconnectCheckAge && r.Disconnected() {
		r.markDisconnected(c)
	}
	return r.isDisconnected()
}

// isUnseen reports whether the client of a request that is older than disconnectCheckAge may have disconnected without a way to see it.
func (r *Request) isUnseen() bool {
	return r != nil && r.Unseen != nil && time.Since(r.Arrived) > disconnectCheckAge && r.Unseen()
}

// logID returns the client's id of the request, or "probe" for a health check.
func (r *Request) logID() string {
	if r == nil {
		return "probe"
	}
	return r.ID
}

// handleRequest adds a request to the table and gives it to the router. The request stays in the table until it has ended
// and its last attempt is over. A request that has ended already or is of an unknown class fails at once, and a request whose
// client has disconnected gets no answer; neither is added to the table.
func (c *Core) handleRequest(request *Request) {
	class, ok := c.classIndex[request.Class]
	if !ok || request.ended {
		request.Reply(Answer{Status: Failed})
		return
	}
	c.options.Counters.Add("requests", 1)
	if request.isDisconnected() { // while the request was in the mailbox: the router does not need it
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
		Tenant:     -1, // none
		Session:    request.Session,
		Group:      request.Group,
		Retry:      request.Retry,
		Remaining:  request.deadline - c.now,
		SinceWrite: c.sinceWrite(request),
	})
}

// sinceWrite returns the time since the commit that a session's read has to see, or zero for none. The position of a
// commit is rounded up and may be a little ahead of this clock. The result is then 1 ns, as zero would mean no commit.
func (c *Core) sinceWrite(request *Request) time.Duration {
	if request.MinPosition <= 0 {
		return 0
	}
	return max(1, c.now-time.Duration(request.MinPosition)*time.Millisecond)
}

// handleOverdue fails a request that has no answer at its deadline plus half the answer slack. The router has answered by
// then unless it has a fault. The call of the router's ClientDisconnected tells it that the request needs no answer any more;
// the client itself may still be connected.
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

// handleDisconnect ends a request whose client has disconnected. It ignores a request that was never added to the table,
// which has the id 0.
func (c *Core) handleDisconnect(request *Request) {
	if request.ended || request.id == 0 {
		return
	}
	c.options.Counters.Add("clients_gone", 1)
	c.closeRequest(request)
	c.router.ClientDisconnected(c.now, request.id)
	c.removeIfDone(request)
}

// answer gives a request its final answer. It is the only function that answers a request in the table.
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

// closeRequest marks a request as ended, and withdraws its attempts that still wait for a connection.
func (c *Core) closeRequest(request *Request) {
	request.ended = true
	request.overdueTimer.cancel()
	for _, a := range request.attempts {
		a.withdraw(routing.ResultNotSent, "request_ended")
	}
	c.removeIfDone(request)
}

// removeIfDone removes a request from the table if it has ended and so have all its attempts. A request may end without
// any attempt. Calls for a request that was removed before have no effect.
func (c *Core) removeIfDone(request *Request) {
	if request.ended && len(request.attempts) == 0 {
		delete(c.requests, request.id)
	}
}
