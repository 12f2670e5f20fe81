package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestMemberInSlowStartIsNotOverloaded(t *testing.T) {
	h := newHarness(t, testConfig(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1},
		Endpoint{Member: "c", Group: 1, StartedAt: 99 * time.Second})
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(anyRead), h.router.expectedWork[anyRead] = ms, ms
	warm, cold := 0, 0
	for range 400 {
		h.advance(10 * ms)
		id := h.request(anyRead)
		if len(h.membersTried(id)) > 0 {
			if h.membersTried(id)[0] == "c" {
				cold++
			} else {
				warm++
			}
			h.now += ms
			h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
		}
	}
	if cold == 0 || cold > warm/2 {
		t.Errorf("%d reads at a member with a quarter to two thirds of its capacity, %d at a warm one", cold, warm)
	}
}

// gateways makes n routers over the same three members, each with a gateway and a seed of its own.
func newGateways(t *testing.T, n int, cfg Config, endpoints ...Endpoint) (all []*harness) {
	for i := range n {
		h := newHarness(t, cfg, endpoints...)
		h.router.rng = rand.New(rand.NewPCG(uint64(i), 5))
		all = append(all, h)
	}
	return all
}

func TestManyGatewaysDoNotAllSendToAStartingMember(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 300
	n := 0
	for _, h := range newGateways(t, 300, cfg, Endpoint{Member: "a", Group: 1, Primary: true, StartedAt: 99999 * ms}) {
		h.reportAll("a", 0)
		n += len(h.membersTried(h.request(nonIdempotentWrite)))
	}
	if n > 30 { // a server takes some tens of these writes a second when warm
		t.Errorf("%d of 300 gateways sent a write at once to a primary that has just started", n)
	}
}

func TestUnannouncedRestartBeginsSlowStart(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultConnectFailed})
	h.advance(time.Second)
	h.want("warmth while it was never down", h.router.slowStartWeight(h.router.members["c"]), 1)
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultOK})
	h.want("warmth once reached again", h.router.slowStartWeight(h.router.members["b"]), h.router.cfg.SlowStartCapacity)
}

func TestQueuesDoNotShrinkTheSlowStartBudget(t *testing.T) {
	reads := func(usual time.Duration) (cold int) {
		h := newHarness(t, testConfig(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1},
			Endpoint{Member: "c", Group: 1, StartedAt: 99 * time.Second})
		h.reportAll("a", 10*ms)
		for range 400 {
			*h.router.expectedLatencyOf(anyRead), h.router.expectedWork[anyRead] = usual, ms
			h.advance(10 * ms)
			if id := h.request(anyRead); len(h.membersTried(id)) > 0 {
				if h.membersTried(id)[0] == "c" {
					cold++
				}
				h.now += ms
				h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
			}
		}
		return cold
	}
	if short, long := reads(ms), reads(8*ms); long < short*3/4 {
		t.Errorf("a cold member got %d reads where round trips are long, %d where they are short", long, short)
	}
}

func TestSlowStartBudgetIsUsedBesideWarmMembers(t *testing.T) {
	h := newHarness(t, testConfig(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1},
		Endpoint{Member: "c", Group: 1, StartedAt: 100 * time.Second})
	h.reportAll("a", 10*ms)
	member, sent, ordinary := h.router.members["c"], 0.0, 0.0
	for range 5000 {
		h.now += ms
		h.router.advanceClock(h.now)
		h.router.warmThroughput, h.router.startedAt = decayingSum{1, h.now}, 0 // warm members answer 1 s of work a second each
		ordinary += h.router.slowStartWeight(member) * 0.001
		if h.router.admitSlowStart(member, 5*ms) {
			member.tokens -= 0.005
			sent += 0.005
		}
	}
	if sent < 1.5*ordinary || sent > h.router.cfg.OverloadFactor*ordinary {
		t.Errorf("%.2f s of work for a cold replica whose part of ordinary work is %.2f", sent, ordinary)
	}
}

// TestLargeFleetKeepsASlowStartBudget has 300 gateways, some of which see several times the mean, send a cold member all that
// their budgets let them, on a site at full load: in no window may it be sent more than N + 3 root of N + 3 requests.
func TestLargeFleetKeepsASlowStartBudget(t *testing.T) {
	const members, perMember, work = 20, 40.0, 25 * ms // requests a second that a warm one takes
	cfg := testConfig()
	cfg.Gateways, cfg.OverloadFactor, cfg.OverloadWindow, cfg.SlowStartCapacity, cfg.SlowStartDuration = 300, 2.5, time.Second, 0.15, 18*time.Second
	endpoints := []Endpoint{{Member: "cold", Group: 1, StartedAt: 100 * time.Second}}
	for i := range members - 1 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", i), Group: 1})
	}
	fleet := newGateways(t, 300, cfg, endpoints...)
	rng := rand.New(rand.NewPCG(1, 2))
	part := make([]float64, len(fleet))
	sum := 0.0
	for i := range part {
		part[i] = 0.3 + 3*math.Pow(rng.Float64(), 4)
		sum += part[i]
	}
	var sent []time.Duration
	most := 0
	for now := 100 * time.Second; now < 106*time.Second; now += 10 * ms {
		for i, h := range fleet {
			h.router.now = now
			h.router.warmThroughput, h.router.startedAt = decayingSum{part[i] / sum * perMember * work.Seconds(), now}, 0
			if member := h.router.members["cold"]; h.router.admitSlowStart(member, work) {
				member.tokens -= work.Seconds()
				sent = append(sent, now)
			}
		}
		for len(sent) > 0 && sent[0] <= now-cfg.OverloadWindow {
			sent = sent[1:]
		}
		n := cfg.OverloadFactor * fleet[0].router.slowStartWeight(fleet[0].router.members["cold"]) * perMember * cfg.OverloadWindow.Seconds()
		if bound := n + 3*math.Sqrt(n) + 3; float64(len(sent)) > bound {
			t.Fatalf("%d requests within %v after %v, and %.1f are borne", len(sent), cfg.OverloadWindow, now-100*time.Second, bound)
		}
		most = max(most, len(sent))
	}
	if most < 5 {
		t.Errorf("%d requests in a window: the budget is not used", most)
	}
}

// TestSlowStartBudgetFollowsCapacity has cold members of the size of the warm ones, of half of it, and of twice: what one
// bears goes with its size, and a size that may be rough earns no more than a warm one's.
func TestSlowStartBudgetFollowsCapacity(t *testing.T) {
	sent := map[float64]int{}
	for _, size := range []float64{0, 0.5, 1, 2} {
		h := newHarness(t, testConfig(), Endpoint{Member: "a", Group: 1, Primary: true, Capacity: 1}, Endpoint{Member: "b", Group: 1, Capacity: 1},
			Endpoint{Member: "c", Group: 1, Capacity: size, StartedAt: 100 * time.Second})
		h.reportAll("a", 10*ms)
		for range 5000 {
			h.now += ms
			h.router.advanceClock(h.now)
			h.router.warmThroughput, h.router.startedAt = decayingSum{1, h.now}, 0
			if member := h.router.members["c"]; h.router.admitSlowStart(member, 5*ms) {
				member.tokens -= 0.005
				sent[size]++
			}
		}
	}
	if x := float64(sent[0.5]) / float64(sent[1]); x < 0.45 || x > 0.55 {
		t.Errorf("half the size is sent %.2f of what a whole one is", x)
	}
	if sent[2] != sent[1] || sent[0] != sent[1] {
		t.Errorf("sent by size: %v", sent)
	}
}
