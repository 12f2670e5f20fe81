package zones

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// harness drives the state of one gateway: three zones of some members, each of which answers, is silent, or is broken.
type harness struct {
	t         *testing.T
	zones     *Zones
	now       time.Duration
	lastHeard map[string][]time.Duration // by zone, one entry per member
	silent    map[string]int             // members of a zone that are silent
	broken    map[string]int             // members whose connections are refused
}

func newHarness(t *testing.T, o Options, seed uint64, members map[string]int) *harness {
	z, err := New(o, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, zones: z, now: 1000 * time.Second, lastHeard: map[string][]time.Duration{}, silent: map[string]int{}, broken: map[string]int{}}
	for name, n := range members {
		for range n {
			r.lastHeard[name] = append(r.lastHeard[name], r.now)
		}
	}
	return r
}

// rounds runs so many rounds, 100 ms apart. Live members are heard in each; the expected latency is 100 ms.
func (r *harness) rounds(n int) {
	for range n {
		r.now += 100 * ms
		r.zones.BeginRound(r.now)
		for _, name := range []string{"", "a", "b", "c"} {
			for i := range r.lastHeard[name] {
				e := Observation{Pending: true, Capacity: 1, UsableCapacity: 1, ExpectedLatency: 100 * ms}
				dead, broken := i < r.silent[name], i < r.broken[name]
				if !dead && !broken {
					r.lastHeard[name][i] = r.now
				}
				e.LastHeard = r.lastHeard[name][i]
				if dead {
					e.Silence = float64(r.now-e.LastHeard) / float64(100*ms)
				}
				e.Broken = broken
				e.Unhealthy = broken || e.Silence > 5 || r.zones.Zone(name).MemberDown(e.LastHeard)
				if e.Unhealthy {
					e.UsableCapacity = 0
				}
				r.zones.Observe(r.zones.Zone(name), e)
			}
		}
		r.zones.EndRound()
	}
}

func (r *harness) want(zone string, s State) {
	r.t.Helper()
	if got := r.zones.Zone(zone).State(); got != s {
		r.t.Errorf("zone %s is %s at %v, want %s", zone, got, r.now-1000*time.Second, s)
	}
}

var three = map[string]int{"a": 3, "b": 3, "c": 3}

// TestJointSilence guards the point of the package: three silences of 3 condemn a zone before one of 5 would condemn
// any member, and two broken members do at once.
func TestJointSilence(t *testing.T) {
	r := newHarness(t, Options{OwnZone: "a"}, 1, three)
	r.rounds(3)
	r.silent["b"] = 3
	r.rounds(2)
	r.want("b", Healthy)
	r.rounds(1)
	r.want("b", Down)
	if !r.zones.Zone("b").MemberDown(r.lastHeard["b"][0]) || r.zones.Zone("b").MemberDown(r.now+1) {
		t.Error("members unheard since go with the zone, and those heard since do not")
	}
	r = newHarness(t, Options{OwnZone: "a"}, 1, three)
	r.rounds(3)
	r.broken["c"] = 3
	r.rounds(3)
	r.want("c", Down)
	r.want("a", Healthy)
}

// TestOneUnhealthyMember guards against condemning a zone for one member, or for all but one.
func TestOneUnhealthyMember(t *testing.T) {
	for n, want := range []State{Healthy, Impaired, Impaired, Down} {
		r := newHarness(t, Options{}, 1, three)
		r.silent["b"] = n
		r.rounds(40)
		r.want("b", want)
	}
}

