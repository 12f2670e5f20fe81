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
	h.want("written lately", h.membersTried(id), "[a]")
	id = h.request(sessionRead, func(req *Request) { req.SinceWrite = 2 * time.Second })
	if h.membersTried(id)[0] == "a" {
		t.Error("a session read whose write all replicas have went to the primary")
	}
}

func TestUnresponsiveMemberIsAvoidedBeforeAnyTimeout(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for range 200 {
		h.advance(10 * ms)
		id := h.request(anyRead)
		if h.membersTried(id)[0] == "c" {
			h.endAttempt(id, ResultOK, RoleReplica, h.position(10*ms)) // b never answers
		}
	}
	h.sends = nil
	for range 50 {
		h.advance(10 * ms)
		id := h.request(anyRead)
		if h.membersTried(id)[0] == "c" {
			h.endAttempt(id, ResultOK, RoleReplica, h.position(10*ms))
		}
	}
	hung := 0
	for _, sent := range h.sends {
		if sent.member == "b" {
			hung++
		}
	}
	if hung > 2 {
		t.Errorf("%d of %d attempts went to a hung member", hung, len(h.sends))
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
		t.Error("replicas that kept up half a second ago were passed over: reads pile onto the primary")
	}
}

func TestReadsOfAnyAgeGoToALaggingReplica(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.now += 10 * ms
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultOK,
		Report: Report{HasPosition: true, Position: h.router.members["b"].position + 1}})
	h.router.members["b"].position -= 500 // b fell behind
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
	if to := h.membersTried(h.request(boundedRead)); len(to) == 0 || to[0] == "a" {
		t.Errorf("a bounded read went %v: quiet gateways would all crowd the primary", to)
	}
}

func TestReadsGoToThePrimaryWithSpareCapacity(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for range latencyWindowSize { // in a large fleet a gateway sees few answers of a member
		h.router.recordLatency(h.router.members["a"], latencySample{at: h.now, ratio: 1.8})
		h.router.recordLatency(h.router.members["b"], latencySample{at: h.now, ratio: 1e3})
		h.router.recordLatency(h.router.members["c"], latencySample{at: h.now, ratio: 1e3})
	}
	member := h.router.members["a"]
	member.latencyWindow = member.latencyWindow[:3]
	h.want("a read", h.membersTried(h.request(boundedRead)), "[a]")
	h.want("beside a write there", len(h.membersTried(h.request(nonIdempotentWrite))), 1)
	h.want("and one more", len(h.membersTried(h.request(nonIdempotentWrite))), 1)
	if to := h.membersTried(h.request(boundedRead)); len(to) > 0 && to[0] == "a" {
		t.Error("a read took the room that is left for writes")
	}
}

func TestLaggingReplicaIsTriedOnceItMayHaveCaughtUp(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 600*ms) // both replicas lag 600 ms; the primary is slow
	for range 40 {
		h.router.recordLatency(h.router.members["a"], latencySample{at: h.now, ratio: 100})
	}
	id := h.request(boundedRead)
	h.want("just after it was told", h.membersTried(id), "[]")
	h.now += 500 * ms
	if to := h.membersTried(h.request(boundedRead)); len(to) == 0 || to[0] == "a" {
		t.Errorf("half a second later a read of 200 ms went %v", to)
	}
}
