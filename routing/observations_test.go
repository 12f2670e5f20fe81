package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestLateReportDoesNotUndoAnAnswer(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	w := b.ask(onceWrite)
	b.answer(w, ResultMissed, RoleReplica, b.at(0))
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "a", Result: ResultOK,
		Report: Report{HasPosition: true, Position: b.at(2 * time.Second), Role: RolePrimary}})
	if p := b.r.groups[1].primary(); p != nil {
		t.Errorf("%s is taken for the primary on a report older than its answer", p.id)
	}
}

func TestAbandonedReadsDoNotAddUpToSuspicion(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	m := b.r.members["a"]
	for range 20 { // each silent for less than the limit
		m.endedSilence = max(m.endedSilence, 0)
		a := &attemptState{member: m, sentAt: b.now - 100*ms, expectedLatency: 50 * ms, request: &requestState{class: &b.r.cfg.Classes[anyRead]}}
		b.r.observe(a, Outcome{Result: ResultTimeout})
	}
	if b.r.unhealthy(m) {
		t.Error("short silences added up: a loaded primary's writes would go searching")
	}
}

func TestOneBrokenConnectionIsNoReasonToHoldWrites(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	w := b.ask(onceWrite)
	b.answer(w, ResultReset, RoleUnknown, 0)
	b.want("the broken write", b.failed[w], 1)
	b.want("the next write", b.to(b.ask(onceWrite)), "[a]")
	b.want("chance after it", b.r.onTimeProbability(b.r.members["a"], 400*ms, 100*ms, 0), 1)
}

func TestRememberedCommitBindsTheSessionsNextRead(t *testing.T) {
	c := config()
	c.StaleReads, c.LocalSessions = StaleReadServed, true
	b := newRig(t, c)
	b.told("a", 10*ms)
	w := b.ask(onceWrite, func(q *Request) { q.Session = "s" })
	b.answer(w, ResultOK, RolePrimary, b.at(-50*ms))
	b.want("its own session", b.to(b.ask(sessionRead, func(q *Request) { q.Session = "s" })), "[a]")
	if b.to(b.ask(sessionRead, func(q *Request) { q.Session = "other" }))[0] == "a" {
		t.Error("another session's read went to the primary")
	}
}

func TestIdleConnectionsAreShutWhenMembersThatAnswerCannotBeReached(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	q := b.ask(anyRead)
	b.answer(q, ResultConnectFailed, RoleUnknown, 0) // goes again at once
	b.r.HealthChecked(b.now, HealthCheckResult{Member: b.to(q)[0], Result: ResultOK,
		Report: Report{HasPosition: true, Position: b.at(0), Role: RoleReplica}})
	b.answer(b.ask(onceWrite), ResultOK, RolePrimary, b.at(0))
	b.want("shut after the answer", b.closes, "[a]")
	b.pass(connectionShortageDuration + time.Second)
	b.answer(b.ask(onceWrite), ResultOK, RolePrimary, b.at(0))
	b.want("shut later on", b.closes, "[a]")
}

func TestTwoFailedConnectsAndAnAnswerAreARestartUnlessTheReplicaKeptCurrent(t *testing.T) {
	for _, lag := range []time.Duration{10 * ms, 2 * time.Second} {
		b := newRig(t, config())
		b.told("a", 3*time.Second)
		m := b.r.members["b"]
		b.pass(minRestartSilence)
		m.failures = maxFailures
		b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultOK,
			Report: Report{HasPosition: true, Position: b.at(lag), Role: RoleReplica}})
		b.want(fmt.Sprint("cold when it stands ", lag, " behind"), b.r.slowStartWeight(m) < 1, lag > time.Second)
	}
}

// Connections break on days on which no process does: that must neither make a member cold, which holds back its work
// for many seconds, nor have its idle connections shut.
func TestBrokenConnectionsAreNoRestart(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	m := b.r.members["a"]
	b.pass(300 * ms)
	b.told("a", 10*ms)
	for range maxFailures {
		q := b.ask(onceWrite)
		b.r.Outcome(b.now, Outcome{Request: q, Member: "a", Result: ResultReset, Latency: 5 * ms, Closed: true})
	}
	b.want("failures", m.failures, maxFailures)
	b.want("suspect at once", b.r.unhealthy(m), false)
	b.pass(300 * ms)
	b.want("suspect without an answer since", b.r.unhealthy(m), true)
	b.told("a", 10*ms)
	b.want("warmth after two breaks and an answer", b.r.slowStartWeight(m), 1)
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultReset})
	b.pass(2 * time.Second)
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultOK, Report: Report{HasPosition: true, Position: b.at(10 * ms), Role: RoleReplica}})
	b.want("warmth after a probe that broke", b.r.slowStartWeight(b.r.members["b"]), 1)
	b.want("short of connections", b.r.now < b.r.connectionShortageUntil, false)
	b.r.members["b"].failures, b.r.members["b"].connectFailures = 1, 1
	b.pass(10 * ms)
	b.told("a", 10*ms)
	b.want("short of connections after a connect that failed", b.r.now < b.r.connectionShortageUntil, true)
}

func TestGatewayThatStoodStillTakesItForNoSilence(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	*b.r.requestUsual(onceWrite) = 50 * ms
	b.ask(onceWrite)
	b.now += 900 * ms // no sweep in between
	b.r.Timer(b.now, "sweep")
	b.want("suspect after standing still", b.r.unhealthy(b.r.members["a"]), false)
	b.pass(400 * ms)
	b.want("suspect after real silence", b.r.unhealthy(b.r.members["a"]), true)
}

func TestTheStartThatTheListToldStands(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.pass(2 * time.Second)
	started := b.now
	b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: "b", Group: 1, Capacity: 1, StartedAt: started}}})
	for range maxFailures { // it still can't be reached from here
		b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultConnectFailed})
	}
	b.pass(4 * time.Second)
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultOK, Report: Report{HasPosition: true, Position: b.at(0)}})
	b.want("start", b.r.members["b"].startedAt, started)
}

func TestMembersThatWereCutOffAreNotShortOfConnections(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	m := b.r.members["b"]
	back := HealthCheckResult{Member: "b", Result: ResultOK, Report: Report{HasPosition: true, Role: RoleReplica}}
	for _, cut := range []time.Duration{100 * ms, 5 * time.Second} {
		b.r.connectionShortageUntil, m.failures, m.connectFailures = 0, 1, 1
		b.pass(cut)
		m.position, back.Report.Position = b.at(20*ms), b.at(0)
		b.r.HealthChecked(b.now, back)
		b.want(fmt.Sprint("short of connections after ", cut), b.r.connectionShortageUntil > 0, cut < minRestartSilence)
	}
}