// TestAllZonesSilent guards a gateway that stood still or is cut off itself: it must not condemn what it can't judge. A
// site of one zone is never condemned either, and neither is a zone without a name.
func TestAllZonesSilent(t *testing.T) {
	r := newHarness(t, Options{OwnZone: "a"}, 1, three)
	r.rounds(3)
	r.silent = map[string]int{"a": 3, "b": 3, "c": 3}
	r.rounds(20)
	for _, name := range []string{"a", "b", "c"} {
		if r.zones.Zone(name).State() == Down {
			t.Errorf("zone %s is lost with all others", name)
		}
	}
	r = newHarness(t, Options{}, 1, map[string]int{"a": 5})
	r.silent["a"] = 5
	r.rounds(20)
	r.want("a", Impaired)
	r = newHarness(t, Options{}, 1, map[string]int{"": 3, "a": 3})
	r.silent[""] = 3
	r.rounds(20)
	r.want("", Impaired)
}

// TestOutagesInTurn lets two zones be lost one after the other, and come back.
func TestOutagesInTurn(t *testing.T) {
	r := newHarness(t, Options{}, 1, three)
	r.silent["a"] = 3
	r.rounds(10)
	r.silent["b"] = 3
	r.rounds(10)
	r.want("a", Down)
	r.want("b", Down)
	r.want("c", Healthy)
	r.silent["a"] = 0
	r.rounds(100)
	r.want("a", Healthy)
	r.want("b", Down)
}

// TestRecovery guards the way back: nothing before the hold, then a ramp, and each loss within a minute doubles both.
func TestRecovery(t *testing.T) {
	r := newHarness(t, Options{}, 3, three)
	last := time.Duration(0)
	for loss := range 4 {
		r.silent["b"] = 3
		r.rounds(10)
		r.want("b", Down)
		r.silent["b"] = 0
		start := r.now
		r.rounds(1)
		r.want("b", Down)
		for r.zones.Zone("b").State() == Down && r.now < start+20*time.Second {
			r.rounds(1)
		}
		r.want("b", Recovering)
		if s := r.zones.RecoveryShare(r.zones.Zone("b")); s > 0.1 {
			t.Errorf("loss %d: the return begins with %.2f", loss, s)
		}
		ramp := 0.0
		for r.zones.Zone("b").State() == Recovering && r.now < start+90*time.Second {
			r.rounds(1)
			if s := r.zones.RecoveryShare(r.zones.Zone("b")); s < ramp {
				t.Errorf("the ramp falls from %.2f to %.2f", ramp, s)
			} else {
				ramp = s
			}
		}
		r.want("b", Healthy)
		if took := r.now - start; took <= last {
			t.Errorf("loss %d: the return took %v, no longer than the one before (%v)", loss, took, last)
		} else {
			last = took
		}
		if loss == 0 && last > 6*time.Second {
			t.Errorf("the first return took %v", last)
		}
	}
}

// TestRecoveryWithFewMembers lets one member of three come back for good: after a while the zone returns with it.
func TestRecoveryWithFewMembers(t *testing.T) {
	r := newHarness(t, Options{}, 1, three)
	r.silent["b"] = 3
	r.rounds(10)
	r.silent["b"] = 2
	r.rounds(10)
	r.want("b", Down)
	r.rounds(20)
	r.want("b", Recovering)
	if !r.zones.Zone("b").MemberDown(r.lastHeard["b"][0]) {
		t.Error("a member that has not answered since is used again")
	}
}

// TestReinstate guards a slow zone: an answer to what was sent before the verdict takes it back, without a ramp.
func TestReinstate(t *testing.T) {
	r := newHarness(t, Options{}, 1, three)
	r.rounds(3)
	r.silent["b"] = 3
	r.rounds(5)
	r.want("b", Down)
	r.zones.Reinstate(r.zones.Zone("b"), r.now) // sent since: no proof
	r.want("b", Down)
	r.zones.Reinstate(r.zones.Zone("b"), r.now-time.Second)
	r.want("b", Impaired)
	if s := r.zones.RecoveryShare(r.zones.Zone("b")); s != 1 {
		t.Errorf("a zone that was slow gets %.2f of its reads", s)
	}
}

