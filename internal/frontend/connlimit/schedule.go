package connlimit

import (
	"time"

	"cranegate/internal/frontend/drain"
)

// Schedule returns the drain schedule, nil while the gateway is not draining.
func (l *Limiter) Schedule() *drain.Schedule { return l.schedule.Load() }

// Draining reports whether client connections are being closed.
func (l *Limiter) Draining() bool { return l.Schedule() != nil }

// Drain closes all client connections, each at a time when no request can cross the close. New clients are still
// accepted, for one request each. It does nothing while the gateway is draining.
func (l *Limiter) Drain() {
	l.reschedule(func(s *drain.Schedule) *drain.Schedule {
		if s != nil {
			return s
		}
		return drain.Start(time.Now(), l.maxDeadline)
	})
}

// Undrain ends a drain; connections that are being closed are closed. It returns false where the process shuts down or
// another one has taken over, and the drain goes on.
func (l *Limiter) Undrain() bool {
	return l.reschedule(func(s *drain.Schedule) *drain.Schedule {
		if s.Final() {
			return s
		}
		return nil
	}) == nil
}

// Shutdown drains for good, as the process ends.
func (l *Limiter) Shutdown() {
	l.reschedule(func(s *drain.Schedule) *drain.Schedule { return s.Stop(time.Now(), l.maxDeadline) })
}

// Handover drains while another process accepts the clients.
func (l *Limiter) Handover() {
	l.reschedule(func(s *drain.Schedule) *drain.Schedule { return s.Handover(time.Now()) })
}

// CancelHandover undoes Handover, as the other process has ended.
func (l *Limiter) CancelHandover() { l.reschedule((*drain.Schedule).CancelHandover) }

// reschedule replaces the drain schedule, wakes all clients where it has changed, and returns it. The lock is held while
// next runs.
func (l *Limiter) reschedule(next func(*drain.Schedule) *drain.Schedule) *drain.Schedule {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.schedule.Load()
	current := next(previous)
	if current == previous {
		return current
	}
	l.schedule.Store(current)
	for s := range l.slots {
		s.wake()
	}
	return current
}
