package routing

import (
	"time"

	"cranegate/internal/zones"
)

// ConnPolicy is which connection a health check uses.
type ConnPolicy int

// The connections that a health check may use.
const (
	ConnAny    ConnPolicy = iota
	ConnNew               // a new one: idle ones are kept, as they may prove later that the process has survived
	ConnOldest            // the one that has been idle longest
)

// Gateway is the host of a Router: it carries out what the Router decides. The Router calls it from within
// its own event methods.
type Gateway interface {
	// Send starts the next attempt of a request. The attempt is abandoned at abandonAt. It is not sent at
	// all if its first byte would be written at startBy or later: by then a retry may run twice, or a read
	// may be too stale.
	Send(request uint64, member string, abandonAt, startBy time.Duration)
	// Cancel abandons one attempt.
	Cancel(request uint64, attempt int)
	// Reject gives a final answer that guarantees that nothing ran, with a Retry-After.
	Reject(request uint64, retryAfter time.Duration, reason Reason)
	// Fail gives a final answer that guarantees nothing.
	Fail(request uint64, reason Reason)
	// CloseIdle closes the gateway's idle connections to a member.
	CloseIdle(member string)
	// CheckHealth starts a health check of a member.
	CheckHealth(member string, policy ConnPolicy)
	// SetTimer requests a call of Router.Timer with this name.
	SetTimer(after time.Duration, name string)
	// Subscribe requests changes of the endpoint list.
	Subscribe(on bool)
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints()
	// ZoneChanged reports that a zone has changed its state.
	ZoneChanged(change zones.Change)
	// Log writes a line for operators.
	Log(text string)
}
