// Package zones determines the health of availability zones and distributes reads among tiers of zones.
//
// The package is a pure state machine: it reads no clock, performs no I/O and starts no goroutine. The routing package
// reports its observations of each member (BeginRound, Observe, EndRound) and asks for a zone's state, whether a member
// is down together with its zone, and to which tier a read should go. The package never chooses a member and never makes
// one eligible: the routing package checks freshness, draining and slow-start budgets before.
//
// Detection sums evidence over the members of a zone. A member that has been silent for x times its expected latency is
// alive with a probability of about e^-x. While the zone is up, the silences of its members are independent, so their
// sum shows a zone outage long before any single member could be declared down. A single unhealthy member cannot take
// a zone down: its share of the sum is capped, and at least two members must be silent.
package zones

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxTiers bounds the number of tiers, including the one for zones that the configuration does not name.
const maxTiers = 8

// State is the health of a zone.
type State int

// The states of a zone. Recovering leads from Down back to Healthy.
const (
	Healthy    State = iota // all members that were contacted answer
	Impaired                // some members are unhealthy, warming up or lagging, but the zone as a whole is up
	Down                    // no member that was contacted answers
	Recovering              // members answer again; reads return gradually
)

// stateNames are part of the names of counters (zone_lost, zone_returning) and of log lines.
var stateNames = [...]string{"healthy", "impaired", "lost", "returning"}

// String returns the name of the state as counters and logs show it.
func (s State) String() string { return stateNames[s] }

// Zone is the health record of one zone.
type Zone struct {
	Name  string
	tier  int
	state State

	downAt          time.Duration   // when the zone was last declared down
	outages         []time.Duration // when the outages within flapMemory were declared
	recoveringSince time.Duration   // when a member first answered after downAt; 0 for none
	rampStart       time.Duration   // when the recovery ramp began
	rampDuration    time.Duration   // length of the recovery ramp
	rtt             time.Duration   // health check round trip, near its minimum
	doubtful        bool

	round round
}

// round holds the observations of one round, summed over the members of a zone.
type round struct {
	members   int
	pending   int // members with an attempt or health check that is in flight or ended unanswered
	silent    int // pending members that have been silent for at least minSilence
	recovered int // members that have answered since the zone went down
	unhealthy int

	jointSilence    float64 // sum of the silences, in multiples of the expected latency
	usableCapacity  float64
	capacity        float64
	expectedLatency float64 // the longest of any member, in ns
	lastHeard       time.Duration
}

// State returns the zone's health.
func (z *Zone) State() State { return z.state }

// Tier returns the zone's position in the order of preference, 0 for the best.
func (z *Zone) Tier() int { return z.tier }

// Change is a transition of a zone from one state to another.
type Change struct {
	Zone     string
	From, To State
	Reason   string // the evidence, as key=value pairs
}

// String formats the change for a log line.
func (c Change) String() string {
	return fmt.Sprintf("zone=%q from=%s to=%s %s", c.Zone, c.From, c.To, c.Reason)
}

// Zones holds the health of all zones as one gateway sees them. It is not safe for concurrent use.
type Zones struct {
	options     Options
	rng         *rand.Rand
	zones       []*Zone // sorted by name
	now         time.Duration
	tiers       int
	nextReorder time.Duration // when tiers are next ordered by round trip
	changes     []Change      // not yet returned by Changes

	// Reads routed since the last call of Metrics, by tier.
	configured     [maxTiers]float64 // sum of the configured weights
	routed         [maxTiers]float64 // reads that went there
	pendingWeights [maxTiers]float64 // weights of the last read for which Draw was called
	pendingRead    bool              // that read has not been routed or discarded yet
}

// New returns the Zones of one gateway. The seed determines the jitter that keeps gateways from returning reads to a zone
// at the same pace. It returns an error if the options are invalid.
func New(o Options, seed uint64) (*Zones, error) {
	z := &Zones{rng: rand.New(rand.NewPCG(seed, 7))}
	return z, z.Configure(o)
}

// Configure replaces the options, as on a configuration reload. The states of the zones do not change.
func (z *Zones) Configure(o Options) error {
	if err := o.Check(); err != nil {
		return fmt.Errorf("zones: %w", err)
	}
	if o.Overprovision == 0 {
		o.Overprovision = DefaultOverprovision
	}
	if o.RecoveryDelay == 0 {
		o.RecoveryDelay = DefaultRecoveryDelay
	}
	if o.RecoveryRamp == 0 {
		o.RecoveryRamp = DefaultRecoveryRamp
	}
	z.options, z.nextReorder = o, 0
	z.assignTiers()
	return nil
}

// SpilloverEnabled reports whether reads are distributed among tiers under the present options.
func (z *Zones) SpilloverEnabled() bool { return !z.options.DetectOnly }

// Zone returns the zone of this name and creates it if needed. Members whose zone is not known share the zone without a name,
// which is never declared down.
func (z *Zones) Zone(name string) *Zone {
	i, ok := slices.BinarySearchFunc(z.zones, name, func(zone *Zone, n string) int { return strings.Compare(zone.Name, n) })
	if !ok {
		z.zones = slices.Insert(z.zones, i, &Zone{Name: name})
		z.assignTiers()
	}
	return z.zones[i]
}

// maxChanges bounds the changes that Changes has not returned yet; later ones are dropped.
const maxChanges = 64

// setState moves a zone to another state and records the change.
func (z *Zones) setState(zone *Zone, to State, reason string) {
	if len(z.changes) < maxChanges {
		z.changes = append(z.changes, Change{Zone: zone.Name, From: zone.state, To: to, Reason: reason})
	}
	zone.state = to
}

// Changes returns the transitions since the last call.
func (z *Zones) Changes() []Change {
	c := z.changes
	z.changes = nil
	return c
}
