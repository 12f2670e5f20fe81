package experiment

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/routing"
)

// fleetScenario is an experiment on a whole fleet whose hosts accept few connections, where behaviour that is harmless
// in one gateway may be harmful in all. The reference is the same module in gateways that size their pools as if each
// were alone.
type fleetScenario struct {
	faultStart, faultEnd float64 // seconds of the trouble
	faults               []Fault
}

var fleetScenarios = map[string]struct {
	about string
	fleetScenario
}{
	"calm": {"half as much again is asked for 4 s", fleetScenario{6, 10, []Fault{{Kind: Burst, At: 6 * sec, Duration: 4 * sec}}}},
	"herd": {"seven in ten gateways are killed at once, and one host of eight is slow", fleetScenario{8, 12, []Fault{
		{Kind: Kill, Fraction: 0.7, At: 8 * sec, Duration: 2 * sec}, {Kind: Slow, Fraction: 0.125, At: 4 * sec, Duration: 20 * sec}}}},
	"zone": {"a zone dies for 5 s and returns cold", fleetScenario{8, 15, []Fault{{Kind: Crash, Zone: "nuernberg", At: 8 * sec, Duration: 5 * sec}}}},
	"join": {"six in ten hosts are replaced within 7 s", fleetScenario{6, 16, []Fault{{Kind: Replace, Fraction: 0.6, At: 6 * sec, Duration: 7 * sec}}}},
	"roll": {"half of the hosts are replaced while all gateways are restarted, a tenth at a time", fleetScenario{4, 18, []Fault{
		{Kind: Replace, Fraction: 0.5, At: 4 * sec, Duration: 11 * sec}, {Kind: Restart, At: 3 * sec, Duration: 14 * sec}}}},
	"split": {"a fifth of the hosts fall silent for 6 s, and discovery with them", fleetScenario{8, 16, []Fault{
		{Kind: Silent, Fraction: 0.2, At: 8 * sec, Duration: 6 * sec}, {Kind: DiscoveryDown, At: 8 * sec, Duration: 8 * sec}}}},
}

// fleetHostConnections is the connection limit of hosts in fleet scenarios: half of the usual limit, near where it
// constrains 300 gateways.
const fleetHostConnections = 200

func init() {
	Experiments = append(Experiments, Experiment{Name: "fleet-soak", endurance: true,
		About: "45 minutes in which hosts are replaced and gateways killed all the time: nothing of them may be kept"})
	for _, name := range []string{"calm", "herd", "zone", "join", "roll", "split"} {
		for _, mass := range []bool{false, true} {
			k := fleetScenarios[name]
			e := Experiment{Name: "fleet-" + name, About: k.about, fleet: &k.fleetScenario, loads: []float64{0.5},
				spec: func(short bool) Spec {
					s := baseSpec(28*sec, k.faults...)
					s.Hosts, s.Groups, s.Gateways, s.Rate, s.HostConnections = 60, 18, 80, 11, fleetHostConnections
					switch {
					case mass:
						s.Hosts, s.Groups, s.Gateways = 120, 36, 300
					case short:
						s.Hosts, s.Groups, s.Gateways, s.HostConnections = 20, 6, 40, 60
					}
					return s
				}}
			if mass {
				e.Name, e.About = e.Name+"-mass", e.About+"; 300 gateways before 120 hosts"
			}
			Experiments = append(Experiments, e)
		}
	}
}

// fleetTotals sums the results of several runs over all gateways.
type fleetTotals struct {
	asked, earned, allowed                   float64 // worth, from the trouble to the end
	earnedBefore, earnedAfter                float64 // shares of worth earned before the trouble, and in 5 s near the end
	connects, rejectedConnects, healthChecks float64
	attempts, firstAttempts, primaryAttempts float64 // all; first ones; first ones at primaries
	operations, requests                     float64
	maxHostConnections                       float64 // connections at one host at one moment, at most
	runs                                     float64
}

