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
	Hosts           int     // distributed round-robin over the zones
	Groups          int     // of consecutive hosts; the first host of each is its primary
	Gateways        int     // distributed round-robin over the zones
	Rate            float64 // operations per second and gateway, before ZoneRates and UnevenTraffic
	Load            float64 // requested work, relative to the capacity of all hosts
	Length          time.Duration
	Faults          []Fault
	StaleReads      routing.StaleReadPolicy
	HideZones       bool                  // endpoints carry no zone
	Sockets         bool                  // gateways are real processes; see live
	Layout          []string              // zone of each host; nil: round-robin
	Configure       func(*routing.Config) // changes the configuration of each gateway, if set
	HostConnections int                   // connection limit of a host; 0: maxConnections
	PoolGateways    int                   // number of gateways assumed when pools are sized; 0: Gateways
	Defect          Defect                // deliberate defect of the gateways
	ZoneRates       map[string]float64    // factors on Rate by zone; missing: 1
	UnevenTraffic   bool                  // gateways get from 0.3 to 3.3 times the mean traffic
	DisableOverload bool                  // hosts in slow start never crash under load
}

// FaultKind is the kind of a fault in the modelled fleet.
type FaultKind int

// The kinds of fault.
const (
	Silent        FaultKind = iota // packets are dropped without a reset
	Crash                          // processes end: connections are reset, new ones refused
	Slow                           // hosts work at a quarter of their speed
	Drain                          // endpoints are listed as draining
	DiscoveryDown                  // gateways receive no endpoint updates
	Reconfigure                    // the zone tiers of all gateways are replaced, as by SIGHUP
	Kill                           // a fraction of the gateways is killed at once, and restarts without state at the end
	Restart                        // rolling restart of all gateways, a tenth at a time, with graceful shutdown
	Replace                        // a fraction of the hosts is replaced one by one: a new host starts and the old host drains
	Burst                          // 50% more operations
)

// Fault is a fault that begins At after the start of the run and lasts for Duration. It selects hosts by Zone, Host,
// HostNumber or Fraction.
type Fault struct {
	Kind         FaultKind
	Zone         string // all hosts of a zone; empty: see Host
	Host         string
	HostNumber   int // index of the host from 1, if Host is empty; 0: see Fraction
	At, Duration time.Duration
	RestartAtEnd bool    // hosts restart at the end, in slow start and with their old log position
	Spared       int     // number of selected hosts that the fault leaves out
	Fraction     float64 // of all hosts, evenly distributed, if no zone or host is set; for Kill, of the gateways
	Reconfigure  func(*routing.Router)
}

// Properties of hosts and network.
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

// class is one of the operators' five request classes, with its fraction of the traffic and its range of work.
type class struct {
	routing.Class
	trafficFraction  float64
	minWork, maxWork time.Duration // at a fleet's full load of 120 requests per second
}

// classes are the operators' request classes.
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
