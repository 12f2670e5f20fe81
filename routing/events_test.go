package routing

import (
	"testing"
	"time"
)

func TestReadsGoToReplicasAndWritesToThePrimary(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for range 20 {
		q := b.ask(boundedRead)
		if b.to(q)[0] == "a" {
			t.Fatal("a bounded read went to the primary though replicas are fresh")
		}
		b.answer(q, ResultOK, RoleReplica, b.at(10*ms))
		w := b.ask(onceWrite)
		b.want("write", b.to(w), "[a]")
		b.answer(w, ResultOK, RolePrimary, b.at(0))
	}
}

func TestHeldWriteGoesAtOnceWhenThePrimaryIsNamed(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	w := b.ask(onceWrite)
	b.answer(w, ResultMissed, RoleReplica, b.at(0))
	for range 3 { // a round of misses finds no primary
		b.answer(w, ResultMissed, RoleReplica, b.at(0))
	}
	b.want("a round by sorted id", b.to(w), "[a a b c]")
	b.now += 5 * ms
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "c", Result: ResultOK,
		Report: Report{HasPosition: true, Position: b.at(0), Role: RolePrimary}})
	to := b.to(w)
	b.want("after the probe named c", to[len(to)-1], "c")
}

func TestIdleGatewaySleeps(t *testing.T) {
	b := newRig(t, config())
	b.timers = 0
	b.pass(10 * time.Second)
	if b.timers > 110 {
		t.Errorf("%d timers in 10 s without a request", b.timers)
	}
}
