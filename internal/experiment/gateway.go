package experiment

import (
	"math/rand/v2"
	"time"

	"cranegate/internal/poolsize"
	"cranegate/internal/zones"
	"cranegate/routing"
)

// gateway models one gateway and its clients. It runs the real decision module and models the code around it, which is
// in internal/core and internal/backend.
type gateway struct {
	fleet         *fleet
	number        int
	zone          string
	trafficFactor float64 // relative to the mean traffic
	router        *routing.Router
	config        routing.Config
	poolSizer     *poolsize.Sizer
	down          bool // the process does not run, or shuts down
	incarnation   int  // counts process starts
	arrivals      *rand.Rand
	pools         map[*host]*pool
	hosts         map[string]*host
	requests      map[uint64]*request
	lastID        uint64
	zoneChanges   []string       // "zone state" for each state entered
	finished      bool           // the run is over
	submit        func(*request) // sends a request over sockets; nil: requests go to router
}

// newGateway creates a gateway and schedules its first arrival. On sockets the decision module runs in a real process
// instead.
func newGateway(f *fleet, n int, arrivals *rand.Rand) *gateway {
	g := &gateway{
		fleet:         f,
		number:        n,
		trafficFactor: 1,
		zone:          f.Zones[n%len(f.Zones)],
		arrivals:      arrivals,
		pools:         map[*host]*pool{},
		hosts:         map[string]*host{},
		requests:      map[uint64]*request{},
	}
	g.config = f.gatewayConfig(g.zone)
	for _, h := range f.hosts {
		g.hosts[h.id], g.pools[h] = h, &pool{}
	}
	f.after(0, g.generateArrival)
	if !f.Sockets {
		g.start()
	}
	return g
}

// gatewayConfig returns the configuration of the decision module of a gateway in a zone.
func (f *fleet) gatewayConfig(zone string) routing.Config {
	config := routing.Config{
		Gateways:          f.Gateways,
		Zone:              zone,
		StaleReads:        f.StaleReads,
		CatchUpTimeout:    catchUpTimeout,
		Positions:         true,
		RoleSource:        routing.RoleSourceDelayed,
		AllowCancel:       true,
		AllowHedging:      true,
		AllowHealthChecks: true,
		MaxAttempts:       6,
		MaxRetryAfter:     500 * time.Millisecond,
		CrossZoneCost:     0.01,
		SlowStartCapacity: slowStartCapacity,
		SlowStartDuration: slowStartDuration,
		OverloadFactor:    overloadFactor,
		OverloadWindow:    overloadWindow,
	}
	for _, c := range classes {
		config.Classes = append(config.Classes, c.Class)
	}
	if f.Configure != nil {
		f.Configure(&config)
	}
	f.Defect.apply(&config)
	return config
}

// start starts a process of the gateway, whose only initial state is the endpoint list.
func (g *gateway) start() {
	f := g.fleet
	size := f.Gateways
	if f.PoolGateways > 0 {
		size = f.PoolGateways
	}
	g.poolSizer = poolsize.New(size, idleTimeout, clock(f.now))
	var err error
	if g.router, err = routing.New(f.now, g.config, g.arrivals.Uint64(), g); err != nil {
		panic(err) // the configuration is fixed
	}
	list := routing.EndpointList{Kind: routing.EndpointListComplete}
	for _, h := range f.hosts {
		if g.hosts[h.id] != nil && !h.removed {
			list.Endpoints = append(list.Endpoints, h.endpoint())
			f.judge.endpointNotified(g, h.endpoint())
		}
	}
	g.router.UpdateEndpoints(f.now, list)
}

// clock converts model time into a time.Time.
func clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// notifyEndpoint delivers an update of one endpoint to the judge and the decision module.
func (g *gateway) notifyEndpoint(e routing.Endpoint) {
	if g.router == nil {
		if g.fleet.Sockets {
			g.fleet.judge.endpointNotified(g, e)
		}
		return
	}
	g.fleet.judge.endpointNotified(g, e)
	if g.fleet.Defect == DefectIgnoreDraining && e.Phase == routing.PhaseDraining {
		e.Phase = routing.PhaseServing
	}
	g.router.UpdateEndpoints(g.fleet.now, routing.EndpointList{Kind: routing.EndpointListPatch, Endpoints: []routing.Endpoint{e}})
}

// networkDelay returns the one-way network delay to a host.
func (g *gateway) networkDelay(h *host) time.Duration {
	if h.zone == g.zone {
		return 100 * time.Microsecond
	}
	return g.fleet.crossZoneDelay
}

// Reject sends a final response, which guarantees that nothing ran.
func (g *gateway) Reject(id uint64, retryAfter time.Duration, _ routing.Reason) {
	if request := g.requests[id]; request != nil {
		g.respond(request, false, true, retryAfter, nil, 0)
	}
}

// Fail sends a final response. Unlike Reject, it does not guarantee that nothing ran.
func (g *gateway) Fail(id uint64, _ routing.Reason) {
	if request := g.requests[id]; request != nil {
		g.respond(request, false, false, 0, nil, 0)
	}
}

// SetTimer schedules a timer event of the decision module.
func (g *gateway) SetTimer(after time.Duration, name string) {
	incarnation := g.incarnation
	g.fleet.after(after, func() {
		if incarnation == g.incarnation {
			g.router.Timer(g.fleet.now, name)
		}
	})
}

// Subscribe does nothing: the fleet delivers all endpoint updates.
func (g *gateway) Subscribe(bool) {}

// FetchEndpoints does nothing: the fleet delivers all endpoint updates.
func (g *gateway) FetchEndpoints() {}

// Log discards the message.
func (g *gateway) Log(string) {}

// ZoneChanged records a change of a zone's state in the decision module.
func (g *gateway) ZoneChanged(c zones.Change) {
	g.zoneChanges = append(g.zoneChanges, c.Zone+" "+c.To.String())
}
