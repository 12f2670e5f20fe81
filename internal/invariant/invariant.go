// Package invariant checks at run time the rules that no path of the gateway may break, and counts violations.
//
// There is one guard for each rule: Send for an attempt's first byte, Repeat for further attempts of one request, Close for the
// end of a client's connection, Start for listeners and hosts that have just started. A guard is called where the gateway acts.
// It is handed what holds at that instant, keeps a record of its own, and shares no state with the code that keeps the rule. It
// decides nothing: a violation is counted and logged with the request's id and the reason, and the gateway goes on.
package invariant

import (
	"context"
	"log/slog"
	"time"

	"cranegate/internal/metrics"
)

// Rule names a guard.
type Rule string

// The rules.
const (
	Send   Rule = "send"   // an attempt is written only while its request is open, its client there and its host usable
	Repeat Rule = "repeat" // further attempts only as the class's effect allows
	Close  Rule = "close"  // no connection ends while a request that was read has no answer
	Start  Rule = "start"  // nobody is served before a list is known, no host in slow start gets more than its budget
)

// Reason says what was violated.
type Reason string

// The reasons, by rule. None stands for no violation.
const (
	None Reason = ""

	HostWithdrawn      Reason = "host_withdrawn"  // Send: the host drains or is off the list, and this gateway has known for longer than Grace
	RequestEnded       Reason = "request_ended"   // Send: the request has had its final answer
	ClientDisconnected Reason = "client_gone"     // Send: the client left longer ago than RemovedGrace
	PastDeadline       Reason = "past_deadline"   // Send: the client's wait is over
	PastLatest         Reason = "past_latest"     // Send: the attempt should have begun earlier, or not at all
	DuplicateRun       Reason = "second_run"      // Repeat: a request that may run once may have run already
	WindowOver         Reason = "window_over"     // Repeat: the hosts no longer recognise the idempotency key
	AttemptsInFlight   Reason = "copies_out"      // Repeat: another attempt is out where copies are not allowed
	TooMany            Reason = "too_many"        // Repeat: more attempts than the settings allow
	Unanswered         Reason = "unanswered"      // Close: a request was read, its client is there, and it got no answer
	LateAnswer         Reason = "late_answer"     // Close: the core's watchdog had to answer
	NotReady           Reason = "not_ready"       // Start: a listener opened before a list was known
	BudgetOverdraw     Reason = "budget_overdraw" // Start: a host in slow start was sent more than its budget
)

// The times that the rules grant. Stall is how long the process may be held up between reading its clock and writing.
const (
	Grace        = 250 * time.Millisecond // from when a drain was notified
	RemovedGrace = 100 * time.Millisecond // from when a client closed
	Stall        = 150 * time.Millisecond
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Reason  Reason
	Request string        // the client's id of the request; empty where there is none
	Host    string        // empty where none is concerned
	By      time.Duration // by how much, where the rule is about time
}

// Monitor counts and logs violations. A nil one does nothing; all calls are safe from any goroutine.
type Monitor struct {
	Counters *metrics.Counters
}

// Report takes a violation; one without a reason is none.
func (m *Monitor) Report(v Violation) {
	if m == nil || v.Reason == None {
		return
	}
	m.Counters.Add("violations", 1)
	m.Counters.Add("violations_"+string(v.Rule), 1)
	slog.LogAttrs(context.Background(), slog.LevelError, "violation", slog.String("rule", string(v.Rule)), slog.String("reason", string(v.Reason)),
		slog.String("id", v.Request), slog.String("host", v.Host), slog.Duration("by", v.By))
}
