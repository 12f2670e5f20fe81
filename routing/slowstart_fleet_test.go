package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	fleetMembers      = 10
	fleetCapacity     = 25.0    // requests a second of a warm member
	fleetLoad         = 0.95    // of the capacity of all members
	fleetWork         = 40 * ms // of one request
	fleetDeadline     = 2 * time.Second
	fleetStep         = 20 * ms
	slowStartDuration = 18 * time.Second
)

// slowStartFleet is a fleet of gateways that send members in slow start all that their budgets allow, in virtual time.
// Its gateways learn their own throughput from what warm members answer, as in production.
type slowStartFleet struct {
	*testing.T
	cfg           Config // by which budgets are checked
	gatewayCfg    Config // of the gateways; a test may break it
	rng           *rand.Rand
	gateways      []*harness
	trafficShares []float64 // by gateway: of the fleet's traffic
	starts        map[string]time.Duration
	starting      []string                    // the keys of starts, sorted: the order of a map would change the draws
	sent          map[string][]time.Duration  // by member: requests within the last overload window
	waiting       map[waitKey][]time.Duration // until when each waiting request is held
	now           time.Duration
	maxExcess     float64 // requests over the bound, at most
	maxExcessCase string
	maxUse        float64 // of a budget
}

// waitKey is a member that requests wait for at a gateway.
type waitKey struct {
	gateway int
	member  string
}

// newSlowStartFleet starts a fleet of gateways with uneven traffic.
func newSlowStartFleet(t *testing.T, seed uint64, gateways int, window time.Duration) *slowStartFleet {
	f := &slowStartFleet{
		T:         t,
		cfg:       testConfig(),
		rng:       rand.New(rand.NewPCG(seed, 9)),
		starts:    map[string]time.Duration{},
		sent:      map[string][]time.Duration{},
		waiting:   map[waitKey][]time.Duration{},
		now:       100 * time.Second,
		maxExcess: math.Inf(-1),
	}
	f.cfg.Gateways = gateways
	f.cfg.OverloadFactor, f.cfg.OverloadWindow = 2.5, window
	f.cfg.SlowStartCapacity, f.cfg.SlowStartDuration = 0.15, slowStartDuration
	for i := range f.cfg.Classes {
		f.cfg.Classes[i].Deadline = fleetDeadline
	}
	f.gatewayCfg = f.cfg
	sum := 0.0
	for range gateways {
		share := 0.2 + 4*math.Pow(f.rng.Float64(), 4)
		f.trafficShares = append(f.trafficShares, share)
		sum += share
	}
	for i := range f.trafficShares {
		f.trafficShares[i] /= sum
		f.gateways = append(f.gateways, f.newGateway())
	}
	return f
}

// newGateway is a gateway that has just started: it knows the endpoint list and nothing else.
func (f *slowStartFleet) newGateway() *harness {
	var endpoints []Endpoint
	for i := range fleetMembers {
		id := fmt.Sprint("m", i)
		endpoints = append(endpoints, Endpoint{Member: id, Group: 1, Capacity: 1, StartedAt: f.starts[id]})
	}
	h := newHarness(f.T, f.gatewayCfg, endpoints...)
	h.now = f.now
	h.router.now = f.now
	h.router.startedAt = f.now
	h.router.rng = rand.New(rand.NewPCG(f.rng.Uint64(), 1))
	return h
}

// restartGateways restarts a share of the gateways, which then do not know their own throughput.
func (f *slowStartFleet) restartGateways(share float64) {
	for i := range f.gateways {
		if f.rng.Float64() < share {
			f.gateways[i] = f.newGateway()
		}
	}
}

// startMember restarts a member, as the endpoint list tells all gateways at once.
func (f *slowStartFleet) startMember(id string) {
	f.starts[id] = f.now
	f.sent[id] = nil
	if i, known := slices.BinarySearch(f.starting, id); !known {
		f.starting = slices.Insert(f.starting, i, id)
	}
	for _, h := range f.gateways {
		h.router.now = f.now
		h.now = f.now
		h.updateEndpoints(EndpointListPatch, Endpoint{Member: id, Group: 1, Capacity: 1, StartedAt: f.now})
	}
}

