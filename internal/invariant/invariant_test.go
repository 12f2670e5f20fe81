package invariant

import (
	"testing"
	"time"

	"cranegate/internal/metrics"
	"cranegate/routing"
)

const ms = time.Millisecond

// written is a write function for Ledger.Begin that reports that an attempt was written.
func written() bool { return true }

// TestCheckSend checks each time limit when it is just met and when it is just exceeded.
func TestCheckSend(t *testing.T) {
	const now = 10 * time.Second
	for name, c := range map[string]struct {
		a    Attempt
		want Reason
	}{
		"in order":                     {Attempt{Now: now, Deadline: now}, None},
		"answered":                     {Attempt{Now: now, Deadline: now, Answered: true}, RequestEnded},
		"drained just now":             {Attempt{Now: now, Deadline: now, WithdrawnAt: now - DrainGrace}, None},
		"drained":                      {Attempt{Now: now, Deadline: now, WithdrawnAt: now - DrainGrace - ms}, HostWithdrawn},
		"client disconnected just now": {Attempt{Now: now, Deadline: now, DisconnectedAt: now - DisconnectGrace}, None},
		"client disconnected":          {Attempt{Now: now, Deadline: now, DisconnectedAt: now - DisconnectGrace - ms}, ClientDisconnected},
		"suspended":                    {Attempt{Now: now, Deadline: now - SuspensionGrace, LatestStart: now - SuspensionGrace}, None},
		"past its latest start":        {Attempt{Now: now, Deadline: now, LatestStart: now - SuspensionGrace - ms}, PastLatestStart},
		"past its deadline":            {Attempt{Now: now, Deadline: now - SuspensionGrace - ms}, PastDeadline},
	} {
		if got, _ := CheckSend(c.a); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestLedger checks a second attempt after a first that has ended or is in flight, for each effect.
func TestLedger(t *testing.T) {
	const ttl = 2 * time.Second
	for _, c := range []struct {
		name    string
		effect  routing.Effect
		hedging bool
		ends    bool
		result  routing.Result
		after   time.Duration
		want    Reason
	}{
		{"once, rejected", routing.NonIdempotent, false, true, routing.ResultOverCapacity, ms, None},
		{"once, never written", routing.NonIdempotent, false, true, routing.ResultNotSent, ms, None},
		{"once, reset", routing.NonIdempotent, false, true, routing.ResultReset, ms, DuplicateRun},
		{"once, timed out", routing.NonIdempotent, true, true, routing.ResultTimeout, ms, DuplicateRun},
		{"once, in flight", routing.NonIdempotent, true, false, 0, ms, DuplicateRun},
		{"keyed, within its TTL", routing.IdempotentByKey, false, true, routing.ResultReset, ttl + SuspensionGrace, None},
		{"keyed, past its TTL", routing.IdempotentByKey, false, true, routing.ResultReset, ttl + SuspensionGrace + ms, IdempotencyExpired},
		{"keyed, missed before", routing.IdempotentByKey, false, true, routing.ResultMissed, 9 * ttl, None},
		{"read, reset", routing.Idempotent, false, true, routing.ResultReset, 9 * ttl, None},
		{"read, hedged", routing.Idempotent, true, false, 0, ms, None},
		{"read, hedging not allowed", routing.Idempotent, false, false, 0, ms, AttemptsInFlight},
	} {
		var l Ledger
		limits := Limits{Effect: c.effect, IdempotencyTTL: ttl, AllowHedging: c.hedging, MaxAttempts: 2}
		if got, _ := l.Begin(0, 0, limits, written); got != None {
			t.Errorf("%s: the first attempt violates %q", c.name, got)
		}
		if c.ends {
			l.End(0, c.result)
		}
		if got, _ := l.Begin(1, c.after, limits, written); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	var l Ledger
	if _, written := l.Begin(7, 0, Limits{MaxAttempts: 1}, func() bool { return false }); written {
		t.Error("an attempt that was not written is reported as written")
	}
	l.Begin(0, 0, Limits{MaxAttempts: 1}, written)
	l.End(0, routing.ResultOverCapacity)
	if got, _ := l.Begin(1, ms, Limits{MaxAttempts: 1}, written); got != TooManyAttempts {
		t.Errorf("a second attempt where one is allowed: %q", got)
	}
}

// TestReport checks the counters, by rule, and that None is not counted.
func TestReport(t *testing.T) {
	m := &Monitor{Counters: &metrics.Counters{}}
	m.Report(Violation{Rule: Send, Reason: None})
	m.Report(Violation{Rule: Send, Reason: ClientDisconnected, Request: "a"})
	m.Report(Violation{Rule: Close, Reason: Unanswered, Request: "b"})
	(*Monitor)(nil).Report(Violation{Rule: Close, Reason: Unanswered})
	if m.Counters.Get("violations") != 2 || m.Counters.Get("violations_send") != 1 || m.Counters.Get("violations_close") != 1 {
		t.Errorf("%v", m.Counters)
	}
}
