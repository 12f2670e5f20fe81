package experiment

import (
	"context"
	"fmt"
	"runtime"

	"cranegate/routing"
)

// fleetScenario is an experiment on a fleet whose hosts accept few connections. Behaviour that is harmless in one gateway
// can be harmful when all gateways behave the same way. The reference is the same decision module in gateways that size
// their pools as if each were the only gateway.
type fleetScenario struct {
	faultStart, faultEnd float64 // seconds from the start
	faults               []Fault
}

// fleetScenarios are the fleet scenarios by the second part of their names.
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

// fleetHostConnections is the connection limit of hosts in fleet scenarios: half of maxConnections, near the value at
// which the limit constrains 300 gateways.
const fleetHostConnections = 200

func init() {
	Experiments = append(Experiments, Experiment{Name: "fleet-soak", endurance: true,
		About: "45 minutes in which hosts are replaced and gateways killed all the time: nothing of them may be kept"})
	for _, name := range []string{"calm", "herd", "zone", "join", "roll", "split"} {
		for _, large := range []bool{false, true} {
			scenario := fleetScenarios[name]
			e := Experiment{Name: "fleet-" + name, About: scenario.about, fleet: &scenario.fleetScenario, loads: []float64{0.5},
				spec: func(short bool) Spec {
					s := baseSpec(28*sec, scenario.faults...)
					s.Hosts, s.Groups, s.Gateways, s.Rate, s.HostConnections = 60, 18, 80, 11, fleetHostConnections
					switch {
					case large:
						s.Hosts, s.Groups, s.Gateways = 120, 36, 300
					case short:
						s.Hosts, s.Groups, s.Gateways, s.HostConnections = 20, 6, 40, 60
					}
					return s
				}}
			if large {
				e.Name, e.About = e.Name+"-mass", e.About+"; 300 gateways before 120 hosts"
			}
			Experiments = append(Experiments, e)
		}
	}
}

// fleetTotals sums the results of several runs over all gateways.
type fleetTotals struct {
	requested, earned, achievable            float64 // priority weight, from the fault to the end
	earnedBefore, earnedAfter                float64 // sums of the earned fractions before the fault, and in 5 s near the end
	connects, rejectedConnects, healthChecks float64
	attempts, firstAttempts, primaryAttempts float64 // primaryAttempts: first attempts at primaries
	operations, requests                     float64
	maxHostConnections                       float64 // maximum number of concurrent connections to one host
	runs                                     float64
}

// add adds the results of one run.
func (t *fleetTotals) add(f *fleet, scenario *fleetScenario) {
	judge, end := f.judge, epoch+f.Length
	requested, earned, achievable := judge.weights(secondsIn(scenario.faultStart), end-2*sec)
	t.requested, t.earned, t.achievable = t.requested+requested, t.earned+earned, t.achievable+achievable
	_, requested, earned = judge.earnedWeight(secondsIn(2), secondsIn(min(scenario.faultStart, 6)))
	t.earnedBefore += earned / requested
	_, requested, earned = judge.earnedWeight(end-7*sec, end-2*sec)
	t.earnedAfter += earned / requested
	t.connects += float64(judge.connects)
	t.rejectedConnects += float64(judge.rejectedConnects)
	t.healthChecks += float64(judge.healthChecks)
	for _, attempt := range judge.attempts {
		t.attempts++
		if attempt.first {
			t.firstAttempts++
			if !attempt.replica {
				t.primaryAttempts++
			}
		}
	}
	for _, op := range judge.operations {
		t.operations, t.requests = t.operations+1, t.requests+float64(op.requests)
	}
	t.maxHostConnections = max(t.maxHostConnections, float64(judge.maxHostConnections))
	t.runs++
}

