package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"time"
)

// processStats are the results of one run with processes.
type processStats struct {
	falseVerdicts, divergedViews int
	healSeconds                  float64 // s from the end of the last fault until all views were the living; the bound if they never were
	maxBudgetShare               float64 // of a common budget that all may use, at most
	detectionSeconds             float64 // s until all others know of a crash; 0: none
	changes                      int
	excusedVerdicts              int     // verdicts on the living that were to be expected
	bytesPerSecond               float64 // a second and member, over the day
	residentMB                   float64 // MB a process, at the end
	notes                        []string
}

// runProcessScenario runs a scenario once. All processes have ended when it returns.
func runProcessScenario(ctx context.Context, d *membershipScenario, n int, loss float64, seed uint64, program func(file string) *exec.Cmd, logs io.Writer) (x processStats, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return x, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	r := newProcessHarness(ctx, d, n, loss, seed, dir, logs)
	r.command = program
	defer func() {
		for _, p := range r.processes {
			p.kill()
		}
		cancel()
		r.network.work.Wait()
	}()
	if err := r.prepare(n); err != nil {
		return x, err
	}
	r.network.serve()
	for _, p := range r.processes {
		if err := r.launch(p); err != nil {
			return x, err
		}
	}
	return r.run(ctx)
}

// runProcesses runs a membership scenario with real processes at each size, with each loss rate and seed.
func (e *Experiment) runProcesses(ctx context.Context, o Options) (*Result, error) {
	d := e.membership
	sizes := o.Members
	if len(sizes) == 0 {
		sizes = []int{7}
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "processes", Version: o.Version,
		Size: fmt.Sprintf("%v members", sizes), Machine: fmt.Sprintf("%d cores", runtime.NumCPU()),
		Figures: map[string]float64{}, Series: map[string][]float64{}}
	program := func(file string) *exec.Cmd { return exec.Command(o.Program, "--operator", file) }
	for _, n := range sizes {
		for _, loss := range d.LossRates {
			var sum processStats
			for i := range o.Seeds {
				x, err := runProcessScenario(ctx, d, n, loss, o.Seed+uint64(i), program, o.Logs)
				if err != nil {
					return nil, fmt.Errorf("%d members, loss %.0f%%, seed %d: %w", n, loss*100, o.Seed+uint64(i), err)
				}
				sum.falseVerdicts, sum.changes, sum.notes = sum.falseVerdicts+x.falseVerdicts, sum.changes+x.changes, append(sum.notes, x.notes...)
				sum.healSeconds, sum.maxBudgetShare, sum.detectionSeconds = max(sum.healSeconds, x.healSeconds), max(sum.maxBudgetShare, x.maxBudgetShare), max(sum.detectionSeconds, x.detectionSeconds)
				sum.bytesPerSecond, sum.residentMB = max(sum.bytesPerSecond, x.bytesPerSecond), max(sum.residentMB, x.residentMB)
				if o.Progress != nil {
					o.Progress(i+1, o.Seeds)
				}
			}
			p := fmt.Sprintf("%d processes, loss %.0f%%: ", n, loss*100)
			key := func(name string) string { return fmt.Sprintf("%s_%d_loss_%.0f", name, n, loss*100) }
			r.addClaim(p+"live members held as failed", float64(sum.falseVerdicts), "==", 0)
			r.addClaim(p+"of a budget that all may use together, at most", sum.maxBudgetShare, "<=", 1+1e-9)
			r.addClaim(p+"news that were seen of them", float64(sum.changes), ">=", float64(n*(n-1)*o.Seeds))
			if d.HealTimeout > 0 {
				r.addClaim(p+"s until all views are the living, worst day", sum.healSeconds, "<=", time.Duration(d.HealTimeout).Seconds())
			}
			if d.ClaimsDetection {
				r.addClaim(p+"s until all know of a crash, worst day", sum.detectionSeconds, "<=", map[bool]float64{true: 5, false: 8}[loss == 0])
			}
			r.Figures[key("bytes_a_second")], r.Figures[key("resident_mb")] = sum.bytesPerSecond, sum.residentMB
			r.Notes = append(r.Notes, sum.notes...)
		}
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	return r, nil
}
