package experiment

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// enableZones turns zones on.
func enableZones(c *routing.Config) { c.Zones = &zones.Options{OwnZone: c.Zone} }

// states counts the gateways that have come to hold a state of a zone.
func (f *fleet) states(zone string, s zones.State) (n int) {
	for _, g := range f.gateways {
		if slices.Contains(g.zoneChanges, zone+" "+s.String()) {
			n++
		}
	}
	return n
}

// zoneLossCases are days on which a zone is lost in one of the ways that the issue lists. No rule may break on any; lost
// is how many of the gateways must have condemned the zone: 0 none, 1 all, -1 does not matter.
var zoneLossCases = []struct {
	name string
	zone string
	lost int
	spec func() Spec
}{
	{"silent", "nuernberg", 1, func() Spec {
		return baseSpec(30*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 8 * sec, Duration: 8 * sec, RestartAtEnd: true})
	}},
	{"reset", "nuernberg", 1, func() Spec {
		return baseSpec(30*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 8 * sec, Duration: 8 * sec})
	}},
	{"a cut of one second", "augsburg", -1, func() Spec {
		return baseSpec(20*sec, Fault{Kind: Silent, Zone: "augsburg", At: 8 * sec, Duration: sec})
	}},
	{"the zone of a primary, with discovery", "muenchen-nord", 1, func() Spec {
		return baseSpec(40*sec, Fault{Kind: Silent, Zone: "muenchen-nord", At: 8 * sec, Duration: 12 * sec, RestartAtEnd: true},
			Fault{Kind: DiscoveryDown, At: 8 * sec, Duration: 14 * sec})
	}},
	{"all but one of its members", "nuernberg", 0, func() Spec {
		return baseSpec(30*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 8 * sec, Duration: 8 * sec, Spared: 1})
	}},
	{"flapping", "augsburg", 1, func() Spec {
		s := baseSpec(40 * sec)
		for i := range 4 {
			s.Faults = append(s.Faults, Fault{Kind: Silent, Zone: "augsburg", At: time.Duration(8+6*i) * sec, Duration: 3 * sec, RestartAtEnd: true})
		}
		return s
	}},
	{"two in turn", "augsburg", 1, func() Spec {
		return baseSpec(40*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 8 * sec, Duration: 14 * sec}, Fault{Kind: Silent, Zone: "augsburg", At: 14 * sec, Duration: 8 * sec, RestartAtEnd: true})
	}},
	{"a group without a member elsewhere", "augsburg", 1, func() Spec {
		s := baseSpec(40*sec, Fault{Kind: Crash, Zone: "augsburg", At: 8 * sec, Duration: 8 * sec})
		s.Hosts, s.Layout = 9, []string{"muenchen-nord", "nuernberg", "augsburg", "nuernberg", "augsburg", "muenchen-nord", "augsburg", "augsburg", "augsburg"}
		return s
	}},
	{"zones that are not known", "", 0, func() Spec {
		s := baseSpec(30*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 8 * sec, Duration: 8 * sec, RestartAtEnd: true})
		s.HideZones = true
		return s
	}},
	{"a site of one zone", "muenchen-nord", 0, func() Spec {
		s := baseSpec(30*sec, Fault{Kind: Crash, Zone: "muenchen-nord", At: 8 * sec, Duration: 5 * sec})
		s.Zones = threeZones[:1]
		return s
	}},
	{"many gateways with little traffic", "nuernberg", 1, func() Spec {
		s := baseSpec(30*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 8 * sec, Duration: 8 * sec, RestartAtEnd: true})
		s.Gateways, s.Rate = 40, 4
		return s
	}},
	{"slow and not lost", "augsburg", 0, func() Spec {
		return baseSpec(30*sec, Fault{Kind: Slow, Zone: "augsburg", At: 8 * sec, Duration: 10 * sec})
	}},
	{"new tiers during the loss", "nuernberg", 1, func() Spec {
		return baseSpec(30*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 8 * sec, Duration: 10 * sec, RestartAtEnd: true},
			Fault{Kind: Reconfigure, At: 12 * sec, Reconfigure: func(r *routing.Router) {
				if z := r.Zones(); z != nil {
					z.Configure(zones.Options{Tiers: [][]string{{"nuernberg"}, {"augsburg", "muenchen-nord"}}})
				}
			}})
	}},
	{"a drain within the loss", "nuernberg", 1, func() Spec {
		return baseSpec(30*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 8 * sec, Duration: 8 * sec, RestartAtEnd: true}, Fault{Kind: Drain, Zone: "augsburg", Spared: 2, At: 10 * sec, Duration: sec})
	}},
}

