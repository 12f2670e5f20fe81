package experiment

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/zones"
	"cranegate/routing"
)

const (
	steadyStart     = 5.0  // seconds from the start of a run to its steady state
	failoverSeconds = 8.0  // after a loss until all failovers have ended
	lossWindow      = 10.0 // seconds after a loss in which the earned weight is compared
)

// arm is the outcome of one variant (build or configuration) in one scenario run. All arms of a run share arrivals,
// faults and failover times.
type arm struct {
	judge           *Judge
	configuredSpill [3]float64     // fraction of reads configured for other zones, by window
	zoneChanges     map[string]int // states entered, by zone and state
}

// zoneArms are the arms of one seed.
type zoneArms struct {
	reference arm // without zones, or the reference program
	measured  arm
	zoneAway  arm // as measured, but the zone does not return; run only if the experiment claims the return
}

// timeWindow is a part of a run, in seconds from its start.
type timeWindow struct{ start, end float64 }

// secondsIn converts seconds from the start of a run into model time.
func secondsIn(seconds float64) time.Duration { return epoch + time.Duration(seconds*float64(sec)) }

// runZones runs a zone experiment: all arms, for each load and seed.
func (e *Experiment) runZones(ctx context.Context, o Options) (*Result, error) {
	spec := e.spec(o.Short)
	spec.Defect = o.Defect
	if o.Defect == DefectStaleReads {
		spec.StaleReads = routing.StaleReadServed // hosts that check the staleness would hide the defect
	}
	driver := driverVirtual
	if o.Program != "" {
		driver = driverSockets
	}
	r := e.newResult(o, driver, fmt.Sprintf("%d hosts, %d groups, %d gateways, %.0f requests/s each", spec.Hosts, spec.Groups, spec.Gateways, spec.Rate))
	for _, fault := range spec.Faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%s from %v to %v", fault.Zone, fault.At, fault.At+fault.Duration))
	}
	for _, load := range e.loads {
		spec.Load = load
		runs, err := e.runZoneSeeds(ctx, spec, o)
		if err != nil {
			return nil, err
		}
		totals := zoneTotals{violations: map[string]float64{}}
		for i := range runs {
			totals.add(e, &runs[i], spec, o)
			r.Notes = append(r.Notes, runs[i].measured.judge.notes...)
		}
		e.claimZones(r, &totals, spec, o)
	}
	r.limitNotes()
	return r, nil
}

// spillWindows returns the windows in which spillover is measured: before the loss, while the zone is lost, and at the
// end. While a group has no primary, reads for which no member is known to be fresh go to the most advanced member
// in any tier, so the second window starts when failovers are over.
func (e *Experiment) spillWindows(length time.Duration) [3]timeWindow {
	end := length.Seconds()
	lost := e.lossAt + failoverSeconds
	switch {
	case e.returnAt == 0:
		return [3]timeWindow{{steadyStart, e.lossAt}, {lost, end}, {end, end}}
	case e.returnAt < lost+4: // too short to measure
		return [3]timeWindow{{steadyStart, e.lossAt}, {lost, lost}, {end - 5, end}}
	}
	return [3]timeWindow{{steadyStart, e.lossAt}, {lost, e.returnAt}, {end - 5, end}}
}

// runZoneSeeds runs all arms of a scenario for each seed, several seeds at the same time.
func (e *Experiment) runZoneSeeds(ctx context.Context, spec Spec, o Options) ([]zoneArms, error) {
	away := spec
	away.Faults = slices.Clone(spec.Faults)
	away.Faults[0].Duration = spec.Length
	windows := e.spillWindows(spec.Length)
	limit := runtime.GOMAXPROCS(0)
	if o.Program != "" {
		limit = max(1, limit*3/8) // each seed runs two or three arms at once, in real time
	}
	runs := make([]zoneArms, o.Seeds)
	err := o.forEachSeed(ctx, limit, func(ctx context.Context, i int) error {
		seed, run := o.Seed+uint64(i), &runs[i]
		if o.Program != "" {
			return e.runSocketArms(ctx, spec, away, seed, o, run)
		}
		run.reference = runArm(spec, seed, nil, windows)
		run.measured = runArm(spec, seed, &o.Zones, windows)
		if e.claimsReturn {
			run.zoneAway = runArm(away, seed, &o.Zones, windows)
		}
		return nil
	})
	return runs, err
}

