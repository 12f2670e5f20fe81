package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestLateReportDoesNotOverrideAnAnswer(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(0))
	h.checkOK("a", RolePrimary, 2*time.Second)
	if p := h.router.groups[1].primary(); p != nil {
		t.Errorf("%s is taken for the primary on a report older than its answer", p.id)
	}
}

func TestShortSilencesDoNotAddUp(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	member := h.router.members["a"]
	for range 20 { // each silent for less than the limit
		member.endedSilence = max(member.endedSilence, 0)
		a := &attemptState{member: member, sentAt: h.now - 100*ms, expectedLatency: 50 * ms, request: &requestState{class: &h.router.cfg.Classes[anyRead]}}
		h.router.observe(a, Outcome{Result: ResultTimeout})
	}
	if h.router.unhealthy(member) {
		t.Error("short silences added up: a loaded primary's writes would go searching")
	}
}

func TestOneBrokenConnectionDoesNotDelayWrites(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultReset, RoleUnknown, 0)
	h.want("the broken write", h.failed[write], 1)
	h.want("the next write", h.membersTried(h.request(nonIdempotentWrite)), "[a]")
	h.want("chance after it", h.router.onTimeProbability(h.router.members["a"], 400*ms, 100*ms, 0), 1)
}

func TestLocalCommitBindsTheSessionsNextRead(t *testing.T) {
	cfg := testConfig()
	cfg.StaleReads, cfg.LocalSessions = StaleReadServed, true
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	write := h.request(nonIdempotentWrite, func(req *Request) { req.Session = "s" })
	h.endAttempt(write, ResultOK, RolePrimary, h.position(-50*ms))
	h.want("its own session", h.membersTried(h.request(sessionRead, func(req *Request) { req.Session = "s" })), "[a]")
	if h.membersTried(h.request(sessionRead, func(req *Request) { req.Session = "other" }))[0] == "a" {
		t.Error("another session's read went to the primary")
	}
}

func TestIdleConnectionsAreClosedDuringAShortage(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	id := h.request(anyRead)
	h.endAttempt(id, ResultConnectFailed, RoleUnknown, 0) // goes again at once
	h.checkOK(h.membersTried(id)[0], RoleReplica, 0)
	h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	h.want("shut after the answer", h.closedIdle, "[a]")
	h.advance(connectionShortageDuration + time.Second)
	h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	h.want("shut later on", h.closedIdle, "[a]")
}

func TestFailuresAreARestartUnlessTheReplicaKeptUp(t *testing.T) {
	for _, lag := range []time.Duration{10 * ms, 2 * time.Second} {
		h := newHarness(t, testConfig())
		h.reportAll("a", 3*time.Second)
		member := h.router.members["b"]
		h.advance(minRestartSilence)
		member.failures = maxFailures
		h.checkOK("b", RoleReplica, lag)
		h.want(fmt.Sprint("cold when it stands ", lag, " behind"), h.router.slowStartWeight(member) < 1, lag > time.Second)
	}
}

// Connections break on days on which no process does: that must neither make a member cold, which holds back its work
// for many seconds, nor have its idle connections shut.
func TestBrokenConnectionsAreNoRestart(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	member := h.router.members["a"]
	h.advance(300 * ms)
	h.reportAll("a", 10*ms)
	for range maxFailures {
		id := h.request(nonIdempotentWrite)
		h.router.Outcome(h.now, Outcome{Request: id, Member: "a", Result: ResultReset, Latency: 5 * ms, Closed: true})
	}
	h.want("failures", member.failures, maxFailures)
	h.want("suspect at once", h.router.unhealthy(member), false)
	h.advance(300 * ms)
	h.want("suspect without an answer since", h.router.unhealthy(member), true)
	h.reportAll("a", 10*ms)
	h.want("warmth after two breaks and an answer", h.router.slowStartWeight(member), 1)
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultReset})
	h.advance(2 * time.Second)
	h.checkOK("b", RoleReplica, 10*ms)
	h.want("warmth after a probe that broke", h.router.slowStartWeight(h.router.members["b"]), 1)
	h.want("short of connections", h.router.now < h.router.connectionShortageUntil, false)
	h.router.members["b"].failures, h.router.members["b"].connectFailures = 1, 1
	h.advance(10 * ms)
	h.reportAll("a", 10*ms)
	h.want("short of connections after a connect that failed", h.router.now < h.router.connectionShortageUntil, true)
}

func TestStandstillOfTheGatewayIsNoSilence(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(nonIdempotentWrite) = 50 * ms
	h.request(nonIdempotentWrite)
	h.now += 900 * ms // no sweep in between
	h.router.Timer(h.now, sweepTimer)
	h.want("suspect after standing still", h.router.unhealthy(h.router.members["a"]), false)
	h.advance(400 * ms)
	h.want("suspect after real silence", h.router.unhealthy(h.router.members["a"]), true)
}

func TestListedStartTimeIsKept(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.advance(2 * time.Second)
	started := h.now
	h.updateEndpoints(EndpointListPatch, Endpoint{Member: "b", Group: 1, Capacity: 1, StartedAt: started})
	for range maxFailures { // it still can't be reached from here
		h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultConnectFailed})
	}
	h.advance(4 * time.Second)
	h.checkOK("b", RoleUnknown, 0)
	h.want("start", h.router.members["b"].startedAt, started)
}

func TestPartitionedMembersAreNotShortOfConnections(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	member := h.router.members["b"]
	back := HealthCheckResult{Member: "b", Result: ResultOK, Report: Report{HasPosition: true, Role: RoleReplica}}
	for _, cut := range []time.Duration{100 * ms, 5 * time.Second} {
		h.router.connectionShortageUntil, member.failures, member.connectFailures = 0, 1, 1
		h.advance(cut)
		member.position, back.Report.Position = h.position(20*ms), h.position(0)
		h.router.HealthChecked(h.now, back)
		h.want(fmt.Sprint("short of connections after ", cut), h.router.connectionShortageUntil > 0, cut < minRestartSilence)
	}
}
