package routing

import "testing"

func TestFullMemberIsLeftUntilItServes(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for b.pass(10 * ms); ; b.pass(10 * ms) { // until b has answered full once
		q := b.ask(anyRead)
		if b.to(q)[0] == "b" {
			b.answer(q, ResultOverCapacity, RoleReplica, 0)
			break
		}
		b.answer(q, ResultOK, RoleReplica, 0)
	}
	b.sends = nil
	for range 40 {
		b.pass(10 * ms)
		q := b.ask(anyRead)
		if to := b.to(q); len(to) > 0 && to[0] == "b" {
			b.answer(q, ResultOverCapacity, RoleReplica, 0)
		} else if len(to) > 0 {
			b.answer(q, ResultOK, RoleReplica, 0)
		}
	}
	n := 0
	for _, s := range b.sends {
		if s.member == "b" {
			n++
		}
	}
	if n > 2 {
		t.Errorf("%d of 40 reads went to a member that answers full and nothing else", n)
	}
}

func TestReadsLeaveRoomAtThePrimaryForWrites(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for range 40 { // answers that take three quarters of the aim: in time for two at once, not for three
		b.r.recordLatency(b.r.members["a"], latencySample{at: b.now, ratio: 3})
	}
	b.told("a", 10*ms)
	b.want("a first write", b.to(b.ask(onceWrite)), "[a]")
	for _, m := range []string{"b", "c"} {
		b.r.members[m].position -= 5000
	}
	q := b.ask(boundedRead)
	b.want("a bounded read while replicas lag and the primary is slow", b.to(q), "[]")
	b.want("a write", b.to(b.ask(onceWrite)), "[a]")
}

func TestCrowdedPrimariesMakeAnUnseenOneLessLikely(t *testing.T) {
	b := newRig(t, config(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 2, Primary: true},
		Endpoint{Member: "c", Group: 2})
	for range 20 {
		b.r.recordLatency(b.r.members["a"], latencySample{at: b.now, ratio: 1e3})
	}
	if v := b.r.onTimeProbability(b.r.members["b"], 400*ms, 100*ms, 0); v > 0.3 {
		t.Errorf("chance %.2f at a primary never heard while the others are all late", v)
	}
	b.want("chance at a replica", b.r.onTimeProbability(b.r.members["c"], 400*ms, 100*ms, 0), 1)
}

func TestFullAnswersFeedAdmission(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for range 10 {
		b.r.observe(&attemptState{member: b.r.members["a"], expectedLatency: 50 * ms, request: &requestState{class: &b.r.cfg.Classes[onceWrite]}},
			Outcome{Result: ResultOverCapacity})
	}
	if v := b.r.onTimeProbability(b.r.members["a"], 400*ms, 50*ms, 0); v > 0.3 {
		t.Errorf("chance %.2f at a primary that answered full ten times", v)
	}
}

func TestTheNewestRoundTripsCountMost(t *testing.T) {
	chance := func(older, newer float64) float64 {
		b := newRig(t, config())
		b.told("a", 10*ms)
		m := b.r.members["b"]
		for i := range 20 {
			ratio := older
			if i >= 10 {
				ratio = newer
			}
			b.r.recordLatency(m, latencySample{at: b.now, ratio: ratio})
			b.now += latencyWindowAge / 22
		}
		b.r.advanceClock(b.now)
		return b.r.onTimeProbability(m, 400*ms, 100*ms, 0)
	}
	if slower, faster := chance(1, 100), chance(100, 1); slower > 0.35 || faster < 0.65 {
		t.Errorf("chance %.2f where answers came late of late, %.2f where they came in time", slower, faster)
	}
}
