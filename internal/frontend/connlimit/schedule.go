package connlimit

import (
	"time"

	"cranegate/internal/frontend/drain"
)

// Schedule returns the drain schedule, or nil while the gateway is not draining.
func (l *Limiter) Schedule() *drain.Schedule { return l.schedule.Load() }

// Draining reports whether client connections are being closed.
func (l *Limiter) Draining() bool { return l.Schedule() != nil }

// Drain starts a drain: all client connections are closed, each right after an answer or while idle. New clients are still
// accepted, for one request each. Drain has no effect while the gateway is draining.
func (l *Limiter) Drain() {
	l.reschedule(func(s *drain.Schedule) *drain.Schedule {
		if s != nil {
			return s
		}
		return drain.Start(time.Now(), l.maxDeadline)
	})
}

// Undrain ends a drain. Connections that are already being closed are not kept. It returns false, and the drain continues,
// if the process is shutting down or another process accepts the clients.
func (l *Limiter) Undrain() bool {
	return l.reschedule(func(s *drain.Schedule) *drain.Schedule {
		if s.Final() {
			return s
		}
		return nil
	}) == nil
}

// Shutdown starts a drain that cannot be undone, because the process ends.
func (l *Limiter) Shutdown() {
	l.reschedule(func(s *drain.Schedule) *drain.Schedule { return s.Stop(time.Now(), l.maxDeadline) })
}

// Handover starts a drain that lasts while another process accepts the clients.
func (l *Limiter) Handover() {
	l.reschedule(func(s *drain.Schedule) *drain.Schedule { return s.Handover(time.Now()) })
}

// CancelHandover undoes Handover after the other process has ended.
func (l *Limiter) CancelHandover() { l.reschedule((*drain.Schedule).CancelHandover) }

// reschedule replaces the drain schedule by the result of next and returns it. If it has changed, all clients are woken.
// next runs with l.mu held.
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
