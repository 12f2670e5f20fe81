package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestNonIdempotentWriteThatMayHaveRunFails(t *testing.T) {
	for _, result := range []Result{ResultTimeout, ResultReset, ResultError} {
		h := newHarness(t, testConfig())
		h.reportAll("a", 10*ms)
		write := h.request(nonIdempotentWrite)
		h.endAttempt(write, result, RoleUnknown, 0)
		h.advance(time.Second)
		h.want("sends", len(h.membersTried(write)), 1)
		h.want("refusals", h.rejected[write], 0)
		h.want("failures", h.failed[write], 1)
	}
}

func TestIdempotentByKeyIsRetriedWithinItsTTL(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(idempotentWrite)
	h.endAttempt(write, ResultReset, RoleUnknown, 0)
	h.now += 100 * ms
	h.checkOK("c", RolePrimary, 0)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0)) // a, tried again, is no primary any more
	h.want("sends", h.membersTried(write), "[a a c]")
	h.now += 2 * time.Second
	h.endAttempt(write, ResultReset, RoleUnknown, 0)
	h.advance(time.Second)
	h.want("sends", h.membersTried(write), "[a a c]")
	h.want("failures", h.failed[write], 1)
	h.want("refusals", h.rejected[write], 0)
	h.want("the reason", h.reason, ReasonWindowOver)
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	h := newHarness(t, testConfig(), []Endpoint{}...)
	id := h.request(anyRead)
	h.advance(2 * time.Second)
	h.want("refusals", h.rejected[id], 1)
	if h.retryAfter <= 0 || h.retryAfter > h.router.cfg.MaxRetryAfter {
		t.Errorf("advice %v", h.retryAfter)
	}
}

func TestSlowAttemptIsHedgedWhereAllowed(t *testing.T) {
	for _, may := range []bool{true, false} {
		cfg := testConfig()
		cfg.AllowHedging = may
		h := newHarness(t, cfg)
		h.reportAll("a", 10*ms)
		*h.router.expectedLatencyOf(anyRead) = 50 * ms
		id := h.request(anyRead)
		h.advance(170 * ms) // over three usual round trips, under five
		want := 1
		if may {
			want = 2
		}
		h.want(fmt.Sprint("attempts where copies may run together: ", may), len(h.membersTried(id)), want)
	}
}

func TestUnresponsiveMembersRequestMovesWithoutHedging(t *testing.T) {
	cfg := testConfig()
	cfg.AllowHedging = false
	cfg.Classes[anyRead].LatencyObjective = 900 * ms
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(anyRead) = 50 * ms
	id := h.request(anyRead)
	h.advance(300 * ms)
	h.want("cancelled", len(h.cancels), 1)
	h.endAttempt(id, ResultCancelled, RoleUnknown, 0)
	if to := h.membersTried(id); len(to) != 2 || to[0] == to[1] {
		t.Errorf("after the cancel the read went %v", to)
	}
}

// TestUnsentRequestIsRejectedByHalfOfItsTime guards against holding a request that no member has had: a client that
// hears so late that nothing was tried has lost its time. One that a member turned away is held on.
func TestUnsentRequestIsRejectedByHalfOfItsTime(t *testing.T) {
	h := newHarness(t, testConfig(), Endpoint{Member: "a", Group: 2, Primary: true, Capacity: 1}) // none in the request's group
	write := h.request(nonIdempotentWrite)
	half := h.router.cfg.Classes[nonIdempotentWrite].Deadline / 2
	h.advance(half - 100*ms)
	h.want("refusals while there is time", h.rejected[write], 0)
	h.advance(100 * ms)
	h.want("refusals by half of it", h.rejected[write], 1)
	h.want("the reason", h.reason, ReasonUnsent)
	if h.retryAfter <= 0 || h.retryAfter > half/4 {
		t.Errorf("advice %v: it leaves no time for another try", h.retryAfter)
	}
	h = newHarness(t, testConfig())
	write = h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	for range 3 {
		h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	}
	h.advance(half + 50*ms)
	h.want("refusals after a miss", h.rejected[write], 0)
}

