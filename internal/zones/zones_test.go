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

// harness drives the Zones of one gateway. Each member of a zone answers, is silent, or refuses connections.
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

// rounds runs n rounds, 100 ms apart. In each round the other members answer; the expected latency is 100 ms.
func (r *harness) rounds(n int) {
	for range n {
		r.now += 100 * ms
		r.zones.BeginRound(r.now)
		for _, name := range []string{"", "a", "b", "c"} {
			for i := range r.lastHeard[name] {
				observation := Observation{Pending: true, Capacity: 1, UsableCapacity: 1, ExpectedLatency: 100 * ms}
				silent, broken := i < r.silent[name], i < r.broken[name]
				if !silent && !broken {
					r.lastHeard[name][i] = r.now
				}
				observation.LastHeard = r.lastHeard[name][i]
				if silent {
					observation.Silence = float64(r.now-observation.LastHeard) / float64(100*ms)
				}
				observation.Broken = broken
				observation.Unhealthy = broken || observation.Silence > 5 || r.zones.Zone(name).MemberDown(observation.LastHeard)
				if observation.Unhealthy {
					observation.UsableCapacity = 0
				}
				r.zones.Observe(r.zones.Zone(name), observation)
			}
		}
		r.zones.EndRound()
	}
}

func (r *harness) checkState(zone string, s State) {
	r.t.Helper()
	if got := r.zones.Zone(zone).State(); got != s {
		r.t.Errorf("zone %s is %s at %v, want %s", zone, got, r.now-1000*time.Second, s)
	}
}

var threeByThree = map[string]int{"a": 3, "b": 3, "c": 3}

// TestJointSilence checks that a zone is declared down earlier than a single member could be: three members with a silence
// of 3 expected latencies are enough, where one member alone needs 5. Three members whose connections are refused are enough as well.
func TestJointSilence(t *testing.T) {
	r := newHarness(t, Options{OwnZone: "a"}, 1, threeByThree)
	r.rounds(3)
	r.silent["b"] = 3
	r.rounds(2)
	r.checkState("b", Healthy)
	r.rounds(1)
	r.checkState("b", Down)
	if !r.zones.Zone("b").MemberDown(r.lastHeard["b"][0]) || r.zones.Zone("b").MemberDown(r.now+1) {
		t.Error("MemberDown must hold for a member without an answer since the outage, and not for one that has answered since")
	}
	r = newHarness(t, Options{OwnZone: "a"}, 1, threeByThree)
	r.rounds(3)
	r.broken["c"] = 3
	r.rounds(3)
	r.checkState("c", Down)
	r.checkState("a", Healthy)
}

// TestOneUnhealthyMember checks that a zone is not declared down for one member, or for all members but one.
func TestOneUnhealthyMember(t *testing.T) {
	for n, want := range []State{Healthy, Impaired, Impaired, Down} {
		r := newHarness(t, Options{}, 1, threeByThree)
		r.silent["b"] = n
		r.rounds(40)
		r.checkState("b", want)
	}
}

// TestAllZonesSilent checks that a gateway that was suspended or is cut off itself declares no zone down. A zone that is the
// only one is never declared down either, and neither is the zone without a name.
func TestAllZonesSilent(t *testing.T) {
	r := newHarness(t, Options{OwnZone: "a"}, 1, threeByThree)
	r.rounds(3)
	r.silent = map[string]int{"a": 3, "b": 3, "c": 3}
	r.rounds(20)
	for _, name := range []string{"a", "b", "c"} {
		if r.zones.Zone(name).State() == Down {
			t.Errorf("zone %s is declared down although all zones are silent", name)
		}
	}
	r = newHarness(t, Options{}, 1, map[string]int{"a": 5})
	r.silent["a"] = 5
	r.rounds(20)
	r.checkState("a", Impaired)
	r = newHarness(t, Options{}, 1, map[string]int{"": 3, "a": 3})
	r.silent[""] = 3
	r.rounds(20)
	r.checkState("", Impaired)
}

// TestOverlappingOutages has two zones go down, one while the other is down, and the first recover.
func TestOverlappingOutages(t *testing.T) {
	r := newHarness(t, Options{}, 1, threeByThree)
	r.silent["a"] = 3
	r.rounds(10)
	r.silent["b"] = 3
	r.rounds(10)
	r.checkState("a", Down)
	r.checkState("b", Down)
	r.checkState("c", Healthy)
	r.silent["a"] = 0
	r.rounds(100)
	r.checkState("a", Healthy)
	r.checkState("b", Down)
}

