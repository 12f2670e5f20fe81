package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	enduranceDuration      = 45 * time.Minute // length of the operators' long run
	shortEnduranceDuration = 6 * time.Minute
	hostReplaceInterval    = 15 * time.Second // replacements get a new ID
	gatewayKillInterval    = 90 * time.Second // never the first gateway, whose sizes are measured
	enduranceStep          = 10 * time.Second // between reports of progress; records older than this are dropped
	sizeWindow             = time.Minute      // at the end of each third of the run, over which the largest sizes are taken
)

// runEndurance runs a long scenario with few gateways, in which hosts are replaced continuously. It claims that
// no state grows in the decision module of the first gateway, which is never killed.
func (e *Experiment) runEndurance(ctx context.Context, o Options) (*Result, error) {
	spec := baseSpec(enduranceDuration)
	spec.Load, spec.Defect = 0.5, o.Defect
	if o.Short {
		spec.Length = shortEnduranceDuration
	}
	r := e.newResult(o, driverVirtual, fmt.Sprintf("%d hosts, %d gateways, %.0f requests/s each, %v", spec.Hosts, spec.Gateways, spec.Rate, spec.Length))
	r.Seeds = 1
	f := newFleet(spec, o.Seed)
	f.after(hostReplaceInterval, f.replaceRandomHost)
	f.after(gatewayKillInterval, f.killRandomGateway)
	var thirds [3]map[string]int // largest sizes by name, at the end of each third
	for i := range thirds {
		thirds[i] = map[string]int{}
	}
	for at := time.Second; at <= spec.Length; at += time.Second {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		f.runUntil(epoch + at)
		f.judge.discardBefore(f.now - enduranceStep)
		if at%enduranceStep == 0 {
			o.reportProgress(int(at/enduranceStep), int(spec.Length/enduranceStep))
		}
		for i, sizes := range thirds {
			end := spec.Length * time.Duration(i+1) / 3
			if at > end || at <= end-sizeWindow {
				continue
			}
			for name, n := range f.gateways[0].router.Sizes() {
				sizes[name] = max(sizes[name], n)
			}
		}
	}
	for _, name := range violationNames {
		r.addClaim(name, f.judge.violations()[name], "==", 0)
	}
	r.claimConstantSizes(thirds)
	return r, nil
}

// replaceRandomHost replaces one reachable host, and schedules the next replacement.
func (f *fleet) replaceRandomHost() {
	candidates := slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return !h.reachable() || h.draining || h.removed })
	if len(candidates) > 0 {
		f.replace(candidates[f.rng.IntN(len(candidates))])
	}
	f.after(hostReplaceInterval, f.replaceRandomHost)
}

// killRandomGateway kills one gateway except the first, and schedules its restart and the next kill.
func (f *fleet) killRandomGateway() {
	g := f.gateways[1+f.rng.IntN(len(f.gateways)-1)]
	g.crash()
	f.after(time.Second, g.restart)
	f.after(gatewayKillInterval, f.killRandomGateway)
}

// claimConstantSizes claims that sizes do not grow from the second third to the last.
func (r *Result) claimConstantSizes(thirds [3]map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(thirds[2])) {
		for i, sizes := range thirds {
			r.Figures[fmt.Sprintf("%s_third_%d", name, i+1)] = float64(sizes[name])
		}
		// Without growth, the maximum over a window varies by up to a fifth plus eight entries.
		bound := 1.2*float64(thirds[1][name]) + 8
		r.addClaim(name+" at the end of the last third, past those of the second", float64(thirds[2][name]), "<=", bound)
	}
}
