// Package simwire reads and writes the simulator's text protocol. It maps the protocol's words to the types of package routing and makes
// no decisions.
package simwire

import (
	"time"

	"cranegate/routing"
)

// The messages that the simulator sends. The constants map their names to the gateway's terms. A batch consists of a "tick" with its
// clock time, one event on each line, and "over_to_you". A "list" is an endpoint list with an "entry" for each endpoint. It has a number,
// by which events refer to it.
const (
	messageBatchStart = "tick"
	messageBatchEnd   = "over_to_you"

	messageEndpointList = "list"
	messageEndpoint     = "entry"

	messageOpenInstance       = "open_instance"
	messageCloseInstance      = "detach"
	messageEndpointsChanged   = "roster_change"
	messageRequest            = "knock"
	messageOutcome            = "reply"
	messageAnswerStarted      = "ack_first"
	messageClientDisconnected = "hangup"
	messageTimerFired         = "tick_due"
	messageHealthCheckResult  = "probed"
	messageDatagram           = "datagram"
)

// The messages of a reply: one for each method of routing.Gateway, "bug" for a failure of the decision code, and "next" at the end.
const (
	messageSend           = "try"
	messageCancel         = "drop_attempt"
	messageReject         = "busy"
	messageFail           = "surrender"
	messageCloseIdle      = "close"
	messageCheckHealth    = "sound_out"
	messageSetTimer       = "set_alarm"
	messageSubscribe      = "keep_informed"
	messageFetchEndpoints = "lookup"
	messageLog            = "debug"
	messageBug            = "bug"
	messageReplyEnd       = "next"
)

// absent is written in place of a value that is missing.
const absent = "-"

var phaseByWord = map[string]routing.Phase{
	"on":     routing.PhaseServing,
	"fading": routing.PhaseDraining,
	"off":    routing.PhaseRemoved,
}

var listKindByWord = map[string]routing.EndpointListKind{
	"patch":      routing.EndpointListPatch,
	"whole":      routing.EndpointListComplete,
	"stale_copy": routing.EndpointListStale,
	"broken":     routing.EndpointListFailed,
}

// The columns of a load report that are used, by their names in the settings.
const (
	columnPosition = "x0" // in seconds
	columnPrimary  = "x1" // 1 for a primary, 0 for a replica
)

// The bits of the last value of a request message.
const (
	flagWorkKnown = 1
	flagRetry     = 2
)

// Event is one event for one instance. Payload is one of the types below, or a routing.EndpointList, routing.Request, routing.Outcome or
// routing.HealthCheckResult.
type Event struct {
	Instance string
	Payload  any
}

// InstanceOpened starts an instance.
type InstanceOpened struct {
	Seed   uint64
	Config routing.Config
}

// InstanceClosed ends an instance.
type InstanceClosed struct{}

// ClientDisconnected reports that the client of a request has closed its connection.
type ClientDisconnected struct{ Request uint64 }

// TimerFired reports that a timer has expired.
type TimerFired struct{ Name string }

// AnswerStarted reports that a streamed answer has begun.
type AnswerStarted struct {
	Request uint64
	Attempt int
}

// Datagram is a message from another instance.
type Datagram struct {
	From    int
	Payload []byte
}

// Batch holds the events of one clock time.
type Batch struct {
	Now    time.Duration
	Events []Event
}
