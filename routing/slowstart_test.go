package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// groupWithStartingReplica returns a primary a, a replica b, and a replica c that started at a given time.
func groupWithStartingReplica(startedAt time.Duration) []Endpoint {
	return []Endpoint{
		{Member: "a", Group: 1, Primary: true},
		{Member: "b", Group: 1},
		{Member: "c", Group: 1, StartedAt: startedAt},
	}
}

// countReads sends and answers 400 reads, and counts the reads at the starting replica c and at other
// members. It calls prepare before each read, and answers each read after 1 ms.
func (h *harness) countReads(prepare func()) (starting, warm int) {
	for range 400 {
		prepare()
		h.advance(10 * ms)
		id := h.request(anyRead)
		tried := h.membersTried(id)
		if len(tried) == 0 {
			continue
		}
		if tried[0] == "c" {
			starting++
		} else {
			warm++
		}
		h.now += ms
		h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
	}
	return starting, warm
}

func TestMemberInSlowStartIsNotOverloaded(t *testing.T) {
	h := newHarness(t, testConfig(), groupWithStartingReplica(99*time.Second)...)
	h.reportAll("a", 10*ms)
	*h.router.expectedLatencyOf(anyRead) = ms
	h.router.expectedWork[anyRead] = ms
	starting, warm := h.countReads(func() {})
	if starting == 0 || starting > warm/2 {
		t.Errorf("%d reads at a member with 1/4 to 2/3 of its capacity, %d at warm members", starting, warm)
	}
}

func TestQueuesDoNotShrinkTheSlowStartBudget(t *testing.T) {
	countAt := func(expectedLatency time.Duration) int {
		h := newHarness(t, testConfig(), groupWithStartingReplica(99*time.Second)...)
		h.reportAll("a", 10*ms)
		starting, _ := h.countReads(func() {
			*h.router.expectedLatencyOf(anyRead) = expectedLatency
			h.router.expectedWork[anyRead] = ms
		})
		return starting
	}
	if short, long := countAt(ms), countAt(8*ms); long < short*3/4 {
		t.Errorf("a member in slow start got %d reads with long latencies, %d with short ones", long, short)
	}
}

// newGateways starts n gateways with the same endpoints and different seeds.
func newGateways(t *testing.T, n int, cfg Config, endpoints ...Endpoint) (gateways []*harness) {
	for i := range n {
		h := newHarness(t, cfg, endpoints...)
		h.router.rng = rand.New(rand.NewPCG(uint64(i), 5))
		gateways = append(gateways, h)
	}
	return gateways
}

func TestManyGatewaysDoNotAllSendToAStartingMember(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 300
	starting := Endpoint{Member: "a", Group: 1, Primary: true, StartedAt: 99999 * ms}
	sent := 0
	for _, h := range newGateways(t, 300, cfg, starting) {
		h.reportAll("a", 0)
		sent += len(h.membersTried(h.request(nonIdempotentWrite)))
	}
	if sent > 30 { // a warm member serves some tens of these writes per second
		t.Errorf("%d of 300 gateways sent a write at once to a primary that has just started", sent)
	}
}

func TestUnannouncedRestartBeginsSlowStart(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultConnectFailed})
	h.advance(time.Second)
	h.want("weight of a member that was never down", h.router.slowStartWeight(h.router.members["c"]), 1)
	h.router.HealthChecked(h.now, HealthCheckResult{Member: "b", Result: ResultOK})
	h.want("weight of one that answers again", h.router.slowStartWeight(h.router.members["b"]),
		h.router.cfg.SlowStartCapacity)
}

// sendToReplica offers the starting replica c 5 ms of work in each of 5000 ms, while a warm member answers 1
// s of work per second. It calls observe in each step and returns how often the budget admits the work.
func (h *harness) sendToReplica(observe func()) (sent int) {
	member := h.router.members["c"]
	for range 5000 {
		h.now += ms
		h.router.advanceClock(h.now)
		h.router.warmThroughput = decayingSum{1, h.now}
		h.router.startedAt = 0
		observe()
		if h.router.admitSlowStart(member, 5*ms) {
			member.tokens -= 0.005
			sent++
		}
	}
	return sent
}