// TestUnansweredHealthChecks guards quiet gateways, which have nothing out at a zone: unanswered probes condemn it too.
func TestUnansweredHealthChecks(t *testing.T) {
	z, _ := New(Options{}, 1)
	z.BeginRound(10 * time.Second)
	for range 2 {
		z.Observe(z.Zone("a"), Observation{LastHeard: 9 * time.Second, UnansweredFor: 500 * ms, ExpectedLatency: 100 * ms, Capacity: 1})
		z.Observe(z.Zone("b"), Observation{LastHeard: 9900 * ms, Capacity: 1, UsableCapacity: 1})
	}
	z.EndRound()
	if z.Zone("a").State() != Down || z.Zone("b").State() != Healthy {
		t.Errorf("a is %s, b %s", z.Zone("a").State(), z.Zone("b").State())
	}
}

// TestJitter guards against gateways that return together: they share nothing but must not ramp alike.
func TestJitter(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		r := newHarness(t, Options{}, seed, three)
		r.silent["b"] = 3
		r.rounds(10)
		r.silent["b"] = 0
		r.rounds(6)
		r.want("b", Recovering)
		seen[r.zones.Zone("b").rampDuration] = true
	}
	if len(seen) < 15 {
		t.Errorf("20 gateways have %d ramps", len(seen))
	}
}

// TestTiers orders zones by the file, or else by the own zone and round trips; Tune changes it and keeps states.
func TestTiers(t *testing.T) {
	r := newHarness(t, Options{OwnZone: "b"}, 1, three)
	r.zones.Zone("a").ObserveRTT(10 * ms)
	r.zones.Zone("c").ObserveRTT(2 * ms)
	r.silent["c"] = 3
	r.rounds(60)
	for name, want := range map[string]int{"b": 0, "c": 1, "a": 2} {
		if got := r.zones.Zone(name).Tier(); got != want {
			t.Errorf("zone %s is in tier %d, want %d", name, got, want)
		}
	}
	if err := r.zones.Configure(Options{OwnZone: "b", Tiers: [][]string{{"a", "c"}}}); err != nil {
		t.Fatal(err)
	}
	r.want("c", Down)
	for name, want := range map[string]int{"a": 0, "c": 0, "b": 1} {
		if got := r.zones.Zone(name).Tier(); got != want {
			t.Errorf("tuned: zone %s is in tier %d, want %d", name, got, want)
		}
	}
	if err := r.zones.Configure(Options{Tiers: [][]string{{"a"}, {"a"}}}); err == nil || r.zones.Zone("b").Tier() != 1 {
		t.Error("options with a fault change something")
	}
}

// TestCheck names faults.
func TestCheck(t *testing.T) {
	for want, o := range map[string]Options{
		"names no zone":         {Tiers: [][]string{{"a"}, {}}},
		"without a name":        {Tiers: [][]string{{""}}},
		"named before":          {Tiers: [][]string{{"a", "b"}, {"b"}}},
		"tiers are more than":   {Tiers: [][]string{{"1"}, {"2"}, {"3"}, {"4"}, {"5"}, {"6"}, {"7"}, {"8"}}},
		"overprovision 0.5":     {Overprovision: 0.5},
		"hold 2m0s":             {RecoveryDelay: 2 * time.Minute},
		"ramp -1s":              {RecoveryRamp: -time.Second},
		"overprovision NaN is ": {Overprovision: math.NaN()},
	} {
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", o, err, want)
		}
	}
}

