package invariant

import "time"

// Attempt is what holds as the first byte of an attempt is about to be written. All times are on one monotonic clock.
type Attempt struct {
	Now         time.Duration
	Deadline    time.Duration // when the client's wait is over
	Latest      time.Duration // when it has to have begun; 0: any time
	Answered    bool          // the request has its final answer
	LeftAt      time.Duration // since when the client is known to have left; 0: it is there
	WithdrawnAt time.Duration // since when the host is known to drain or to be off the list; 0: it is usable
}

// CheckSend says which rule an attempt violates if it is written now, and by how much.
func CheckSend(a Attempt) (Reason, time.Duration) {
	switch {
	case a.Answered:
		return RequestEnded, 0
	case a.WithdrawnAt > 0 && a.Now-a.WithdrawnAt > Grace:
		return HostWithdrawn, a.Now - a.WithdrawnAt - Grace
	case a.LeftAt > 0 && a.Now-a.LeftAt > RemovedGrace:
		return ClientDisconnected, a.Now - a.LeftAt - RemovedGrace
	case a.Latest > 0 && a.Now-a.Latest > Stall:
		return PastLatest, a.Now - a.Latest - Stall
	case a.Now-a.Deadline > Stall:
		return PastDeadline, a.Now - a.Deadline - Stall
	}
	return None, 0
}
