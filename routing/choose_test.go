package routing

import (
	"testing"
	"time"
)

func TestLaggingReplicaGetsNoSessionRead(t *testing.T) {
	c := config()
	c.StaleReads = StaleReadServed
	b := newRig(t, c)
	b.told("a", time.Second)
	q := b.ask(sessionRead, func(q *Request) { q.SinceWrite = 500 * ms })
	b.want("written lately", b.to(q), "[a]")
	q = b.ask(sessionRead, func(q *Request) { q.SinceWrite = 2 * time.Second })
	if b.to(q)[0] == "a" {
		t.Error("a session read whose write all replicas have went to the primary")
	}
}

func TestSilentMemberStopsWinningBeforeAnyTimeout(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for range 200 {
		b.pass(10 * ms)
		q := b.ask(anyRead)
		if b.to(q)[0] == "c" {
			b.answer(q, ResultOK, RoleReplica, b.at(10*ms)) // b never answers
		}
	}
	b.sends = nil
	for range 50 {
		b.pass(10 * ms)
		q := b.ask(anyRead)
		if b.to(q)[0] == "c" {
			b.answer(q, ResultOK, RoleReplica, b.at(10*ms))
		}
	}
	hung := 0
	for _, s := range b.sends {
		if s.member == "b" {
			hung++
		}
	}
	if hung > 2 {
		t.Errorf("%d of %d attempts went to a hung member", hung, len(b.sends))
	}
}

func TestRefusingReplicaKnownToLagIsNotAsked(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 900*ms)
	q := b.ask(boundedRead)
	b.want("bounded read of 200 ms while replicas lag 900 ms", b.to(q), "[a]")
}

func TestPresumedFreshReplicaIsAsked(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.now += 500 * ms
	q := b.ask(boundedRead)
	if b.to(q)[0] == "a" {
		t.Error("replicas that kept up half a second ago were passed over: reads pile onto the primary")
	}
}

func TestLongReadsBlockOneReplicaNotAll(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.now += 10 * ms
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultOK,
		Report: Report{HasPosition: true, Position: b.r.members["b"].position + 1}})
	b.r.members["b"].position -= 500 // b fell behind
	for range 10 {
		q := b.ask(anyRead)
		b.want("read of any age", b.to(q), "[b]")
		b.answer(q, ResultOK, RoleReplica, 0)
	}
}

func TestReplicaUnheardForSecondsStillTakesReadsWhereMembersCheck(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.now += 8 * time.Second
	if to := b.to(b.ask(boundedRead)); len(to) == 0 || to[0] == "a" {
		t.Errorf("a bounded read went %v: quiet gateways would all crowd the primary", to)
	}
}

func TestReadsGoToAPrimaryThatHasRoomWhereReplicasAreLate(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for range latencyWindowSize { // in a large fleet a gateway sees few answers of a member
		b.r.recordLatency(b.r.members["a"], latencySample{at: b.now, ratio: 1.8})
		b.r.recordLatency(b.r.members["b"], latencySample{at: b.now, ratio: 1e3})
		b.r.recordLatency(b.r.members["c"], latencySample{at: b.now, ratio: 1e3})
	}
	m := b.r.members["a"]
	m.latencyWindow = m.latencyWindow[:3]
	b.want("a read", b.to(b.ask(boundedRead)), "[a]")
	b.want("beside a write there", len(b.to(b.ask(onceWrite))), 1)
	b.want("and one more", len(b.to(b.ask(onceWrite))), 1)
	if to := b.to(b.ask(boundedRead)); len(to) > 0 && to[0] == "a" {
		t.Error("a read took the room that is left for writes")
	}
}

func TestLaggardIsAskedAgainOnceItCanHaveCaughtUp(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 600*ms) // both replicas lag 600 ms; the primary is slow
	for range 40 {
		b.r.recordLatency(b.r.members["a"], latencySample{at: b.now, ratio: 100})
	}
	q := b.ask(boundedRead)
	b.want("just after it was told", b.to(q), "[]")
	b.now += 500 * ms
	if to := b.to(b.ask(boundedRead)); len(to) == 0 || to[0] == "a" {
		t.Errorf("half a second later a read of 200 ms went %v", to)
	}
}
