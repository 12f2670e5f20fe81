package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartFleet is a fleet of gateways that send cold members all that their budgets let them, in virtual time. Its gateways
// learn their own flow from what warm members answer, as in service.
type slowStartFleet struct {
	cfg           Config // as the judge has it
	gatewayCfg    Config // as the gateways are told it
	rng           *rand.Rand
	gateways      []*harness
	trafficShares []float64 // of the fleet's traffic
	capacity      float64   // requests a second of a warm member
	work          time.Duration
	load          float64
	starts        map[string]time.Duration
	starting      []string // the keys of starts, sorted: a map's own order would deal rng's numbers out anew at each run
	sent          map[string][]time.Duration
	waiting       map[waitKey][]time.Duration // until when each of the requests is held that wait
	now           time.Duration
	maxExcess     float64
	maxExcessCase string
	maxUse        float64 // of the budget, at most
}

const fleetMembers = 10

func newSlowStartFleet(t *testing.T, seed uint64, n int, window time.Duration) *slowStartFleet {
	f := &slowStartFleet{cfg: testConfig(), rng: rand.New(rand.NewPCG(seed, 9)), capacity: 25, work: 40 * ms, load: 0.95,
		starts: map[string]time.Duration{}, sent: map[string][]time.Duration{}, waiting: map[waitKey][]time.Duration{}, now: 100 * time.Second, maxExcess: math.Inf(-1)}
	f.cfg.Gateways, f.cfg.OverloadFactor, f.cfg.OverloadWindow, f.cfg.SlowStartCapacity, f.cfg.SlowStartDuration = n, 2.5, window, 0.15, 18*time.Second
	for i := range f.cfg.Classes {
		f.cfg.Classes[i].Deadline = 2 * time.Second
	}
	f.gatewayCfg = f.cfg
	sum := 0.0
	for range n {
		f.trafficShares = append(f.trafficShares, 0.2+4*math.Pow(f.rng.Float64(), 4))
		sum += f.trafficShares[len(f.trafficShares)-1]
	}
	for i := range f.trafficShares {
		f.trafficShares[i] /= sum
		f.gateways = append(f.gateways, f.newGateway(t))
	}
	return f
}

// process is a gateway that has just started: it knows the list and nothing else.
func (f *slowStartFleet) newGateway(t *testing.T) *harness {
	var endpoints []Endpoint
	for i := range fleetMembers {
		id := fmt.Sprint("m", i)
		endpoints = append(endpoints, Endpoint{Member: id, Group: 1, Capacity: 1, StartedAt: f.starts[id]})
	}
	h := newHarness(t, f.gatewayCfg, endpoints...)
	h.now = f.now
	h.router.now, h.router.startedAt, h.router.rng = f.now, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 1))
	return h
}

// restart has a share of the gateways start anew, each without knowing its own flow.
func (f *slowStartFleet) restart(t *testing.T, share float64) {
	for i := range f.gateways {
		if f.rng.Float64() < share {
			f.gateways[i] = f.newGateway(t)
		}
	}
}

// start has a member start anew, as the list tells all gateways at once.
func (f *slowStartFleet) start(id string) {
	f.starts[id], f.sent[id] = f.now, nil
	if at, known := slices.BinarySearch(f.starting, id); !known {
		f.starting = slices.Insert(f.starting, at, id)
	}
	for _, h := range f.gateways {
		h.router.now = f.now
		h.router.UpdateEndpoints(f.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: id, Group: 1, Capacity: 1, StartedAt: f.now}}})
	}
}

// run plays a time. Clients ask at each cold member for as much as a warm one takes, and a request is held for half of what
// its client waits, 0.42 to 1 of 2 s. Where nobody may send, as while no primary is named, all that are held then go at once
// as soon as one may. Warm members answer each gateway's part of the traffic, and cold ones theirs.
func (f *slowStartFleet) runFor(d time.Duration, may bool) {
	const step = 20 * ms
	for end := f.now + d; f.now < end; f.now += step {
		for i, h := range f.gateways {
			h.router.now = f.now
			for n := f.trafficShares[i]*f.load*f.capacity*fleetMembers*step.Seconds() + f.rng.Float64(); n >= 1; n-- {
				member := h.router.sortedMembers[f.rng.IntN(fleetMembers)]
				if f.rng.Float64() < h.router.slowStartWeight(member) {
					h.router.recordThroughput(member, f.work)
				}
			}
			for _, id := range f.starting {
				member, key := h.router.members[id], waitKey{i, id}
				for n := f.trafficShares[i]*f.capacity*step.Seconds() + f.rng.Float64(); n >= 1; n-- {
					f.waiting[key] = append(f.waiting[key], f.now+time.Duration((0.42+0.58*f.rng.Float64())*float64(time.Second)))
				}
				f.waiting[key] = slices.DeleteFunc(f.waiting[key], func(until time.Duration) bool { return until < f.now })
				for may && len(f.waiting[key]) > 0 && h.router.admitSlowStart(member, f.work) {
					member.tokens -= f.work.Seconds()
					f.sent[id], f.waiting[key] = append(f.sent[id], f.now), f.waiting[key][1:]
				}
			}
		}
		for _, id := range f.starting {
			f.checkBudget(id, f.starts[id])
		}
	}
}

// waits names the requests that wait at a gateway for a member.
type waitKey struct {
	gateway int
	member  string
}

