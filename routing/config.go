package routing

import (
	"time"

	"cranegate/internal/zones"
)

// Consistency states how recent the data of a read must be, or that the request is a write.
type Consistency int

// The consistency levels of a class.
const (
	ConsistencyAny     Consistency = iota // data of any age
	ConsistencyBounded                    // no older than Class.StalenessBound when the attempt is sent
	ConsistencySession                    // includes all that the session has written
	ConsistencyStrong                     // includes all commits before the request's arrival
	ConsistencyWrite                      // a write: the primary only
)

// Effect states what happens if a request runs twice.
type Effect int

// The effects of a class.
const (
	Idempotent      Effect = iota // may be repeated freely
	IdempotentByKey               // members drop repeats of a key, see KeyIsGlobal and IdempotencyTTL
	NonIdempotent                 // must never run twice
)

// StaleReadPolicy states what a member does with a read for which its data is too old.
type StaleReadPolicy int

// The policies of members on stale reads.
const (
	StaleReadServed   StaleReadPolicy = iota // answers from its data
	StaleReadRejected                        // answers ResultMissed at once
	StaleReadDelayed                         // waits up to Config.CatchUpTimeout, then answers ResultMissed
)

// RoleSource states whether the endpoint list names the current primary.
type RoleSource int

// The ways in which an endpoint list names primaries.
const (
	RoleSourceNone    RoleSource = iota // never
	RoleSourceInitial                   // the primaries at the start of the deployment
	RoleSourceDelayed                   // the current primaries, some seconds late
)

// Role is the role of a member in its group.
type Role int

// The roles of members.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Class describes one class of requests.
type Class struct {
	Name                string
	Consistency         Consistency
	StalenessBound      time.Duration // for ConsistencyBounded
	LatencyObjective    time.Duration // an answer within it earns the full PriorityWeight; more than 0
	ObjectiveWorkFactor float64       // the objective grows by this multiple of Request.Work
	Deadline            time.Duration // how long clients wait; more than 0
	PriorityWeight      float64       // value of an answer, relative to other classes
	LateShare           float64       // share of PriorityWeight of an answer after the objective, 0 to 1
	Effect              Effect
	KeyIsGlobal         bool          // IdempotentByKey: all members drop repeats, not only the group's
	IdempotencyTTL      time.Duration // IdempotentByKey: how long repeats are dropped
	Stream              bool          // answers may be streamed
}

// Tenant is a tenant and its quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all gateways; 0 for none
}

// Config is the configuration of a Router.
type Config struct {
	Gateways        int            // how many gateways serve the same members; 1 at least
	Zone            string         // the gateway's own zone
	Zones           *zones.Options // nil: no health of zones, and reads are not distributed by tiers
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // factor on the value of requests over their tenant's quota

	Subscribe       bool          // changes of the endpoint list are sent only to subscribers
	MaxPollInterval time.Duration // with Subscribe: longest time between two calls to discovery

	StaleReads     StaleReadPolicy
	CatchUpTimeout time.Duration // how long a member waits under StaleReadDelayed
	Positions      bool          // every answer carries a position
	PositionEpoch  time.Duration // clock time of position 0
	LocalSessions  bool          // only the serving gateway knows sessions' writes: requests carry none
	RoleSource     RoleSource

	AllowCancel       bool
	AllowHedging      bool
	AllowHealthChecks bool
	MaxAttempts       int           // of one request; 1 at least
	MaxRetryAfter     time.Duration // longest Retry-After that clients honour; 0: clients receive none
	CrossZoneCost     float64       // cost of an attempt to another zone, 0 for none

	// The settings of slow start. A SlowStartDuration of 0 turns it off; otherwise the other three are
	// required.
	SlowStartCapacity float64       // share of its capacity that a member has at its start, 0 to 1
	SlowStartDuration time.Duration // time from a member's start until it has its full capacity
	OverloadFactor    float64       // multiple of a member's current capacity that overloads it
	OverloadWindow    time.Duration // time over which OverloadFactor is measured

	UseRemovedMembers bool // members off the endpoint list may be used unless they were draining
}

// maxDeadline is the longest deadline of any class.
func (c *Config) maxDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
