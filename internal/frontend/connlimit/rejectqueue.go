package connlimit

// rejectQueue is a semaphore that bounds how many clients without a slot wait for one or are being rejected at a time.
type rejectQueue chan struct{}

// RejectQueueSize returns how many clients without a slot wait or are being rejected at a time in a limiter with the given
// capacity. Each of them uses a file descriptor in addition to the limiter's.
func RejectQueueSize(capacity int) int { return max(1, min(maxRejectQueue, capacity/4)) }

// EnterRejectQueue takes a queue entry for a client that waits for a slot or is being rejected. It returns false if the
// queue is full. Otherwise the caller must call LeaveRejectQueue once.
func (l *Limiter) EnterRejectQueue() bool {
	select {
	case l.rejectQueue <- struct{}{}:
		return true
	default:
		return false
	}
}

// LeaveRejectQueue frees an entry that EnterRejectQueue has taken.
func (l *Limiter) LeaveRejectQueue() { <-l.rejectQueue }
