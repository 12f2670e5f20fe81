// Package experiment plays a fleet of gateways and database hosts in virtual time and judges what happens from the
// hosts' and the clients' side. The gateways run the real decision module; hosts, log, network, discovery and
// clients are models. It exists for what no bench shows: a zone that is lost as a whole and comes back.
//
// A day is drawn from its seed alone: two runs of one seed give the same day, whatever the gateways do, as far as
// arrivals, faults and drawn delays go.
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
	rng              *rand.Rand // of what depends on the gateways' acts
	hosts            []*host
	groups           []*group
	gateways         []*gateway
	judge            *Judge
	workScale        float64 // of work, so that Load comes out
	replicationDelay time.Duration
	applyUtilization float64 // part of the time in which a replica applies at load 1
	between          time.Duration
	discoveryDown    bool
	extraRate        float64 // added to the rate
	onListed         func(*host, routing.Endpoint)
	onHostChanged    func(*host) // told of a host that has died, started, been cut or restored, or that the list names anew
}

// notifyHostChanged calls onHostChanged, if it is set.
func (f *fleet) notifyHostChanged(h *host) {
	if f.onHostChanged != nil {
		f.onHostChanged(h)
	}
}

// draw returns a uniformly distributed duration between min and max.
func draw(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Float64()*float64(b-a))
}

// newFleet builds the fleet that spec and seed determine. The order of random draws here is part of the results of a
// seed.
func newFleet(s Spec, seed uint64) *fleet {
	f := &fleet{Spec: s, timeline: timeline{now: epoch}, rng: rand.New(rand.NewPCG(seed, 1))}
	d := rand.New(rand.NewPCG(seed, 2)) // what the day is made of
	f.replicationDelay, f.applyUtilization, f.between = draw(d, 2*time.Millisecond, 15*time.Millisecond), 0.33+0.18*d.Float64(),
		draw(d, 420*time.Microsecond, 780*time.Microsecond)
	for i := range s.Groups {
		f.groups = append(f.groups, &group{f: f, number: i, failoverRNG: rand.New(rand.NewPCG(seed, 1000+uint64(i)))})
	}
	for i := range s.Hosts {
		g := f.groups[i*s.Groups/s.Hosts]
		h := &host{f: f, id: fmt.Sprintf("h%03d-%s", i, string('a'+rune(d.IntN(26)))), group: g, up: true, position: f.now,
			zone: s.Zones[(g.number+len(g.members))%len(s.Zones)]} // primaries are spread over the zones
		if s.Layout != nil {
			h.zone = s.Layout[i]
		}
		g.members = append(g.members, h)
		f.hosts = append(f.hosts, h)
	}
	for _, g := range f.groups {
		g.primary = g.members[0]
	}
	mean := 0.0
	for _, c := range classes {
		mean += c.trafficFraction * (c.minWork + c.maxWork).Seconds() / 2
	}
	rate := 0.0
	for i := range s.Gateways {
		rate += s.Rate * f.zoneRate(s.Zones[i%len(s.Zones)])
	}
	f.workScale = s.Load * float64(s.Hosts*coresPerHost) / (rate * mean)
	f.judge = newJudge(f)
	for i := range s.Gateways {
		f.gateways = append(f.gateways, newGateway(f, i, rand.New(rand.NewPCG(seed, 100+uint64(i)))))
	}
	if s.UnevenTraffic {
		sum := 0.0
		for _, g := range f.gateways {
			g.trafficFactor = 0.3 + 3*math.Pow(d.Float64(), 4)
			sum += g.trafficFactor
		}
		for _, g := range f.gateways {
			g.trafficFactor *= float64(s.Gateways) / sum
		}
	}
	for _, x := range s.Faults {
		f.after(x.At, func() { f.startFault(x) })
		f.after(x.At+x.Duration, func() { f.endFault(x) })
	}
	f.tick()
	return f
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
