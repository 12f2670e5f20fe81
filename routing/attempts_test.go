package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestOnceWriteThatMayHaveRunIsNeitherRepeatedNorRefused(t *testing.T) {
	for _, result := range []Result{ResultTimeout, ResultReset, ResultError} {
		b := newRig(t, config())
		b.told("a", 10*ms)
		w := b.ask(onceWrite)
		b.answer(w, result, RoleUnknown, 0)
		b.pass(time.Second)
		b.want("sends", len(b.to(w)), 1)
		b.want("refusals", b.refused[w], 0)
		b.want("failures", b.failed[w], 1)
	}
}

func TestKeyedWriteIsRepeatedInsideItsWindowOnly(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	w := b.ask(keyedWrite)
	b.answer(w, ResultReset, RoleUnknown, 0)
	b.now += 100 * ms
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "c", Result: ResultOK,
		Report: Report{HasPosition: true, Position: b.at(0), Role: RolePrimary}})
	b.answer(w, ResultMissed, RoleReplica, b.at(0)) // a, tried again, is no primary any more
	b.want("sends", b.to(w), "[a a c]")
	b.now += 2 * time.Second
	b.answer(w, ResultReset, RoleUnknown, 0)
	b.pass(time.Second)
	b.want("sends", b.to(w), "[a a c]")
	b.want("failures", b.failed[w], 1)
	b.want("refusals", b.refused[w], 0)
	b.want("the reason", b.why, ReasonWindowOver)
}

func TestGivenUpAtOnceWithAdvice(t *testing.T) {
	b := newRig(t, config(), []Endpoint{}...)
	q := b.ask(anyRead)
	b.pass(2 * time.Second)
	b.want("refusals", b.refused[q], 1)
	if b.advice <= 0 || b.advice > b.r.cfg.MaxRetryAfter {
		t.Errorf("advice %v", b.advice)
	}
}

func TestSlowAttemptGetsASecondCopyWhereAllowed(t *testing.T) {
	for _, may := range []bool{true, false} {
		c := config()
		c.AllowHedging = may
		b := newRig(t, c)
		b.told("a", 10*ms)
		*b.r.requestUsual(anyRead) = 50 * ms
		q := b.ask(anyRead)
		b.pass(170 * ms) // over three usual round trips, under five
		want := 1
		if may {
			want = 2
		}
		b.want(fmt.Sprint("attempts where copies may run together: ", may), len(b.to(q)), want)
	}
}

func TestSilentMembersRequestMovesWhereCopiesAreNotAllowed(t *testing.T) {
	c := config()
	c.AllowHedging = false
	c.Classes[anyRead].LatencyObjective = 900 * ms
	b := newRig(t, c)
	b.told("a", 10*ms)
	*b.r.requestUsual(anyRead) = 50 * ms
	q := b.ask(anyRead)
	b.pass(300 * ms)
	b.want("cancelled", len(b.cancels), 1)
	b.answer(q, ResultCancelled, RoleUnknown, 0)
	if to := b.to(q); len(to) != 2 || to[0] == to[1] {
		t.Errorf("after the cancel the read went %v", to)
	}
}

// TestUnsentRequestIsRefusedByHalfOfItsTime guards against holding a request that no member has had: a client that
// hears so late that nothing was tried has lost its time. One that a member turned away is held on.
func TestUnsentRequestIsRefusedByHalfOfItsTime(t *testing.T) {
	b := newRig(t, config(), Endpoint{Member: "a", Group: 2, Primary: true, Capacity: 1}) // none in the request's group
	w := b.ask(onceWrite)
	half := b.r.cfg.Classes[onceWrite].Deadline / 2
	b.pass(half - 100*ms)
	b.want("refusals while there is time", b.refused[w], 0)
	b.pass(100 * ms)
	b.want("refusals by half of it", b.refused[w], 1)
	b.want("the reason", b.why, ReasonUnsent)
	if b.advice <= 0 || b.advice > half/4 {
		t.Errorf("advice %v: it leaves no time for another try", b.advice)
	}
	b = newRig(t, config())
	w = b.ask(onceWrite)
	b.answer(w, ResultMissed, RoleReplica, b.at(0))
	for range 3 {
		b.answer(w, ResultMissed, RoleReplica, b.at(0))
	}
	b.pass(half + 50*ms)
	b.want("refusals after a miss", b.refused[w], 0)
}

