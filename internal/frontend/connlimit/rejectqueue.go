package connlimit

// rejectQueue bounds the clients without a slot that are served at a time. It holds one element for each.
type rejectQueue chan struct{}

// RejectQueueSize returns how many clients a limiter of so many slots keeps waiting or rejects at a time. Each of them holds a
// descriptor in addition to the limiter's.
func RejectQueueSize(capacity int) int { return max(1, min(maxRejectQueue, capacity/4)) }

// EnterRejectQueue takes an entry for a client that waits for a slot or is being rejected. It returns false where the
// queue is full. The caller calls LeaveRejectQueue once.
func (l *Limiter) EnterRejectQueue() bool {
	select {
	case l.rejectQueue <- struct{}{}:
		return true
	default:
		return false
	}
}

// LeaveRejectQueue returns an entry that EnterRejectQueue has taken.
func (l *Limiter) LeaveRejectQueue() { <-l.rejectQueue }
