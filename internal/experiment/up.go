package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"cranegate/routing"
)

// UpOptions are those of a fleet to look at.
type UpOptions struct {
	Program   string
	For       time.Duration // 0: until the context ends
	Lose      time.Duration // when a zone is lost, for 15 s, and again every minute; 0: never
	Rate      float64
	Seed      uint64
	Gateways  int // that know each other, where there are more than one
	Logs, Out io.Writer
}

// Up plays a fleet of three zones on sockets, with both fronts of each gateway, and writes a line a second. Its clients
// are told of nothing; what they get is on the line. Several gateways know each other, and are cut in two while the zone
// is lost; the line says how many each counts as there.
func Up(ctx context.Context, o UpOptions) error {
	s := Spec{Zones: threeZones, Hosts: 9, Groups: 3, Gateways: max(1, o.Gateways), Rate: o.Rate, Load: 0.3, Length: o.For, Guards: routing.StaleReadDelayed}
	if s.Length <= 0 {
		s.Length = 24 * time.Hour
	}
	for at := o.Lose; o.Lose > 0 && at < s.Length; at += time.Minute {
		s.Faults = append(s.Faults, Fault{Kind: Silent, Zone: "nuernberg", At: at, For: 15 * sec, Cold: true})
	}
	how := liveOptions{program: o.Program, operator: func(int) string { return "[zones]\n" }, logs: func(int) io.Writer { return o.Logs }}
	var views atomic.Pointer[string]
	if s.Gateways > 1 {
		dir, err := os.MkdirTemp("", "cranelab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		rctx, cancel := context.WithCancel(ctx)
		r := newRig(rctx, &memberDay{}, s.Gateways, 0, o.Seed, dir, o.Logs)
		defer r.net.work.Wait()
		defer cancel()
		if err := r.prepare(s.Gateways); err != nil {
			return err
		}
		r.net.serve()
		how.operator = func(i int) string { return "[zones]\n" + r.procs[i].tables }
		how.begins = func(*live) { r.net.work.Go(func() { r.show(s.Faults, &views) }) }
	}
	first := true
	how.each = func(l *live) {
		if first {
			first = false
			fmt.Fprintf(o.Out, "PostgreSQL on %s, MySQL on %s; a zone is lost after %v\n", l.fronts[0].address[0], l.fronts[0].address[1], o.Lose)
		}
		text := l.line()
		if v := views.Load(); v != nil {
			text += *v
		}
		fmt.Fprintln(o.Out, text)
		l.judge.forget(l.now - 10*time.Second)
	}
	_, err := playLiveWith(ctx, s, o.Seed, how)
	return err
}

// show has the gateways cut in two while zones are lost, and keeps what each counts as there.
func (r *rig) show(faults []Fault, views *atomic.Pointer[string]) {
	var lower, upper selector
	for s, text := range map[*selector]string{&lower: "lower", &upper: "upper"} {
		if err := s.UnmarshalText([]byte(text)); err != nil {
			panic(err) // they are those of the days
		}
	}
	halves := &memberFault{Kind: cutOff, Who: lower, To: upper, Both: true}
	began, cut := time.Now(), false
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-tick.C:
		case <-r.net.ctx.Done():
			tick.Stop()
			return
		}
		at := time.Since(began)
		now := slices.ContainsFunc(faults, func(f Fault) bool { return at >= f.At && at < f.At+f.For })
		if now && !cut {
			r.net.begin(halves)
		} else if cut && !now {
			r.net.end(halves)
		}
		cut = now
		text := "  gateways count"
		for _, p := range r.procs {
			seen := "?"
			if v, err := r.ask(p); err == nil {
				there := 1
				for _, m := range v.Members {
					if m.State == "alive" || m.State == "draining" {
						there++
					}
				}
				seen = fmt.Sprint(there)
			}
			text += " " + seen
		}
		if cut {
			text += " (cut in two)"
		}
		views.Store(&text)
	}
}

// line tells of the last second whose requests have been answered by now.
func (l *live) line() string {
	to := l.now - 2*time.Second // the longest deadline is 2.5 s
	_, asked, earned := l.judge.earned(to-time.Second, to)
	counts := map[string]int{}
	for _, t := range l.judge.attempts {
		if t.at >= l.now-time.Second {
			counts[t.zone]++
		}
	}
	served := "  -"
	if asked > 0 {
		served = fmt.Sprintf("%3.0f%%", 100*earned/asked)
	}
	text := fmt.Sprintf("%4.0fs  worth served %s  attempts a second:", (l.now - epoch).Seconds(), served)
	for _, z := range l.Zones {
		up := 0
		for _, h := range l.hosts {
			if h.zone == z && h.ok() {
				up++
			}
		}
		text += fmt.Sprintf("  %s %d (%d hosts up)", z, counts[z], up)
	}
	return text
}