// runArm runs a scenario in virtual time and measures the configured spillover in each window. Nil options disable
// zones.
func runArm(spec Spec, seed uint64, o *zones.Options, windows [3]timeWindow) arm {
	if o != nil {
		spec.Configure = func(c *routing.Config) {
			withOwnZone := *o
			withOwnZone.OwnZone = c.Zone
			c.Zones = &withOwnZone
		}
	}
	f := newFleet(spec, seed)
	a := arm{judge: f.judge, zoneChanges: map[string]int{}}
	for i, window := range windows {
		f.runUntil(secondsIn(window.start))
		f.configuredSpill() // metrics count from the previous call
		f.runUntil(secondsIn(window.end))
		a.configuredSpill[i] = f.configuredSpill()
	}
	f.runUntil(epoch + spec.Length)
	for _, g := range f.gateways {
		for _, change := range g.zoneChanges {
			a.zoneChanges[change]++
		}
	}
	return a
}

// configuredSpill returns the fraction of reads since the previous call that all gateways were configured to send to
// other tiers than their first.
func (f *fleet) configuredSpill() float64 {
	reads, spill := 0.0, 0.0
	for _, g := range f.gateways {
		z := g.router.Zones()
		if z == nil {
			continue
		}
		for tier, m := range z.Metrics() {
			reads += float64(m.Reads)
			if tier > 0 {
				spill += m.ConfiguredShare * float64(m.All)
			}
		}
	}
	return spill / max(reads, 1)
}

// runSocketArms runs all arms of a scenario on sockets at the same time: the reference program, the measured program,
// and, if the experiment claims the zone's return, the measured program while the zone stays away.
func (e *Experiment) runSocketArms(ctx context.Context, spec, away Spec, seed uint64, o Options, run *zoneArms) error {
	all, ctx := errgroup.WithContext(ctx)
	start := func(spec Spec, program, zones string, to *arm) {
		all.Go(func() (err error) {
			to.judge, err = runSockets(ctx, spec, seed, program, zones, o.Logs, nil)
			return err
		})
	}
	start(spec, o.Before, "", &run.reference)
	start(spec, o.Program, o.zonesTable(), &run.measured)
	if e.claimsReturn {
		start(away, o.Program, o.zonesTable(), &run.zoneAway)
	}
	return all.Wait()
}

// zonesTable renders the zone options as a table of the operator's TOML file.
func (o Options) zonesTable() string {
	table := fmt.Sprintf("[zones]\ndetect_only = %v\n", o.Zones.DetectOnly)
	if o.Zones.Overprovision > 0 {
		table += fmt.Sprintf("overprovision = %g\n", o.Zones.Overprovision)
	}
	return table
}

// zoneTotals sums the runs of one load.
type zoneTotals struct {
	violations map[string]float64
	runs       float64

	// Priority weight in the lossWindow.
	earned, achievable                   float64
	referenceEarned, referenceAchievable float64

	avoidanceSeconds      float64 // of the slowest gateway
	spillError            float64 // largest deviation of the spillover from the configured one
	crossZone             float64 // fraction of attempts across zones before the loss
	referenceCrossZone    float64
	lostVerdicts          float64
	lostVerdictsElsewhere float64 // on zones that were not lost
	usualFraction         float64 // fraction of reads' first attempts that go to the zone, the larger of before the loss and at the end
	returnedFraction      float64 // the same fraction, after the zone's return and slow start

	measured, reference, zoneAway [][]float64 // earned weight by second
}

// add adds the arms of one seed.
func (t *zoneTotals) add(e *Experiment, run *zoneArms, spec Spec, o Options) {
	judge, reference := run.measured.judge, run.reference.judge
	loss, length := secondsIn(e.lossAt), spec.Length.Seconds()
	t.runs++
	for name, n := range judge.violations() {
		t.violations[name] += n
	}
	_, earned, achievable := judge.weights(loss, secondsIn(e.lossAt+lossWindow))
	t.earned, t.achievable = t.earned+earned, t.achievable+achievable
	_, earned, achievable = reference.weights(loss, secondsIn(e.lossAt+lossWindow))
	t.referenceEarned, t.referenceAchievable = t.referenceEarned+earned, t.referenceAchievable+achievable
	if e.returnAt > 0 {
		t.avoidanceSeconds = max(t.avoidanceSeconds, judge.avoidanceTime(e.zone, loss, secondsIn(e.returnAt)).Seconds())
	}
	for i, window := range e.spillWindows(spec.Length) {
		if window.end > window.start && o.Program == "" {
			spill, _ := judge.crossZoneFractions(secondsIn(window.start), secondsIn(window.end))
			t.spillError = max(t.spillError, math.Abs(spill-run.measured.configuredSpill[i]))
		}
	}
	_, crossZone := judge.crossZoneFractions(secondsIn(steadyStart), loss)
	t.crossZone += crossZone
	_, crossZone = reference.crossZoneFractions(secondsIn(steadyStart), loss)
	t.referenceCrossZone += crossZone
	t.addVerdicts(e.zone, run.measured.zoneChanges)
	t.measured = append(t.measured, judge.weightSeries())
	t.reference = append(t.reference, reference.weightSeries())
	if e.claimsReturn {
		t.zoneAway = append(t.zoneAway, run.zoneAway.judge.weightSeries())
		warm := e.returnAt + slowStartDuration.Seconds()
		t.usualFraction += max(judge.zoneFraction(e.zone, secondsIn(steadyStart), loss),
			judge.zoneFraction(e.zone, secondsIn(length-7), secondsIn(length-1)))
		t.returnedFraction += judge.zoneFraction(e.zone, secondsIn(warm+3), secondsIn(warm+7))
	}
}

