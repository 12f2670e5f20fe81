// Package connlimit limits the client connections of a gateway, one file descriptor each, across all protocols.
//
// If every slot is in use, idle clients are evicted for new ones, so that unused connections do not keep other clients
// out. The gateway's own connections reserve descriptors of the same limit. The limiter also owns the drain schedule,
// because a change of the schedule has to wake every client.
package connlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/frontend/drain"
)

// EvictionCloseTimeout is how long an evicted client has to close its side before the gateway closes the connection.
const EvictionCloseTimeout = 50 * time.Millisecond

const (
	newClientIdleTimeout  = 100 * time.Millisecond // idle time before a client that has sent no request may be evicted
	idleTimeout           = 250 * time.Millisecond // idle time before any other client may be evicted, the longest idle first
	maxAcquireWait        = 300 * time.Millisecond // a client rejected by then has time left to try another gateway
	evictionRetryInterval = 10 * time.Millisecond  // wait before evicting another client if the evicted one became active again
	maxSurplusEvictions   = 4                      // per client that becomes idle
	maxRejectQueue        = 8                      // clients that wait for a slot or are being rejected; below 32 slots a quarter of them
)

// Limiter hands out slots for client connections. It is safe for concurrent use.
type Limiter struct {
	capacity    int // descriptors, shared by clients and reservations
	rejectQueue rejectQueue

	schedule atomic.Pointer[drain.Schedule] // nil while not draining

	mu          sync.Mutex
	clientLimit int            // most slots for clients; capacity less reserved applies if that is smaller
	reserved    int            // number of granted and pending reservations
	released    chan struct{}  // closed on the next release; nil if no goroutine waits for one
	waiting     int            // number of Acquire calls in progress
	maxDeadline time.Duration  // the longest deadline of all request classes
	minDeadline time.Duration  // the shortest deadline of all request classes, zero if none is known
	slots       map[*Slot]bool // slots in use by clients
	closing     int            // number of these slots in stateClosing
	keepIdle    bool           // idle clients are evicted only if no slot is free
}

// New returns a limiter with the given number of descriptors.
func New(capacity int) *Limiter {
	return &Limiter{
		capacity:    capacity,
		clientLimit: capacity,
		rejectQueue: make(rejectQueue, RejectQueueSize(capacity)),
		slots:       map[*Slot]bool{},
	}
}

// ObserveDeadline records a request class's deadline. The longest deadline bounds the time that a shutdown takes, the
// shortest one bounds how long a new client waits for a slot.
func (l *Limiter) ObserveDeadline(deadline time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.minDeadline == 0 || deadline < l.minDeadline {
		l.minDeadline = deadline
	}
	l.maxDeadline = max(l.maxDeadline, deadline)
}

// MaxDeadline returns the longest deadline observed.
func (l *Limiter) MaxDeadline() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxDeadline
}

// InUse returns the number of slots in use by clients.
func (l *Limiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// FreeShare returns the share of client slots that are free, from 0 to 1.
func (l *Limiter) FreeShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, 1-float64(len(l.slots))/float64(l.available()))
}

// SetEvictIdle sets whether idle clients are evicted while there are free slots left. They are by default.
func (l *Limiter) SetEvictIdle(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keepIdle = !on
}

// Resize sets the number of slots for clients. If more are in use, no client is evicted at once. Idle clients are evicted
// later, each time that a client becomes idle, within the limits of evictSurplusIdle.
func (l *Limiter) Resize(clientLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientLimit = max(1, clientLimit)
}

// TryAcquire takes a slot for a client. It returns false if none is free.
func (l *Limiter) TryAcquire(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.slots) >= l.available() {
		return false
	}
	l.transition(s, stateActive)
	return true
}

// Acquire waits for a slot and evicts an idle client if needed. It returns false if no slot will be free soon: no client is
// idle, or none reaches its idle timeout within 0.3 s or, if that is shorter, half of the shortest deadline less
// EvictionCloseTimeout. It also returns false if no evicted client has freed its slot EvictionCloseTimeout after that.
func (l *Limiter) Acquire(s *Slot) bool {
	l.mu.Lock()
	l.waiting++
	deadline := time.Now().Add(l.acquireWait())
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
	}()
	for {
		now := time.Now()
		acquired, evictableAt, released := l.acquireOrEvict(s, now)
		switch {
		case acquired:
			return true
		case evictableAt.IsZero():
			return false
		case evictableAt.After(now) && evictableAt.After(deadline):
			return false
		case now.After(deadline.Add(EvictionCloseTimeout)):
			return false
		}
		wait := evictableAt.Sub(now)
		if wait <= 0 {
			wait = evictionRetryInterval
		}
		select {
		case <-released:
		case <-time.After(wait):
		}
	}
}

