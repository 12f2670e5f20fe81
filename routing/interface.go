// Package routing makes the decisions of a query router for sharded, replicated databases.
//
// This file holds the types at the module's edge and nothing else: the configuration, the events that a
// gateway hands in, and the actions that the module asks for. The decisions stand beside it, a file for each concern:
//
//   - router.go: the state of a gateway;
//   - events.go: what it is told, and when it looks again;
//   - evidence.go: the one place where positions, roles, latencies and health are learned;
//   - primary.go: finding the primary;
//   - choose.go: the member for a read, by row utility x freshness x chance of answering in time;
//   - latency.go: that chance;
//   - attempts.go: sends, second copies, cancels and ends;
//   - admit.go: who is refused while answers come too late;
//   - slowstart.go: what warming members may be sent;
//   - healthcheck.go: who is probed;
//   - endpoints.go: the endpoint list, drains and the subscription to it.
//
// In their comments "usual" is the learned round trip of a class, the unit of most measures.
package routing

import (
	"time"

	"cranegate/internal/zones"
)

// Need says how recent the data behind a read must be, or that the request is a write.
type Consistency int

// The needs of a class.
const (
	ConsistencyAny     Consistency = iota // any member may answer
	ConsistencyBounded                    // no older than Class.Bound at the time of the send
	ConsistencySession                    // all that the session has written
	ConsistencyStrong                     // all commits before the request's arrival
	ConsistencyWrite                      // the primary only
)

// Effect says what a repeat of a request does.
type Effect int

// The effects of a class.
const (
	Idempotent      Effect = iota // may be repeated freely
	IdempotentByKey               // repeats are dropped inside a scope for a time
	NonIdempotent                 // must never run twice
)

// Guard says what a member does with a read for which it lags too far.
type StaleReadPolicy int

// The guards of a site.
const (
	StaleReadServed   StaleReadPolicy = iota // answers from what it has
	StaleReadRejected                        // misses at once
	StaleReadDelayed                         // waits a while, then misses
)

// RoleSource says how the member list follows the role of primary.
type RoleSource int

// The ways a list tells roles.
const (
	RoleSourceNone    RoleSource = iota // never told
	RoleSourceInitial                   // as at the start of the day
	RoleSourceDelayed                   // some seconds late
)

// Role is what a member said it was.
type Role int

// The roles.
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
	LatencyObjective    time.Duration // an answer inside it earns full worth
	ObjectiveWorkFactor float64       // the aim grows by this multiple of the request's own work
	Deadline            time.Duration
	PriorityWeight      float64
	LateShare           float64 // share of Worth paid after the aim
	Effect              Effect
	KeyIsGlobal         bool          // Keyed: every member drops repeats, not only the group
	IdempotencyTTL      time.Duration // Keyed: how long a repeat is dropped
	Stream              bool
}

// Tenant is one tenant's share.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all gateways; 0 for none
}

// Config is what a gateway is told when it starts.
type Config struct {
	Gateways        int // how many gateways there are
	Zone            string
	Zones           *zones.Options // nil: zones are not judged, and reads are not shared out by tiers
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // worth of a request past its tenant's share

	Subscribe       bool          // changes of the list come only to those who ask
	MaxPollInterval time.Duration // Subscribe: longest time between two questions

	StaleReads     StaleReadPolicy
	CatchUpTimeout time.Duration
	Positions      bool // every answer carries a position
	PositionEpoch  time.Duration
	LocalSessions  bool // session marks are this gateway's own memory, not carried by the request
	RoleSource     RoleSource

	AllowCancel       bool
	AllowHedging      bool
	AllowHealthChecks bool
	MaxAttempts       int
	MaxRetryAfter     time.Duration // longest advice when to come back that clients heed; 0: none reaches them
	CrossZoneCost     float64       // points lost for an attempt across zones

	SlowStartCapacity float64       // a member starts with at least this share of its capacity
	SlowStartDuration time.Duration // and is warm within this time
	OverloadFactor    float64       // sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long, a cold member falls over
	UseRemovedMembers bool          // gone alone does not forbid a send
}

