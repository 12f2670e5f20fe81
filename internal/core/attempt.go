package core

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"cranegate/internal/logging"
	"cranegate/routing"
)

// attemptState is the state of an attempt. An attempt that was not written has certainly not run.
type attemptState int32

// The states. An attempt leaves stateWaiting at most once, for one of the others, and stays there. An attempt that fails
// without a call of Begin is settled and remains in stateWaiting.
const (
	stateWaiting attemptState = iota // for a connection
	stateWritten                     // its first byte may have been written
	stateUnsent                      // it was withdrawn or abandoned, or must not begin any more, with no byte written
)

// String returns the state's name in log lines.
func (s attemptState) String() string { return [...]string{"waiting", "written", "unsent"}[s] }

// Attempt is one attempt of a request at a database host, or a health check if Request is nil. The host's connection
// calls Begin before the first byte that may have an effect, and Done at the end. Only the preparation of a statement may be
// written before Begin. The host's actor calls Done without Begin if the attempt gets no connection.
type Attempt struct {
	Request  *Request
	Member   string
	Deadline time.Time          // when the gateway stops waiting for it
	Conn     routing.ConnPolicy // which connection a health check should use; if it has to wait, it may get another one

	core      *Core
	number    int           // within the request, from 0
	createdAt time.Duration // before any wait for a connection
	ctx       context.Context
	cancel    context.CancelFunc
	state     atomic.Int32 // an attemptState; transition alone changes it

	startDeadline time.Duration // it must begin before this time of the core's clock; 0: no bound

	// The actor alone uses the fields below.
	settled          bool // its outcome is known
	timeoutTimer     *timer
	startTimer       *timer        // withdraws it at startDeadline; nil: no bound
	firstByteLatency time.Duration // set when an answer starts to stream; 0 for other answers
}

// Outcome is how an attempt ended, as the host's connection observed it.
type Outcome struct {
	Result   routing.Result
	Value    any       // ResultOK: what the host returned
	Opened   time.Time // when the connection was opened; zero if none was
	Role     routing.Role
	Position int64 // Unix time in milliseconds, 0 if the host reported none
	Report   routing.Report
}

// newAttempt makes an attempt that is abandoned at a deadline.
func (c *Core) newAttempt(request *Request, member string, deadline time.Duration) *Attempt {
	a := &Attempt{Request: request, Member: member, Deadline: c.clock.time(deadline), core: c, createdAt: c.now}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	a.timeoutTimer = c.timers.add(deadline, func() { a.abandon(routing.ResultTimeout) })
	return a
}

// startAttempt gives an attempt to its host. It also adds it to c.unwritten, and drops the host's attempts there that no
// longer wait, so that the list does not grow while the host serves.
func (c *Core) startAttempt(a *Attempt) {
	unwritten := slices.DeleteFunc(c.unwritten[a.Member], func(other *Attempt) bool {
		return other.settled || !other.Waiting()
	})
	c.unwritten[a.Member] = append(unwritten, a)
	if !c.backend.Start(a) {
		a.withdraw(routing.ResultConnectFailed, "host_declined")
	}
}

// forgetUnwritten drops a settled attempt from c.unwritten, as it refers to its request's statement. The host may not get another
// attempt for long.
func (c *Core) forgetUnwritten(a *Attempt) {
	remaining := slices.DeleteFunc(c.unwritten[a.Member], func(other *Attempt) bool { return other == a })
	if len(remaining) == 0 {
		delete(c.unwritten, a.Member)
		return
	}
	c.unwritten[a.Member] = remaining
}

// Context returns a context that ends with the attempt. A connection that still works on the attempt must then close.
func (a *Attempt) Context() context.Context { return a.ctx }

