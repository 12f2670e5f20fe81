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

// attemptState is where an attempt stands. Whether it was written settles whether it may have run.
type attemptState int32

// The states. An attempt leaves stateWaiting once, for one of the others, and stays there.
const (
	stateWaiting attemptState = iota // for a connection
	stateWritten                     // its first byte may have been written
	stateUnsent                      // it is over without a byte written
)

func (s attemptState) String() string { return [...]string{"waiting", "written", "unsent"}[s] }

// Attempt is one try of a request at a database host, or a probe where Request is nil. The host's connection
// calls Begin before the first byte and Done at the end.
type Attempt struct {
	Request  *Request
	Member   string
	Deadline time.Time          // when the gateway stops waiting for it
	Conn     routing.ConnPolicy // the connection that a probe goes by

	core   *Core
	number int
	sentAt time.Duration
	state  atomic.Int32 // an attemptState; transition alone changes it
	closed bool         // its outcome is settled; owned by the module's actor
	ctx    context.Context
	cancel context.CancelFunc

	timeout *timer
	latest  time.Duration // it has to have begun before this; 0: whenever it can
	unbegun *timer        // ends it then if it still waits
	first   time.Duration // how long the answer's first byte took, where it streams
}

// Outcome is how an attempt ended, as the host's connection saw it.
type Outcome struct {
	Result   routing.Result
	Value    any       // ResultOK: what the host gave
	Opened   time.Time // when the connection came up; zero if none did
	Role     routing.Role
	Position int64 // Unix time in milliseconds, 0 if not told
	Report   routing.Report
}

// Context ends when the attempt is given up: its connection must then close.
func (a *Attempt) Context() context.Context { return a.ctx }

// Begin is the last check before the first byte: false says that the attempt is over and must not be written.
// It guards against sends to a host that began to drain, for a request that ended, past the window for repeats, or of a
// read that its host's data has become too old for, while it waited; and for one whose client has left, of which the
// module's actor, or even the client's session, may not have heard yet.
func (a *Attempt) Begin() bool {
	if a.latest > 0 && a.core.clock.now() >= a.latest {
		a.transition(stateUnsent, "past_latest")
		return false
	}
	return !a.Request.leaves(a.core) && a.transition(stateWritten, "connected")
}

// transition takes the attempt out of stateWaiting, and says whether it was this call that did. It is the one place that changes
// the state: what the rules want of a send and of a repeat is checked here.
func (a *Attempt) transition(to attemptState, why string) bool {
	move := func() bool { return a.state.CompareAndSwap(int32(stateWaiting), int32(to)) }
	if to == stateWritten && a.Request != nil { // a probe runs nothing
		guarded := move
		move = func() bool { return a.guard(guarded) }
	}
	if !move() {
		return false
	}
	if logging.Debugs() {
		slog.Debug("attempt", "id", a.Request.name(), "attempt", a.number, "host", a.Member, "state", to, "reason", why)
	}
	return true
}

// current is the state as of now.
func (a *Attempt) current() attemptState { return attemptState(a.state.Load()) }

// within gives an attempt the time before which it has to begin.
func (a *Attempt) within(latest time.Duration) {
	a.latest = latest
	a.unbegun = a.core.timers.add(latest, func() { a.neverBegins(routing.ResultNotSent, "past_latest") })
}

// neverBegan ends the wait of an attempt, and says whether no byte of it has been or will be written.
func (a *Attempt) neverBegan(why string) bool {
	return a.transition(stateUnsent, why) || a.current() == stateUnsent
}

// Waiting says whether the attempt still wants a connection.
func (a *Attempt) Waiting() bool { return a.current() == stateWaiting && !a.Request.hasLeft() }

// Done hands in the outcome. Only the first counts, and none after the core has given the attempt up.
func (a *Attempt) Done(o Outcome) { a.core.post(func() { a.settle(o) }) }

// Stream hands in an answer that is passed to the client as it comes, and says whether the client takes it. From a yes on
// the attempt is the client's: it has no time-out of its own, and the request has its final answer. Done tells how it ended.
func (a *Attempt) Stream(v any) bool {
	taken := make(chan bool, 1)
	if !a.core.post(func() { taken <- a.stream(v) }) {
		return false
	}
	select {
	case ok := <-taken:
		return ok
	case <-a.core.done:
		return false
	}
}

