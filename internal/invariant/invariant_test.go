package invariant

import (
	"testing"
	"time"

	"cranegate/internal/metrics"
	"cranegate/routing"
)

const ms = time.Millisecond

func yes() bool { return true }

// TestSendIsJudged holds each bound of CheckSend just kept and just broken.
func TestSendIsJudged(t *testing.T) {
	const now = 10 * time.Second
	for name, c := range map[string]struct {
		a    Attempt
		want Reason
	}{
		"in order":              {Attempt{Now: now, Deadline: now}, None},
		"answered":              {Attempt{Now: now, Deadline: now, Answered: true}, RequestEnded},
		"drained just now":      {Attempt{Now: now, Deadline: now, WithdrawnAt: now - Grace}, None},
		"drained":               {Attempt{Now: now, Deadline: now, WithdrawnAt: now - Grace - ms}, HostWithdrawn},
		"client left just now":  {Attempt{Now: now, Deadline: now, LeftAt: now - RemovedGrace}, None},
		"client left":           {Attempt{Now: now, Deadline: now, LeftAt: now - RemovedGrace - ms}, ClientDisconnected},
		"held up":               {Attempt{Now: now, Deadline: now - Stall, Latest: now - Stall}, None},
		"past its latest begin": {Attempt{Now: now, Deadline: now, Latest: now - Stall - ms}, PastLatest},
		"past its deadline":     {Attempt{Now: now, Deadline: now - Stall - ms}, PastDeadline},
	} {
		if got, _ := CheckSend(c.a); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestRepeatsAreJudged plays two attempts, the first of which ends or stays out, for each effect.
func TestRepeatsAreJudged(t *testing.T) {
	const window = 2 * time.Second
	for _, c := range []struct {
		name   string
		effect routing.Effect
		copies bool
		ends   bool
		result routing.Result
		after  time.Duration
		want   Reason
	}{
		{"once, turned away", routing.NonIdempotent, false, true, routing.ResultOverCapacity, ms, None},
		{"once, never written", routing.NonIdempotent, false, true, routing.ResultNotSent, ms, None},
		{"once, reset", routing.NonIdempotent, false, true, routing.ResultReset, ms, DuplicateRun},
		{"once, timed out", routing.NonIdempotent, true, true, routing.ResultTimeout, ms, DuplicateRun},
		{"once, out", routing.NonIdempotent, true, false, 0, ms, DuplicateRun},
		{"keyed, inside its window", routing.IdempotentByKey, false, true, routing.ResultReset, window + Stall, None},
		{"keyed, past its window", routing.IdempotentByKey, false, true, routing.ResultReset, window + Stall + ms, WindowOver},
		{"keyed, missed before", routing.IdempotentByKey, false, true, routing.ResultMissed, 9 * window, None},
		{"read, reset", routing.Idempotent, false, true, routing.ResultReset, 9 * window, None},
		{"read, a copy", routing.Idempotent, true, false, 0, ms, None},
		{"read, a copy that is not allowed", routing.Idempotent, false, false, 0, ms, AttemptsInFlight},
	} {
		var l Ledger
		limits := Limits{Effect: c.effect, Window: window, Copies: c.copies, Attempts: 2}
		if got, _ := l.Begin(0, 0, limits, yes); got != None {
			t.Errorf("%s: the first: %q", c.name, got)
		}
		if c.ends {
			l.End(0, c.result)
		}
		if got, _ := l.Begin(1, c.after, limits, yes); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	var l Ledger
	if _, written := l.Begin(7, 0, Limits{Attempts: 1}, func() bool { return false }); written {
		t.Error("recorded, though it was not written")
	}
	l.Begin(0, 0, Limits{Attempts: 1}, yes)
	l.End(0, routing.ResultOverCapacity)
	if got, _ := l.Begin(1, ms, Limits{Attempts: 1}, yes); got != TooMany {
		t.Errorf("a second of one: %q", got)
	}
}

// TestViolationsAreCounted counts by rule, and leaves alone what is no violation.
func TestViolationsAreCounted(t *testing.T) {
	m := &Monitor{Counters: &metrics.Counters{}}
	m.Report(Violation{Rule: Send, Reason: None})
	m.Report(Violation{Rule: Send, Reason: ClientDisconnected, Request: "a"})
	m.Report(Violation{Rule: Close, Reason: Unanswered, Request: "b"})
	(*Monitor)(nil).Report(Violation{Rule: Close, Reason: Unanswered})
	if m.Counters.Get("violations") != 2 || m.Counters.Get("violations_send") != 1 || m.Counters.Get("violations_close") != 1 {
		t.Errorf("%v", m.Counters)
	}
}
