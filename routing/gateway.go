package routing

import (
	"time"

	"cranegate/internal/zones"
)

// ConnPolicy selects the connection that a health check uses.
type ConnPolicy int

// The connections that a health check may use.
const (
	ConnAny    ConnPolicy = iota
	ConnNew               // a new one; idle ones stay open, as they may prove later that the process survived
	ConnOldest            // the connection that has been idle longest
)

// Gateway carries out the decisions of a Router. The Router calls it from within its own event methods.
type Gateway interface {
	// Send starts the next attempt of a request. The attempt is abandoned at abandonAt. It is not sent at
	// all if its first byte would be written at startBy or later, because by then the answer would be
	// useless, the request might run twice, or the data for a read might be too stale.
	Send(request uint64, member string, abandonAt, startBy time.Duration)
	// Cancel abandons one attempt.
	Cancel(request uint64, attempt int)
	// Reject gives a final answer with a Retry-After: nothing ran, or a retry by the client does no harm.
	Reject(request uint64, retryAfter time.Duration, reason Reason)
	// Fail gives a final answer that leaves open whether the request ran.
	Fail(request uint64, reason Reason)
	// CloseIdle closes the gateway's idle connections to a member.
	CloseIdle(member string)
	// CheckHealth starts a health check of a member.
	CheckHealth(member string, policy ConnPolicy)
	// SetTimer requests a call of Router.Timer with this name after a delay.
	SetTimer(after time.Duration, name string)
	// Subscribe turns the subscription to changes of the endpoint list on or off.
	Subscribe(on bool)
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints()
	// ZoneChanged reports a change of a zone's health.
	ZoneChanged(change zones.Change)
	// Log writes a line for operators.
	Log(text string)
}