// runFleet runs a fleet scenario with each seed, first with the pool sizes of the reference and then with the measured
// pool sizes.
func (e *Experiment) runFleet(ctx context.Context, o Options) (*Result, error) {
	spec := e.spec(o.Short)
	spec.Load, spec.Defect = e.loads[0], o.Defect
	if o.Defect == DefectStaleReads {
		spec.StaleReads = routing.StaleReadServed // hosts that check the staleness would hide the defect
	}
	r := e.newResult(o, driverVirtual, fmt.Sprintf("%d hosts with room for %d connections, %d groups, %d gateways, %.0f requests/s each, load %.1f",
		spec.Hosts, spec.HostConnections, spec.Groups, spec.Gateways, spec.Rate, spec.Load))
	runs := make([]fleetArms, o.Seeds)
	limit := max(1, runtime.GOMAXPROCS(0)/2) // a run of 300 gateways takes a GB of memory
	err := o.forEachSeed(ctx, limit, func(ctx context.Context, i int) (err error) {
		reference := spec
		reference.PoolGateways = 1
		if runs[i].reference, err = runFleetArm(ctx, reference, o.Seed+uint64(i)); err != nil {
			return err
		}
		runs[i].measured, err = runFleetArm(ctx, spec, o.Seed+uint64(i))
		return err
	})
	if err != nil {
		return nil, err
	}
	violations := map[string]float64{}
	var reference, measured fleetTotals
	var referenceSeries, measuredSeries [][]float64
	for _, run := range runs {
		judge := run.measured.judge
		reference.add(run.reference, e.fleet)
		measured.add(run.measured, e.fleet)
		referenceSeries = append(referenceSeries, run.reference.judge.weightSeries())
		measuredSeries = append(measuredSeries, judge.weightSeries())
		for name, n := range judge.violations() {
			violations[name] += n
		}
		r.Notes = append(r.Notes, judge.notes...)
	}
	r.limitNotes()
	r.claimNoViolations("", violations)
	measured.addFigures(r, "")
	reference.addFigures(r, "_before")
	r.addClaim("worth from the trouble on, over gateways that keep connections as if each were alone", measured.earned/reference.earned, ">=", 0.99)
	r.addClaim("worth near the end, of that before the trouble", measured.earnedAfter/measured.earnedBefore, ">=", 0.95)
	r.addClaim("attempts that found no room for a connection", measured.rejectedConnects/measured.attempts, "<=", 0.02)
	r.Series["before"], r.Series["now"] = meanSeries(referenceSeries), meanSeries(measuredSeries)
	return r, nil
}

// fleetArms are the two arms of one seed.
type fleetArms struct{ reference, measured *fleet }

// runFleetArm runs a scenario once. It returns the error of ctx if ctx has ended before the start.
func runFleetArm(ctx context.Context, spec Spec, seed uint64) (*fleet, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	f := newFleet(spec, seed)
	f.runUntil(epoch + spec.Length)
	return f, nil
}

// addFigures adds the totals to a result, with a suffix for the names of the figures.
func (t *fleetTotals) addFigures(r *Result, suffix string) {
	r.Figures["worth_of_allowed"+suffix] = t.earned / t.achievable
	r.Figures["worth_of_asked"+suffix] = t.earned / t.requested
	r.Figures["worth_near_end"+suffix] = t.earnedAfter / t.runs
	r.Figures["worth_at_first"+suffix] = t.earnedBefore / t.runs
	r.Figures["connects_an_attempt"+suffix] = t.connects / t.attempts
	r.Figures["no_room_an_attempt"+suffix] = t.rejectedConnects / t.attempts
	r.Figures["probes_a_request"+suffix] = t.healthChecks / t.operations
	r.Figures["attempts_a_request"+suffix] = t.attempts / t.operations
	r.Figures["tries_a_request"+suffix] = t.requests / t.operations
	r.Figures["first_attempts_at_primaries"+suffix] = t.primaryAttempts / t.firstAttempts
	r.Figures["connections_at_a_host_most"+suffix] = t.maxHostConnections
}
