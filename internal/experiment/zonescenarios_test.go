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

// enableZones enables zones in a gateway's configuration.
func enableZones(c *routing.Config) { c.Zones = &zones.Options{OwnZone: c.Zone} }

// gatewaysThatEntered counts the gateways in which a zone has entered a state at some time.
func (f *fleet) gatewaysThatEntered(zone string, s zones.State) (n int) {
	for _, g := range f.gateways {
		if slices.Contains(g.zoneChanges, zone+" "+s.String()) {
			n++
		}
	}
	return n
}

// zoneLossCases are scenarios in which a zone is lost in different ways. None may violate an invariant. The field lost is
// how many gateways must have considered the zone lost: 0 for none, 1 for at least nine tenths, and -1 for any number.
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

// TestZoneLossCases runs each case at two loads: once with hosts that do not check the staleness of reads, and once with
// hosts that do.
func TestZoneLossCases(t *testing.T) {
	for _, c := range zoneLossCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			earned, referenceEarned, tolerance := 0.0, 0.0, 0.03
			for i, load := range []float64{0.5, 0.7} {
				staleReads := []routing.StaleReadPolicy{routing.StaleReadServed, routing.StaleReadDelayed}[i]
				s := c.spec()
				s.Load, s.StaleReads, s.Configure = load, staleReads, enableZones
				f := newFleet(s, 11)
				f.runUntil(epoch + s.Length)
				for name, n := range f.judge.violations() {
					if n > 0 {
						t.Errorf("load %.1f, stale reads %d: %s %.0f %v", load, staleReads, name, n, f.judge.notes)
					}
				}
				lost := f.gatewaysThatEntered(c.zone, zones.Down)
				if c.lost == 0 && lost > 0 || c.lost == 1 && lost*10 < len(f.gateways)*9 {
					t.Errorf("load %.1f, stale reads %d: %d of %d gateways considered %q lost", load, staleReads, lost, len(f.gateways), c.zone)
				}
				referenceSpec := c.spec()
				referenceSpec.Load, referenceSpec.StaleReads = load, staleReads
				reference := newFleet(referenceSpec, 11)
				reference.runUntil(epoch + s.Length)
				if s.Gateways > 10 {
					tolerance = 0.08 // each gateway notices late that a host is back, and treats it as in slow start from then on
				}
				earned, referenceEarned = earned+f.judge.earnedAtEnd(s.Length)/2, referenceEarned+reference.judge.earnedAtEnd(s.Length)/2
			}
			if earned < referenceEarned-tolerance {
				t.Errorf("earned fraction in the last 10 s: %.2f, without zones %.2f", earned, referenceEarned)
			}
		})
	}
}

// earnedAtEnd returns the earned fraction of the priority weight that was requested in the last 10 s of a run, without its
// last 2 s.
func (j *Judge) earnedAtEnd(length time.Duration) float64 {
	_, requested, earned := j.earnedWeight(epoch+length-10*sec, epoch+length-2*sec)
	return earned / requested
}

// TestSameSeedSameRun checks that two runs with the same seed have equal series. All comparisons depend on that.
func TestSameSeedSameRun(t *testing.T) {
	series := func(seed uint64) []float64 {
		s := baseSpec(15*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 5 * sec, Duration: 5 * sec})
		s.Load, s.Configure = 0.7, enableZones
		f := newFleet(s, seed)
		f.runUntil(epoch + s.Length)
		return f.judge.weightSeries()
	}
	if a, b := series(3), series(3); !slices.Equal(a, b) {
		t.Errorf("the same seed gave different series:\n%v\n%v", a, b)
	}
	if slices.Equal(series(3), series(4)) {
		t.Error("two seeds gave the same series")
	}
}

// TestJudgeDetectsEachViolation violates each invariant that the judge checks.
func TestJudgeDetectsEachViolation(t *testing.T) {
	f := newFleet(Spec{Zones: threeZones, Hosts: 3, Groups: 1, Gateways: 1, Rate: 0.001, Load: 0.1, Length: sec}, 1)
	g, h := f.gateways[0], f.hosts[1]
	newRequest := func(classIndex int) *request {
		q := &request{operation: &operation{class: &classes[classIndex], group: f.groups[0], arrived: f.now}, acceptedAt: f.now, deadline: f.now + sec}
		return q
	}
	newAttempt := func(q *request, requiredPosition time.Duration) *attempt {
		return &attempt{gateway: g, request: q, host: h, requiredPosition: requiredPosition, abandonAt: f.now + sec}
	}
	write := newRequest(4)
	f.judge.attemptRan(newAttempt(write, 0), h)
	f.judge.attemptRan(newAttempt(write, 0), h)
	g.respond(write, false, true, 0, nil, 0) // rejects a write that has run
	g.respond(write, false, false, 0, nil, 0)
	read := newRequest(0)
	f.judge.requestServed(read, newAttempt(read, f.now), f.now-sec) // stale data, and the read never ran
	g.requestTimedOut(newRequest(2))
	f.judge.endpointNotified(g, routing.Endpoint{Member: h.id, Phase: routing.PhaseDraining})
	f.now += sec
	f.judge.attemptSent(newAttempt(newRequest(2), 0))
	h.started = f.now
	for range 200 {
		h.recordWork(10 * time.Millisecond)
	}
	for name, n := range f.judge.violations() {
		if n == 0 {
			t.Errorf("a violation of %s was not detected", name)
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
		t.Error("Find returned an experiment that does not exist")
	}
	if (&Result{}).Holds() {
		t.Error("a result without claims holds")
	}
}
