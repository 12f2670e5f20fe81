package invariant

import "time"

// Attempt is the state of an attempt whose first byte is about to be written. All times are on one monotonic clock.
type Attempt struct {
	Now            time.Duration
	Deadline       time.Duration // of the client
	LatestStart    time.Duration // by which the attempt has to begin; 0 for any time
	Answered       bool          // the request has had its final answer
	DisconnectedAt time.Duration // when the client was seen to have disconnected; 0 if it is connected
	WithdrawnAt    time.Duration // when the host was notified to be draining or removed; 0 if it is usable
}

// CheckSend returns what an attempt violates if it is written now, and by how much.
func CheckSend(a Attempt) (reason Reason, by time.Duration) {
	switch {
	case a.Answered:
		return RequestEnded, 0
	case a.WithdrawnAt > 0 && a.Now-a.WithdrawnAt > Grace:
		return HostWithdrawn, a.Now - a.WithdrawnAt - Grace
	case a.DisconnectedAt > 0 && a.Now-a.DisconnectedAt > RemovedGrace:
		return ClientDisconnected, a.Now - a.DisconnectedAt - RemovedGrace
	case a.LatestStart > 0 && a.Now-a.LatestStart > Stall:
		return PastLatestStart, a.Now - a.LatestStart - Stall
	case a.Now-a.Deadline > Stall:
		return PastDeadline, a.Now - a.Deadline - Stall
	}
	return None, 0
}
