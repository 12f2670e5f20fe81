package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestColdMemberIsNotPushedOver(t *testing.T) {
	b := newRig(t, config(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1},
		Endpoint{Member: "c", Group: 1, StartedAt: 99 * time.Second})
	b.told("a", 10*ms)
	*b.r.requestUsual(anyRead), b.r.expectedWork[anyRead] = ms, ms
	warm, cold := 0, 0
	for range 400 {
		b.pass(10 * ms)
		q := b.ask(anyRead)
		if len(b.to(q)) > 0 {
			if b.to(q)[0] == "c" {
				cold++
			} else {
				warm++
			}
			b.now += ms
			b.answer(q, ResultOK, RoleReplica, b.at(0))
		}
	}
	if cold == 0 || cold > warm/2 {
		t.Errorf("%d reads at a member with a quarter to two thirds of its capacity, %d at a warm one", cold, warm)
	}
}

// gateways makes n routers over the same three members, each with a gateway and a seed of its own.
func gateways(t *testing.T, n int, c Config, entries ...Endpoint) (all []*rig) {
	for i := range n {
		b := newRig(t, c, entries...)
		b.r.rng = rand.New(rand.NewPCG(uint64(i), 5))
		all = append(all, b)
	}
	return all
}

func TestHundredsOfGatewaysDoNotEachSendAColdMemberTheirFirstRequest(t *testing.T) {
	c := config()
	c.Gateways = 300
	n := 0
	for _, b := range gateways(t, 300, c, Endpoint{Member: "a", Group: 1, Primary: true, StartedAt: 99999 * ms}) {
		b.told("a", 0)
		n += len(b.to(b.ask(onceWrite)))
	}
	if n > 30 { // a server takes some tens of these writes a second when warm
		t.Errorf("%d of 300 gateways sent a write at once to a primary that has just started", n)
	}
}

func TestMemberThatComesBackUnannouncedIsCold(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultConnectFailed})
	b.pass(time.Second)
	b.want("warmth while it was never down", b.r.slowStartWeight(b.r.members["c"]), 1)
	b.r.HealthChecked(b.now, HealthCheckResult{Member: "b", Result: ResultOK})
	b.want("warmth once reached again", b.r.slowStartWeight(b.r.members["b"]), b.r.cfg.SlowStartCapacity)
}

func TestQueuesDoNotShrinkTheBudgetOfColdMembers(t *testing.T) {
	reads := func(usual time.Duration) (cold int) {
		b := newRig(t, config(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1},
			Endpoint{Member: "c", Group: 1, StartedAt: 99 * time.Second})
		b.told("a", 10*ms)
		for range 400 {
			*b.r.requestUsual(anyRead), b.r.expectedWork[anyRead] = usual, ms
			b.pass(10 * ms)
			if q := b.ask(anyRead); len(b.to(q)) > 0 {
				if b.to(q)[0] == "c" {
					cold++
				}
				b.now += ms
				b.answer(q, ResultOK, RoleReplica, b.at(0))
			}
		}
		return cold
	}
	if short, long := reads(ms), reads(8*ms); long < short*3/4 {
		t.Errorf("a cold member got %d reads where round trips are long, %d where they are short", long, short)
	}
}

func TestColdReplicaBesideWarmOnesTakesWhatItCan(t *testing.T) {
	b := newRig(t, config(), Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1},
		Endpoint{Member: "c", Group: 1, StartedAt: 100 * time.Second})
	b.told("a", 10*ms)
	m, sent, ordinary := b.r.members["c"], 0.0, 0.0
	for range 5000 {
		b.now += ms
		b.r.advanceClock(b.now)
		b.r.warmThroughput, b.r.startedAt = decayingSum{1, b.now}, 0 // warm members answer 1 s of work a second each
		ordinary += b.r.slowStartWeight(m) * 0.001
		if b.r.admitSlowStart(m, 5*ms) {
			m.tokens -= 0.005
			sent += 0.005
		}
	}
	if sent < 1.5*ordinary || sent > b.r.cfg.OverloadFactor*ordinary {
		t.Errorf("%.2f s of work for a cold replica whose part of ordinary work is %.2f", sent, ordinary)
	}
}

// TestFleetKeepsAColdMembersBudget has 300 gateways, some of which see several times the mean, send a cold member all that
// their budgets let them, on a site at full load: in no window may it be sent more than N + 3 root of N + 3 requests.
func TestFleetKeepsAColdMembersBudget(t *testing.T) {
	const members, perMember, work = 20, 40.0, 25 * ms // requests a second that a warm one takes
	c := config()
	c.Gateways, c.OverloadFactor, c.OverloadWindow, c.SlowStartCapacity, c.SlowStartDuration = 300, 2.5, time.Second, 0.15, 18*time.Second
	entries := []Endpoint{{Member: "cold", Group: 1, StartedAt: 100 * time.Second}}
	for i := range members - 1 {
		entries = append(entries, Endpoint{Member: fmt.Sprint("m", i), Group: 1})
	}
	fleet := gateways(t, 300, c, entries...)
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
		for i, b := range fleet {
			b.r.now = now
			b.r.warmThroughput, b.r.startedAt = decayingSum{part[i] / sum * perMember * work.Seconds(), now}, 0
			if m := b.r.members["cold"]; b.r.admitSlowStart(m, work) {
				m.tokens -= work.Seconds()
				sent = append(sent, now)
			}
		}
		for len(sent) > 0 && sent[0] <= now-c.OverloadWindow {
			sent = sent[1:]
		}
		n := c.OverloadFactor * fleet[0].r.slowStartWeight(fleet[0].r.members["cold"]) * perMember * c.OverloadWindow.Seconds()
		if bound := n + 3*math.Sqrt(n) + 3; float64(len(sent)) > bound {
			t.Fatalf("%d requests within %v after %v, and %.1f are borne", len(sent), c.OverloadWindow, now-100*time.Second, bound)
		}
		most = max(most, len(sent))
	}
	if most < 5 {
		t.Errorf("%d requests in a window: the budget is not used", most)
	}
}

// TestSmallColdMemberHasASmallBudget has cold members of the size of the warm ones, of half of it, and of twice: what one
// bears goes with its size, and a size that may be rough earns no more than a warm one's.
func TestSmallColdMemberHasASmallBudget(t *testing.T) {
	sent := map[float64]int{}
	for _, size := range []float64{0, 0.5, 1, 2} {
		b := newRig(t, config(), Endpoint{Member: "a", Group: 1, Primary: true, Capacity: 1}, Endpoint{Member: "b", Group: 1, Capacity: 1},
			Endpoint{Member: "c", Group: 1, Capacity: size, StartedAt: 100 * time.Second})
		b.told("a", 10*ms)
		for range 5000 {
			b.now += ms
			b.r.advanceClock(b.now)
			b.r.warmThroughput, b.r.startedAt = decayingSum{1, b.now}, 0
			if m := b.r.members["c"]; b.r.admitSlowStart(m, 5*ms) {
				m.tokens -= 0.005
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
