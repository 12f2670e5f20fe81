// Package connlimit limits the client connections of a gateway, one file descriptor each, across all protocols.
//
// Where every slot is held, idle clients are evicted for new ones: connections that are silent or forgotten must not
// keep other clients out. Internal connections reserve descriptors of the same limit. The limiter also owns the drain
// schedule, as a change of it has to wake every client.
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
	newClientIdleTimeout  = 100 * time.Millisecond // a client without a request yet may be evicted after this idle time
	idleTimeout           = 250 * time.Millisecond // any other idle client may be evicted after this, the longest idle first
	maxAcquireWait        = 300 * time.Millisecond // a client rejected by then has time left to try another gateway
	evictionRetryInterval = 10 * time.Millisecond  // until another client is evicted where one became active again
	maxSurplusEvictions   = 4                      // for each client that becomes idle
	maxRejectQueue        = 8                      // reached with 32 slots
)

// Limiter hands out slots for client connections. It is safe for concurrent use.
type Limiter struct {
	capacity    int // descriptors for clients and reservations together
	rejectQueue rejectQueue

	schedule atomic.Pointer[drain.Schedule] // nil: not draining

	mu          sync.Mutex
	clientLimit int            // slots for clients where nothing is reserved
	reserved    int            // granted and pending reservations
	released    chan struct{}  // closed on the next release; nil while nobody waits for one
	waiting     int            // calls of Acquire
	maxDeadline time.Duration  // of all request classes
	minDeadline time.Duration  // zero while none is known
	slots       map[*Slot]bool // those held by clients
	closing     int            // of them, evicted ones whose connections are being closed
	keepIdle    bool           // idle clients are evicted only where no slot is left
}

// New returns a limiter of so many descriptors.
func New(capacity int) *Limiter {
	return &Limiter{
		capacity:    capacity,
		clientLimit: capacity,
		rejectQueue: make(rejectQueue, RejectQueueSize(capacity)),
		slots:       map[*Slot]bool{},
	}
}

// ObserveDeadline records a request class's deadline. The longest one bounds the time that a shutdown takes, the
// shortest one how long a new client waits for a slot.
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

// InUse returns how many slots clients hold.
func (l *Limiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// FreeShare returns the share of slots that no client holds, from 0 to 1.
func (l *Limiter) FreeShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, 1-float64(len(l.slots))/float64(l.available()))
}

// SetEvictIdle sets whether idle clients are evicted before every slot is held. They are by default.
func (l *Limiter) SetEvictIdle(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keepIdle = !on
}

// Resize sets how many slots there are for clients. Where more are held, no client is evicted at once; idle ones are
// evicted as others become idle.
func (l *Limiter) Resize(clientLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientLimit = max(1, clientLimit)
}

// TryAcquire takes a slot for a client. It returns false where none is free.
func (l *Limiter) TryAcquire(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.slots) >= l.available() {
		return false
	}
	l.transition(s, stateActive)
	return true
}

// Acquire waits for a slot and evicts an idle client where needed. It returns false where no slot becomes free soon:
// every client is active, or none has been idle long enough within 0.3 s or half of the shortest deadline.
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

// acquireWait is how long a new client waits for a slot. l.mu is held.
func (l *Limiter) acquireWait() time.Duration {
	if l.minDeadline == 0 {
		return maxAcquireWait
	}
	return min(maxAcquireWait, max(0, l.minDeadline/2-EvictionCloseTimeout))
}

// acquireOrEvict takes a free slot. Where there is none it evicts the client whose idle timeout ends first and is over,
// unless as many evicted clients are closing already as there are callers of Acquire. It returns when the next client may
// be evicted, zero where none is idle, and a channel that is closed on the next release.
func (l *Limiter) acquireOrEvict(s *Slot, now time.Time) (acquired bool, evictableAt time.Time, released <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.slots) < l.available() {
		l.transition(s, stateActive)
		return true, now, nil
	}
	released = l.nextRelease()
	if l.closing >= l.waiting { // each has up to EvictionCloseTimeout to close
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

// ForceAcquire takes a slot for a client that another process has handed over, even where none is free. The client that
// has been idle longest is evicted then: the idle clients of two processes must not use up the descriptors.
func (l *Limiter) ForceAcquire(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateActive)
	if len(l.slots)-l.available() > l.leaving() {
		l.evictLongestIdle()
	}
}

// Release returns a client's slot. The caller has closed the connection.
func (l *Limiter) Release(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateReleased)
}

// SetIdle records that a client has no request open. The client may be evicted at once, for a pending reservation or
// where too many clients are idle.
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

// SetActive records that a client has sent something. That revokes an eviction.
func (l *Limiter) SetActive(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateActive)
}

// SetClosing records that an evicted client's connection is being closed. It holds its slot until Release.
func (l *Limiter) SetClosing(s *Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transition(s, stateClosing)
}

// evictSurplusIdle evicts the clients that have been idle longest where more than half of the slots are held by idle
// clients. Clients limit their own connections too: one that has reached its limit opens no other connection here, so that
// a new one of it would never evict an idle one. l.mu is held.
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

// available is how many slots there are for clients now. l.mu is held.
func (l *Limiter) available() int { return max(1, min(l.clientLimit, l.capacity-l.reserved)) }

// leaving is how many clients have been evicted and hold their slots still. l.mu is held.
func (l *Limiter) leaving() int {
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

// notifyReleased wakes all that wait for a release. l.mu is held.
func (l *Limiter) notifyReleased() {
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}
