package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"
)

// processStats are the results of one run with processes.
type processStats struct {
	falseVerdicts, divergedViews int
	healSeconds                  float64 // from the end of the last fault until all views had converged; processTimeout if never
	maxBudgetShare               float64 // maximum of the sum of all shares of a budget
	detectionSeconds             float64 // until all other members have detected a crash; 0: no crash
	changes                      int     // state changes that the harness has read
	excusedVerdicts              int     // expected verdicts on running members
	bytesPerSecond               float64 // per member, over the whole run
	residentMB                   float64 // per process, at the end
	notes                        []string
}

// runProcessScenario runs a scenario once. All processes have ended when it returns.
func runProcessScenario(ctx context.Context, scenario *membershipScenario, n int, lossRate float64, seed uint64, command func(file string) *exec.Cmd, logs io.Writer) (stats processStats, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return stats, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	harness := newProcessHarness(ctx, scenario, n, lossRate, seed, dir, logs)
	harness.command = command
	defer func() {
		for _, p := range harness.processes {
			p.kill()
		}
		cancel()
		harness.network.work.Wait()
	}()
	if err := harness.prepare(n); err != nil {
		return stats, err
	}
	harness.network.serve()
	for _, p := range harness.processes {
		if err := harness.launch(p); err != nil {
			return stats, err
		}
	}
	return harness.run(ctx)
}

// runProcesses runs a membership scenario with real processes at each size, with each loss rate and seed.
func (e *Experiment) runProcesses(ctx context.Context, o Options) (*Result, error) {
	sizes := o.Members
	if len(sizes) == 0 {
		sizes = []int{7}
	}
	r := e.newResult(o, driverProcesses, fmt.Sprintf("%v members", sizes))
	command := func(file string) *exec.Cmd { return exec.Command(o.Program, "--operator", file) }
	for _, n := range sizes {
		for _, lossRate := range e.membership.LossRates {
			variant := memberVariant{n, lossRate}
			var totals processStats
			for i := range o.Seeds {
				seed := o.Seed + uint64(i)
				stats, err := runProcessScenario(ctx, e.membership, n, lossRate, seed, command, o.Logs)
				if err != nil {
					return nil, fmt.Errorf("%d members, loss %.0f%%, seed %d: %w", n, lossRate*100, seed, err)
				}
				totals.add(stats)
				o.reportProgress(i+1, o.Seeds)
			}
			e.claimProcesses(r, variant, totals, o.Seeds)
			r.Notes = append(r.Notes, totals.notes...)
		}
	}
	r.limitNotes()
	return r, nil
}

// add adds the results of one run: counts are summed, and of all other results the maximum is taken.
func (s *processStats) add(run processStats) {
	s.falseVerdicts += run.falseVerdicts
	s.changes += run.changes
	s.notes = append(s.notes, run.notes...)
	s.healSeconds = max(s.healSeconds, run.healSeconds)
	s.maxBudgetShare = max(s.maxBudgetShare, run.maxBudgetShare)
	s.detectionSeconds = max(s.detectionSeconds, run.detectionSeconds)
	s.bytesPerSecond = max(s.bytesPerSecond, run.bytesPerSecond)
	s.residentMB = max(s.residentMB, run.residentMB)
}

// claimProcesses adds the claims and figures of one variant.
func (e *Experiment) claimProcesses(r *Result, v memberVariant, totals processStats, seeds int) {
	prefix := v.prefix("processes")
	r.claimMemberVerdicts(prefix, v, totals, seeds)
	if e.membership.HealTimeout > 0 {
		r.addClaim(prefix+"s until all views are the living, worst day", totals.healSeconds, "<=", time.Duration(e.membership.HealTimeout).Seconds())
	}
	if e.membership.ClaimsDetection {
		r.addClaim(prefix+"s until all know of a crash, worst day", totals.detectionSeconds, "<=", v.maxDetectionSeconds())
	}
	r.Figures[v.figure("bytes_a_second")] = totals.bytesPerSecond
	r.Figures[v.figure("resident_mb")] = totals.residentMB
}

// claimMemberVerdicts claims correct verdicts and budgets, and that the harness has read enough state changes for each
// member to have seen each other member join.
func (r *Result) claimMemberVerdicts(prefix string, v memberVariant, totals processStats, seeds int) {
	r.addClaim(prefix+"live members held as failed", float64(totals.falseVerdicts), "==", 0)
	r.addClaim(prefix+"of a budget that all may use together, at most", totals.maxBudgetShare, "<=", maxTotalShare)
	r.addClaim(prefix+"news that were seen of them", float64(totals.changes), ">=", float64(v.members*(v.members-1)*seeds))
}
