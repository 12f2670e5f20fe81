package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/routing"
)

// gatewayScenario runs real gateways that form a fleet, with modelled hosts and clients, while messages between gateways
// are lost and hosts restart.
type gatewayScenario struct {
	spec       Spec
	membership *membershipScenario
}

// gatewayScenarios run with processes only.
var gatewayScenarios = []struct {
	name string
	gatewayScenario
}{
	{"gateways-cut", gatewayScenario{
		spec: Spec{Zones: threeZones, Hosts: 12, Groups: 4, Gateways: 7, Rate: 30, Load: 0.5, Length: 32 * sec, StaleReads: routing.StaleReadDelayed,
			Faults: []Fault{{Kind: Crash, Zone: "nuernberg", At: 10 * sec, Duration: 4 * sec}}},
		membership: mustParseScenario(`
about = "seven gateways are cut in two while hosts of a zone start cold; one-sided cuts, lost messages and a standstill"
losses = [0.1]
length_s = 24
heal_s = 10
[[fault]]
kind = "cut"
at_s = 1
for_s = 12
who = "lower"
to = "upper"
both = true
excuses = ["lower", "upper"]
[[fault]]
kind = "pause"
at_s = 15
for_s = 0.6
who = "one 5"
[[fault]]
kind = "cut"
at_s = 15
for_s = 4
who = "one 1"
to = "one 2"
`)}},
}

func init() {
	for i := range gatewayScenarios {
		scenario := &gatewayScenarios[i]
		Experiments = append(Experiments, Experiment{Name: scenario.name, About: scenario.membership.About, gateways: &scenario.gatewayScenario})
	}
}

// mustParseScenario parses a scenario that is part of the program.
func mustParseScenario(text string) *membershipScenario {
	scenario, err := parseScenario(text)
	if err != nil {
		panic(err) // the text is part of the program
	}
	return scenario
}

// lineWriter calls a function with each complete line.
type lineWriter struct {
	rest []byte // incomplete last line
	line func(string)
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.rest = append(w.rest, b...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 {
			return len(b), nil
		}
		w.line(string(w.rest[:i]))
		w.rest = w.rest[i+1:]
	}
}

// settleTime is the time before the faults start for isolated gateways, which have no fleet that could converge.
const settleTime = 7 * time.Second

// runGatewayArm runs a scenario once. The gateways form a fleet if joined is set, and are isolated otherwise. Pauses of
// processes apply in both cases.
func runGatewayArm(ctx context.Context, scenario gatewayScenario, n int, lossRate float64, seed uint64, program string, joined bool, logs io.Writer) (stats processStats, judge *Judge, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return stats, nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scenario.spec.Rate *= float64(scenario.spec.Gateways) / float64(n) // the total rate stays the same
	scenario.spec.Gateways = n
	harness := newProcessHarness(ctx, scenario.membership, n, lossRate, seed, dir, logs)
	harness.isolated = !joined
	defer harness.network.work.Wait()
	defer cancel()
	if err := harness.prepare(n); err != nil {
		return stats, nil, err
	}
	harness.network.serve()
	o := liveOptions{program: program, operatorTables: func(i int) string { return harness.processes[i].operatorTables },
		logs: func(i int) io.Writer { return &lineWriter{line: func(line string) { harness.readLogLine(i, line) }} }}
	if !joined {
		o.operatorTables = func(int) string { return "" }
	}
	var faults errgroup.Group
	o.onStart = func(l *live) {
		for i, p := range harness.processes {
			p.cmd, p.ended = l.commands[i], make(chan struct{})
		}
		faults.Go(func() error {
			for _, p := range harness.processes {
				harness.mu.Lock()
				p.up = true
				harness.mu.Unlock()
				if joined {
					if err := harness.waitReady(p); err != nil {
						return err
					}
				}
			}
			var err error
			stats, err = harness.run(ctx)
			return err
		})
	}
	judge, err = runLive(ctx, scenario.spec, seed, o)
	if faultsErr := faults.Wait(); err == nil {
		err = faultsErr
	}
	return stats, judge, err
}

// runGateways runs a gateway scenario at each size, loss rate and seed, with joined and with isolated gateways.
func (e *Experiment) runGateways(ctx context.Context, o Options) (*Result, error) {
	spec := e.gateways.spec
	sizes := o.Members
	if len(sizes) == 0 {
		sizes = []int{spec.Gateways}
	}
	r := e.newResult(o, driverProcesses, fmt.Sprintf("%v gateways, %d hosts, %.0f requests/s in all", sizes, spec.Hosts, spec.Rate*float64(spec.Gateways)))
	for _, n := range sizes {
		for _, lossRate := range e.gateways.membership.LossRates {
			variant := memberVariant{n, lossRate}
			totals := gatewayTotals{violations: map[string]float64{}}
			for i := range o.Seeds {
				run, err := e.runGatewaySeed(ctx, variant, o.Seed+uint64(i), o)
				if err != nil {
					return nil, fmt.Errorf("%d gateways, seed %d: %w", n, o.Seed+uint64(i), err)
				}
				totals.add(run, spec, o.Seeds)
				r.Notes = append(r.Notes, run.joined.judge.notes...)
				o.reportProgress(i+1, o.Seeds)
			}
			e.claimGateways(r, variant, &totals, o.Seeds)
			r.Notes = append(r.Notes, totals.members.notes...)
		}
	}
	r.limitNotes()
	return r, nil
}