// TestStreamedAnswer lets the second of two copies begin a long answer: the first is cancelled, and its end does not end
// the other, which may go on for longer than any deadline without its member being held for silent.
func TestStreamedAnswer(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(anyRead) = 50 * ms
	id := h.request(anyRead)
	h.advance(170 * ms)
	to := h.membersTried(id)
	if len(to) < 2 {
		t.Fatalf("sent to %v, want a second copy", to)
	}
	h.router.StreamStarted(h.now, id, 1)
	h.want("cancelled", h.cancels, fmt.Sprintf("[%d/0]", id))
	h.router.Outcome(h.now, Outcome{Request: id, Attempt: 0, Member: to[0], Result: ResultCancelled, Latency: 500 * ms, Closed: true})
	h.advance(5 * time.Second)
	h.want("cancelled in the end", h.cancels, fmt.Sprintf("[%d/0]", id))
	if h.router.unhealthy(h.router.members[to[1]]) || h.rejected[id]+h.failed[id] > 0 {
		t.Error("a long answer counts as silence, or its request was answered again")
	}
	h.router.Outcome(h.now, Outcome{Request: id, Attempt: 1, Member: to[1], Result: ResultOK, Latency: 400 * ms, Closed: true})
	if len(h.router.requests) > 0 {
		t.Error("the request is kept")
	}
}

// TestUnansweredWaitsGrowShort has a group without a primary: the first writes wait for half of their time, later ones less and
// less, also those that a replica has turned away; once writes are answered again they wait as long as ever.
func TestUnansweredWaitsGrowShort(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("", 10*ms)
	waits := func() time.Duration {
		id := h.request(nonIdempotentWrite)
		for since := h.now; ; h.advance(10 * ms) {
			for n := len(h.membersTried(id)); h.attemptsEnded[id] < n; h.attemptsEnded[id]++ { // whoever it goes to is no primary
				h.router.Outcome(h.now, Outcome{Request: id, Attempt: h.attemptsEnded[id], Member: h.membersTried(id)[h.attemptsEnded[id]], Result: ResultMissed, Latency: ms,
					Role: RoleReplica, Position: h.position(10 * ms)})
			}
			if h.rejected[id]+h.failed[id] > 0 || h.now-since > 4*time.Second {
				return h.now - since
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
	h.reportAll("a", 10*ms)
	for range 40 {
		h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	}
	h.reportAll("", 10*ms)
	h.router.members["a"].role = RoleReplica
	if again := waits(); again < 1400*ms {
		t.Errorf("after answers a write waits %v again", again)
	}
}

// TestWaitsForAWarmingPrimaryStayLong has most requests of a group end unanswered. A write that members have turned away
// is given up early while there is no primary; one that waits for the budget of a cold primary is not, as that comes: a
// release that goes on has cold primaries all the time.
func TestWaitsForAWarmingPrimaryStayLong(t *testing.T) {
	for _, c := range []struct {
		what          string
		primary, cold bool
		atLeast, most time.Duration
	}{
		{"no primary", false, false, 300 * ms, 600 * ms},
		{"a cold primary", true, true, 1400 * ms, 2 * time.Second},
	} {
		h := newHarness(t, testConfig())
		h.reportAll("", 10*ms)
		if c.primary {
			h.reportAll("a", 10*ms)
		}
		a := h.router.members["a"]
		if a.group.unansweredShare = 1; c.cold {
			a.startedAt, a.tokens, a.tokensAt = h.now, -1000, h.now
		}
		id, since := h.request(nonIdempotentWrite), h.now
		if !c.primary { // it was tried there, and now waits
			h.endAttempt(id, ResultMissed, RoleReplica, h.position(10*ms))
			h.router.groups[1].nextSearchAt = h.now + time.Hour
			for i := 1; i < len(h.membersTried(id)); i++ {
				h.router.Outcome(h.now, Outcome{Request: id, Attempt: i, Member: h.membersTried(id)[i], Result: ResultMissed, Latency: ms, Role: RoleReplica, Position: h.position(10 * ms)})
			}
			if !h.router.requests[id].reachedMember {
				t.Fatal("the write has reached nobody")
			}
		}
		for h.rejected[id]+h.failed[id] == 0 && h.now-since < 4*time.Second {
			h.advance(10 * ms)
		}
		if waited := h.now - since; waited < c.atLeast || waited > c.most {
			t.Errorf("%s: it waits %v, want %v to %v", c.what, waited, c.atLeast, c.most)
		}
	}
}