func (a *Attempt) stream(v any) bool {
	q, c := a.Request, a.core
	if a.closed || q == nil || q.ended {
		return false
	}
	a.timeout.cancel()
	a.first = c.now - a.sentAt
	c.opt.Counters.Add("streams", 1)
	c.router.StreamStarted(c.now, q.id, a.number)
	c.answer(q, Answer{Status: Served, Value: v})
	return true
}

// attempt makes an attempt that is given up at a time.
func (c *Core) attempt(q *Request, member string, until time.Duration) *Attempt {
	a := &Attempt{Request: q, Member: member, Deadline: c.clock.time(until), core: c, sentAt: c.now}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	a.timeout = c.timers.add(until, func() { a.abandon(routing.ResultTimeout) })
	return a
}

// start hands an attempt to its host.
func (c *Core) start(a *Attempt) {
	list := slices.DeleteFunc(c.waiting[a.Member], func(x *Attempt) bool { return x.closed || !x.Waiting() })
	c.waiting[a.Member] = append(list, a)
	if !c.servers.Start(a) {
		a.neverBegins(routing.ResultConnectFailed, "host_declined")
	}
}

// neverBegins ends an attempt that waits for a connection; it does nothing to one that was written.
func (a *Attempt) neverBegins(result routing.Result, why string) {
	if !a.closed && a.neverBegan(why) {
		a.finish(Outcome{Result: result})
	}
}

// abandon gives an attempt up. One without a byte written has never run, and the module learns just that.
func (a *Attempt) abandon(result routing.Result) {
	if a.closed {
		return
	}
	if a.neverBegan(resultNames[result]) {
		result = routing.ResultNotSent
	}
	a.finish(Outcome{Result: result})
}

// settle takes the outcome that the host's connection saw. Of an attempt that did not begin as its client had left there is
// none, and the request ends here if word of that is still on its way. One that came too late to begin never ran, whatever
// its connection says, which may come before the timer's word.
func (a *Attempt) settle(o Outcome) {
	if a.current() == stateUnsent {
		o = Outcome{Result: routing.ResultNotSent}
	}
	if !a.closed && a.current() == stateWaiting && a.Request.hasLeft() {
		a.core.gone(a.Request)
	}
	if !a.closed {
		a.finish(o)
	}
}

// finish settles an attempt's outcome. The module hears of it after the event in hand.
func (a *Attempt) finish(o Outcome) {
	c := a.core
	a.closed = true
	a.cancel()
	a.timeout.cancel()
	if a.unbegun != nil {
		a.unbegun.cancel()
	}
	c.ended = append(c.ended, func() {
		if a.Request == nil {
			c.router.HealthChecked(c.now, routing.HealthCheckResult{Member: a.Member, Result: o.Result, Latency: c.now - a.sentAt,
				Report: o.Report, ConnectedAt: c.opened(o)})
			return
		}
		q := a.Request
		q.out = slices.DeleteFunc(q.out, func(x *Attempt) bool { return x == a })
		q.ledger.End(a.number, o.Result)
		c.opt.Counters.Add(resultNames[o.Result], 1)
		if logging.Debugs() {
			slog.Debug("attempt_ended", "id", q.ID, "attempt", a.number, "host", a.Member, "result", resultNames[o.Result],
				"took", c.now-a.sentAt)
		}
		if o.Result == routing.ResultOK {
			c.answer(q, Answer{Status: Served, Value: o.Value})
		}
		took := c.now - a.sentAt
		if a.first > 0 {
			took = a.first
		}
		c.router.Outcome(c.now, routing.Outcome{Request: q.id, Attempt: a.number, Member: a.Member, Result: o.Result,
			Latency: took, Closed: q.ended, Role: o.Role, Position: o.Position, Report: o.Report,
			ConnectedAt: c.opened(o)})
		c.forget(q)
	})
}

// opened is when an outcome's connection came up, on the module's clock.
func (c *Core) opened(o Outcome) time.Duration {
	if o.Opened.IsZero() {
		return 0
	}
	return c.clock.at(o.Opened)
}

// resultNames are the counters of outcomes.
var resultNames = map[routing.Result]string{routing.ResultOK: "attempts_ok", routing.ResultError: "attempts_error",
	routing.ResultOverCapacity: "attempts_turned_away", routing.ResultTimeout: "attempts_timed_out",
	routing.ResultConnectFailed: "attempts_not_connected", routing.ResultReset: "attempts_reset",
	routing.ResultCancelled: "attempts_cancelled", routing.ResultNotSent: "attempts_never_sent",
	routing.ResultMissed: "attempts_missed", routing.ResultInvalidStatement: "attempts_rejected",
	routing.ResultMalformed: "attempts_spoilt"}
