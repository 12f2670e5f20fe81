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

// gatewayDay has real gateways know each other before modelled hosts and clients, while messages between them are lost and
// cut and hosts start cold.
type gatewayDay struct {
	spec    Spec
	members *memberDay
}

// gatewayDays are played with processes alone.
var gatewayDays = []struct {
	name string
	gatewayDay
}{
	{"gateways-cut", gatewayDay{
		spec: Spec{Zones: threeZones, Hosts: 12, Groups: 4, Gateways: 7, Rate: 30, Load: 0.5, Length: 32 * sec, Guards: routing.StaleReadDelayed,
			Faults: []Fault{{Kind: Crash, Zone: "nuernberg", At: 10 * sec, For: 4 * sec}}},
		members: mustDay(`
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
	for i := range gatewayDays {
		d := &gatewayDays[i]
		Experiments = append(Experiments, Experiment{Name: d.name, About: d.members.About, gateways: &d.gatewayDay})
	}
}

func mustDay(text string) *memberDay {
	d, err := readDay(text)
	if err != nil {
		panic(err) // it is part of the program
	}
	return d
}

// lineWriter hands on whole lines.
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

// settles is the time that members have to find each other before the faults, where there are none of them.
const settles = 7 * time.Second

// playGateways plays a day once, with the gateways knowing each other or not. Processes stand still in both.
func playGateways(ctx context.Context, d gatewayDay, n int, loss float64, seed uint64, program string, on bool, logs io.Writer) (x processFigures, j *Judge, err error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return x, nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.spec.Rate *= float64(d.spec.Gateways) / float64(n) // the clients are the same
	d.spec.Gateways = n
	r := newRig(ctx, d.members, n, loss, seed, dir, logs)
	r.off = !on
	defer r.net.work.Wait()
	defer cancel()
	if err := r.prepare(n); err != nil {
		return x, nil, err
	}
	r.net.serve()
	o := liveOptions{program: program, operator: func(i int) string { return r.procs[i].tables },
		logs: func(i int) io.Writer { return &lineWriter{line: func(line string) { r.read(i, line) }} }}
	if !on {
		o.operator = func(int) string { return "" }
	}
	var play errgroup.Group
	o.begins = func(l *live) {
		for i, p := range r.procs {
			p.cmd, p.ended = l.programs[i], make(chan struct{})
		}
		play.Go(func() error {
			for _, p := range r.procs {
				r.mu.Lock()
				p.up = true
				r.mu.Unlock()
				if on {
					if err := r.greet(p); err != nil {
						return err
					}
				}
			}
			var err error
			x, err = r.play(ctx)
			return err
		})
	}
	j, err = playLiveWith(ctx, d.spec, seed, o)
	if perr := play.Wait(); err == nil {
		err = perr
	}
	return x, j, err
}

// runGateways plays a day at each size and seed, with the gateways knowing each other and not.
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
		for _, loss := range d.members.Losses {
			var sum processFigures
			var earned, asked [2]float64
			var resident, late [2]float64
			broken := map[string]float64{}
			for i := range o.Seeds {
				var arms [2]processFigures
				var judges [2]*Judge
				work, ctx := errgroup.WithContext(ctx)
				for arm := range arms {
					work.Go(func() (err error) {
						arms[arm], judges[arm], err = playGateways(ctx, d, n, loss, o.Seed+uint64(i), o.Program, arm == 1, o.Logs)
						return err
					})
				}
				if err := work.Wait(); err != nil {
					return nil, fmt.Errorf("%d gateways, seed %d: %w", n, o.Seed+uint64(i), err)
				}
				on := arms[1]
				sum.lies, sum.changes, sum.notes = sum.lies+on.lies, sum.changes+on.changes, append(sum.notes, on.notes...)
				if i == 0 || on.excused < sum.excused {
					sum.excused = on.excused
				}
				sum.healed, sum.parts = max(sum.healed, on.healed), max(sum.parts, on.parts)
				for name, k := range judges[1].rules() {
					broken[name] += k
				}
				for arm, j := range judges {
					_, want, got := j.earned(epoch, epoch+d.spec.Length-3*sec) // the longest deadline is 2.5 s
					asked[arm], earned[arm] = asked[arm]+want, earned[arm]+got
					late[arm] += float64(j.late)
					if arms[arm].resident == 0 { // the day was over before the processes were looked at
						arms[arm].resident = math.NaN()
					}
					resident[arm] += arms[arm].resident / float64(o.Seeds)
				}
				r.Notes = append(r.Notes, judges[1].notes...)
				if o.Progress != nil {
					o.Progress(i+1, o.Seeds)
				}
			}
			p := fmt.Sprintf("%d gateways, loss %.0f%%: ", n, loss*100)
			key := func(name string) string { return fmt.Sprintf("%s_%d_loss_%.0f", name, n, loss*100) }
			for _, name := range ruleNames {
				r.claim(p+strings.ReplaceAll(name, "_", " "), broken[name], "==", 0)
			}
			r.claim(p+"live members held as failed", float64(sum.lies), "==", 0)
			r.claim(p+"of a budget that all may use together, at most", sum.parts, "<=", 1+1e-9)
			r.claim(p+"news that were seen of them", float64(sum.changes), ">=", float64(n*(n-1)*o.Seeds))
			r.claim(p+"verdicts across the cut, which show that it was one, least day", float64(sum.excused), ">=", float64(n))
			r.claim(p+"s until all views are the living, worst day", sum.healed, "<=", time.Duration(d.members.Heal).Seconds())
			r.claim(p+"worth, over that without knowing each other", (earned[1]/asked[1])/(earned[0]/asked[0]), ">=", 0.99)
			r.claim(p+"MB more resident, on the mean", resident[1]-resident[0], "<=", 3)
			r.Figures[key("worth")], r.Figures[key("worth_off")] = earned[1]/asked[1], earned[0]/asked[0]
			r.Figures[key("resident_mb")], r.Figures[key("resident_mb_off")] = resident[1], resident[0]
			r.Figures[key("late_answers")], r.Figures[key("late_answers_off")] = late[1], late[0]
			r.Notes = append(r.Notes, sum.notes...)
		}
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	return r, nil
}
