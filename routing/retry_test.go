package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowAttemptIsHedgedWhereAllowed(t *testing.T) {
	for allowed, want := range map[bool]int{true: 2, false: 1} {
		cfg := testConfig()
		cfg.AllowHedging = allowed
		h := newHarness(t, cfg)
		h.reportAll("a", 10*ms)
		*h.router.expectedLatencyOf(anyRead) = 50 * ms
		id := h.request(anyRead)
		h.advance(170 * ms) // over hedgeLatencyFactor expected latencies, under maxSilence
		h.want(fmt.Sprint("attempts where hedging is allowed: ", allowed), len(h.membersTried(id)), want)
	}
}

func TestRequestIsRetriedElsewhereWithoutHedging(t *testing.T) {
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
	if tried := h.membersTried(id); len(tried) != 2 || tried[0] == tried[1] {
		t.Errorf("the read was sent to %v, want two different members", tried)
	}
}

// TestUnsentRequestIsRejectedWithinHalfItsTime checks that a request that no member receives is rejected by
// half of its time, as a client that is rejected later has no time left to retry. A request that a member has
// rejected keeps waiting.
func TestUnsentRequestIsRejectedWithinHalfItsTime(t *testing.T) {
	other := Endpoint{Member: "a", Group: 2, Primary: true, Capacity: 1} // not of the request's group
	h := newHarness(t, testConfig(), other)
	write := h.request(nonIdempotentWrite)
	half := h.router.cfg.Classes[nonIdempotentWrite].Deadline / 2
	h.advance(half - 100*ms)
	h.want("rejections before half of its time", h.rejected[write], 0)
	h.advance(100 * ms)
	h.want("rejections by half of it", h.rejected[write], 1)
	h.want("the reason", h.reason, ReasonUnsent)
	if h.retryAfter <= 0 || h.retryAfter > half/4 {
		t.Errorf("Retry-After %v leaves no time for a retry", h.retryAfter)
	}
	h = newHarness(t, testConfig())
	write = h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	for range 3 {
		h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	}
	h.advance(half + 50*ms)
	h.want("rejections after a miss", h.rejected[write], 0)
}

// TestStreamedAnswer starts a streamed answer with the second of two attempts. The first attempt must be
// cancelled, and its end must not end the second one, which may continue past any deadline without its member
// counting as silent.
func TestStreamedAnswer(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(anyRead) = 50 * ms
	id := h.request(anyRead)
	h.advance(170 * ms)
	tried := h.membersTried(id)
	if len(tried) < 2 {
		t.Fatalf("sent to %v, want a hedged request", tried)
	}
	h.router.StreamStarted(h.now, id, 1)
	h.want("cancelled", h.cancels, fmt.Sprintf("[%d/0]", id))
	h.router.Outcome(h.now, Outcome{Request: id, Attempt: 0, Member: tried[0], Result: ResultCancelled,
		Latency: 500 * ms, Closed: true})
	h.advance(5 * time.Second)
	h.want("cancelled in the end", h.cancels, fmt.Sprintf("[%d/0]", id))
	if h.router.unhealthy(h.router.members[tried[1]]) || h.rejected[id]+h.failed[id] > 0 {
		t.Error("a streamed answer counts as silence, or its request was answered again")
	}
	h.router.Outcome(h.now, Outcome{Request: id, Attempt: 1, Member: tried[1], Result: ResultOK,
		Latency: 400 * ms, Closed: true})
	if len(h.router.requests) > 0 {
		t.Error("the request was not removed after its last attempt")
	}
}

// missAll ends the attempts of a request that are in flight with ResultMissed from replicas.
func (h *harness) missAll(id uint64) {
	for h.attemptsEnded[id] < len(h.membersTried(id)) {
		number := h.attemptsEnded[id]
		h.router.Outcome(h.now, Outcome{Request: id, Attempt: number, Member: h.membersTried(id)[number],
			Result: ResultMissed, Latency: ms, Role: RoleReplica, Position: h.position(10 * ms)})
		h.attemptsEnded[id]++
	}
}

// measureWriteWait returns how long a write waits for its final answer, at most 4 s, while all members answer
// ResultMissed.
func (h *harness) measureWriteWait() time.Duration {
	id := h.request(nonIdempotentWrite)
	for since := h.now; ; h.advance(10 * ms) {
		h.missAll(id)
		if h.rejected[id]+h.failed[id] > 0 || h.now-since > 4*time.Second {
			return h.now - since
		}
	}
}

// TestWaitsShortenWhileRequestsEndUnanswered checks that, in a group without a primary, the first write waits
// for half of its time and later ones wait less, also if a replica has rejected them. Once writes have been
// answered again, writes wait as long as at the start.
func TestWaitsShortenWhileRequestsEndUnanswered(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("", 10*ms)
	first := h.measureWriteWait()
	for range 40 {
		h.measureWriteWait()
	}
	late := h.measureWriteWait()
	if first < 1400*ms || late > 600*ms {
		t.Errorf("the first write waited %v (want 1.4 s or more), a late one %v (0.6 s or less)", first, late)
	}
	h.reportAll("a", 10*ms)
	for range 40 {
		h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	}
	h.reportAll("", 10*ms)
	h.router.members["a"].role = RoleReplica
	if again := h.measureWriteWait(); again < 1400*ms {
		t.Errorf("after answered writes a write waited %v, want at least 1.4 s", again)
	}
}

// TestWaitsForAPrimaryInSlowStartStayLong checks how long a write waits in a group whose requests mostly end
// unanswered. A write that members have rejected is abandoned early while there is no primary. A write that
// waits for the budget of a primary in slow start is not, because the budget becomes available: in a rolling
// release some primary is always in slow start.
func TestWaitsForAPrimaryInSlowStartStayLong(t *testing.T) {
	for _, c := range []struct {
		name      string
		isPrimary bool // a is the primary, and in slow start
		min, max  time.Duration
	}{
		{"no primary", false, 300 * ms, 600 * ms},
		{"a primary in slow start", true, 1400 * ms, 2 * time.Second},
	} {
		h := newHarness(t, testConfig())
		h.reportAll("", 10*ms)
		a := h.router.members["a"]
		if c.isPrimary {
			h.reportAll("a", 10*ms)
			a.startedAt, a.tokens, a.tokensAt = h.now, -1000, h.now
		}
		a.group.unansweredShare = 1
		id, since := h.request(nonIdempotentWrite), h.now
		if !c.isPrimary {
			h.rejectEverywhere(id)
		}
		for h.rejected[id]+h.failed[id] == 0 && h.now-since < 4*time.Second {
			h.advance(10 * ms)
		}
		if waited := h.now - since; waited < c.min || waited > c.max {
			t.Errorf("%s: the write waited %v, want %v to %v", c.name, waited, c.min, c.max)
		}
	}
}

// rejectEverywhere ends attempts of a write at all members with ResultMissed. The write then waits without a
// search.
func (h *harness) rejectEverywhere(id uint64) {
	h.Helper()
	h.endAttempt(id, ResultMissed, RoleReplica, h.position(10*ms))
	h.attemptsEnded[id] = 1
	h.router.groups[1].nextSearchAt = h.now + time.Hour
	h.missAll(id)
	if !h.router.requests[id].reachedMember {
		h.Fatal("the write has reached no member")
	}
}