// Begin makes the last check before the first byte is written. It returns false if the attempt is over and must not be
// written. While the attempt waited for a connection, its host may have begun to drain, its request may have ended, the
// window for a retry may have passed, or the host's data may have become too old for a read. Its client may also have
// disconnected without the actor, or even the client's session, having noticed yet, or its close may be hidden.
func (a *Attempt) Begin() bool {
	if a.startDeadline > 0 && a.core.clock.now() >= a.startDeadline {
		a.transition(stateUnsent, "start_deadline")
		return false
	}
	return !a.Request.checkDisconnected(a.core) && !a.stopUnseen() && a.transition(stateWritten, "connected")
}

// stopUnseen reports whether the request's client may have disconnected without a way to see it. The attempt then must not begin.
func (a *Attempt) stopUnseen() bool {
	if !a.Request.isUnseen() {
		return false
	}
	a.transition(stateUnsent, "client_unseen")
	return true
}

// Waiting reports whether the attempt still needs a connection.
func (a *Attempt) Waiting() bool {
	return a.currentState() == stateWaiting && !a.Request.isDisconnected()
}

// Done reports the outcome. Only the first call has an effect, and none has one after the core has abandoned or withdrawn the
// attempt.
func (a *Attempt) Done(outcome Outcome) { a.core.post(attemptEnded{a, outcome}) }

// Stream offers an answer that is forwarded to the client while the host sends it, and returns whether the request
// accepts it. If it does, the request has its final answer and the attempt's own timeout is cancelled; Done reports how
// the stream ended.
func (a *Attempt) Stream(value any) bool {
	accepted := make(chan bool, 1)
	if !a.core.post(streamOffered{a, value, accepted}) {
		return false
	}
	select {
	case ok := <-accepted:
		return ok
	case <-a.core.done:
		return false
	}
}

// transition moves the attempt from stateWaiting to another state, and returns whether this call did so. It is the only
// function that changes the state, and it checks the invariants on sends and retries. The reason is for the log.
func (a *Attempt) transition(to attemptState, reason string) bool {
	change := func() bool { return a.state.CompareAndSwap(int32(stateWaiting), int32(to)) }
	changed := false
	if to == stateWritten && a.Request != nil { // a health check runs no client statement
		changed = a.checkedWrite(change)
	} else {
		changed = change()
	}
	if changed && logging.Debugs() {
		slog.Debug("attempt_state", "request_id", a.Request.logID(), "attempt", a.number, "host", a.Member, "state", to,
			"reason", reason)
	}
	return changed
}

func (a *Attempt) currentState() attemptState { return attemptState(a.state.Load()) }

// markUnsent ends the wait for a connection, and returns whether no byte of the attempt was or will be written.
func (a *Attempt) markUnsent(reason string) bool {
	return a.transition(stateUnsent, reason) || a.currentState() == stateUnsent
}

// setStartDeadline sets the time before which the attempt must begin, and withdraws it then if it still waits.
func (a *Attempt) setStartDeadline(deadline time.Duration) {
	a.startDeadline = deadline
	a.startTimer = a.core.timers.add(deadline, func() { a.withdraw(routing.ResultNotSent, "start_deadline") })
}

// withdraw ends an attempt that waits for a connection. It does nothing to an attempt that was written.
func (a *Attempt) withdraw(result routing.Result, reason string) {
	if !a.settled && a.markUnsent(reason) {
		a.settle(Outcome{Result: result})
	}
}

// abandon ends an attempt in any state. If no byte was written, the outcome is ResultNotSent, and the log gives the counter's
// name of the intended result as the reason.
func (a *Attempt) abandon(result routing.Result) {
	if a.settled {
		return
	}
	if a.markUnsent(resultCounters[result]) {
		result = routing.ResultNotSent
	}
	a.settle(Outcome{Result: result})
}

// handleStream gives the request a streamed final answer, and returns whether the request still needed one.
func (a *Attempt) handleStream(value any) bool {
	request, c := a.Request, a.core
	if a.settled || request == nil || request.ended {
		return false
	}
	a.timeoutTimer.cancel()
	a.firstByteLatency = c.now - a.createdAt
	c.options.Counters.Add("streams", 1)
	c.router.StreamStarted(c.now, request.id, a.number)
	c.answer(request, Answer{Status: Served, Value: value})
	return true
}