func (t *fleetTotals) add(f *fleet, k *fleetScenario) {
	j, end := f.judge, epoch+f.Length
	at := func(x float64) time.Duration { return epoch + time.Duration(x*float64(sec)) }
	asked, earned, allowed := j.weights(at(k.faultStart), end-2*sec)
	t.asked, t.earned, t.allowed = t.asked+asked, t.earned+earned, t.allowed+allowed
	_, asked, earned = j.earnedWeight(at(2), at(min(k.faultStart, 6)))
	t.earnedBefore += earned / asked
	_, asked, earned = j.earnedWeight(end-7*sec, end-2*sec)
	t.earnedAfter += earned / asked
	t.connects, t.rejectedConnects, t.healthChecks = t.connects+float64(j.connects), t.rejectedConnects+float64(j.rejectedConnects), t.healthChecks+float64(j.healthChecks)
	for _, attempt := range j.attempts {
		if t.attempts++; attempt.first {
			if t.firstAttempts++; !attempt.replica {
				t.primaryAttempts++
			}
		}
	}
	for _, a := range j.operations {
		t.operations, t.requests = t.operations+1, t.requests+float64(a.requests)
	}
	t.maxHostConnections = max(t.maxHostConnections, float64(j.maxHostConnections))
	t.runs++
}

// runFleet runs a fleet scenario with each seed, with the reference's pool sizes and with those under test.
func (e *Experiment) runFleet(ctx context.Context, o Options) (*Result, error) {
	s := e.spec(o.Short)
	s.Load, s.Defect = e.loads[0], o.Defect
	if o.Defect == DefectStaleReads {
		s.StaleReads = routing.StaleReadServed // hosts that check would hide it
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "virtual", Version: o.Version,
		Size: fmt.Sprintf("%d hosts with room for %d connections, %d groups, %d gateways, %.0f requests/s each, load %.1f",
			s.Hosts, s.HostConnections, s.Groups, s.Gateways, s.Rate, s.Load),
		Machine: fmt.Sprintf("%d cores", runtime.NumCPU()), Figures: map[string]float64{}, Series: map[string][]float64{}}
	work, ctx := errgroup.WithContext(ctx)
	work.SetLimit(max(1, runtime.GOMAXPROCS(0)/2)) // a day of 300 gateways takes a GB
	days := make([][2]*fleet, o.Seeds)
	var done atomic.Int32
	for i := range days {
		work.Go(func() error {
			for arm := range days[i] {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				x := s
				if x.PoolGateways = 1; arm == 1 {
					x.PoolGateways = 0
				}
				f := newFleet(x, o.Seed+uint64(i))
				f.runUntil(epoch + s.Length)
				days[i][arm] = f
			}
			if n := int(done.Add(1)); o.Progress != nil {
				o.Progress(n, len(days))
			}
			return nil
		})
	}
	if err := work.Wait(); err != nil {
		return nil, err
	}
	broken := map[string]float64{}
	var was, now fleetTotals
	var series [2][][]float64
	for _, d := range days {
		was.add(d[0], e.fleet)
		now.add(d[1], e.fleet)
		for arm, f := range d {
			series[arm] = append(series[arm], f.judge.weightSeries())
		}
		for name, n := range d[1].judge.violations() {
			broken[name] += n
		}
		r.Notes = append(r.Notes, d[1].judge.notes...)
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	for _, name := range violationNames {
		r.addClaim(strings.ReplaceAll(name, "_", " "), broken[name], "==", 0)
	}
	for arm, x := range map[string]*fleetTotals{"": &now, "_before": &was} {
		r.Figures["worth_of_allowed"+arm] = x.earned / x.allowed
		r.Figures["worth_of_asked"+arm] = x.earned / x.asked
		r.Figures["worth_near_end"+arm] = x.earnedAfter / x.runs
		r.Figures["worth_at_first"+arm] = x.earnedBefore / x.runs
		r.Figures["connects_an_attempt"+arm] = x.connects / x.attempts
		r.Figures["no_room_an_attempt"+arm] = x.rejectedConnects / x.attempts
		r.Figures["probes_a_request"+arm] = x.healthChecks / x.operations
		r.Figures["attempts_a_request"+arm] = x.attempts / x.operations
		r.Figures["tries_a_request"+arm] = x.requests / x.operations
		r.Figures["first_attempts_at_primaries"+arm] = x.primaryAttempts / x.firstAttempts
		r.Figures["connections_at_a_host_most"+arm] = x.maxHostConnections
	}
	r.addClaim("worth from the trouble on, over gateways that keep connections as if each were alone", now.earned/was.earned, ">=", 0.99)
	r.addClaim("worth near the end, of that before the trouble", now.earnedAfter/now.earnedBefore, ">=", 0.95)
	r.addClaim("attempts that found no room for a connection", now.rejectedConnects/now.attempts, "<=", 0.02)
	r.Series["before"], r.Series["now"] = meanSeries(series[0]), meanSeries(series[1])
	return r, nil
}