// addVerdicts counts the gateways' verdicts that a zone is lost.
func (t *zoneTotals) addVerdicts(lostZone string, zoneChanges map[string]int) {
	for change, n := range zoneChanges {
		if !strings.HasSuffix(change, " lost") {
			continue
		}
		t.lostVerdicts += float64(n)
		if !strings.HasPrefix(change, lostZone) {
			t.lostVerdictsElsewhere += float64(n)
		}
	}
}

// claimZones adds the claims and figures of one load.
func (e *Experiment) claimZones(r *Result, t *zoneTotals, spec Spec, o Options) {
	prefix := fmt.Sprintf("load %.1f: ", spec.Load)
	figure := func(name string, value float64) float64 {
		r.Figures[fmt.Sprintf("%s_%.1f", name, spec.Load)] = value
		return value
	}
	r.claimNoViolations(prefix, t.violations)
	figure("worth_of_allowed", t.earned/t.achievable)
	if !e.claimsNotLost { // the achievable weight counts a slow zone's capacity, but each request takes too long there
		r.addClaim(prefix+"worth in the 10 s after the loss, of what remains possible", t.earned/t.achievable, ">=", 0.9)
	}
	figure("worth_of_allowed_before", t.referenceEarned/t.referenceAchievable)
	over := "the same, over this module without zones"
	if o.Program != "" {
		over = "the same, over the build held against it"
	}
	r.addClaim(prefix+over, figure("worth_over_before", t.earned/t.referenceEarned), ">=", 1)
	if e.maxDetection > 0 && o.Program != "" {
		// No claim: hosts see only written attempts, not attempts that wait for a connection.
		figure("avoided_written_s", t.avoidanceSeconds)
	} else if e.maxDetection > 0 {
		r.addClaim(prefix+"s until attempts avoid the zone, worst gateway", figure("avoided_s", t.avoidanceSeconds), "<=", e.maxDetection.Seconds())
	}
	if o.Program == "" {
		r.addClaim(prefix+"spill that happened from the spill stated, at most", figure("spill_off", t.spillError), "<=", 0.05)
		r.addClaim(prefix+"zones condemned that were not lost", figure("lost_verdicts_elsewhere", t.lostVerdictsElsewhere), "==", 0)
	}
	r.addClaim(prefix+"attempts across zones on calm seconds, of those before", figure("across", t.crossZone/t.referenceCrossZone), "<=", 1)
	figure("lost_verdicts_a_gateway", t.lostVerdicts/t.runs/float64(spec.Gateways))
	if e.claimsNotLost && o.Program == "" {
		r.addClaim(prefix+"slow zone condemned", t.lostVerdicts, "==", 0)
	}
	measured := meanSeries(t.measured)
	r.Series[fmt.Sprintf("now, load %.1f", spec.Load)] = measured
	r.Series[fmt.Sprintf("before, load %.1f", spec.Load)] = meanSeries(t.reference)
	if !e.claimsReturn {
		return
	}
	r.addClaim(prefix+"share of the zone 5 s after it is warm, of the most before the loss and at the end",
		figure("share_back", t.returnedFraction/t.usualFraction), ">=", 0.9)
	zoneAway, dip := meanSeries(t.zoneAway), 0.0
	for i := int(e.returnAt); i < len(measured)-2; i++ {
		dip = max(dip, zoneAway[i]-measured[i])
	}
	r.addClaim(prefix+"worst second's worth lost by the return", figure("return_dip", dip), "<=", 0.05)
	r.Series[fmt.Sprintf("zone stays away, load %.1f", spec.Load)] = zoneAway
}
