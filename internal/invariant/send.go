package invariant

import "time"

// Attempt is the state of an attempt whose first byte is about to be written. All times are on one monotonic clock.
type Attempt struct {
	Now            time.Duration
	Deadline       time.Duration // of the client
	LatestStart    time.Duration // the time by which the attempt has to start; 0 if there is none
	Answered       bool          // the request already has its final answer
	DisconnectedAt time.Duration // when the client was seen to have disconnected; 0 if it is connected
	WithdrawnAt    time.Duration // when the host was notified to be draining or removed; 0 if it is usable
}

// CheckSend returns the reason why an attempt violates the rule Send if it is written now, or None, and by how much a time limit is
// exceeded.
func CheckSend(a Attempt) (reason Reason, by time.Duration) {
	switch {
	case a.Answered:
		return RequestEnded, 0
	case a.WithdrawnAt > 0 && a.Now-a.WithdrawnAt > DrainGrace:
		return HostWithdrawn, a.Now - a.WithdrawnAt - DrainGrace
	case a.DisconnectedAt > 0 && a.Now-a.DisconnectedAt > DisconnectGrace:
		return ClientDisconnected, a.Now - a.DisconnectedAt - DisconnectGrace
	case a.LatestStart > 0 && a.Now-a.LatestStart > SuspensionGrace:
		return PastLatestStart, a.Now - a.LatestStart - SuspensionGrace
	case a.Now-a.Deadline > SuspensionGrace:
		return PastDeadline, a.Now - a.Deadline - SuspensionGrace
	}
	return None, 0
}
