package routing

import "testing"

func TestMemberOverCapacityIsAvoided(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for h.advance(10 * ms); ; h.advance(10 * ms) { // until b has answered over capacity once
		id := h.request(anyRead)
		if h.membersTried(id)[0] == "b" {
			h.endAttempt(id, ResultOverCapacity, RoleReplica, 0)
			break
		}
		h.endAttempt(id, ResultOK, RoleReplica, 0)
	}
	h.sends = nil
	for range 40 {
		h.advance(10 * ms)
		id := h.request(anyRead)
		if tried := h.membersTried(id); len(tried) > 0 && tried[0] == "b" {
			h.endAttempt(id, ResultOverCapacity, RoleReplica, 0)
		} else if len(tried) > 0 {
			h.endAttempt(id, ResultOK, RoleReplica, 0)
		}
	}
	count := 0
	for _, sent := range h.sends {
		if sent.member == "b" {
			count++
		}
	}
	if count > 2 {
		t.Errorf("%d of 40 reads went to a member that is always over capacity", count)
	}
}

func TestReadsLeaveCapacityAtThePrimaryForWrites(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for range 40 { // 3/4 of the objective: on time with two attempts in flight, late with three
		h.router.recordLatency(h.router.members["a"], latencySample{at: h.now, ratio: 3})
	}
	h.reportAll("a", 10*ms)
	h.want("a first write", h.membersTried(h.request(nonIdempotentWrite)), "[a]")
	for _, name := range []string{"b", "c"} {
		h.router.members[name].position -= 5000
	}
	id := h.request(boundedRead)
	h.want("a bounded read while replicas lag and the primary is slow", h.membersTried(id), "[]")
	h.want("a write", h.membersTried(h.request(nonIdempotentWrite)), "[a]")
}

func TestLatePrimariesLowerTheScoreOfAPrimaryWithoutSamples(t *testing.T) {
	h := newHarness(t, testConfig(),
		Endpoint{Member: "a", Group: 1, Primary: true},
		Endpoint{Member: "b", Group: 2, Primary: true},
		Endpoint{Member: "c", Group: 2})
	for range 20 {
		h.router.recordLatency(h.router.members["a"], latencySample{at: h.now, ratio: 1e3})
	}
	if p := h.router.onTimeProbability(h.router.members["b"], 400*ms, 100*ms, 0); p > 0.3 {
		t.Errorf("probability %.2f at a primary without samples while all other primaries are late", p)
	}
	h.want("probability at a replica", h.router.onTimeProbability(h.router.members["c"], 400*ms, 100*ms, 0), 1)
}

func TestOverCapacityAnswersCauseShedding(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for range 10 {
		h.router.observe(&attemptState{
			member:          h.router.members["a"],
			expectedLatency: 50 * ms,
			request:         &requestState{class: &h.router.cfg.Classes[nonIdempotentWrite]},
		}, Outcome{Result: ResultOverCapacity})
	}
	if p := h.router.onTimeProbability(h.router.members["a"], 400*ms, 50*ms, 0); p > 0.3 {
		t.Errorf("probability %.2f at a primary that was over capacity ten times", p)
	}
}

func TestNewestLatenciesWeighMost(t *testing.T) {
	probability := func(older, newer float64) float64 {
		h := newHarness(t, testConfig())
		h.reportAll("a", 10*ms)
		member := h.router.members["b"]
		for i := range 20 {
			ratio := older
			if i >= 10 {
				ratio = newer
			}
			h.router.recordLatency(member, latencySample{at: h.now, ratio: ratio})
			h.now += latencyWindowAge / 22
		}
		h.router.advanceClock(h.now)
		return h.router.onTimeProbability(member, 400*ms, 100*ms, 0)
	}
	if slower, faster := probability(1, 100), probability(100, 1); slower > 0.35 || faster < 0.65 {
		t.Errorf("probability %.2f if the latest answers are late, %.2f if they are on time", slower, faster)
	}
}
