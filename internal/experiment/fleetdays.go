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

// fleetDay is an experiment on a whole fleet whose hosts have room for few connections: what is harmless in one
// gateway may be harmful in all. It is held against the same module in gateways that keep connections as if each were
// the only one.
type fleetDay struct {
	from, to float64 // seconds of the trouble
	faults   []Fault
}

var fleetKinds = map[string]struct {
	about string
	fleetDay
}{
	"calm": {"half as much again is asked for 4 s", fleetDay{6, 10, []Fault{{Kind: Burst, At: 6 * sec, For: 4 * sec}}}},
	"herd": {"seven in ten gateways are killed at once, and one host of eight is slow", fleetDay{8, 12, []Fault{
		{Kind: Kill, Share: 0.7, At: 8 * sec, For: 2 * sec}, {Kind: Slow, Share: 0.125, At: 4 * sec, For: 20 * sec}}}},
	"zone": {"a zone dies for 5 s and returns cold", fleetDay{8, 15, []Fault{{Kind: Crash, Zone: "nuernberg", At: 8 * sec, For: 5 * sec}}}},
	"join": {"six in ten hosts are replaced within 7 s", fleetDay{6, 16, []Fault{{Kind: Replace, Share: 0.6, At: 6 * sec, For: 7 * sec}}}},
	"roll": {"half of the hosts are replaced while all gateways are restarted, a tenth at a time", fleetDay{4, 18, []Fault{
		{Kind: Replace, Share: 0.5, At: 4 * sec, For: 11 * sec}, {Kind: Restart, At: 3 * sec, For: 14 * sec}}}},
	"split": {"a fifth of the hosts fall silent for 6 s, and discovery with them", fleetDay{8, 16, []Fault{
		{Kind: Silent, Share: 0.2, At: 8 * sec, For: 6 * sec}, {Kind: Deaf, At: 8 * sec, For: 8 * sec}}}},
}

// hostRoom is what the hosts of fleet days hold: half of what they do elsewhere, near where it binds 300 gateways.
const hostRoom = 200

func init() {
	Experiments = append(Experiments, Experiment{Name: "fleet-soak", long: true,
		About: "45 minutes in which hosts are replaced and gateways killed all the time: nothing of them may be kept"})
	for _, name := range []string{"calm", "herd", "zone", "join", "roll", "split"} {
		for _, mass := range []bool{false, true} {
			k := fleetKinds[name]
			e := Experiment{Name: "fleet-" + name, About: k.about, fleet: &k.fleetDay, loads: []float64{0.5},
				spec: func(short bool) Spec {
					s := day(28*sec, k.faults...)
					s.Hosts, s.Groups, s.Gateways, s.Rate, s.Room = 60, 18, 80, 11, hostRoom
					switch {
					case mass:
						s.Hosts, s.Groups, s.Gateways = 120, 36, 300
					case short:
						s.Hosts, s.Groups, s.Gateways, s.Room = 20, 6, 40, 60
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

// ran sums what all gateways of some days did together.
type ran struct {
	asked, earned, allowed   float64 // worth, from the trouble to the end
	before, after            float64 // shares of worth earned before the trouble, and in 5 s near the end
	connects, noRoom, probes float64
	attempts, first, primary float64 // all; first ones; first ones at primaries
	asks, tries              float64
	fullest                  float64 // connections at one host at one moment, at most
	days                     float64
}

func (r *ran) add(f *fleet, k *fleetDay) {
	j, end := f.judge, epoch+f.Length
	at := func(x float64) time.Duration { return epoch + time.Duration(x*float64(sec)) }
	asked, earned, allowed := j.worth(at(k.from), end-2*sec)
	r.asked, r.earned, r.allowed = r.asked+asked, r.earned+earned, r.allowed+allowed
	_, asked, earned = j.earned(at(2), at(min(k.from, 6)))
	r.before += earned / asked
	_, asked, earned = j.earned(end-7*sec, end-2*sec)
	r.after += earned / asked
	r.connects, r.noRoom, r.probes = r.connects+float64(j.connects), r.noRoom+float64(j.noRoom), r.probes+float64(j.probes)
	for _, t := range j.attempts {
		if r.attempts++; t.first {
			if r.first++; !t.replica {
				r.primary++
			}
		}
	}
	for _, a := range j.asks {
		r.asks, r.tries = r.asks+1, r.tries+float64(a.tries)
	}
	r.fullest = max(r.fullest, float64(j.fullest))
	r.days++
}

// runFleet plays a fleet day with each seed, before and now.
func (e *Experiment) runFleet(ctx context.Context, o Options) (*Result, error) {
	s := e.spec(o.Short)
	s.Load, s.Break = e.loads[0], o.Break
	if o.Break == OldReads {
		s.Guards = routing.StaleReadServed // hosts that check would hide it
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "virtual", Version: o.Version,
		Size: fmt.Sprintf("%d hosts with room for %d connections, %d groups, %d gateways, %.0f requests/s each, load %.1f",
			s.Hosts, s.Room, s.Groups, s.Gateways, s.Rate, s.Load),
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
				if x.KeepAs = 1; arm == 1 {
					x.KeepAs = 0
				}
				f := newFleet(x, o.Seed+uint64(i))
				f.run(epoch + s.Length)
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
	var was, now ran
	var series [2][][]float64
	for _, d := range days {
		was.add(d[0], e.fleet)
		now.add(d[1], e.fleet)
		for arm, f := range d {
			series[arm] = append(series[arm], f.judge.series())
		}
		for name, n := range d[1].judge.rules() {
			broken[name] += n
		}
		r.Notes = append(r.Notes, d[1].judge.notes...)
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	for _, name := range ruleNames {
		r.claim(strings.ReplaceAll(name, "_", " "), broken[name], "==", 0)
	}
	for arm, x := range map[string]*ran{"": &now, "_before": &was} {
		r.Figures["worth_of_allowed"+arm] = x.earned / x.allowed
		r.Figures["worth_of_asked"+arm] = x.earned / x.asked
		r.Figures["worth_near_end"+arm] = x.after / x.days
		r.Figures["worth_at_first"+arm] = x.before / x.days
		r.Figures["connects_an_attempt"+arm] = x.connects / x.attempts
		r.Figures["no_room_an_attempt"+arm] = x.noRoom / x.attempts
		r.Figures["probes_a_request"+arm] = x.probes / x.asks
		r.Figures["attempts_a_request"+arm] = x.attempts / x.asks
		r.Figures["tries_a_request"+arm] = x.tries / x.asks
		r.Figures["first_attempts_at_primaries"+arm] = x.primary / x.first
		r.Figures["connections_at_a_host_most"+arm] = x.fullest
	}
	r.claim("worth from the trouble on, over gateways that keep connections as if each were alone", now.earned/was.earned, ">=", 0.99)
	r.claim("worth near the end, of that before the trouble", now.after/now.before, ">=", 0.95)
	r.claim("attempts that found no room for a connection", now.noRoom/now.attempts, "<=", 0.02)
	r.Series["before"], r.Series["now"] = mean(series[0]), mean(series[1])
	return r, nil
}
