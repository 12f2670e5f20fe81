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
	fleetCapacity     = 25.0    // requests per second of a warm member
	fleetLoad         = 0.95    // of the capacity of all members
	fleetWork         = 40 * ms // of one request
	fleetDeadline     = 2 * time.Second
	fleetStep         = 20 * ms
	slowStartDuration = 18 * time.Second
)

// slowStartFleet simulates, in virtual time, a fleet of gateways that send members in slow start all that
// their budgets allow. The gateways learn their own throughput from the answers of warm members, as in
// production.
type slowStartFleet struct {
	*testing.T
	cfg           Config // the correct settings, by which budgets are checked
	gatewayCfg    Config // the gateways' settings; a test may introduce faults
	rng           *rand.Rand
	gateways      []*harness
	trafficShares []float64 // by gateway: its share of the fleet's traffic
	starts        map[string]time.Duration
	starting      []string                    // keys of starts, sorted: a map's order would change the draws
	sent          map[string][]time.Duration  // by member: requests within the last overload window
	waiting       map[waitKey][]time.Duration // when each waiting request gives up
	now           time.Duration
	maxExcess     float64 // highest number of requests over the bound
	maxExcessCase string
	maxUse        float64 // highest share used of a budget
}

// waitKey identifies a queue: the requests at one gateway that wait for one member.
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

// newGateway returns a gateway that has just started. It has received the endpoint list and nothing else.
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

// restartGateways restarts a share of the gateways, which lose their learned throughput.
func (f *slowStartFleet) restartGateways(share float64) {
	for i := range f.gateways {
		if f.rng.Float64() < share {
			f.gateways[i] = f.newGateway()
		}
	}
}

// startMember restarts a member. The endpoint list reports the restart to all gateways at once.
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

// runFor advances the time. The demand for a starting member equals the demand for a warm one. A request
// waits for 0.42 to 1 s, at most half of its client's 2 s. While maySend is false, as if no primary were
// known, requests accumulate; then all of them may be sent at once. Warm members answer each gateway's share
// of the traffic, and members in slow start answer a part of it.
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

// sendWaiting adds a step's requests for a starting member to the queue at a gateway, and sends as many as
// the member's budget allows.
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

// checkBudget compares the number of requests that a starting member was sent in the last window with the
// bound N + 2*sqrt(N) + 2, where N is the number that the settings allow.
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
		f.maxExcessCase = fmt.Sprintf("%s: %.0f requests within %v, %v after the member's start, N is %.1f",
			id, sent, f.cfg.OverloadWindow, f.now-started, allowed)
	}
	f.maxUse = max(f.maxUse, sent/allowed)
}

// slowStartScenarios are sequences of restarts of members and gateways.
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

// runScenario runs 10 s without restarts, then the events of one scenario, and then intermittent demand.
func (f *slowStartFleet) runScenario(scenario int) {
	f.runFor(10*time.Second, false)
	slowStartScenarios[scenario].run(f)
	for range 3 {
		f.runFor(time.Duration(500+f.rng.IntN(1500))*ms, true)
		f.runFor(time.Duration(500+f.rng.IntN(2500))*ms, false) // tokens are saved up meanwhile
	}
	f.runFor(time.Second, true)
}

// overloadWindows are the values of Config.OverloadWindow that are tested.
var overloadWindows = []time.Duration{200 * ms, 400 * ms, time.Second, 1500 * ms}

// TestFleetKeepsSlowStartBudgets runs all scenarios with 20 and 30 gateways over 50 seeds, or over 6 with the
// race detector. No starting member may be sent more than N + 2*sqrt(N) + 2 requests in any window, where N
// is the number that the settings allow.
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
	t.Logf("the greatest excess over N + 2*sqrt(N) + 2 is %.1f (%s); at most %.2f of N were used",
		maxExcess, maxExcessCase, maxUse)
	if maxExcess > 0 {
		t.Errorf("%.1f requests too many: %s", maxExcess, maxExcessCase)
	}
	if maxUse < 1 {
		t.Errorf("at most %.2f of a budget was used: the demand of the scenarios is too low", maxUse)
	}
}

// TestSlowStartBudgetCheckFindsFaults introduces faults into the gateways' settings and checks that
// checkBudget detects each of them.
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
			f.restartGateways(1) // with the faulty settings
			f.runScenario(fault.scenario)
			if f.maxExcess > 0 {
				found++
			}
		}
		if found < 3 {
			t.Errorf("%s: detected with %d of 5 seeds, want at least 3", fault.name, found)
		}
	}
}
