package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldFleet is a fleet of gateways that send cold members all that their budgets let them, in virtual time. Its gateways
// learn their own flow from what warm members answer, as in service.
type coldFleet struct {
	c        Config // as the judge has it
	module   Config // as the gateways are told it
	rng      *rand.Rand
	gateways []*rig
	part     []float64 // of the fleet's traffic
	capacity float64   // requests a second of a warm member
	work     time.Duration
	load     float64
	starts   map[string]time.Duration
	cold     []string // the keys of starts, sorted: a map's own order would deal rng's numbers out anew at each run
	sent     map[string][]time.Duration
	held     map[waits][]time.Duration // until when each of the requests is held that wait
	now      time.Duration
	worst    float64
	what     string
	used     float64 // of the budget, at most
}

const coldMembers = 10

func newColdFleet(t *testing.T, seed uint64, n int, window time.Duration) *coldFleet {
	f := &coldFleet{c: config(), rng: rand.New(rand.NewPCG(seed, 9)), capacity: 25, work: 40 * ms, load: 0.95,
		starts: map[string]time.Duration{}, sent: map[string][]time.Duration{}, held: map[waits][]time.Duration{}, now: 100 * time.Second, worst: math.Inf(-1)}
	f.c.Gateways, f.c.OverloadFactor, f.c.OverloadWindow, f.c.SlowStartCapacity, f.c.SlowStartDuration = n, 2.5, window, 0.15, 18*time.Second
	for i := range f.c.Classes {
		f.c.Classes[i].Deadline = 2 * time.Second
	}
	f.module = f.c
	sum := 0.0
	for range n {
		f.part = append(f.part, 0.2+4*math.Pow(f.rng.Float64(), 4))
		sum += f.part[len(f.part)-1]
	}
	for i := range f.part {
		f.part[i] /= sum
		f.gateways = append(f.gateways, f.process(t))
	}
	return f
}

// process is a gateway that has just started: it knows the list and nothing else.
func (f *coldFleet) process(t *testing.T) *rig {
	var entries []Endpoint
	for i := range coldMembers {
		id := fmt.Sprint("m", i)
		entries = append(entries, Endpoint{Member: id, Group: 1, Capacity: 1, StartedAt: f.starts[id]})
	}
	b := newRig(t, f.module, entries...)
	b.now = f.now
	b.r.now, b.r.startedAt, b.r.rng = f.now, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), 1))
	return b
}

// restart has a share of the gateways start anew, each without knowing its own flow.
func (f *coldFleet) restart(t *testing.T, share float64) {
	for i := range f.gateways {
		if f.rng.Float64() < share {
			f.gateways[i] = f.process(t)
		}
	}
}

// start has a member start anew, as the list tells all gateways at once.
func (f *coldFleet) start(id string) {
	f.starts[id], f.sent[id] = f.now, nil
	if at, known := slices.BinarySearch(f.cold, id); !known {
		f.cold = slices.Insert(f.cold, at, id)
	}
	for _, b := range f.gateways {
		b.r.now = f.now
		b.r.UpdateEndpoints(f.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: id, Group: 1, Capacity: 1, StartedAt: f.now}}})
	}
}

// run plays a time. Clients ask at each cold member for as much as a warm one takes, and a request is held for half of what
// its client waits, 0.42 to 1 of 2 s. Where nobody may send, as while no primary is named, all that are held then go at once
// as soon as one may. Warm members answer each gateway's part of the traffic, and cold ones theirs.
func (f *coldFleet) run(d time.Duration, may bool) {
	const step = 20 * ms
	for end := f.now + d; f.now < end; f.now += step {
		for i, b := range f.gateways {
			b.r.now = f.now
			for n := f.part[i]*f.load*f.capacity*coldMembers*step.Seconds() + f.rng.Float64(); n >= 1; n-- {
				m := b.r.sortedMembers[f.rng.IntN(coldMembers)]
				if f.rng.Float64() < b.r.slowStartWeight(m) {
					b.r.recordThroughput(m, f.work)
				}
			}
			for _, id := range f.cold {
				m, k := b.r.members[id], waits{i, id}
				for n := f.part[i]*f.capacity*step.Seconds() + f.rng.Float64(); n >= 1; n-- {
					f.held[k] = append(f.held[k], f.now+time.Duration((0.42+0.58*f.rng.Float64())*float64(time.Second)))
				}
				f.held[k] = slices.DeleteFunc(f.held[k], func(until time.Duration) bool { return until < f.now })
				for may && len(f.held[k]) > 0 && b.r.admitSlowStart(m, f.work) {
					m.tokens -= f.work.Seconds()
					f.sent[id], f.held[k] = append(f.sent[id], f.now), f.held[k][1:]
				}
			}
		}
		for _, id := range f.cold {
			f.judge(id, f.starts[id])
		}
	}
}

