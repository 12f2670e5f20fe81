package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/routing"
)

// gatewayScenario runs real gateways that know each other in front of modelled hosts and clients, while messages
// between gateways are lost and hosts start.
type gatewayScenario struct {
	spec    Spec
	members *membershipScenario
}

// gatewayScenarios run with processes only.
var gatewayScenarios = []struct {
	name string
	gatewayScenario
}{
	{"gateways-cut", gatewayScenario{
		spec: Spec{Zones: threeZones, Hosts: 12, Groups: 4, Gateways: 7, Rate: 30, Load: 0.5, Length: 32 * sec, StaleReads: routing.StaleReadDelayed,
			Faults: []Fault{{Kind: Crash, Zone: "nuernberg", At: 10 * sec, Duration: 4 * sec}}},
		members: mustParseScenario(`
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
		d := &gatewayScenarios[i]
		Experiments = append(Experiments, Experiment{Name: d.name, About: d.members.About, gateways: &d.gatewayScenario})
	}
}

// mustParseScenario parses a scenario that is part of the program.
func mustParseScenario(text string) *membershipScenario {
	d, err := parseScenario(text)
	if err != nil {
		panic(err) // it is part of the program
	}
	return d
}

// lineWriter calls a function with each complete line.
type lineWriter struct {
	rest []byte
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

// settleTime is the time before the faults for gateways that do not know each other, in place of convergence.
const settleTime = 7 * time.Second

// runGatewayArm runs a scenario once, with the gateways knowing each other or not. Pauses of processes apply to both.
func runGatewayArm(ctx context.Context, d gatewayScenario, n int, loss float64, seed uint64, program string, on bool, logs io.Writer) (x processStats, j *Judge, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return x, nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.spec.Rate *= float64(d.spec.Gateways) / float64(n) // the clients are the same
	d.spec.Gateways = n
	r := newProcessHarness(ctx, d.members, n, loss, seed, dir, logs)
	r.isolated = !on
	defer r.network.work.Wait()
	defer cancel()
	if err := r.prepare(n); err != nil {
		return x, nil, err
	}
	r.network.serve()
	o := liveOptions{program: program, operatorTables: func(i int) string { return r.processes[i].operatorTables },
		logs: func(i int) io.Writer { return &lineWriter{line: func(line string) { r.readLogLine(i, line) }} }}
	if !on {
		o.operatorTables = func(int) string { return "" }
	}
	var play errgroup.Group
	o.onStart = func(l *live) {
		for i, p := range r.processes {
			p.cmd, p.ended = l.commands[i], make(chan struct{})
		}
		play.Go(func() error {
			for _, p := range r.processes {
				r.mu.Lock()
				p.up = true
				r.mu.Unlock()
				if on {
					if err := r.waitReady(p); err != nil {
						return err
					}
				}
			}
			var err error
			x, err = r.run(ctx)
			return err
		})
	}
	j, err = runLive(ctx, d.spec, seed, o)
	if perr := play.Wait(); err == nil {
		err = perr
	}
	return x, j, err
}

// runGateways runs a gateway scenario at each size, loss rate and seed, with the gateways knowing each other and not.
func (e *Experiment) runGateways(ctx context.Context, o Options) (*Result, error) {
	d := *e.gateways
	sizes := o.Members
	if len(sizes) == 0 {
		sizes = []int{d.spec.Gateways}
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "processes", Version: o.Version,
		Size:    fmt.Sprintf("%v gateways, %d hosts, %.0f requests/s in all", sizes, d.spec.Hosts, d.spec.Rate*float64(d.spec.Gateways)),
		Machine: fmt.Sprintf("%d cores", runtime.NumCPU()), Figures: map[string]float64{}, Series: map[string][]float64{}}
	for _, n := range sizes {
		for _, loss := range d.members.LossRates {
			var sum processStats
			var earned, asked [2]float64
			var resident, late [2]float64
			broken := map[string]float64{}
			for i := range o.Seeds {
				var arms [2]processStats
				var judges [2]*Judge
				work, ctx := errgroup.WithContext(ctx)
				for arm := range arms {
					work.Go(func() (err error) {
						arms[arm], judges[arm], err = runGatewayArm(ctx, d, n, loss, o.Seed+uint64(i), o.Program, arm == 1, o.Logs)
						return err
					})
				}
				if err := work.Wait(); err != nil {
					return nil, fmt.Errorf("%d gateways, seed %d: %w", n, o.Seed+uint64(i), err)
				}
				on := arms[1]
				sum.falseVerdicts, sum.changes, sum.notes = sum.falseVerdicts+on.falseVerdicts, sum.changes+on.changes, append(sum.notes, on.notes...)
				if i == 0 || on.excusedVerdicts < sum.excusedVerdicts {
					sum.excusedVerdicts = on.excusedVerdicts
				}
				sum.healSeconds, sum.maxBudgetShare = max(sum.healSeconds, on.healSeconds), max(sum.maxBudgetShare, on.maxBudgetShare)
				for name, k := range judges[1].violations() {
					broken[name] += k
				}
				for arm, j := range judges {
					_, want, got := j.earnedWeight(epoch, epoch+d.spec.Length-3*sec) // the longest deadline is 2.5 s
					asked[arm], earned[arm] = asked[arm]+want, earned[arm]+got
					late[arm] += float64(j.lateResponses)
					if arms[arm].residentMB == 0 { // the day was over before the processes were looked at
						arms[arm].residentMB = math.NaN()
					}
					resident[arm] += arms[arm].residentMB / float64(o.Seeds)
				}
				r.Notes = append(r.Notes, judges[1].notes...)
				if o.Progress != nil {
					o.Progress(i+1, o.Seeds)
				}
			}
			p := fmt.Sprintf("%d gateways, loss %.0f%%: ", n, loss*100)
			key := func(name string) string { return fmt.Sprintf("%s_%d_loss_%.0f", name, n, loss*100) }
			for _, name := range violationNames {
				r.addClaim(p+strings.ReplaceAll(name, "_", " "), broken[name], "==", 0)
			}
			r.addClaim(p+"live members held as failed", float64(sum.falseVerdicts), "==", 0)
			r.addClaim(p+"of a budget that all may use together, at most", sum.maxBudgetShare, "<=", 1+1e-9)
			r.addClaim(p+"news that were seen of them", float64(sum.changes), ">=", float64(n*(n-1)*o.Seeds))
			r.addClaim(p+"verdicts across the cut, which show that it was one, least day", float64(sum.excusedVerdicts), ">=", float64(n))
			r.addClaim(p+"s until all views are the living, worst day", sum.healSeconds, "<=", time.Duration(d.members.HealTimeout).Seconds())
			r.addClaim(p+"worth, over that without knowing each other", (earned[1]/asked[1])/(earned[0]/asked[0]), ">=", 0.99)
			r.addClaim(p+"MB more resident, on the mean", resident[1]-resident[0], "<=", 3)
			r.Figures[key("worth")], r.Figures[key("worth_off")] = earned[1]/asked[1], earned[0]/asked[0]
			r.Figures[key("resident_mb")], r.Figures[key("resident_mb_off")] = resident[1], resident[0]
			r.Figures[key("late_answers")], r.Figures[key("late_answers_off")] = late[1], late[0]
			r.Notes = append(r.Notes, sum.notes...)
		}
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	return r, nil
}