// TestZoneLossCases runs each case at two loads, with hosts that check the staleness of reads and with hosts that leave
// that to the gateway.
func TestZoneLossCases(t *testing.T) {
	for _, c := range zoneLossCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			now, was, most := 0.0, 0.0, 0.03
			for i, load := range []float64{0.5, 0.7} {
				guards := []routing.StaleReadPolicy{routing.StaleReadServed, routing.StaleReadDelayed}[i]
				s := c.spec()
				s.Load, s.StaleReads, s.Configure = load, guards, enableZones
				f := newFleet(s, 11)
				f.runUntil(epoch + s.Length)
				for name, n := range f.judge.violations() {
					if n > 0 {
						t.Errorf("load %.1f, guards %d: %s %.0f %v", load, guards, name, n, f.judge.notes)
					}
				}
				lost := f.states(c.zone, zones.Down)
				if c.lost == 0 && lost > 0 || c.lost == 1 && lost*10 < len(f.gateways)*9 {
					t.Errorf("load %.1f, guards %d: %d of %d gateways condemned %q", load, guards, lost, len(f.gateways), c.zone)
				}
				before := c.spec()
				before.Load, before.StaleReads = load, guards
				b := newFleet(before, 11)
				b.runUntil(epoch + s.Length)
				if s.Gateways > 10 {
					most = 0.08 // each hears a host that is back late, and takes it for cold from then on
				}
				now, was = now+f.judge.earnedAtEnd(s.Length)/2, was+b.judge.earnedAtEnd(s.Length)/2
			}
			if now < was-most {
				t.Errorf("in its last 10 s the day earned %.2f, without zones %.2f", now, was)
			}
		})
	}
}

// served10 is the worth earned of that asked for in the last 10 s of a day, its very last 2 s left out.
func (j *Judge) earnedAtEnd(length time.Duration) float64 {
	_, asked, earned := j.earnedWeight(epoch+length-10*sec, epoch+length-2*sec)
	return earned / asked
}

// TestSameSeedSameRun checks that runs of one seed are equal to the last figure, on which all comparisons depend.
func TestSameSeedSameRun(t *testing.T) {
	series := func(seed uint64) []float64 {
		s := baseSpec(15*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 5 * sec, Duration: 5 * sec})
		s.Load, s.Configure = 0.7, enableZones
		f := newFleet(s, seed)
		f.runUntil(epoch + s.Length)
		return f.judge.weightSeries()
	}
	if a, b := series(3), series(3); !slices.Equal(a, b) {
		t.Errorf("one seed, two days:\n%v\n%v", a, b)
	}
	if slices.Equal(series(3), series(4)) {
		t.Error("two seeds play one day")
	}
}

// TestJudgeDetectsEachViolation violates each invariant that the judge checks.
func TestJudgeDetectsEachViolation(t *testing.T) {
	f := newFleet(Spec{Zones: threeZones, Hosts: 3, Groups: 1, Gateways: 1, Rate: 0.001, Load: 0.1, Length: sec}, 1)
	g, h := f.gateways[0], f.hosts[1]
	write := func(n int) *request {
		q := &request{operation: &operation{class: &classes[n], group: f.groups[0], arrived: f.now}, acceptedAt: f.now, deadline: f.now + sec}
		return q
	}
	try := func(q *request, need time.Duration) *attempt {
		return &attempt{gateway: g, request: q, host: h, requiredPosition: need, abandonAt: f.now + sec}
	}
	w := write(4)
	f.judge.attemptRan(try(w, 0), h)
	f.judge.attemptRan(try(w, 0), h)
	g.respond(w, false, true, 0, nil, 0) // a refusal of what has run
	g.respond(w, false, false, 0, nil, 0)
	read := write(0)
	f.judge.requestServed(read, try(read, f.now), f.now-sec) // old, and it never ran
	g.requestTimedOut(write(2))
	f.judge.endpointNotified(g, routing.Endpoint{Member: h.id, Phase: routing.PhaseDraining})
	f.now += sec
	f.judge.attemptSent(try(write(2), 0))
	h.started = f.now
	for range 200 {
		h.recordWork(10 * time.Millisecond)
	}
	for name, n := range f.judge.violations() {
		if n == 0 {
			t.Errorf("%s was broken and not found", name)
		}
	}
}

// TestExperiments runs the short form of three experiments and checks the claims that one seed can show.
func TestExperiments(t *testing.T) {
	for _, name := range []string{"zone-loss-silent", "zone-loss-reset", "zone-return"} {
		e, err := Find(name)
		if err != nil {
			t.Fatal(err)
		}
		r, err := e.Run(context.Background(), Options{Seed: 100, Seeds: 2})
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Claims {
			if !c.Holds && (c.Relation == "==" || strings.Contains(c.Name, "avoid")) {
				t.Errorf("%s: %s: %.3f, want %s %g", name, c.Name, c.Figure, c.Relation, c.Bound)
			}
		}
	}
	if _, err := Find("no-such"); err == nil {
		t.Error("an experiment that does not exist is found")
	}
	if (&Result{}).Holds() {
		t.Error("a result without claims holds")
	}
}
