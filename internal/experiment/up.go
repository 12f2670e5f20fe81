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

// UpOptions configure Up.
type UpOptions struct {
	Program       string
	Duration      time.Duration // 0: until the context ends
	ZoneLossDelay time.Duration // time until a zone is lost for 15 s, which repeats every minute; 0: never
	Rate          float64
	Seed          uint64
	Gateways      int // more than one form a fleet
	Logs, Out     io.Writer
}

// Up runs a fleet of three zones on sockets, with both frontends of each gateway, and writes a status line every
// second. Several gateways form a fleet, which is partitioned in two while the zone is lost; the line then shows how
// many members each sees. It returns the error of ctx.
func Up(ctx context.Context, o UpOptions) error {
	spec := Spec{
		Zones:      threeZones,
		Hosts:      9,
		Groups:     3,
		Gateways:   max(1, o.Gateways),
		Rate:       o.Rate,
		Load:       0.3,
		Length:     o.Duration,
		StaleReads: routing.StaleReadDelayed,
	}
	if spec.Length <= 0 {
		spec.Length = 24 * time.Hour
	}
	for at := o.ZoneLossDelay; o.ZoneLossDelay > 0 && at < spec.Length; at += time.Minute {
		spec.Faults = append(spec.Faults, Fault{Kind: Silent, Zone: "nuernberg", At: at, Duration: 15 * sec, RestartAtEnd: true})
	}
	options := liveOptions{program: o.Program, operatorTables: func(int) string { return "[zones]\n" }, logs: func(int) io.Writer { return o.Logs }}
	var views atomic.Pointer[string]
	if spec.Gateways > 1 {
		dir, err := os.MkdirTemp("", "cranelab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		harnessCtx, cancel := context.WithCancel(ctx)
		harness := newProcessHarness(harnessCtx, &membershipScenario{}, spec.Gateways, 0, o.Seed, dir, o.Logs)
		defer harness.network.work.Wait()
		defer cancel()
		if err := harness.prepare(spec.Gateways); err != nil {
			return err
		}
		harness.network.serve()
		options.operatorTables = func(i int) string { return "[zones]\n" + harness.processes[i].operatorTables }
		options.onStart = func(*live) { harness.network.work.Go(func() { harness.showPartitions(spec.Faults, &views) }) }
	}
	first := true
	options.everySecond = func(l *live) {
		if first {
			first = false
			fmt.Fprintf(o.Out, "PostgreSQL on %s, MySQL on %s; a zone is lost after %v\n", l.frontends[0].addresses[0], l.frontends[0].addresses[1], o.ZoneLossDelay)
		}
		text := l.statusLine()
		if v := views.Load(); v != nil {
			text += *v
		}
		fmt.Fprintln(o.Out, text)
		l.judge.discardBefore(l.now - 10*time.Second)
	}
	_, err := runLive(ctx, spec, o.Seed, options)
	return err
}

// showPartitions partitions the gateways while zones are lost, and stores the size of each gateway's view.
func (h *processHarness) showPartitions(faults []Fault, views *atomic.Pointer[string]) {
	var lower, upper selector
	for s, text := range map[*selector]string{&lower: "lower", &upper: "upper"} {
		if err := s.UnmarshalText([]byte(text)); err != nil {
			panic(err) // the texts are fixed
		}
	}
	halves := &membershipFault{Kind: faultPartition, Members: lower, Peers: upper, Bidirectional: true}
	startedAt, partitioned := time.Now(), false
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-tick.C:
		case <-h.network.ctx.Done():
			tick.Stop()
			return
		}
		at := time.Since(startedAt)
		zoneLost := slices.ContainsFunc(faults, func(f Fault) bool { return at >= f.At && at < f.At+f.Duration })
		if zoneLost && !partitioned {
			h.network.startFault(halves)
		} else if partitioned && !zoneLost {
			h.network.endFault(halves)
		}
		partitioned = zoneLost
		text := "  gateways count"
		for _, p := range h.processes {
			known := "?"
			if view, err := h.fetchView(p); err == nil {
				known = fmt.Sprint(view.known())
			}
			text += " " + known
		}
		if partitioned {
			text += " (cut in two)"
		}
		views.Store(&text)
	}
}

// statusLine summarises the requests that arrived in the second that ended 2 s ago, and the attempts of the last second.
func (l *live) statusLine() string {
	to := l.now - 2*time.Second // the longest deadline is 2.5 s
	_, requested, earned := l.judge.earnedWeight(to-time.Second, to)
	counts := map[string]int{}
	for _, attempt := range l.judge.attempts {
		if attempt.at >= l.now-time.Second {
			counts[attempt.zone]++
		}
	}
	served := "  -"
	if requested > 0 {
		served = fmt.Sprintf("%3.0f%%", 100*earned/requested)
	}
	text := fmt.Sprintf("%4.0fs  worth served %s  attempts a second:", (l.now - epoch).Seconds(), served)
	for _, z := range l.Zones {
		up := 0
		for _, h := range l.hosts {
			if h.zone == z && h.reachable() {
				up++
			}
		}
		text += fmt.Sprintf("  %s %d (%d hosts up)", z, counts[z], up)
	}
	return text
}
