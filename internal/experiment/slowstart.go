package experiment

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// slowStartRecord records the calls of all gateways to one host since its last start.
type slowStartRecord struct {
	calls          []slowStartCall
	incarnation    int
	notifiedStarts map[*gateway]time.Duration // latest start of the host that each gateway was notified of
	// excess is the largest excess of a window over N + chanceMargin(N) requests of mean work, where N is the budget.
	// notifiedExcess is the same over windows in which more than two thirds of the work came from notified gateways.
	// worstWindow describes the window of excess.
	excess, notifiedExcess float64
	worstWindow            string
}

// slowStartCall is one attempt or health check that reached a host during its slow start.
type slowStartCall struct {
	at       time.Duration
	work     float64 // relative to the mean work of a request; 1 for any attempt, as its work is random
	notified bool
}

// chanceMargin returns the excess over a budget of n calls that chance explains.
func chanceMargin(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// slowStartOf returns the record of a host and creates it at first use.
func (j *Judge) slowStartOf(h *host) *slowStartRecord {
	record := j.slowStarts[h]
	if record == nil {
		record = &slowStartRecord{notifiedStarts: map[*gateway]time.Duration{}, excess: math.Inf(-1), notifiedExcess: math.Inf(-1)}
		j.slowStarts[h] = record
	}
	return record
}

// startNotified records that a gateway has been notified of a host's start.
func (j *Judge) startNotified(g *gateway, h *host, started time.Duration) {
	if h != nil && started > 0 {
		j.slowStartOf(h).notifiedStarts[g] = started
	}
}

// recordSlowStartCall records a call at a host, if the host is in slow start. The work of an attempt is 1, and the work
// of a health check is its cost relative to a request.
func (j *Judge) recordSlowStartCall(h *host, g *gateway, work float64) {
	if h.started == 0 || h.speed() >= 1 || h.slow {
		return
	}
	record := j.slowStartOf(h)
	if record.incarnation != h.incarnation {
		record.incarnation, record.calls = h.incarnation, nil
	}
	record.calls = slices.DeleteFunc(record.calls, func(c slowStartCall) bool { return c.at <= j.fleet.now-overloadWindow })
	record.calls = append(record.calls, slowStartCall{j.fleet.now, work, record.notifiedStarts[g] == h.started})
	all, notified := 0.0, 0.0
	for _, c := range record.calls {
		if all += c.work; c.notified {
			notified += c.work
		}
	}
	budget := overloadFactor * h.speed() * coresPerHost * overloadWindow.Seconds() / j.fleet.meanWork()
	excess := all - budget - chanceMargin(budget)
	if notified > all*2/3 && excess > record.notifiedExcess {
		record.notifiedExcess = excess
	}
	if excess > record.excess {
		record.excess = excess
		record.worstWindow = fmt.Sprintf("%s: %.1f calls (%.1f of gateways that were told) within %v, %.1f s after its start, N %.1f",
			h.id, all, notified, overloadWindow, (j.fleet.now - h.started).Seconds(), budget)
	}
}

// slowStartExcess returns the largest excess and the largest notifiedExcess of all hosts, and describes the window with
// the largest excess.
func (j *Judge) slowStartExcess() (excess, notified float64, worstWindow string) {
	excess, notified = math.Inf(-1), math.Inf(-1)
	for _, r := range j.slowStarts {
		if r.excess > excess {
			excess, worstWindow = r.excess, r.worstWindow
		}
		notified = max(notified, r.notifiedExcess)
	}
	return excess, notified, worstWindow
}

// slowStartScenarios are scenarios, by name, in which hosts start while 20 or 30 gateways send. Some gateways are killed
// just before and restart just after. The first host of a group is its primary; if it returns before another is elected,
// it receives all of the group's writes during slow start.
var slowStartScenarios = map[string][]Fault{
	"one":   {gatewayKillFault, hostCrashFault(0, 12, 2500)},
	"two":   {gatewayKillFault, hostCrashFault(0, 12, 2500), hostCrashFault(4, 12, 2500)},
	"again": {gatewayKillFault, hostCrashFault(0, 12, 2500), hostCrashFault(0, 18, 2000)},
	"elect": {gatewayKillFault, hostCrashFault(1, 12, 2500), hostCrashFault(2, 12, 2500), hostCrashFault(3, 12, 2500), hostCrashFault(0, 15, 12000)},
	"join":  {gatewayKillFault, {Kind: Replace, Fraction: 0.6, At: 6 * sec, Duration: 9 * sec}},
}

// gatewayKillFault restarts two of five gateways half a second after the hosts have started.
var gatewayKillFault = Fault{Kind: Kill, Fraction: 0.4, At: 14 * sec, Duration: sec}

// hostCrashFault crashes a host, at a time in seconds, for a duration in ms.
func hostCrashFault(host, at, ms int) Fault {
	return Fault{Kind: Crash, HostNumber: host + 1, At: time.Duration(at) * sec, Duration: time.Duration(ms) * time.Millisecond}
}

// slowStartSpec describes a slow-start scenario.
func slowStartSpec(gateways int, faults []Fault, defect Defect) Spec {
	spec := baseSpec(28*sec, faults...)
	spec.Hosts, spec.Groups, spec.Gateways, spec.Load, spec.Defect = 10, 3, gateways, 0.85, defect
	spec.Rate = 240 / float64(gateways) * spec.Load // each host receives some tens of requests per second
	spec.UnevenTraffic, spec.DisableOverload = true, true
	return spec
}

func init() {
	Experiments = append(Experiments, Experiment{Name: "fleet-ramp", slowStart: true,
		About: "20 and 30 uneven gateways, some of them new, before hosts that start: what all send each is held against its budget"})
}

// runSlowStart runs each slow-start scenario with 20 and with 30 gateways and each seed.
func (e *Experiment) runSlowStart(ctx context.Context, o Options) (*Result, error) {
	r := e.newResult(o, driverVirtual, "10 hosts, 3 groups, 20 and 30 gateways, 204 requests/s, load 0.85")
	names := slices.Sorted(maps.Keys(slowStartScenarios))
	for _, name := range names {
		worstExcess, notifiedExcess, worstWindow := math.Inf(-1), math.Inf(-1), ""
		for i := range o.Seeds * 2 {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			f := newFleet(slowStartSpec(20+10*(i%2), slowStartScenarios[name], o.Defect), o.Seed+uint64(i/2))
			f.runUntil(epoch + f.Length)
			all, notified, window := f.judge.slowStartExcess()
			if notifiedExcess = max(notifiedExcess, notified); all > worstExcess {
				worstExcess, worstWindow = all, fmt.Sprintf("%s, seed %d, %d gateways: %s", name, o.Seed+uint64(i/2), f.Gateways, window)
			}
		}
		r.addClaim(name+": calls over N + 2 root of N + 2 in the fullest window", worstExcess, "<=", 0)
		r.Figures["excess_"+name], r.Figures["excess_told_"+name] = worstExcess, notifiedExcess
		r.Notes = append(r.Notes, worstWindow)
	}
	return r, nil
}