// EndpointListKind is the kind of a message about the member list.
type EndpointListKind int

// The kinds of list message.
const (
	EndpointListPatch    EndpointListKind = iota // changed entries only
	EndpointListComplete                         // the complete list
	EndpointListStale                            // the complete list as last held, possibly old
	EndpointListFailed                           // a question or the subscription failed
)

// Phase is the state of a list entry.
type Phase int

// The phases.
const (
	PhaseServing Phase = iota
	PhaseDraining
	PhaseRemoved
)

// Entry is one member of the list.
type Endpoint struct {
	Member    string
	Group     int
	Phase     Phase
	Zone      string
	Capacity  float64
	Primary   bool
	StartedAt time.Duration // 0: long ago
}

// EndpointList is news of the list.
type EndpointList struct {
	Kind      EndpointListKind
	Endpoints []Endpoint
}

// Request is one client request.
type Request struct {
	ID         uint64
	Class      int // index into Config.Classes
	Tenant     int // index into Config.Tenants, -1 for none
	Session    string
	Remaining  time.Duration // until the client gives this try up
	Work       time.Duration // hint, 0 for none
	Group      int
	SinceWrite time.Duration // since the session's last commit, 0 for none
	Retry      bool          // the client marked it as a repeat
}

// Result says how an attempt or a probe ended.
type Result int

// The results.
const (
	ResultError Result = iota
	ResultOK
	ResultOverCapacity
	ResultTimeout
	ResultConnectFailed
	ResultReset
	ResultCancelled
	ResultNotSent
	ResultMissed
	ResultMalformed        // an answer that can't be read: it may have run
	ResultInvalidStatement // no member can use the statement, and nothing ran
)

// Report is what a member last said of itself, somewhat old.
type Report struct {
	HasPosition bool
	Position    int64 // milliseconds after Config.PositionEpoch
	Role        Role
}

// Conn says which connection a probe goes by.
type ConnPolicy int

// The kinds of connection.
const (
	ConnAny    ConnPolicy = iota
	ConnNew               // a new one: those that are idle stay, and may show later that the process has lived on
	ConnOldest            // the one that has been idle longest
)

// Outcome is the end of one attempt.
type Outcome struct {
	ConnectedAt time.Duration // when the connection came up that an answer came by; 0 if not known
	Request     uint64
	Attempt     int
	Member      string
	Result      Result
	Latency     time.Duration
	Closed      bool // the request has its final answer
	Role        Role
	Position    int64 // milliseconds after Config.PositionEpoch, 0 if not told
	Report      Report
}

// HealthCheckResult is the end of a probe.
type HealthCheckResult struct {
	ConnectedAt time.Duration // as an outcome's
	Member      string
	Result      Result
	Latency     time.Duration
	Report      Report
}

// Gateway is what the module may ask of its host.
type Gateway interface {
	// Send starts the next attempt of a request; it is abandoned at the given clock time, and never written where its
	// first byte would go out at beginBy or later: one that waits for a connection may be repeated or read too late.
	Send(request uint64, member string, abandonAt, beginBy time.Duration)
	// Cancel abandons one attempt.
	Cancel(request uint64, attempt int)
	// Refuse is a final answer that promises that nothing ran, with advice when to come back.
	Reject(request uint64, comeBack time.Duration, why Reason)
	// Fail is a final answer that promises nothing.
	Fail(request uint64, why Reason)
	// Close shuts our idle connections to a member.
	CloseIdle(member string)
	// Probe examines a member over a connection of a kind.
	CheckHealth(member string, by ConnPolicy)
	// SetTimer asks for a Timer event.
	SetTimer(after time.Duration, name string)
	// Subscribe asks for changes of the member list.
	Subscribe(on bool)
	// FetchEndpoints asks for the whole list once.
	FetchEndpoints()
	// ZoneChanged tells that a zone has come into another state.
	ZoneChanged(c zones.Change)
	// Log writes a line for people.
	Log(text string)
}
