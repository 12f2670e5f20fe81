package experiment

import (
	"context"
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"time"
)

// ramp is what one host was sent by all gateways since it last started.
type ramp struct {
	calls   []call
	life    int
	started map[*gateway]time.Duration // the start that each gateway was told of
	// The greatest excess of a window over N + 2 root of N + 2 requests of mean work, of all that came, and of windows of
	// which two thirds came from gateways that had been told of the start; and what that window held.
	excess, told float64
	most         string
}

// call is one attempt or probe that came to a cold host.
type call struct {
	at   time.Duration
	work float64 // over the mean work of a request; 1 for any attempt, as its work is chance
	told bool
}

// chance is what may be sent beyond a budget of n calls and be put down to chance.
func chance(n float64) float64 { return 2*math.Sqrt(n) + 2 }

func (j *Judge) ramp(h *host) *ramp {
	r := j.ramps[h]
	if r == nil {
		r = &ramp{started: map[*gateway]time.Duration{}, excess: math.Inf(-1), told: math.Inf(-1)}
		j.ramps[h] = r
	}
	return r
}

// knows notes the start that a gateway has been told of.
func (j *Judge) knows(g *gateway, h *host, started time.Duration) {
	if h != nil && started > 0 {
		j.ramp(h).started[g] = started
	}
}

// cold counts an attempt, of work 1, or a probe, of the part of a request's work that it costs, at a host that may be cold.
func (j *Judge) cold(h *host, g *gateway, work float64) {
	if h.started == 0 || h.speed() >= 1 || h.slow {
		return
	}
	r := j.ramp(h)
	if r.life != h.life {
		r.life, r.calls = h.life, nil
	}
	r.calls = slices.DeleteFunc(r.calls, func(c call) bool { return c.at <= j.f.now-tipAfter })
	r.calls = append(r.calls, call{j.f.now, work, r.started[g] == h.started})
	all, told := 0.0, 0.0
	for _, c := range r.calls {
		if all += c.work; c.told {
			told += c.work
		}
	}
	n := tipMultiple * h.speed() * cores * tipAfter.Seconds() / j.f.meanWork()
	over := all - n - chance(n)
	if told > all*2/3 && over > r.told {
		r.told = over
	}
	if over > r.excess {
		r.excess = over
		r.most = fmt.Sprintf("%s: %.1f calls (%.1f of gateways that were told) within %v, %.1f s after its start, N %.1f",
			h.id, all, told, tipAfter, (j.f.now - h.started).Seconds(), n)
	}
}

// rampExcess is the greatest excess over all hosts: of all that came, and of what gateways sent that had been told.
func (j *Judge) rampExcess() (excess, told float64, most string) {
	excess, told = math.Inf(-1), math.Inf(-1)
	for _, r := range j.ramps {
		if r.excess > excess {
			excess, most = r.excess, r.most
		}
		told = max(told, r.told)
	}
	return excess, told, most
}

// rampDays are days with cold hosts before 20 or 30 gateways, by name: a share of these starts anew just before. The first
// host of a group is its primary; one that is back before another is elected gets all the group's writes, cold as it is.
var rampDays = map[string][]Fault{
	"one":   {rampKill, rampCrash(0, 12, 2500)},
	"two":   {rampKill, rampCrash(0, 12, 2500), rampCrash(4, 12, 2500)},
	"again": {rampKill, rampCrash(0, 12, 2500), rampCrash(0, 18, 2000)},
	"elect": {rampKill, rampCrash(1, 12, 2500), rampCrash(2, 12, 2500), rampCrash(3, 12, 2500), rampCrash(0, 15, 12000)},
	"join":  {rampKill, {Kind: Replace, Share: 0.6, At: 6 * sec, For: 9 * sec}},
}

// rampKill has two gateways of five start anew half a second after hosts have.
var rampKill = Fault{Kind: Kill, Share: 0.4, At: 14 * sec, For: sec}

func rampCrash(host, at, ms int) Fault {
	return Fault{Kind: Crash, Number: host + 1, At: time.Duration(at) * sec, For: time.Duration(ms) * time.Millisecond}
}

// rampSpec is such a day.
func rampSpec(gateways int, faults []Fault, b Break) Spec {
	s := day(28*sec, faults...)
	s.Hosts, s.Groups, s.Gateways, s.Load, s.Break = 10, 3, gateways, 0.85, b
	s.Rate = 240 / float64(gateways) * s.Load // hosts that take some tens of requests a second
	s.Uneven, s.Bear = true, true
	return s
}

func init() {
	Experiments = append(Experiments, Experiment{Name: "fleet-ramp", ramp: true,
		About: "20 and 30 uneven gateways, some of them new, before hosts that start: what all send each is held against its budget"})
}

// runRamp plays each day of cold hosts with both fleets and each seed.
func (e *Experiment) runRamp(ctx context.Context, o Options) (*Result, error) {
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "virtual", Version: o.Version,
		Size:    "10 hosts, 3 groups, 20 and 30 gateways, 204 requests/s, load 0.85",
		Machine: fmt.Sprintf("%d cores", runtime.NumCPU()), Figures: map[string]float64{}, Series: map[string][]float64{}}
	names := slices.Sorted(maps.Keys(rampDays))
	for _, name := range names {
		worst, told, most := math.Inf(-1), math.Inf(-1), ""
		for i := range o.Seeds * 2 {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			f := newFleet(rampSpec(20+10*(i%2), rampDays[name], o.Break), o.Seed+uint64(i/2))
			f.run(epoch + f.Length)
			all, of, what := f.judge.rampExcess()
			if told = max(told, of); all > worst {
				worst, most = all, fmt.Sprintf("%s, seed %d, %d gateways: %s", name, o.Seed+uint64(i/2), f.Gateways, what)
			}
		}
		r.claim(name+": calls over N + 2 root of N + 2 in the fullest window", worst, "<=", 0)
		r.Figures["excess_"+name], r.Figures["excess_told_"+name] = worst, told
		r.Notes = append(r.Notes, most)
	}
	return r, nil
}