// TestWeights holds the stated spill against the table of docs/zones.md.
func TestWeights(t *testing.T) {
	for _, c := range []struct {
		usable, total []float64
		want          []float64
	}{
		{[]float64{4, 4}, []float64{4, 4}, []float64{1, 0}},
		{[]float64{3, 4}, []float64{4, 4}, []float64{1, 0}},
		{[]float64{2, 4}, []float64{4, 4}, []float64{0.7, 0.3}},
		{[]float64{1, 4}, []float64{4, 4}, []float64{0.35, 0.65}},
		{[]float64{0, 4}, []float64{4, 4}, []float64{0, 1}},
		{[]float64{0.15, 1}, []float64{1, 1}, []float64{0.21, 0.79}}, // a replica that has just started
		{[]float64{1, 1}, []float64{4, 4}, []float64{0.5, 0.5}},      // not enough anywhere: in proportion
		{[]float64{0, 2, 1}, []float64{4, 4, 4}, []float64{0, 0.7, 0.3}},
		{[]float64{0, 0}, []float64{4, 4}, []float64{0, 0}},
		{[]float64{0, 1}, []float64{0, 1}, []float64{0, 1}}, // no member in the own zone
	} {
		var p Plan
		for i := range c.usable {
			p.Add(i, c.total[i], c.usable[i])
		}
		for i, got := range p.Weights(DefaultOverprovision) {
			if math.Abs(got-c.want[i]) > 1e-9 {
				t.Errorf("%v of %v: tier %d gets %.3f, want %.3f", c.usable, c.total, i, got, c.want[i])
			}
		}
	}
}

// TestWeightProperties draws plans: shares are parts of one, all is placed where anything is usable, nothing goes to
// a tier that has nothing usable, and more usable capacity in a tier never lowers its share.
func TestWeightProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, over := rapid.IntRange(1, maxTiers).Draw(t, "tiers"), rapid.Float64Range(1, 3).Draw(t, "over")
		var p Plan
		any := false
		for i := range n {
			total := float64(rapid.IntRange(0, 5).Draw(t, "total"))
			usable := total * rapid.Float64Range(0, 1).Draw(t, "usable")
			any = any || usable > 0
			p.Add(i, total, usable)
		}
		sum := 0.0
		before := append([]float64(nil), p.Weights(over)...)
		for i, s := range before {
			if sum += s; s < 0 || s > 1+1e-9 || s > 0 && p.Usable[i] == 0 {
				t.Fatalf("tier %d gets %v of %v", i, s, p)
			}
		}
		if any && math.Abs(sum-1) > 1e-9 || !any && sum != 0 {
			t.Fatalf("shares add up to %v", sum)
		}
		i := rapid.IntRange(0, n-1).Draw(t, "raised")
		p.Usable[i] = p.Total[i]
		if after := p.Weights(over); after[i] < before[i]-1e-9 {
			t.Fatalf("tier %d fell from %v to %v as it got better", i, before[i], after[i])
		}
	})
}

// TestDraw holds what is drawn against what is stated.
func TestDraw(t *testing.T) {
	z, _ := New(Options{OwnZone: "a"}, 1)
	z.Zone("a")
	z.Zone("b")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 10000 {
		var p Plan
		p.Add(0, 1, 0.5)
		p.Add(1, 1, 1)
		z.RecordRoute(z.Draw(&p, rng))
	}
	f := z.Metrics()
	if math.Abs(f[0].ConfiguredShare-0.7) > 1e-6 || math.Abs(f[0].RoutedShare-0.7) > 0.02 || f[0].All != 10000 {
		t.Errorf("%+v", f)
	}
	var none Plan
	none.Add(0, 1, 0)
	if got := z.Draw(&none, rng); got != -1 {
		t.Errorf("with nothing usable tier %d is drawn", got)
	}
}

// BenchmarkRound is one look at 300 members in three zones.
func BenchmarkRound(b *testing.B) {
	z, _ := New(Options{OwnZone: "a"}, 1)
	at := []*Zone{z.Zone("a"), z.Zone("b"), z.Zone("c")}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 100 * ms
		z.BeginRound(now)
		for m := range 300 {
			z.Observe(at[m%3], Observation{LastHeard: now, Pending: true, Silence: 0.5, Capacity: 1, UsableCapacity: 1})
		}
		z.EndRound()
	}
}
