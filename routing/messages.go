package routing

import "time"

// EndpointListKind is the kind of an endpoint list message.
type EndpointListKind int

// The kinds of endpoint list messages.
const (
	EndpointListPatch    EndpointListKind = iota // changed endpoints only
	EndpointListComplete                         // the complete list
	EndpointListStale                            // the complete list as last known, possibly out of date
	EndpointListFailed                           // a call to discovery or the subscription failed
)

// Phase is the lifecycle phase of an endpoint.
type Phase int

// The phases of an endpoint.
const (
	PhaseServing Phase = iota
	PhaseDraining
	PhaseRemoved
)

// Endpoint is one member of the endpoint list.
type Endpoint struct {
	Member    string // the member's id
	Group     int    // the replication group that it belongs to
	Phase     Phase
	Zone      string
	Capacity  float64 // relative to other members; 0 for unknown
	Primary   bool
	StartedAt time.Duration // 0: long ago
}

// EndpointList is a message of the endpoint list.
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
	Remaining  time.Duration // until the client stops waiting
	Work       time.Duration // expected processing time as hinted by the client, 0 for none
	Group      int
	SinceWrite time.Duration // since the session's last commit, 0 for none
	Retry      bool          // the client marked the request as a retry
}

// Result is how an attempt or a health check ended.
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
	ResultMissed           // the member lags too far, or is not the primary: nothing ran
	ResultMalformed        // the answer can't be parsed: the request may have run
	ResultInvalidStatement // no member can execute the statement: nothing ran
)

// Report is a member's last report about itself. It may be seconds old.
type Report struct {
	HasPosition bool
	Position    int64 // milliseconds after Config.PositionEpoch
	Role        Role
}

// Outcome is the end of one attempt.
type Outcome struct {
	ConnectedAt time.Duration // when the connection that carried the answer was established; 0 if not known
	Request     uint64
	Attempt     int
	Member      string
	Result      Result
	Latency     time.Duration
	Closed      bool // the request has its final answer, or needs none any more
	Role        Role
	Position    int64 // milliseconds after Config.PositionEpoch, 0 if not reported
	Report      Report
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	ConnectedAt time.Duration // as in Outcome
	Member      string
	Result      Result
	Latency     time.Duration
	Report      Report
}