// runFor advances the time. Clients want as much of each starting member as a warm one takes, and a request waits for
// half of what its client waits, 0.42 to 1 of 2 s. While nobody may send, as while no primary is known, requests
// accumulate, and all are sent at once as soon as one may be. Warm members answer each gateway's share of the traffic,
// and starting ones their part of it.
func (f *slowStartFleet) runFor(d time.Duration, maySend bool) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		for i, h := range f.gateways {
			h.router.now = f.now
			f.answerTraffic(i)
			for _, id := range f.starting {
				f.sendWaiting(waitKey{i, id}, maySend)
			}
		}
		for _, id := range f.starting {
			f.checkBudget(id)
		}
	}
}

// answerTraffic has members answer a gateway's share of a step's traffic.
func (f *slowStartFleet) answerTraffic(gateway int) {
	router := f.gateways[gateway].router
	requests := f.trafficShares[gateway]*fleetLoad*fleetCapacity*fleetMembers*fleetStep.Seconds() + f.rng.Float64()
	for ; requests >= 1; requests-- {
		member := router.sortedMembers[f.rng.IntN(fleetMembers)]
		if f.rng.Float64() < router.slowStartWeight(member) {
			router.recordThroughput(member, fleetWork)
		}
	}
}

// sendWaiting adds a step's requests for a starting member to those that wait at a gateway, and sends what its budget
// allows.
func (f *slowStartFleet) sendWaiting(key waitKey, maySend bool) {
	router := f.gateways[key.gateway].router
	member := router.members[key.member]
	requests := f.trafficShares[key.gateway]*fleetCapacity*fleetStep.Seconds() + f.rng.Float64()
	for ; requests >= 1; requests-- {
		until := f.now + time.Duration((0.42+0.58*f.rng.Float64())*float64(time.Second))
		f.waiting[key] = append(f.waiting[key], until)
	}
	f.waiting[key] = slices.DeleteFunc(f.waiting[key], func(until time.Duration) bool { return until < f.now })
	for maySend && len(f.waiting[key]) > 0 && router.admitSlowStart(member, fleetWork) {
		member.tokens -= fleetWork.Seconds()
		f.sent[key.member] = append(f.sent[key.member], f.now)
		f.waiting[key] = f.waiting[key][1:]
	}
}

// checkBudget compares what a starting member was sent in the last window with N + 2 root of N + 2, N being what the
// settings allow.
func (f *slowStartFleet) checkBudget(id string) {
	started, initial := f.starts[id], f.cfg.SlowStartCapacity
	weight := initial + (1-initial)*float64(f.now-started)/float64(slowStartDuration)
	if weight >= 1 {
		return
	}
	for len(f.sent[id]) > 0 && f.sent[id][0] <= f.now-f.cfg.OverloadWindow {
		f.sent[id] = f.sent[id][1:]
	}
	allowed := f.cfg.OverloadFactor * weight * fleetCapacity * f.cfg.OverloadWindow.Seconds()
	sent := float64(len(f.sent[id]))
	if excess := sent - allowed - 2*math.Sqrt(allowed) - 2; excess > f.maxExcess {
		f.maxExcess = excess
		f.maxExcessCase = fmt.Sprintf("%s: %.0f requests within %v, %v after its start, N is %.1f",
			id, sent, f.cfg.OverloadWindow, f.now-started, allowed)
	}
	f.maxUse = max(f.maxUse, sent/allowed)
}