// TestRecovery checks the return of reads after an outage: none before the recovery delay, then a ramp. Each further outage
// within a minute doubles both.
func TestRecovery(t *testing.T) {
	r := newHarness(t, Options{}, 3, threeByThree)
	last := time.Duration(0)
	for outage := range 4 {
		r.silent["b"] = 3
		r.rounds(10)
		r.checkState("b", Down)
		r.silent["b"] = 0
		start := r.now
		r.rounds(1)
		r.checkState("b", Down)
		for r.zones.Zone("b").State() == Down && r.now < start+20*time.Second {
			r.rounds(1)
		}
		r.checkState("b", Recovering)
		if s := r.zones.RecoveryShare(r.zones.Zone("b")); s > 0.1 {
			t.Errorf("outage %d: the return begins with %.2f of the reads", outage, s)
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
		r.checkState("b", Healthy)
		if took := r.now - start; took <= last {
			t.Errorf("outage %d: the return took %v, no longer than the previous one (%v)", outage, took, last)
		} else {
			last = took
		}
		if outage == 0 && last > 6*time.Second {
			t.Errorf("the first return took %v", last)
		}
	}
}

// TestRecoveryWithFewMembers has only one member of three answer again: reads return to the zone after fewRecoveredDelay.
func TestRecoveryWithFewMembers(t *testing.T) {
	r := newHarness(t, Options{}, 1, threeByThree)
	r.silent["b"] = 3
	r.rounds(10)
	r.silent["b"] = 2
	r.rounds(10)
	r.checkState("b", Down)
	r.rounds(20)
	r.checkState("b", Recovering)
	if !r.zones.Zone("b").MemberDown(r.lastHeard["b"][0]) {
		t.Error("a member that has not answered since the outage must stay down")
	}
}

// TestReinstate checks that a slow zone that was declared down is used again in full, without a ramp, after an answer to an
// attempt that was sent before.
func TestReinstate(t *testing.T) {
	r := newHarness(t, Options{}, 1, threeByThree)
	r.rounds(3)
	r.silent["b"] = 3
	r.rounds(5)
	r.checkState("b", Down)
	r.zones.Reinstate(r.zones.Zone("b"), r.now) // sent later: does not show that the zone was only slow
	r.checkState("b", Down)
	r.zones.Reinstate(r.zones.Zone("b"), r.now-time.Second)
	r.checkState("b", Impaired)
	if s := r.zones.RecoveryShare(r.zones.Zone("b")); s != 1 {
		t.Errorf("a zone that was only slow receives %.2f of its reads, want all", s)
	}
}

// TestUnansweredHealthChecks checks that a gateway without attempts in flight at a zone declares it down because of
// unanswered health checks.
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

// TestJitter checks that different gateways get different ramps, although they do not communicate.
func TestJitter(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		r := newHarness(t, Options{}, seed, threeByThree)
		r.silent["b"] = 3
		r.rounds(10)
		r.silent["b"] = 0
		r.rounds(6)
		r.checkState("b", Recovering)
		seen[r.zones.Zone("b").rampDuration] = true
	}
	if len(seen) < 15 {
		t.Errorf("20 gateways have only %d different ramps", len(seen))
	}
}

// TestTiers checks that zones are ordered by the configured tiers, or by the own zone and round trips if there are none.
// Configure changes the order and keeps the zones' states.
func TestTiers(t *testing.T) {
	r := newHarness(t, Options{OwnZone: "b"}, 1, threeByThree)
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
	r.checkState("c", Down)
	for name, want := range map[string]int{"a": 0, "c": 0, "b": 1} {
		if got := r.zones.Zone(name).Tier(); got != want {
			t.Errorf("after Configure zone %s is in tier %d, want %d", name, got, want)
		}
	}
	if err := r.zones.Configure(Options{Tiers: [][]string{{"a"}, {"a"}}}); err == nil || r.zones.Zone("b").Tier() != 1 {
		t.Error("invalid options must be rejected and change nothing")
	}
}

// TestCheck checks that Check rejects invalid options and names the setting.
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

// TestWeights checks the weights against the table of docs/zones.md.
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
		{[]float64{1, 1}, []float64{4, 4}, []float64{0.5, 0.5}},      // not enough in any tier: in proportion
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

// TestWeightProperties draws random plans. Each share is between 0 and 1, shares add up to 1 if anything is usable, a tier
// without usable capacity gets nothing, and more usable capacity in a tier never lowers its share.
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
			t.Fatalf("tier %d fell from %v to %v when its usable capacity rose", i, before[i], after[i])
		}
	})
}

// TestDraw checks that the tiers are drawn with the configured shares.
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
	metrics := z.Metrics()
	if math.Abs(metrics[0].ConfiguredShare-0.7) > 1e-6 || math.Abs(metrics[0].RoutedShare-0.7) > 0.02 || metrics[0].All != 10000 {
		t.Errorf("%+v", metrics)
	}
	var none Plan
	none.Add(0, 1, 0)
	if got := z.Draw(&none, rng); got != -1 {
		t.Errorf("with nothing usable tier %d is drawn", got)
	}
}

// BenchmarkRound measures one round with 300 members in three zones.
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