// handleOutcome handles the outcome that the host's connection or actor reported. An attempt in stateUnsent has not run,
// whichever outcome is reported; the report may precede the timer that withdraws the attempt. If the attempt has not begun
// and its client has disconnected, handleOutcome handles the disconnect, unless the actor has done so before. This withdraws
// the attempt, and the reported outcome is ignored.
func (a *Attempt) handleOutcome(outcome Outcome) {
	if a.currentState() == stateUnsent {
		outcome = Outcome{Result: routing.ResultNotSent}
	}
	if !a.settled && a.currentState() == stateWaiting && a.Request.isDisconnected() {
		a.core.handleDisconnect(a.Request)
	}
	if !a.settled {
		a.settle(outcome)
	}
}

// settle gives an attempt its outcome. The router gets it after the current event.
func (a *Attempt) settle(outcome Outcome) {
	a.settled = true
	a.core.forgetUnwritten(a)
	a.cancel()
	a.timeoutTimer.cancel()
	if a.startTimer != nil {
		a.startTimer.cancel()
	}
	a.core.pendingOutcomes = append(a.core.pendingOutcomes, attemptEnded{a, outcome})
}

// reportOutcome passes a settled attempt's outcome to the router, and answers its request if it was served.
func (c *Core) reportOutcome(a *Attempt, outcome Outcome) {
	latency := c.now - a.createdAt
	if a.Request == nil {
		c.router.HealthChecked(c.now, routing.HealthCheckResult{Member: a.Member, Result: outcome.Result, Latency: latency,
			Report: outcome.Report, ConnectedAt: c.openedAt(outcome)})
		return
	}
	request := a.Request
	request.attempts = slices.DeleteFunc(request.attempts, func(other *Attempt) bool { return other == a })
	request.ledger.End(a.number, outcome.Result)
	c.options.Counters.Add(resultCounters[outcome.Result], 1)
	if logging.Debugs() {
		slog.Debug("attempt_ended", "request_id", request.ID, "attempt", a.number, "host", a.Member,
			"result", resultCounters[outcome.Result], "latency", latency)
	}
	if outcome.Result == routing.ResultOK {
		c.answer(request, Answer{Status: Served, Value: outcome.Value})
	}
	if a.firstByteLatency > 0 {
		latency = a.firstByteLatency
	}
	c.router.Outcome(c.now, routing.Outcome{Request: request.id, Attempt: a.number, Member: a.Member, Result: outcome.Result,
		Latency: latency, Closed: request.ended, Role: outcome.Role, Position: outcome.Position, Report: outcome.Report,
		ConnectedAt: c.openedAt(outcome)})
	c.removeIfDone(request)
}

// openedAt returns when an outcome's connection was opened, on the core's clock; zero if none was.
func (c *Core) openedAt(outcome Outcome) time.Duration {
	if outcome.Opened.IsZero() {
		return 0
	}
	return c.clock.at(outcome.Opened)
}

// resultCounters are the names of the counters of outcomes, which are also the results' names in log lines.
var resultCounters = map[routing.Result]string{
	routing.ResultOK:               "attempts_ok",
	routing.ResultError:            "attempts_error",
	routing.ResultOverCapacity:     "attempts_turned_away", // the host has no capacity for the attempt
	routing.ResultTimeout:          "attempts_timed_out",
	routing.ResultConnectFailed:    "attempts_not_connected",
	routing.ResultReset:            "attempts_reset",
	routing.ResultCancelled:        "attempts_cancelled",
	routing.ResultNotSent:          "attempts_never_sent",
	routing.ResultMissed:           "attempts_missed",
	routing.ResultInvalidStatement: "attempts_rejected", // the host can't execute the statement
	routing.ResultMalformed:        "attempts_spoilt",   // the answer can't be parsed
}
