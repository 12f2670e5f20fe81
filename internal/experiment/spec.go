package experiment

import (
	"time"

	"cranegate/routing"
)

// epoch is the virtual time at the start of a run. Log positions and process starts count from 0, long before it.
const epoch = 1000 * time.Second

// Spec describes a scenario. Together with a seed it determines a run.
type Spec struct {
	Zones           []string
	Hosts           int     // spread over the zones in turn
	Groups          int     // each has its hosts in turn; the first host of a group is its primary
	Gateways        int     // spread over the zones in turn
	Rate            float64 // requests a second a gateway, first tries
	Load            float64 // work asked for, of what all hosts can do
	Length          time.Duration
	Faults          []Fault
	StaleReads      routing.StaleReadPolicy
	HideZones       bool     // hosts are listed without a zone
	Sockets         bool     // gateways are real: see live
	Layout          []string // the zone of each host; none: in turn
	Configure       func(*routing.Config)
	HostConnections int                // connections that a host holds; 0: maxConnections
	PoolGateways    int                // the number of gateways by which idle connections are kept; 0: all that there are
	Defect          Defect             // what is broken on purpose
	ZoneRates       map[string]float64 // factor on the rate of gateways of a zone
	UnevenTraffic   bool               // gateways have from a third to over three times of the mean traffic
	DisableOverload bool               // cold hosts bear all that they are sent: the judge counts it
}

// FaultKind is the kind of a fault in the modelled fleet.
type FaultKind int

// The kinds of fault.
const (
	Silent        FaultKind = iota // packets vanish; nothing is reset
	Crash                          // processes die: connections are reset, new ones refused
	Slow                           // hosts work at a quarter of their speed
	Drain                          // hosts are listed as draining
	DiscoveryDown                  // discovery tells the gateways nothing
	Reconfigure                    // the tiers of all gateways are replaced, as by SIGHUP
	Kill                           // a share of the gateways die at once, and start anew with nothing at the end
	Restart                        // all gateways are restarted, a tenth at a time: no new clients for 3 s, then a new process
	Replace                        // a share of the hosts are replaced, one after the other: a new one starts, cold, the old one drains
	Burst                          // half as much again is asked
)

// Fault is a fault that begins At after the start of the run and lasts for Duration. It selects hosts by Zone, Host,
// HostNumber or Fraction.
type Fault struct {
	Kind         FaultKind
	Zone         string // all hosts of a zone; empty: see Host
	Host         string
	HostNumber   int // of the host, from 1 on, where it is not named; 0: see Share
	At, Duration time.Duration
	RestartAtEnd bool    // hosts start anew at the end, cold, their logs where they stood
	Spared       int     // this many hosts of the zone are spared
	Fraction     float64 // of the hosts, spread over all, where neither a zone nor a host is named; or of the gateways
	Reconfigure  func(*routing.Router)
}

// What hosts and the network are made of. Ranges are drawn once a day.
const (
	coresPerHost        = 3
	queueCapacity       = 60
	maxConnections      = 400
	slowStartCapacity   = 0.15
	slowStartDuration   = 18 * time.Second
	overloadFactor      = 2.5
	overloadWindow      = time.Second
	catchUpTimeout      = 20 * time.Millisecond
	connectTimeout      = 250 * time.Millisecond
	connectDuration     = 2 * time.Millisecond
	healthCheckDuration = 300 * time.Microsecond
	replicationInterval = 10 * time.Millisecond
	drainGracePeriod    = 250 * time.Millisecond
)

// class is one of the operators' five request classes, with its part of the traffic and its range of work.
type class struct {
	routing.Class
	trafficFraction  float64
	minWork, maxWork time.Duration // of work, at a fleet's full load of 120 requests a second
}

var classes = []class{
	{routing.Class{Name: "platzsuche", Consistency: routing.ConsistencyBounded, StalenessBound: 3 * time.Second, LatencyObjective: 600 * time.Millisecond,
		Deadline: 2 * time.Second, PriorityWeight: 1}, 0.41, 87 * time.Millisecond, 150 * time.Millisecond},
	{routing.Class{Name: "eigener-antrag", Consistency: routing.ConsistencySession, LatencyObjective: 750 * time.Millisecond,
		Deadline: 2500 * time.Millisecond, PriorityWeight: 2, LateShare: 0.2}, 0.20, 130 * time.Millisecond, 230 * time.Millisecond},
	{routing.Class{Name: "statistik", Consistency: routing.ConsistencyAny, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
		0.20, 52 * time.Millisecond, 90 * time.Millisecond},
	{routing.Class{Name: "angebot-pruefen", Consistency: routing.ConsistencyStrong, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second,
		PriorityWeight: 3}, 0.05, 87 * time.Millisecond, 150 * time.Millisecond},
	{routing.Class{Name: "zusage", Consistency: routing.ConsistencyWrite, LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 6,
		LateShare: 0.5, Effect: routing.NonIdempotent}, 0.14, 87 * time.Millisecond, 150 * time.Millisecond},
}
