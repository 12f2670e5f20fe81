package routing

import (
	"time"

	"cranegate/internal/zones"
)

// Consistency is how recent the data behind a read must be, or that the request is a write.
type Consistency int

// The consistency levels of a class.
const (
	ConsistencyAny     Consistency = iota // data of any age
	ConsistencyBounded                    // no older than Class.StalenessBound when the attempt is sent
	ConsistencySession                    // includes all that the session has written
	ConsistencyStrong                     // includes all commits before the request's arrival
	ConsistencyWrite                      // a write: the primary only
)

// Effect is what it does to run a request twice.
type Effect int

// The effects of a class.
const (
	Idempotent      Effect = iota // may be repeated freely
	IdempotentByKey               // members drop repeats within a scope, for Class.IdempotencyTTL
	NonIdempotent                 // must never run twice
)

// StaleReadPolicy is what a member does with a read that it lags too far behind for.
type StaleReadPolicy int

// The policies of members on stale reads.
const (
	StaleReadServed   StaleReadPolicy = iota // answers from the data that it has
	StaleReadRejected                        // answers ResultMissed at once
	StaleReadDelayed                         // waits up to Config.CatchUpTimeout, then answers ResultMissed
)

// RoleSource is how the endpoint list follows the role of primary.
type RoleSource int

// The ways in which an endpoint list tells roles.
const (
	RoleSourceNone    RoleSource = iota // never
	RoleSourceInitial                   // as they were when the deployment started
	RoleSourceDelayed                   // as they are, some seconds late
)

// Role is what a member says that it is.
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
	PriorityWeight      float64       // what an answer is worth in relation to other classes
	LateShare           float64       // share of PriorityWeight that an answer after the objective earns, 0 to 1
	Effect              Effect
	KeyIsGlobal         bool          // IdempotentByKey: every member drops repeats, not only the group's
	IdempotencyTTL      time.Duration // IdempotentByKey: how long a repeat is dropped
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
	Zones           *zones.Options // nil: zones are not judged, and reads are not distributed by tiers
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // factor on the value of a request over its tenant's quota

	Subscribe       bool          // changes of the endpoint list are sent only to subscribers
	MaxPollInterval time.Duration // Subscribe: longest time between two calls to discovery

	StaleReads     StaleReadPolicy
	CatchUpTimeout time.Duration // how long a member waits under StaleReadDelayed
	Positions      bool          // every answer carries a position
	PositionEpoch  time.Duration // clock time of position 0
	LocalSessions  bool          // sessions' last writes are known to this gateway only, not carried by requests
	RoleSource     RoleSource

	AllowCancel       bool
	AllowHedging      bool
	AllowHealthChecks bool
	MaxAttempts       int           // of one request; 1 at least
	MaxRetryAfter     time.Duration // longest Retry-After that clients honour; 0: none reaches them
	CrossZoneCost     float64       // cost of an attempt to another zone; 0: zones do not matter

	// The settings of slow start. A SlowStartDuration of 0 turns it off; else the other three are required.
	SlowStartCapacity float64       // share of its capacity that a member has when it starts, 0 to 1
	SlowStartDuration time.Duration // time from its start until it has its full capacity
	OverloadFactor    float64       // a member that is sent more than this multiple of its present capacity
	OverloadWindow    time.Duration // over this time is overloaded

	UseRemovedMembers bool // members off the endpoint list may be sent work unless they were draining
}

// maxDeadline is the longest deadline of any class.
func (c *Config) maxDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
