// Package experiment simulates a fleet of gateways and database hosts in virtual time and checks the outcome as the
// hosts and the clients see it. The gateways run the real decision module; hosts, replication, network, discovery
// and clients are models. It covers what benchmarks do not show, such as the loss and return of a whole zone. Some
// experiments run real gateways on sockets, or real processes connected by relays.
//
// A scenario is determined by its specification and a seed: two runs with the same seed have the same arrivals, faults,
// network delays and replication delays, regardless of what the gateways do.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cranegate/routing"
)

// fleet is a running scenario: the modelled hosts, clients and gateways on one timeline.
type fleet struct {
	Spec
	timeline
	rng              *rand.Rand // for draws that depend on what the gateways do
	hosts            []*host
	groups           []*group
	gateways         []*gateway
	judge            *Judge
	workScale        float64 // factor on the work of requests that yields Load
	replicationDelay time.Duration
	applyUtilization float64 // fraction of time in which a replica applies the log at load 1
	crossZoneDelay   time.Duration
	discoveryDown    bool
	extraRate        float64                       // additional traffic, as a fraction of the rate
	onListed         func(*host, routing.Endpoint) // called with each published endpoint
	onHostChanged    func(*host)                   // called after a crash, start, partition, recovery or replacement
}

// notifyHostChanged calls onHostChanged, if it is set.
func (f *fleet) notifyHostChanged(h *host) {
	if f.onHostChanged != nil {
		f.onHostChanged(h)
	}
}

