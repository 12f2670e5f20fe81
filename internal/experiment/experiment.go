package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// Result is what a run leaves in result.json.
type Result struct {
	Experiment string               `json:"experiment"`
	About      string               `json:"about"`
	Seed       uint64               `json:"seed"`
	Seeds      int                  `json:"seeds"`
	Driver     string               `json:"driver"`
	Version    string               `json:"version"`
	Size       string               `json:"size"`
	Machine    string               `json:"machine"`
	Figures    map[string]float64   `json:"figures"`
	Claims     []Claim              `json:"claims"`
	Series     map[string][]float64 `json:"series,omitempty"` // a value a second, from the day's start
	Faults     []string             `json:"faults,omitempty"`
	Notes      []string             `json:"notes,omitempty"` // what the judge said of broken rules
}

// Claim is one figure held against a bound.
type Claim struct {
	Name     string  `json:"name"`
	Figure   float64 `json:"figure"`
	Relation string  `json:"relation"` // "<=", ">=" or "=="
	Bound    float64 `json:"bound"`
	Holds    bool    `json:"holds"`
}

// claim adds a claim; a figure that is no number holds nothing.
func (r *Result) claim(name string, figure float64, relation string, bound float64) {
	c := Claim{Name: name, Figure: figure, Relation: relation, Bound: bound}
	switch relation {
	case "<=":
		c.Holds = figure <= bound
	case ">=":
		c.Holds = figure >= bound
	case "==":
		c.Holds = figure == bound
	}
	r.Claims = append(r.Claims, c)
}

// Holds says whether all claims hold; without any nothing does.
func (r *Result) Holds() bool {
	return len(r.Claims) > 0 && !slices.ContainsFunc(r.Claims, func(c Claim) bool { return !c.Holds })
}

// Experiment is one that can be asked for by name.
type Experiment struct {
	Name, About string
	zone        string
	spec        func(short bool) Spec
	detect      time.Duration // within which attempts must avoid the zone, 0: not claimed
	loss        float64       // seconds from the start to the loss
	back        float64       // and to the return, 0: not looked at
	returned    bool          // claims the return
	slow        bool          // claims that no zone is condemned
	loads       []float64
	members     *memberDay
	gateways    *gatewayDay
	long        bool      // a long day of which nothing may be left
	ramp        bool      // days of cold hosts
	fleet       *fleetDay // a day of a whole fleet; nil: of a zone
}

var threeZones = []string{"muenchen-nord", "nuernberg", "augsburg"}

// day is a fleet of the size that the operators run, scaled so that a gateway hears 60 requests a second.
func day(length time.Duration, faults ...Fault) Spec {
	return Spec{Zones: threeZones, Hosts: 10, Groups: 3, Gateways: 4, Rate: 60, Length: length, Guards: routing.StaleReadDelayed, Faults: faults}
}

const sec = time.Second

// Experiments are all that can be run.
var Experiments = []Experiment{
	{Name: "zone-loss-silent", About: "a zone falls silent for 15 s: nothing is reset; its hosts come back cold", zone: "nuernberg", loss: 15, back: 30,
		detect: 1500 * time.Millisecond, loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			return day(40*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 15 * sec, For: 15 * sec, Cold: true})
		}},
	{Name: "zone-loss-reset", About: "all hosts of a zone die at once: connections are reset and refused for 15 s", zone: "nuernberg", loss: 15, back: 30,
		detect: 500 * time.Millisecond, loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			return day(40*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 15 * sec, For: 15 * sec})
		}},
	{Name: "zone-flap", About: "a zone falls silent for 3 s and is back for 3 s, five times", zone: "augsburg", loss: 15,
		loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			s := day(60 * sec)
			for i := range 5 {
				s.Faults = append(s.Faults, Fault{Kind: Silent, Zone: "augsburg", At: time.Duration(15+6*i) * sec, For: 3 * sec})
			}
			return s
		}},
	{Name: "zone-return", About: "all hosts of a zone come back at once after 9 s, cold and behind", zone: "nuernberg", loss: 15, back: 24, returned: true,
		loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			return day(60*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 15 * sec, For: 9 * sec})
		}},
	{Name: "zone-return-most", About: "two of each group's three hosts come back at once, cold: the group's work waits for them", zone: "nuernberg", loss: 15, back: 24,
		loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			s := day(40*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 15 * sec, For: 9 * sec})
			s.Hosts, s.Layout = 9, []string{"muenchen-nord", "nuernberg", "nuernberg", "augsburg", "nuernberg", "nuernberg", "muenchen-nord", "nuernberg", "nuernberg"}
			return s
		}},
	{Name: "zone-primary", About: "the zone that holds a primary falls silent, and discovery with it: the list names the old one throughout",
		zone: "muenchen-nord", loss: 15, back: 30, detect: 1500 * time.Millisecond, loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			return day(40*sec, Fault{Kind: Silent, Zone: "muenchen-nord", At: 15 * sec, For: 15 * sec, Cold: true},
				Fault{Kind: Deaf, At: 15 * sec, For: 15 * sec})
		}},
	{Name: "zone-slow", About: "a zone is four times as slow for 15 s, and not lost", zone: "augsburg", loss: 15, slow: true,
		loads: []float64{0.5, 0.7}, spec: func(bool) Spec {
			return day(40*sec, Fault{Kind: Slow, Zone: "augsburg", At: 15 * sec, For: 15 * sec})
		}},
	{Name: "zone-large", About: "a third of 300 hosts behind 60 gateways falls silent", zone: "nuernberg", loss: 10, back: 20, detect: 1500 * time.Millisecond,
		loads: []float64{0.5, 0.7}, spec: func(short bool) Spec {
			s := day(25*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 10 * sec, For: 10 * sec, Cold: true})
			s.Hosts, s.Groups, s.Gateways = 300, 90, 60
			if short {
				s.Hosts, s.Groups, s.Gateways = 60, 18, 12
			}
			return s
		}},
}