func TestSlowStartBudgetUsesTheOverloadFactor(t *testing.T) {
	h := newHarness(t, testConfig(), groupWithStartingReplica(100*time.Second)...)
	h.reportAll("a", 10*ms)
	weighted := 0.0 // seconds, weighted by the slow start weight
	requests := h.sendToReplica(func() {
		weighted += h.router.slowStartWeight(h.router.members["c"]) * 0.001
	})
	if sent := float64(requests) * 0.005; sent < 1.5*weighted || sent > h.router.cfg.OverloadFactor*weighted {
		t.Errorf("%.2f s of work sent within %.2f s, weighted by the slow start weight", sent, weighted)
	}
}

// TestSlowStartBudgetFollowsCapacity checks the budgets of starting members with the capacity of the warm
// ones, with half of it, with twice as much, and with an unknown capacity. The budget follows the capacity,
// but a stated capacity may be imprecise, so the budget never exceeds the budget of a member with the
// capacity of a warm one.
func TestSlowStartBudgetFollowsCapacity(t *testing.T) {
	sent := map[float64]int{}
	for _, capacity := range []float64{0, 0.5, 1, 2} {
		h := newHarness(t, testConfig(),
			Endpoint{Member: "a", Group: 1, Primary: true, Capacity: 1},
			Endpoint{Member: "b", Group: 1, Capacity: 1},
			Endpoint{Member: "c", Group: 1, Capacity: capacity, StartedAt: 100 * time.Second})
		h.reportAll("a", 10*ms)
		sent[capacity] = h.sendToReplica(func() {})
	}
	if ratio := float64(sent[0.5]) / float64(sent[1]); ratio < 0.45 || ratio > 0.55 {
		t.Errorf("a member with half the capacity is sent %.2f of the work of a full one", ratio)
	}
	if sent[2] != sent[1] || sent[0] != sent[1] {
		t.Errorf("requests sent by capacity: %v; want the same number for 0, 1 and 2", sent)
	}
}

// TestLargeFleetKeepsASlowStartBudget runs 300 gateways at full load, some with several times the mean
// traffic, which send a starting member all that their budgets allow. In no window may the member be sent
// more than N + 3*sqrt(N) + 3 requests, where N is the number that the settings allow.
func TestLargeFleetKeepsASlowStartBudget(t *testing.T) {
	const (
		members   = 20
		perMember = 40.0 // requests per second of a warm member
		work      = 25 * ms
		start     = 100 * time.Second
	)
	cfg := testConfig()
	cfg.Gateways = 300
	cfg.OverloadFactor, cfg.OverloadWindow = 2.5, time.Second
	cfg.SlowStartCapacity, cfg.SlowStartDuration = 0.15, 18*time.Second
	endpoints := []Endpoint{{Member: "starting", Group: 1, StartedAt: start}}
	for i := range members - 1 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", i), Group: 1})
	}
	fleet := newGateways(t, cfg.Gateways, cfg, endpoints...)
	shares := unevenShares(len(fleet))
	var sent []time.Duration // within the last window
	maxSent := 0
	for now := start; now < start+6*time.Second; now += 10 * ms {
		for i, h := range fleet {
			h.router.now = now
			h.router.warmThroughput = decayingSum{shares[i] * perMember * work.Seconds(), now}
			h.router.startedAt = 0
			if member := h.router.members["starting"]; h.router.admitSlowStart(member, work) {
				member.tokens -= work.Seconds()
				sent = append(sent, now)
			}
		}
		for len(sent) > 0 && sent[0] <= now-cfg.OverloadWindow {
			sent = sent[1:]
		}
		weight := fleet[0].router.slowStartWeight(fleet[0].router.members["starting"])
		allowed := cfg.OverloadFactor * weight * perMember * cfg.OverloadWindow.Seconds()
		if bound := allowed + 3*math.Sqrt(allowed) + 3; float64(len(sent)) > bound {
			t.Fatalf("%d requests within %v, %v after the member's start; %.1f are allowed",
				len(sent), cfg.OverloadWindow, now-start, bound)
		}
		maxSent = max(maxSent, len(sent))
	}
	if maxSent < 5 {
		t.Errorf("at most %d requests in a window: the budget is not used", maxSent)
	}
}

// unevenShares returns shares of the traffic, some of which are several times the mean.
func unevenShares(n int) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = 0.3 + 3*math.Pow(rng.Float64(), 4)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}