// draw returns a uniformly distributed duration between low and high.
func draw(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// newFleet builds the fleet of a spec and a seed. A change in the order of random draws changes the results of every
// seed.
func newFleet(spec Spec, seed uint64) *fleet {
	f := &fleet{Spec: spec, timeline: timeline{now: epoch}, rng: rand.New(rand.NewPCG(seed, 1))}
	scenarioRNG := rand.New(rand.NewPCG(seed, 2)) // draws that define the scenario
	f.replicationDelay = draw(scenarioRNG, 2*time.Millisecond, 15*time.Millisecond)
	f.applyUtilization = 0.33 + 0.18*scenarioRNG.Float64()
	f.crossZoneDelay = draw(scenarioRNG, 420*time.Microsecond, 780*time.Microsecond)
	f.addHosts(seed, scenarioRNG)
	f.workScale = f.newWorkScale()
	f.judge = newJudge(f)
	for i := range spec.Gateways {
		f.gateways = append(f.gateways, newGateway(f, i, rand.New(rand.NewPCG(seed, 100+uint64(i)))))
	}
	if spec.UnevenTraffic {
		f.drawTraffic(scenarioRNG)
	}
	for _, fault := range spec.Faults {
		f.after(fault.At, func() { f.startFault(fault) })
		f.after(fault.At+fault.Duration, func() { f.endFault(fault) })
	}
	f.tick()
	return f
}

// addHosts adds all groups and their hosts.
func (f *fleet) addHosts(seed uint64, scenarioRNG *rand.Rand) {
	for i := range f.Groups {
		f.groups = append(f.groups, &group{fleet: f, number: i, failoverRNG: rand.New(rand.NewPCG(seed, 1000+uint64(i)))})
	}
	for i := range f.Hosts {
		g := f.groups[i*f.Groups/f.Hosts]
		h := &host{
			fleet:    f,
			id:       fmt.Sprintf("h%03d-%s", i, string('a'+rune(scenarioRNG.IntN(26)))),
			group:    g,
			up:       true,
			position: f.now,
			zone:     f.Zones[(g.number+len(g.members))%len(f.Zones)], // spreads primaries over the zones
		}
		if f.Layout != nil {
			h.zone = f.Layout[i]
		}
		g.members = append(g.members, h)
		f.hosts = append(f.hosts, h)
	}
	for _, g := range f.groups {
		g.primary = g.members[0]
	}
}

// newWorkScale returns the factor on the work of requests that yields Load.
func (f *fleet) newWorkScale() float64 {
	mean := 0.0
	for _, c := range classes {
		mean += c.trafficFraction * (c.minWork + c.maxWork).Seconds() / 2
	}
	rate := 0.0
	for i := range f.Gateways {
		rate += f.Rate * f.zoneRate(f.Zones[i%len(f.Zones)])
	}
	return f.Load * float64(f.Hosts*coresPerHost) / (rate * mean)
}

// drawTraffic draws each gateway's traffic factor. The factors have a mean of 1.
func (f *fleet) drawTraffic(scenarioRNG *rand.Rand) {
	sum := 0.0
	for _, g := range f.gateways {
		g.trafficFactor = 0.3 + 3*math.Pow(scenarioRNG.Float64(), 4)
		sum += g.trafficFactor
	}
	for _, g := range f.gateways {
		g.trafficFactor *= float64(f.Gateways) / sum
	}
}

// zoneRate returns the factor on the request rate of gateways in a zone.
func (f *fleet) zoneRate(zone string) float64 {
	if k, ok := f.ZoneRates[zone]; ok {
		return k
	}
	return 1
}

// affectedHosts returns the hosts that a fault selects. Hosts that joined during the run are never selected.
func (f *fleet) affectedHosts(fault Fault) (out []*host) {
	spared := fault.Spared
	for i, h := range f.hosts {
		if h.removed || i >= f.Hosts {
			continue
		}
		drawn := fault.Host == "" && fault.Zone == "" && fault.HostNumber == 0 && int(float64(i+1)*fault.Fraction) > int(float64(i)*fault.Fraction)
		if h.id == fault.Host || fault.HostNumber == i+1 || fault.Zone != "" && h.zone == fault.Zone || drawn {
			if spared--; spared < 0 {
				out = append(out, h)
			}
		}
	}
	return out
}

// startFault applies a fault.
func (f *fleet) startFault(fault Fault) {
	for _, h := range f.affectedHosts(fault) {
		switch fault.Kind {
		case Silent:
			h.partitions++
			f.notifyHostChanged(h)
		case Crash:
			h.crash()
		case Slow:
			h.slow = true
		case Drain:
			h.draining = true
			f.announce(h, 0)
		}
	}
	switch fault.Kind {
	case Kill, Restart, Replace:
		f.startReplacement(fault)
	case Burst:
		f.extraRate = 0.5
	case DiscoveryDown:
		f.discoveryDown = true
	case Reconfigure:
		for _, g := range f.gateways {
			fault.Reconfigure(g.router)
		}
	}
}

// endFault reverts a fault.
func (f *fleet) endFault(fault Fault) {
	for _, h := range f.affectedHosts(fault) {
		switch fault.Kind {
		case Silent:
			if h.partitions--; fault.RestartAtEnd && h.partitions == 0 && !h.overloaded {
				h.crash()
				h.start()
			}
			f.notifyHostChanged(h)
		case Crash:
			h.start()
		case Slow:
			h.slow = false
		}
	}
	if fault.Kind == Burst {
		f.extraRate = 0
	}
	if fault.Kind == DiscoveryDown {
		f.discoveryDown = false
		for _, h := range f.hosts {
			f.announce(h, 0)
		}
	}
}

// meanWork returns the mean work of a request in seconds.
func (f *fleet) meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.trafficFraction * f.workScale * (c.minWork + c.maxWork).Seconds() / 2
	}
	return mean
}

// tick advances replication and failover every replicationInterval.
func (f *fleet) tick() {
	for _, g := range f.groups {
		g.tick()
	}
	f.judge.takeSnapshot()
	f.after(replicationInterval, f.tick)
}

// announce publishes a host's endpoint to every gateway after a delay. The state is read when the delay is over, so
// that updates are never delivered out of order.
func (f *fleet) announce(h *host, delay time.Duration) {
	if h == nil {
		return
	}
	f.after(delay, func() {
		if f.discoveryDown {
			return
		}
		e := h.endpoint()
		if f.onListed != nil {
			f.onListed(h, e)
		}
		for _, g := range f.gateways {
			g.notifyEndpoint(e)
		}
	})
}