// Find finds an experiment by its name.
func Find(name string) (*Experiment, error) {
	var names []string
	for i := range Experiments {
		if Experiments[i].Name == name {
			return &Experiments[i], nil
		}
		names = append(names, Experiments[i].Name)
	}
	return nil, fmt.Errorf("no experiment %q; there are %s", name, strings.Join(names, ", "))
}

// Options say how an experiment is run.
type Options struct {
	Seed     uint64
	Seeds    int // from Seed on
	Short    bool
	Zones    zones.Options // of the arm that is measured; Own is each gateway's
	Break    Break         // a defect made on purpose, which the claims should show
	Members  []int         // sizes of the days of members; none: 10, 80, 300 and 1000
	Progress func(done, all int)
	Version  string

	// Program is the gateway that is measured on sockets, and Before the one that it is held against; empty: the model
	// and the module in virtual time. Logs takes what the programs write.
	Program, Before string
	Logs            io.Writer
}

// arm is one build's way through a day. All arms of a day see the same arrivals, faults and failovers.
type arm struct {
	judge   *Judge
	stated  [3]float64 // part of reads stated for other zones: before, while lost, at the end
	placed  [3]float64
	changes map[string]int // states entered, by zone and state
}

// play runs one day. With zones nil the module acts as it did before there were any.
func play(s Spec, seed uint64, o *zones.Options, marks [3][2]float64) arm {
	if o != nil {
		s.Join = func(c *routing.Config) {
			z := *o
			z.OwnZone = c.Zone
			c.Zones = &z
		}
	}
	f := newFleet(s, seed)
	a := arm{judge: f.judge, changes: map[string]int{}}
	for i, m := range marks {
		for _, end := range m {
			f.run(epoch + time.Duration(end*float64(sec)))
			reads := 0.0
			var stated, placed float64
			for _, g := range f.gateways {
				if z := g.router.Zones(); z != nil {
					for t, x := range z.Metrics() {
						if reads += float64(x.Reads); t > 0 {
							stated, placed = stated+x.ConfiguredShare*float64(x.All), placed+float64(x.Reads)
						}
					}
				}
			}
			a.stated[i], a.placed[i] = stated/max(reads, 1), placed/max(reads, 1)
		}
	}
	f.run(epoch + s.Length)
	for _, g := range f.gateways {
		for _, c := range g.changes {
			a.changes[c]++
		}
	}
	return a
}

// playLive plays one day on sockets, all arms at once: with the program before, with the one that is measured, and
// where the return is claimed with that one while the zone stays away.
func (e *Experiment) playLive(ctx context.Context, s, away Spec, seed uint64, o Options, before, now, stays *arm) error {
	all, ctx := errgroup.WithContext(ctx)
	one := func(s Spec, program, zones string, to *arm) {
		all.Go(func() (err error) {
			to.judge, err = playLive(ctx, s, seed, program, zones, o.Logs, nil)
			return err
		})
	}
	one(s, o.Before, "", before)
	one(s, o.Program, o.table(), now)
	if e.returned {
		one(away, o.Program, o.table(), stays)
	}
	return all.Wait()
}

