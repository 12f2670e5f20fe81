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
		t.Errorf("the read was sent to %v, want two members", tried)
	}
}

// TestUnsentRequestIsRejectedWithinHalfItsTime has a request that no member receives: a client that is rejected later has
// no time left for a retry. One that a member has rejected goes on waiting.
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
		t.Errorf("Retry-After %v: it leaves no time for another try", h.retryAfter)
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

// TestStreamedAnswer has the second of two attempts start a streamed answer: the first is cancelled, and its end does not
// end the other, which may go on past any deadline without its member counting as silent.
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
		t.Error("the request is kept")
	}
}

// missAll ends the attempts of a request that are in flight with misses of replicas.
func (h *harness) missAll(id uint64) {
	for h.attemptsEnded[id] < len(h.membersTried(id)) {
		number := h.attemptsEnded[id]
		h.router.Outcome(h.now, Outcome{Request: id, Attempt: number, Member: h.membersTried(id)[number],
			Result: ResultMissed, Latency: ms, Role: RoleReplica, Position: h.position(10 * ms)})
		h.attemptsEnded[id]++
	}
}

// measureWriteWait is how long a write waits for its final answer, at most 4 s, while all members miss it.
func (h *harness) measureWriteWait() time.Duration {
	id := h.request(nonIdempotentWrite)
	for since := h.now; ; h.advance(10 * ms) {
		h.missAll(id)
		if h.rejected[id]+h.failed[id] > 0 || h.now-since > 4*time.Second {
			return h.now - since
		}
	}
}

// TestWaitsShortenWhileRequestsEndUnanswered has a group without a primary: the first writes wait for half of their time, later ones
// less and less, also those that a replica has rejected. Once writes are answered again they wait as long as ever.
func TestWaitsShortenWhileRequestsEndUnanswered(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("", 10*ms)
	first := h.measureWriteWait()
	for range 40 {
		h.measureWriteWait()
	}
	late := h.measureWriteWait()
	if first < 1400*ms || late > 600*ms {
		t.Errorf("the first write waits %v and a late one %v; want 1.4 s at least and 0.6 s at most", first, late)
	}
	h.reportAll("a", 10*ms)
	for range 40 {
		h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	}
	h.reportAll("", 10*ms)
	h.router.members["a"].role = RoleReplica
	if again := h.measureWriteWait(); again < 1400*ms {
		t.Errorf("after answers a write waits %v again", again)
	}
}

// TestWaitsForAPrimaryInSlowStartStayLong has most requests of a group end unanswered. A write that members have rejected is
// abandoned early while there is no primary. One that waits for the budget of a primary in slow start is not, as that
// comes: in a rolling release primaries are in slow start all the time.
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
			t.Errorf("%s: it waits %v, want %v to %v", c.name, waited, c.min, c.max)
		}
	}
}

// rejectEverywhere has all members miss a write, which then waits without searching.
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
