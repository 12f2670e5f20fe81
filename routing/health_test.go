package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestShortSilencesDoNotAddUp(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	member := h.router.members["a"]
	for range 20 { // each silent for less than maxSilence
		attempt := &attemptState{
			member:          member,
			sentAt:          h.now - 100*ms,
			expectedLatency: 50 * ms,
			request:         &requestState{class: &h.router.cfg.Classes[anyRead]},
		}
		h.router.observe(attempt, Outcome{Result: ResultTimeout})
	}
	if h.router.unhealthy(member) {
		t.Error("short silences added up, so writes for a loaded primary would start a search")
	}
}

func TestOneBrokenConnectionDoesNotDelayWrites(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultReset, RoleUnknown, 0)
	h.want("failures of the write", h.failed[write], 1)
	h.want("the next write", h.membersTried(h.request(nonIdempotentWrite)), "[a]")
	h.want("probability of an answer in time", h.router.onTimeProbability(h.router.members["a"], 400*ms, 100*ms, 0), 1)
}

func TestIdleConnectionsAreClosedDuringAShortage(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	id := h.request(anyRead)
	h.endAttempt(id, ResultConnectFailed, RoleUnknown, 0) // the read is retried at once
	h.checkOK(h.membersTried(id)[0], RoleReplica, 0)
	h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	h.want("closed after the answer", h.closedIdle, "[a]")
	h.advance(connectionShortageDuration + time.Second)
	h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
	h.want("closed later on", h.closedIdle, "[a]")
}

func TestFailuresAreARestartUnlessTheReplicaKeptUp(t *testing.T) {
	for _, lag := range []time.Duration{10 * ms, 2 * time.Second} {
		h := newHarness(t, testConfig())
		h.reportAll("a", 3*time.Second)
		member := h.router.members["b"]
		h.advance(minRestartSilence)
		member.failures = maxFailures
		h.checkOK("b", RoleReplica, lag)
		h.want(fmt.Sprint("in slow start with a lag of ", lag), h.router.slowStartWeight(member) < 1, lag > time.Second)
	}
}

// TestBrokenConnectionsAreNoRestart breaks connections while no process fails. That must neither begin a slow
// start, which delays a member's work for many seconds, nor cause idle connections to be closed.
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
	h.want("unhealthy at once", h.router.unhealthy(member), false)
	h.advance(300 * ms)
	h.want("unhealthy without an answer since", h.router.unhealthy(member), true)
	h.reportAll("a", 10*ms)
	h.want("weight after two breaks and an answer", h.router.slowStartWeight(member), 1)
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultReset})
	h.advance(2 * time.Second)
	h.checkOK("b", RoleReplica, 10*ms)
	h.want("weight after a health check that broke", h.router.slowStartWeight(h.router.members["b"]), 1)
	h.want("short of connections after it", h.router.now < h.router.connectionShortageUntil, false)
	h.router.members["b"].failures = 1
	h.router.members["b"].connectFailures = 1
	h.advance(10 * ms)
	h.reportAll("a", 10*ms)
	h.want("short of connections after a connect that failed", h.router.now < h.router.connectionShortageUntil, true)
}

func TestStalledGatewayDoesNotCountMembersAsSilent(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(nonIdempotentWrite) = 50 * ms
	h.request(nonIdempotentWrite)
	h.now += 900 * ms // no sweep in between
	h.router.Timer(h.now, sweepTimer)
	h.want("unhealthy after a standstill", h.router.unhealthy(h.router.members["a"]), false)
	h.advance(400 * ms)
	h.want("unhealthy after a silence", h.router.unhealthy(h.router.members["a"]), true)
}

func TestListedStartTimeIsKept(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.advance(2 * time.Second)
	started := h.now
	h.updateEndpoints(EndpointListPatch, Endpoint{Member: "b", Group: 1, Capacity: 1, StartedAt: started})
	for range maxFailures { // this gateway still can't reach it
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
	for _, partition := range []time.Duration{100 * ms, 5 * time.Second} {
		h.router.connectionShortageUntil = 0
		member.failures = 1
		member.connectFailures = 1
		h.advance(partition)
		member.position = h.position(20 * ms)
		h.checkOK("b", RoleReplica, 0)
		h.want(fmt.Sprint("short of connections after ", partition), h.router.connectionShortageUntil > 0,
			partition < minRestartSilence)
	}
}