// slowStartScenarios are what happens to members and gateways.
var slowStartScenarios = []struct {
	name string
	run  func(*slowStartFleet)
}{
	{"one starts", func(f *slowStartFleet) {
		f.startMember("m0")
	}},
	{"two at once, gateways restarted just before", func(f *slowStartFleet) {
		f.restartGateways(0.5)
		f.startMember("m0")
		f.startMember("m1")
	}},
	{"gateways restarted just after", func(f *slowStartFleet) {
		f.startMember("m0")
		f.runFor(300*ms, true)
		f.restartGateways(0.9)
	}},
	{"a restart during slow start", func(f *slowStartFleet) {
		f.startMember("m0")
		f.runFor(4*time.Second, true)
		f.restartGateways(0.3)
		f.startMember("m0")
	}},
	{"members replaced in turn", func(f *slowStartFleet) {
		for i := range 6 {
			f.startMember(fmt.Sprint("m", i))
			f.runFor(1500*ms, i%2 == 0)
		}
	}},
}

// runScenario runs one scenario: 10 s before it, its events, and then demand that comes and goes.
func (f *slowStartFleet) runScenario(scenario int) {
	f.runFor(10*time.Second, false)
	slowStartScenarios[scenario].run(f)
	for range 3 {
		f.runFor(time.Duration(500+f.rng.IntN(1500))*ms, true)
		f.runFor(time.Duration(500+f.rng.IntN(2500))*ms, false) // all tokens are saved up
	}
	f.runFor(time.Second, true)
}

// overloadWindows are the values of Config.OverloadWindow that are tested.
var overloadWindows = []time.Duration{200 * ms, 400 * ms, time.Second, 1500 * ms}

// TestFleetKeepsSlowStartBudgets runs all scenarios with 20 and 30 gateways over 50 seeds, or a few where that is slow:
// no window may hold more than N + 2 root of N + 2 requests at a starting member, N being what the settings allow.
func TestFleetKeepsSlowStartBudgets(t *testing.T) {
	maxExcess, maxExcessCase, maxUse := math.Inf(-1), "", 0.0
	for seed := range uint64(fleetSeeds) {
		for scenario := range slowStartScenarios {
			gateways := 20 + 10*int((seed+uint64(scenario))%2)
			window := overloadWindows[(int(seed)+scenario)%len(overloadWindows)]
			f := newSlowStartFleet(t, seed, gateways, window)
			f.runScenario(scenario)
			maxUse = max(maxUse, f.maxUse)
			if f.maxExcess > maxExcess {
				maxExcess = f.maxExcess
				maxExcessCase = fmt.Sprintf("seed %d, %s, %d gateways: %s",
					seed, slowStartScenarios[scenario].name, gateways, f.maxExcessCase)
			}
		}
	}
	t.Logf("the greatest excess over N + 2 root of N + 2 is %.1f (%s); at most %.2f of N were used",
		maxExcess, maxExcessCase, maxUse)
	if maxExcess > 0 {
		t.Errorf("%.1f requests too many: %s", maxExcess, maxExcessCase)
	}
	if maxUse < 1 {
		t.Errorf("at most %.2f of a budget were used: the scenarios demand too little", maxUse)
	}
}

// TestSlowStartBudgetCheckFindsFaults breaks the gateways' settings: the check has to find each fault.
func TestSlowStartBudgetCheckFindsFaults(t *testing.T) {
	for _, fault := range []struct {
		name     string
		scenario int
		window   time.Duration
		breakCfg func(*Config)
	}{
		{"five times the budget", 0, time.Second, func(cfg *Config) { cfg.OverloadFactor *= 5 }},
		{"all unused tokens saved up", 3, 200 * ms, func(cfg *Config) { cfg.Gateways = 1 }},
		{"a slow start of a tenth of the time", 3, time.Second, func(cfg *Config) { cfg.SlowStartDuration /= 10 }},
		{"no slow start", 1, time.Second, func(cfg *Config) { cfg.SlowStartDuration = 0 }},
	} {
		found := 0
		for seed := range uint64(5) {
			f := newSlowStartFleet(t, seed, 30, fault.window)
			fault.breakCfg(&f.gatewayCfg)
			f.restartGateways(1) // with the broken settings
			f.runScenario(fault.scenario)
			if f.maxExcess > 0 {
				found++
			}
		}
		if found < 3 {
			t.Errorf("%s: found with %d of 5 seeds", fault.name, found)
		}
	}
}
