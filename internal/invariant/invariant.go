// Package invariant checks at run time the rules that no path of the gateway may break, and counts violations.
//
// There is one check for each rule: Send for an attempt's first byte, Repeat for further attempts of one request, Close for the
// end of a client's connection, Start for listeners and hosts that have just started. A check runs at the place where the gateway acts.
// It gets the state at that instant as arguments, keeps its own record, and shares no state with the code that enforces the rule. It
// does not change what the gateway does: a violation is only counted, and logged with the request's id and the reason.
package invariant

import (
	"context"
	"log/slog"
	"time"

	"cranegate/internal/metrics"
)

// Rule names a rule.
type Rule string

// The rules.
const (
	Send   Rule = "send"   // an attempt is written only while its request is open, its client connected and its host usable
	Repeat Rule = "repeat" // further attempts are written only as the class's effect allows
	Close  Rule = "close"  // no connection is closed while a request that was read has no answer
	Start  Rule = "start"  // no client is served before an endpoint list is known, no host in slow start gets more than its budget
)

// Reason says how a rule was violated.
type Reason string

// The reasons, by rule. None means that no rule was violated. The values are the names in the operators' pages.
const (
	None Reason = ""

	// Reasons of Send.
	HostWithdrawn      Reason = "host_withdrawn" // the host has been draining or removed for longer than DrainGrace
	RequestEnded       Reason = "request_ended"  // the request already has its final answer
	ClientDisconnected Reason = "client_gone"    // the client disconnected longer ago than DisconnectGrace
	PastDeadline       Reason = "past_deadline"  // the client's deadline has passed
	PastLatestStart    Reason = "past_latest"    // the attempt should have begun earlier, or not at all

	// Reasons of Repeat.
	DuplicateRun       Reason = "second_run"  // a non-idempotent request may have run already
	IdempotencyExpired Reason = "window_over" // the hosts no longer recognise the idempotency key
	AttemptsInFlight   Reason = "copies_out"  // another attempt is in flight where hedging is not allowed
	TooManyAttempts    Reason = "too_many"    // more attempts than the settings allow

	// Reasons of Close.
	Unanswered Reason = "unanswered"  // a request was read, its client is connected, and it got no answer
	LateAnswer Reason = "late_answer" // the core's watchdog had to answer

	// Reasons of Start.
	NotReady       Reason = "not_ready"       // a listener opened before an endpoint list was known
	BudgetOverdraw Reason = "budget_overdraw" // a host in slow start was sent more than its budget
)

// The tolerances of the rules.
const (
	DrainGrace      = 250 * time.Millisecond // for attempts after their host was notified to be draining or removed
	DisconnectGrace = 100 * time.Millisecond // for attempts after their client closed its connection
	SuspensionGrace = 150 * time.Millisecond // for a suspension of the process between reading its clock and writing
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Reason  Reason
	Request string        // the client's id of the request, empty if there is none
	Host    string        // empty if no host is concerned
	By      time.Duration // by how much a time limit was exceeded; 0 if the reason is not a time limit
}

// Monitor counts and logs violations. A nil Monitor does nothing. It is safe for use by several goroutines at once.
type Monitor struct {
	Counters *metrics.Counters
}

// Report counts and logs a violation. It ignores a violation with the reason None.
func (m *Monitor) Report(v Violation) {
	if m == nil || v.Reason == None {
		return
	}
	m.Counters.Add("violations", 1)
	m.Counters.Add("violations_"+string(v.Rule), 1)
	slog.LogAttrs(context.Background(), slog.LevelError, "violation",
		slog.String("rule", string(v.Rule)),
		slog.String("reason", string(v.Reason)),
		slog.String("request_id", v.Request),
		slog.String("host", v.Host),
		slog.Duration("by", v.By))
}