// judge holds what came to a cold member in the last window against N + 2 root of N + 2.
func (f *slowStartFleet) checkBudget(id string, started time.Duration) {
	warmth := f.cfg.SlowStartCapacity + (1-f.cfg.SlowStartCapacity)*float64(f.now-started)/float64(f.cfg.SlowStartDuration)
	if warmth >= 1 {
		return
	}
	for len(f.sent[id]) > 0 && f.sent[id][0] <= f.now-f.cfg.OverloadWindow {
		f.sent[id] = f.sent[id][1:]
	}
	n, sent := f.cfg.OverloadFactor*warmth*f.capacity*f.cfg.OverloadWindow.Seconds(), float64(len(f.sent[id]))
	if x := sent - n - 2*math.Sqrt(n) - 2; x > f.maxExcess {
		f.maxExcess, f.maxExcessCase = x, fmt.Sprintf("%s: %.0f calls within %v, %v after its start, N is %.1f", id, sent, f.cfg.OverloadWindow, f.now-started, n)
	}
	f.maxUse = max(f.maxUse, sent/n)
}

// slowStartScenarios are what happens to members and gateways.
var slowStartScenarios = []struct {
	name string
	play func(*testing.T, *slowStartFleet)
}{
	{"one starts", func(t *testing.T, f *slowStartFleet) {
		f.start("m0")
	}},
	{"two at once, gateways restarted just before", func(t *testing.T, f *slowStartFleet) {
		f.restart(t, 0.5)
		f.start("m0")
		f.start("m1")
	}},
	{"gateways restarted just after", func(t *testing.T, f *slowStartFleet) {
		f.start("m0")
		f.runFor(300*ms, true)
		f.restart(t, 0.9)
	}},
	{"a restart in the ramp", func(t *testing.T, f *slowStartFleet) {
		f.start("m0")
		f.runFor(4*time.Second, true)
		f.restart(t, 0.3)
		f.start("m0")
	}},
	{"members replaced in turn", func(t *testing.T, f *slowStartFleet) {
		for i := range 6 {
			f.start(fmt.Sprint("m", i))
			f.runFor(1500*ms, i%2 == 0)
		}
	}},
}

// play plays one day: 10 s before, the day's own events, and then wants that come and go.
func (f *slowStartFleet) runScenario(t *testing.T, day int) {
	f.runFor(10*time.Second, false)
	slowStartScenarios[day].play(t, f)
	for range 3 {
		f.runFor(time.Duration(500+f.rng.IntN(1500))*ms, true)
		f.runFor(time.Duration(500+f.rng.IntN(2500))*ms, false) // all credits are saved up
	}
	f.runFor(time.Second, true)
}

// TestFleetKeepsSlowStartBudgets plays 20 and 30 gateways over 50 seeds, or a few where that is slow: no window may hold more than N + 2 root of N + 2 calls
// at a cold member, N being what the settings allow it then. The same without a safety has to be found.
func TestFleetKeepsSlowStartBudgets(t *testing.T) {
	worst, what, used := math.Inf(-1), "", 0.0
	for seed := range uint64(fleetSeeds) {
		for day := range slowStartScenarios {
			f := newSlowStartFleet(t, seed, 20+10*int((seed+uint64(day))%2), overloadWindows[(int(seed)+day)%len(overloadWindows)])
			f.runScenario(t, day)
			if used = max(used, f.maxUse); f.maxExcess > worst {
				worst, what = f.maxExcess, fmt.Sprintf("seed %d, %s, %d gateways: %s", seed, slowStartScenarios[day].name, f.cfg.Gateways, f.maxExcessCase)
			}
		}
	}
	t.Logf("the greatest excess over N + 2 root of N + 2 is %.1f (%s); at most %.2f of N were used", worst, what, used)
	if worst > 0 {
		t.Errorf("%.1f calls too many: %s", worst, what)
	}
	if used < 1 {
		t.Errorf("at most %.2f of a budget were used: the play asks for too little", used)
	}
}

// overloadWindows are the times in which a cold member falls.
var overloadWindows = []time.Duration{200 * ms, 400 * ms, time.Second, 1500 * ms}

// TestSlowStartBudgetCheckFindsFaults takes safeties away that a fleet needs: the judge has to find each.
func TestSlowStartBudgetCheckFindsFaults(t *testing.T) {
	for _, x := range []struct {
		name    string
		day     int
		window  time.Duration
		without func(*Config)
	}{
		{"five times the budget", 0, time.Second, func(cfg *Config) { cfg.OverloadFactor *= 5 }},
		{"all that is unused saved up", 3, 200 * ms, func(cfg *Config) { cfg.Gateways = 1 }}, // each takes itself for alone
		{"a ramp of a tenth of the time", 3, time.Second, func(cfg *Config) { cfg.SlowStartDuration /= 10 }},
		{"a start that nobody heeds", 1, time.Second, func(cfg *Config) { cfg.SlowStartDuration = 0 }},
	} {
		found := 0
		for seed := range uint64(5) {
			f := newSlowStartFleet(t, seed, 30, x.window)
			x.without(&f.gatewayCfg)
			f.restart(t, 1) // with the broken settings; the judge keeps the right ones
			f.runScenario(t, x.day)
			if f.maxExcess > 0 {
				found++
			}
		}
		if found < 3 {
			t.Errorf("%s: found with %d of 5 seeds", x.name, found)
		}
	}
}