// waits names the requests that wait at a gateway for a member.
type waits struct {
	gateway int
	id      string
}

// judge holds what came to a cold member in the last window against N + 2 root of N + 2.
func (f *coldFleet) judge(id string, started time.Duration) {
	warmth := f.c.SlowStartCapacity + (1-f.c.SlowStartCapacity)*float64(f.now-started)/float64(f.c.SlowStartDuration)
	if warmth >= 1 {
		return
	}
	for len(f.sent[id]) > 0 && f.sent[id][0] <= f.now-f.c.OverloadWindow {
		f.sent[id] = f.sent[id][1:]
	}
	n, sent := f.c.OverloadFactor*warmth*f.capacity*f.c.OverloadWindow.Seconds(), float64(len(f.sent[id]))
	if x := sent - n - 2*math.Sqrt(n) - 2; x > f.worst {
		f.worst, f.what = x, fmt.Sprintf("%s: %.0f calls within %v, %v after its start, N is %.1f", id, sent, f.c.OverloadWindow, f.now-started, n)
	}
	f.used = max(f.used, sent/n)
}

// coldDays are what happens to members and gateways.
var coldDays = []struct {
	name string
	play func(*testing.T, *coldFleet)
}{
	{"one starts", func(t *testing.T, f *coldFleet) {
		f.start("m0")
	}},
	{"two at once, gateways restarted just before", func(t *testing.T, f *coldFleet) {
		f.restart(t, 0.5)
		f.start("m0")
		f.start("m1")
	}},
	{"gateways restarted just after", func(t *testing.T, f *coldFleet) {
		f.start("m0")
		f.run(300*ms, true)
		f.restart(t, 0.9)
	}},
	{"a restart in the ramp", func(t *testing.T, f *coldFleet) {
		f.start("m0")
		f.run(4*time.Second, true)
		f.restart(t, 0.3)
		f.start("m0")
	}},
	{"members replaced in turn", func(t *testing.T, f *coldFleet) {
		for i := range 6 {
			f.start(fmt.Sprint("m", i))
			f.run(1500*ms, i%2 == 0)
		}
	}},
}

// play plays one day: 10 s before, the day's own events, and then wants that come and go.
func (f *coldFleet) play(t *testing.T, day int) {
	f.run(10*time.Second, false)
	coldDays[day].play(t, f)
	for range 3 {
		f.run(time.Duration(500+f.rng.IntN(1500))*ms, true)
		f.run(time.Duration(500+f.rng.IntN(2500))*ms, false) // all credits are saved up
	}
	f.run(time.Second, true)
}

// TestFleetKeepsColdBudgets plays 20 and 30 gateways over 50 seeds, or a few where that is slow: no window may hold more than N + 2 root of N + 2 calls
// at a cold member, N being what the settings allow it then. The same without a safety has to be found.
func TestFleetKeepsColdBudgets(t *testing.T) {
	worst, what, used := math.Inf(-1), "", 0.0
	for seed := range uint64(rampSeeds) {
		for day := range coldDays {
			f := newColdFleet(t, seed, 20+10*int((seed+uint64(day))%2), rampWindows[(int(seed)+day)%len(rampWindows)])
			f.play(t, day)
			if used = max(used, f.used); f.worst > worst {
				worst, what = f.worst, fmt.Sprintf("seed %d, %s, %d gateways: %s", seed, coldDays[day].name, f.c.Gateways, f.what)
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

// rampWindows are the times in which a cold member falls.
var rampWindows = []time.Duration{200 * ms, 400 * ms, time.Second, 1500 * ms}

// TestColdFleetJudgeFindsFaults takes safeties away that a fleet needs: the judge has to find each.
func TestColdFleetJudgeFindsFaults(t *testing.T) {
	for _, x := range []struct {
		name    string
		day     int
		window  time.Duration
		without func(*Config)
	}{
		{"five times the budget", 0, time.Second, func(c *Config) { c.OverloadFactor *= 5 }},
		{"all that is unused saved up", 3, 200 * ms, func(c *Config) { c.Gateways = 1 }}, // each takes itself for alone
		{"a ramp of a tenth of the time", 3, time.Second, func(c *Config) { c.SlowStartDuration /= 10 }},
		{"a start that nobody heeds", 1, time.Second, func(c *Config) { c.SlowStartDuration = 0 }},
	} {
		found := 0
		for seed := range uint64(5) {
			f := newColdFleet(t, seed, 30, x.window)
			x.without(&f.module)
			f.restart(t, 1) // with the broken settings; the judge keeps the right ones
			f.play(t, x.day)
			if f.worst > 0 {
				found++
			}
		}
		if found < 3 {
			t.Errorf("%s: found with %d of 5 seeds", x.name, found)
		}
	}
}
