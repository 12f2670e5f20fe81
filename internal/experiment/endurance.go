package experiment

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"time"
)

const (
	enduranceDuration      = 45 * time.Minute // the operators' long run
	shortEnduranceDuration = 6 * time.Minute
	hostReplaceInterval    = 15 * time.Second // replacements get a new ID
	gatewayKillInterval    = 90 * time.Second // never the first gateway, whose sizes are measured
	sizeWindow             = time.Minute      // at the end of each third, in which the largest sizes count
)

// runEndurance runs a long scenario with few gateways, in which hosts are replaced all the time. It claims that no
// state grows in the decision module of the gateway that runs throughout.
func (e *Experiment) runEndurance(ctx context.Context, o Options) (*Result, error) {
	spec := baseSpec(enduranceDuration)
	if spec.Load, spec.Defect = 0.5, o.Defect; o.Short {
		spec.Length = shortEnduranceDuration
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: 1, Driver: "virtual", Version: o.Version,
		Size:    fmt.Sprintf("%d hosts, %d gateways, %.0f requests/s each, %v", spec.Hosts, spec.Gateways, spec.Rate, spec.Length),
		Machine: fmt.Sprintf("%d cores", runtime.NumCPU()), Figures: map[string]float64{}, Series: map[string][]float64{}}
	f := newFleet(spec, o.Seed)
	var replaceHost, killGateway func()
	replaceHost = func() {
		live := slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return !h.reachable() || h.draining || h.removed })
		if len(live) > 0 {
			f.replace(live[f.rng.IntN(len(live))])
		}
		f.after(hostReplaceInterval, replaceHost)
	}
	killGateway = func() {
		g := f.gateways[1+f.rng.IntN(len(f.gateways)-1)]
		g.crash()
		f.after(time.Second, g.restart)
		f.after(gatewayKillInterval, killGateway)
	}
	f.after(hostReplaceInterval, replaceHost)
	f.after(gatewayKillInterval, killGateway)
	var thirds [3]map[string]int
	for at := time.Second; at <= spec.Length; at += time.Second {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		f.runUntil(epoch + at)
		f.judge.discardBefore(f.now - 10*sec)
		if n := int(at / (10 * sec)); o.Progress != nil && at%(10*sec) == 0 {
			o.Progress(n, int(spec.Length/(10*sec)))
		}
		for i := range thirds {
			if end := spec.Length * time.Duration(i+1) / 3; at <= end && at > end-sizeWindow {
				if thirds[i] == nil {
					thirds[i] = map[string]int{}
				}
				for name, n := range f.gateways[0].router.Sizes() {
					thirds[i][name] = max(thirds[i][name], n)
				}
			}
		}
	}
	for _, name := range violationNames {
		r.addClaim(name, f.judge.violations()[name], "==", 0)
	}
	for _, name := range slices.Sorted(maps.Keys(thirds[2])) {
		for i, x := range thirds {
			r.Figures[fmt.Sprintf("%s_third_%d", name, i+1)] = float64(x[name])
		}
		// The maximum over a window varies by a fifth and eight entries.
		r.addClaim(name+" at the end of the last third, past those of the second", float64(thirds[2][name]), "<=",
			1.2*float64(thirds[1][name])+8)
	}
	return r, nil
}
