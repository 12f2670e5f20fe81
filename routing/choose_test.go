package routing

import (
	"testing"
	"time"
)

func TestLaggingReplicaGetsNoSessionRead(t *testing.T) {
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	h := newHarness(t, cfg)
	h.reportAll("a", time.Second)
	id := h.request(sessionRead, func(req *Request) { req.SinceWrite = 500 * ms })
	h.want("a read of a recent write", h.membersTried(id), "[a]")
	id = h.request(sessionRead, func(req *Request) { req.SinceWrite = 2 * time.Second })
	if h.membersTried(id)[0] == "a" {
		t.Error("a session read whose write all replicas have applied went to the primary")
	}
}

func TestUnresponsiveMemberIsAvoidedBeforeAnyTimeout(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	read := func(n int) {
		for range n {
			h.advance(10 * ms)
			id := h.request(anyRead)
			if h.membersTried(id)[0] == "c" { // b never answers
				h.endAttempt(id, ResultOK, RoleReplica, h.position(10*ms))
			}
		}
	}
	read(200)
	h.sends = nil
	read(50)
	unanswered := 0
	for _, sent := range h.sends {
		if sent.member == "b" {
			unanswered++
		}
	}
	if unanswered > 2 {
		t.Errorf("%d of %d attempts went to a member that never answers", unanswered, len(h.sends))
	}
}

func TestReplicaKnownToLagIsNotTried(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 900*ms)
	id := h.request(boundedRead)
	h.want("bounded read of 200 ms while replicas lag 900 ms", h.membersTried(id), "[a]")
}

func TestPresumedFreshReplicaIsTried(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.now += 500 * ms
	id := h.request(boundedRead)
	if h.membersTried(id)[0] == "a" {
		t.Error("a read went to the primary though replicas were up to date half a second ago")
	}
}

func TestReadsOfAnyAgeGoToALaggingReplica(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.now += 10 * ms
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultOK,
		Report: Report{HasPosition: true, Position: h.router.members["b"].position + 1}})
	h.router.members["b"].position -= 500 // b lags
	for range 10 {
		id := h.request(anyRead)
		h.want("read of any age", h.membersTried(id), "[b]")
		h.endAttempt(id, ResultOK, RoleReplica, 0)
	}
}

func TestQuietReplicaServesReadsWhereMembersCheck(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.now += 8 * time.Second
	if tried := h.membersTried(h.request(boundedRead)); len(tried) == 0 || tried[0] == "a" {
		t.Errorf("a read went to %v: gateways with little traffic would overload the primary", tried)
	}
}

func TestReadsGoToThePrimaryWithSpareCapacity(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	primary := h.router.members["a"]
	for range latencyWindowSize {
		h.router.recordLatency(primary, latencySample{at: h.now, ratio: 1.8})
		h.router.recordLatency(h.router.members["b"], latencySample{at: h.now, ratio: 1e3})
		h.router.recordLatency(h.router.members["c"], latencySample{at: h.now, ratio: 1e3})
	}
	primary.latencyWindow = primary.latencyWindow[:3] // a gateway of a large fleet has few samples
	h.want("a read", h.membersTried(h.request(boundedRead)), "[a]")
	h.want("attempts of a write beside it", len(h.membersTried(h.request(nonIdempotentWrite))), 1)
	h.want("attempts of one more", len(h.membersTried(h.request(nonIdempotentWrite))), 1)
	if tried := h.membersTried(h.request(boundedRead)); len(tried) > 0 && tried[0] == "a" {
		t.Error("a read used the capacity that is reserved for writes")
	}
}

func TestLaggingReplicaIsTriedOnceItMayHaveCaughtUp(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 600*ms) // both replicas lag 600 ms, and the primary is slow
	for range 40 {
		h.router.recordLatency(h.router.members["a"], latencySample{at: h.now, ratio: 100})
	}
	id := h.request(boundedRead)
	h.want("a read just after the report", h.membersTried(id), "[]")
	h.now += 500 * ms
	if tried := h.membersTried(h.request(boundedRead)); len(tried) == 0 || tried[0] == "a" {
		t.Errorf("half a second later a read with a bound of 200 ms went to %v, want a replica", tried)
	}
}