// table is the options as the operator's file has them.
func (o Options) table() string {
	t := fmt.Sprintf("[zones]\ndetect_only = %v\n", o.Zones.DetectOnly)
	if o.Zones.Overprovision > 0 {
		t += fmt.Sprintf("overprovision = %g\n", o.Zones.Overprovision)
	}
	return t
}

// Run plays an experiment: each day before and now, for each load and seed.
func (e *Experiment) Run(ctx context.Context, o Options) (*Result, error) {
	driver := "virtual"
	if o.Program != "" {
		driver = "sockets"
	}
	if err := o.Zones.Check(); err != nil {
		return nil, err
	}
	if o.Seeds < 1 {
		return nil, fmt.Errorf("%d seeds are too few", o.Seeds)
	}
	switch {
	case (e.fleet != nil || e.long || e.ramp) && o.Program != "":
		return nil, fmt.Errorf("%s is played in virtual time alone", e.Name)
	case e.gateways != nil && o.Program == "":
		return nil, fmt.Errorf("%s is played with processes alone", e.Name)
	case e.gateways != nil:
		return e.runGateways(ctx, o)
	case e.fleet != nil:
		return e.runFleet(ctx, o)
	case e.members != nil:
		if o.Program != "" {
			return e.runProcesses(ctx, o)
		}
		return e.runMembers(ctx, o)
	case e.ramp:
		return e.runRamp(ctx, o)
	case e.long:
		return e.soak(ctx, o)
	}
	s := e.spec(o.Short)
	if s.Break = o.Break; o.Break == OldReads {
		s.Guards = routing.StaleReadServed
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: driver, Version: o.Version,
		Size:    fmt.Sprintf("%d hosts, %d groups, %d gateways, %.0f requests/s each", s.Hosts, s.Groups, s.Gateways, s.Rate),
		Machine: fmt.Sprintf("%d cores", runtime.NumCPU()), Figures: map[string]float64{}, Series: map[string][]float64{}}
	for _, x := range s.Faults {
		r.Faults = append(r.Faults, fmt.Sprintf("%s from %v to %v", x.Zone, x.At, x.At+x.For))
	}
	end := s.Length.Seconds()
	// While a group has no primary, reads that no member is known to be fresh for go to the most advanced one, in
	// whatever tier: spill is looked at before the loss, from 8 s after it, when failovers are over, and at the end.
	marks := [3][2]float64{{5, e.loss}, {e.loss + 8, end}, {end, end}}
	if e.back > 0 {
		marks = [3][2]float64{{5, e.loss}, {e.loss + 8, e.back}, {end - 5, end}}
		if e.back < e.loss+12 { // too short to tell
			marks[1] = [2]float64{e.loss + 8, e.loss + 8}
		}
	}
	at := func(x float64) time.Duration { return epoch + time.Duration(x*float64(sec)) }
	for _, load := range e.loads {
		s.Load = load
		type pair struct{ before, now, stays arm }
		days := make([]pair, o.Seeds)
		work, ctx := errgroup.WithContext(ctx)
		if work.SetLimit(runtime.GOMAXPROCS(0)); o.Program != "" {
			work.SetLimit(max(1, runtime.GOMAXPROCS(0)*3/8)) // each seed plays two days or three at once, in real time
		}
		var done atomic.Int32
		for i := range days {
			work.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				seed, d, stays := o.Seed+uint64(i), &days[i], s
				stays.Faults = slices.Clone(s.Faults)
				stays.Faults[0].For = s.Length
				if o.Program != "" {
					if err := e.playLive(ctx, s, stays, seed, o, &d.before, &d.now, &d.stays); err != nil {
						return err
					}
				} else {
					d.before, d.now = play(s, seed, nil, marks), play(s, seed, &o.Zones, marks)
					if e.returned {
						d.stays = play(stays, seed, &o.Zones, marks)
					}
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
		p := fmt.Sprintf("load %.1f: ", load)
		broken := map[string]float64{}
		var got, allowed, was, could, detect, spillOff, away, awayWas, lost, others float64
		var nowS, beforeS, staysS [][]float64
		var shareWas, shareBack float64
		for _, d := range days {
			for name, n := range d.now.judge.rules() {
				broken[name] += n
			}
			r.Notes = append(r.Notes, d.now.judge.notes...)
			_, e1, a1 := d.now.judge.worth(at(e.loss), at(e.loss+10))
			_, e2, a2 := d.before.judge.worth(at(e.loss), at(e.loss+10))
			got, allowed, was, could = got+e1, allowed+a1, was+e2, could+a2
			if e.back > 0 {
				detect = max(detect, d.now.judge.avoided(e.zone, at(e.loss), at(e.back)).Seconds())
			}
			for i, m := range marks {
				if m[1] > m[0] && o.Program == "" {
					happened, _ := d.now.judge.away(at(m[0]), at(m[1]))
					spillOff = max(spillOff, math.Abs(happened-d.now.stated[i]))
				}
			}
			_, x := d.now.judge.away(at(5), at(e.loss))
			_, y := d.before.judge.away(at(5), at(e.loss))
			away, awayWas = away+x, awayWas+y
			for key, n := range d.now.changes {
				if strings.HasSuffix(key, " lost") {
					if lost += float64(n); !strings.HasPrefix(key, e.zone) {
						others += float64(n)
					}
				}
			}
			nowS, beforeS = append(nowS, d.now.judge.series()), append(beforeS, d.before.judge.series())
			if e.returned {
				staysS = append(staysS, d.stays.judge.series())
				warm := e.back + coldFor.Seconds()
				shareWas += max(d.now.judge.share(e.zone, at(5), at(e.loss)), d.now.judge.share(e.zone, at(end-7), at(end-1)))
				shareBack += d.now.judge.share(e.zone, at(warm+3), at(warm+7))
			}
		}
		n := float64(len(days))
		for _, name := range ruleNames {
			r.claim(p+strings.ReplaceAll(name, "_", " "), broken[name], "==", 0)
		}
		f := func(name string, v float64) float64 { r.Figures[fmt.Sprintf("%s_%.1f", name, load)] = v; return v }
		if f("worth_of_allowed", got/allowed); !e.slow { // a slow zone's capacity comes in pieces that take too long
			r.claim(p+"worth in the 10 s after the loss, of what remains possible", got/allowed, ">=", 0.9)
		}
		f("worth_of_allowed_before", was/could)
		over := "the same, over this module without zones"
		if o.Program != "" {
			over = "the same, over the build held against it"
		}
		r.claim(p+over, f("worth_over_before", got/was), ">=", 1)
		if e.detect > 0 && o.Program != "" {
			f("avoided_written_s", detect) // hosts see only what is written, not what waits for a connection: no claim
		} else if e.detect > 0 {
			r.claim(p+"s until attempts avoid the zone, worst gateway", f("avoided_s", detect), "<=", e.detect.Seconds())
		}
		if o.Program == "" {
			r.claim(p+"spill that happened from the spill stated, at most", f("spill_off", spillOff), "<=", 0.05)
			r.claim(p+"zones condemned that were not lost", f("lost_verdicts_elsewhere", others), "==", 0)
		}
		r.claim(p+"attempts across zones on calm seconds, of those before", f("across", away/awayWas), "<=", 1)
		f("lost_verdicts_a_gateway", lost/n/float64(s.Gateways))
		if e.slow && o.Program == "" {
			r.claim(p+"slow zone condemned", lost, "==", 0)
		}
		r.Series[fmt.Sprintf("now, load %.1f", load)], r.Series[fmt.Sprintf("before, load %.1f", load)] = mean(nowS), mean(beforeS)
		if e.returned {
			r.claim(p+"share of the zone 5 s after it is warm, of the most before the loss and at the end", f("share_back", shareBack/shareWas), ">=", 0.9)
			now, stays, dip := mean(nowS), mean(staysS), 0.0
			for i := int(e.back); i < len(now)-2; i++ {
				dip = max(dip, stays[i]-now[i])
			}
			r.claim(p+"worst second's worth lost by the return", f("return_dip", dip), "<=", 0.05)
			r.Series[fmt.Sprintf("zone stays away, load %.1f", load)] = stays
		}
	}
	if len(r.Notes) > 20 {
		r.Notes = r.Notes[:20]
	}
	return r, nil
}

// series is the worth earned of that asked for, by the second of arrival.
func (j *Judge) series() []float64 {
	n := int(j.f.Length.Seconds())
	asked, earned := make([]float64, n), make([]float64, n)
	for _, a := range j.asks {
		if i := int((a.arrived - epoch).Seconds()); i < n {
			asked[i], earned[i] = asked[i]+a.class.PriorityWeight, earned[i]+a.earned
		}
	}
	for i := range earned {
		earned[i] /= max(asked[i], 1)
	}
	return earned
}

// mean is the mean of series of one length.
func mean(s [][]float64) []float64 {
	out := make([]float64, len(s[0]))
	for _, x := range s {
		for i, v := range x {
			out[i] += v / float64(len(s))
		}
	}
	return out
}