// TestStreamedAnswer lets the second of two copies begin a long answer: the first is cancelled, and its end does not end
// the other, which may go on for longer than any deadline without its member being held for silent.
func TestStreamedAnswer(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	*b.r.requestUsual(anyRead) = 50 * ms
	q := b.ask(anyRead)
	b.pass(170 * ms)
	to := b.to(q)
	if len(to) < 2 {
		t.Fatalf("sent to %v, want a second copy", to)
	}
	b.r.StreamStarted(b.now, q, 1)
	b.want("cancelled", b.cancels, fmt.Sprintf("[%d/0]", q))
	b.r.Outcome(b.now, Outcome{Request: q, Attempt: 0, Member: to[0], Result: ResultCancelled, Latency: 500 * ms, Closed: true})
	b.pass(5 * time.Second)
	b.want("cancelled in the end", b.cancels, fmt.Sprintf("[%d/0]", q))
	if b.r.unhealthy(b.r.members[to[1]]) || b.refused[q]+b.failed[q] > 0 {
		t.Error("a long answer counts as silence, or its request was answered again")
	}
	b.r.Outcome(b.now, Outcome{Request: q, Attempt: 1, Member: to[1], Result: ResultOK, Latency: 400 * ms, Closed: true})
	if len(b.r.requests) > 0 {
		t.Error("the request is kept")
	}
}

// TestHoldsInVainGrowShort has a group without a primary: the first writes wait for half of their time, later ones less and
// less, also those that a replica has turned away; once writes are answered again they wait as long as ever.
func TestHoldsInVainGrowShort(t *testing.T) {
	b := newRig(t, config())
	b.told("", 10*ms)
	waits := func() time.Duration {
		q := b.ask(onceWrite)
		for since := b.now; ; b.pass(10 * ms) {
			for n := len(b.to(q)); b.made[q] < n; b.made[q]++ { // whoever it goes to is no primary
				b.r.Outcome(b.now, Outcome{Request: q, Attempt: b.made[q], Member: b.to(q)[b.made[q]], Result: ResultMissed, Latency: ms,
					Role: RoleReplica, Position: b.at(10 * ms)})
			}
			if b.refused[q]+b.failed[q] > 0 || b.now-since > 4*time.Second {
				return b.now - since
			}
		}
	}
	first := waits()
	for range 40 {
		waits()
	}
	late := waits()
	if first < 1400*ms || late > 600*ms {
		t.Errorf("the first write waits %v and a late one %v; want half of its 3 s and more, and less than 0.6 s", first, late)
	}
	b.told("a", 10*ms)
	for range 40 {
		b.answer(b.ask(onceWrite), ResultOK, RolePrimary, b.at(0))
	}
	b.told("", 10*ms)
	b.r.members["a"].role = RoleReplica
	if again := waits(); again < 1400*ms {
		t.Errorf("after answers a write waits %v again", again)
	}
}

// TestWaitsThatAreNotInVain has most requests of a group end unanswered. A write that members have turned away
// is given up early while there is no primary; one that waits for the budget of a cold primary is not, as that comes: a
// release that goes on has cold primaries all the time.
func TestWaitsThatAreNotInVain(t *testing.T) {
	for _, c := range []struct {
		what          string
		primary, cold bool
		atLeast, most time.Duration
	}{
		{"no primary", false, false, 300 * ms, 600 * ms},
		{"a cold primary", true, true, 1400 * ms, 2 * time.Second},
	} {
		b := newRig(t, config())
		b.told("", 10*ms)
		if c.primary {
			b.told("a", 10*ms)
		}
		a := b.r.members["a"]
		if a.group.unansweredShare = 1; c.cold {
			a.startedAt, a.tokens, a.tokensAt = b.now, -1000, b.now
		}
		q, since := b.ask(onceWrite), b.now
		if !c.primary { // it was tried there, and now waits
			b.answer(q, ResultMissed, RoleReplica, b.at(10*ms))
			b.r.groups[1].nextSearchAt = b.now + time.Hour
			for i := 1; i < len(b.to(q)); i++ {
				b.r.Outcome(b.now, Outcome{Request: q, Attempt: i, Member: b.to(q)[i], Result: ResultMissed, Latency: ms, Role: RoleReplica, Position: b.at(10 * ms)})
			}
			if !b.r.requests[q].reachedMember {
				t.Fatal("the write has reached nobody")
			}
		}
		for b.refused[q]+b.failed[q] == 0 && b.now-since < 4*time.Second {
			b.pass(10 * ms)
		}
		if waited := b.now - since; waited < c.atLeast || waited > c.most {
			t.Errorf("%s: it waits %v, want %v to %v", c.what, waited, c.atLeast, c.most)
		}
	}
}