// acquireWait returns how long a new client waits for a slot. l.mu is held.
func (l *Limiter) acquireWait() time.Duration {
	if l.minDeadline == 0 {
		return maxAcquireWait
	}
	return min(maxAcquireWait, max(0, l.minDeadline/2-EvictionCloseTimeout))
}

// acquireOrEvict takes a slot if one is free. Otherwise it evicts the client whose idle timeout ends first, once that has
// ended, unless already as many evicted clients are being disconnected as there are calls of Acquire. It returns the time
// at which the next client may be evicted, and a channel that is closed on the next release. The time is zero if no client
// is idle, and now if an evicted client's slot is awaited: the caller has to call again after a release or a short wait.
func (l *Limiter) acquireOrEvict(s *Slot, now time.Time) (acquired bool, evictableAt time.Time, released <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.slots) < l.available() {
		l.transition(s, stateActive)
		return true, now, nil
	}
	released = l.nextRelease()
	if l.closing >= l.waiting { // each evicted client has up to EvictionCloseTimeout to close its side
		return false, now, released
	}
	var first *Slot
	for candidate := range l.slots {
		if !candidate.idle() {
			continue
		}
		at := candidate.evictableAt()
		if first == nil || at.Before(evictableAt) {
			first, evictableAt = candidate, at
		}
	}
	if first != nil && !evictableAt.After(now) {
		l.transition(first, stateEvicted)
		evictableAt = now
	}
	return false, evictableAt, released
}

// ForceAcquire takes a slot for a client that another process has transferred, even if none is free. If that exceeds the
// limit, it evicts the client that has been idle longest, so that the idle clients of two processes do not use up the
// descriptors. It evicts none if the evicted clients that still have slots are enough to return below the limit.
func (l *Limiter) ForceAcquire(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateActive)
	if len(l.slots)-l.available() > l.evictedCount() {
		l.evictLongestIdle()
	}
}

// Release frees a client's slot. The caller has closed the connection.
func (l *Limiter) Release(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateReleased)
}

// SetIdle records that a client has no open request. It may evict the client at once, for a pending reservation, or the
// clients that have been idle longest, if too many are idle.
func (l *Limiter) SetIdle(s *Slot, hasRequested bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !hasRequested {
		l.transition(s, stateNew)
	} else {
		l.transition(s, stateIdle)
	}
	if l.reserved > 0 && l.pendingReservations() > 0 {
		l.transition(s, stateEvicted)
	} else if hasRequested {
		l.evictSurplusIdle(s.idleSince)
	}
}

// SetActive records that a client has sent something. This cancels its eviction.
func (l *Limiter) SetActive(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateActive)
}

// SetClosing records that an evicted client's connection is being closed. The client keeps its slot until Release.
func (l *Limiter) SetClosing(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateClosing)
}

// evictSurplusIdle evicts the clients that have been idle longest, maxSurplusEvictions at most, while idle clients use more
// than half of the slots. It counts and evicts only clients that have sent a request, evicts only those that have been idle
// for idleTimeout, and evicts none if keepIdle is set.
//
// Waiting for new connections to evict them is not enough: client programs limit their own connections, and a program
// whose idle connections here have reached its limit opens no new one. l.mu is held.
func (l *Limiter) evictSurplusIdle(now time.Time) {
	if l.keepIdle {
		return
	}
	for range maxSurplusEvictions {
		idle, longest := 0, (*Slot)(nil)
		for s := range l.slots {
			if s.state != stateIdle {
				continue
			}
			idle++
			if longest == nil || s.idleSince.Before(longest.idleSince) {
				longest = s
			}
		}
		if idle <= l.available()/2 || now.Sub(longest.idleSince) < idleTimeout {
			return
		}
		l.transition(longest, stateEvicted)
	}
}

// evictLongestIdle evicts the client that has been idle longest, if any is idle. l.mu is held.
func (l *Limiter) evictLongestIdle() {
	var longest *Slot
	for s := range l.slots {
		if s.idle() && (longest == nil || s.idleSince.Before(longest.idleSince)) {
			longest = s
		}
	}
	if longest != nil {
		l.transition(longest, stateEvicted)
	}
}

// available returns the number of slots for clients, free or in use. l.mu is held.
func (l *Limiter) available() int { return max(1, min(l.clientLimit, l.capacity-l.reserved)) }

// evictedCount returns the number of evicted clients that still have their slots. l.mu is held.
func (l *Limiter) evictedCount() int {
	n := 0
	for s := range l.slots {
		if s.state == stateEvicted || s.state == stateClosing {
			n++
		}
	}
	return n
}

// nextRelease returns a channel that is closed on the next release of a slot or a reservation. l.mu is held.
func (l *Limiter) nextRelease() <-chan struct{} {
	if l.released == nil {
		l.released = make(chan struct{})
	}
	return l.released
}

// notifyReleased wakes all goroutines that wait for a release. l.mu is held.
func (l *Limiter) notifyReleased() {
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}