// gatewayArm is the result of one arm with one seed.
type gatewayArm struct {
	members processStats
	judge   *Judge
}

// gatewayRun is the result of one seed: with joined gateways, which form a fleet, and with isolated gateways.
type gatewayRun struct{ joined, isolated gatewayArm }

// runGatewaySeed runs both arms at the same time.
func (e *Experiment) runGatewaySeed(ctx context.Context, v memberVariant, seed uint64, o Options) (run gatewayRun, err error) {
	work, ctx := errgroup.WithContext(ctx)
	start := func(arm *gatewayArm, joined bool) {
		work.Go(func() (err error) {
			arm.members, arm.judge, err = runGatewayArm(ctx, *e.gateways, v.members, v.lossRate, seed, o.Program, joined, o.Logs)
			return err
		})
	}
	start(&run.isolated, false)
	start(&run.joined, true)
	err = work.Wait()
	return run, err
}

// gatewayTotals sums the runs of one variant.
type gatewayTotals struct {
	runs             int
	members          processStats // of the joined gateways
	violations       map[string]float64
	joined, isolated gatewayArmTotals
}

// gatewayArmTotals sums the runs of one arm.
type gatewayArmTotals struct {
	requested, earned float64 // priority weight
	residentMB        float64 // mean
	lateResponses     float64
}

// add adds the results of one of several seeds.
func (t *gatewayTotals) add(run gatewayRun, spec Spec, seeds int) {
	members := run.joined.members
	t.members.falseVerdicts += members.falseVerdicts
	t.members.changes += members.changes
	t.members.notes = append(t.members.notes, members.notes...)
	if t.runs == 0 || members.excusedVerdicts < t.members.excusedVerdicts {
		t.members.excusedVerdicts = members.excusedVerdicts
	}
	t.members.healSeconds = max(t.members.healSeconds, members.healSeconds)
	t.members.maxBudgetShare = max(t.members.maxBudgetShare, members.maxBudgetShare)
	for name, n := range run.joined.judge.violations() {
		t.violations[name] += n
	}
	t.joined.add(run.joined, spec, seeds)
	t.isolated.add(run.isolated, spec, seeds)
	t.runs++
}

// add adds the results of one of several seeds.
func (t *gatewayArmTotals) add(arm gatewayArm, spec Spec, seeds int) {
	_, requested, earned := arm.judge.earnedWeight(epoch, epoch+spec.Length-3*sec) // the longest deadline is 2.5 s
	t.requested += requested
	t.earned += earned
	t.lateResponses += float64(arm.judge.lateResponses)
	resident := arm.members.residentMB
	if resident == 0 { // the run ended before the processes were measured
		resident = math.NaN()
	}
	t.residentMB += resident / float64(seeds)
}

// earnedFraction is the earned fraction of the requested priority weight.
func (t *gatewayArmTotals) earnedFraction() float64 { return t.earned / t.requested }

// claimGateways adds the claims and figures of one variant.
func (e *Experiment) claimGateways(r *Result, v memberVariant, t *gatewayTotals, seeds int) {
	prefix := v.prefix("gateways")
	r.claimNoViolations(prefix, t.violations)
	r.claimMemberVerdicts(prefix, v, t.members, seeds)
	r.addClaim(prefix+"verdicts across the cut, which show that it was one, least day", float64(t.members.excusedVerdicts), ">=", float64(v.members))
	r.addClaim(prefix+"s until all views are the living, worst day", t.members.healSeconds, "<=", time.Duration(e.gateways.membership.HealTimeout).Seconds())
	r.addClaim(prefix+"worth, over that without knowing each other", t.joined.earnedFraction()/t.isolated.earnedFraction(), ">=", 0.99)
	r.addClaim(prefix+"MB more resident, on the mean", t.joined.residentMB-t.isolated.residentMB, "<=", 3)
	for suffix, arm := range map[string]*gatewayArmTotals{"": &t.joined, "_off": &t.isolated} {
		r.Figures[v.figure("worth"+suffix)] = arm.earnedFraction()
		r.Figures[v.figure("resident_mb"+suffix)] = arm.residentMB
		r.Figures[v.figure("late_answers"+suffix)] = arm.lateResponses
	}
}
