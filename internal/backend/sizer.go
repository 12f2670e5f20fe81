package backend

import (
	"sync"
	"time"

	"cranegate/internal/poolsize"
)

// sharedSizer makes the pool's Sizer safe for concurrent use by the hosts' actors and the connections' goroutines.
type sharedSizer struct {
	mu    sync.Mutex
	sizer *poolsize.Sizer
	hosts int
}

// setHosts sets the number of hosts that are listed.
func (s *sharedSizer) setHosts(hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// setGateways sets the number of gateways, and returns whether fewer idle connections may be kept than before.
func (s *sharedSizer) setGateways(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizer.SetGateways(n)
}

// recordAttempt records an attempt that needs a connection to a host.
func (s *sharedSizer) recordAttempt(h *poolsize.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizer.RecordAttempt(time.Now(), h, s.hosts)
}

// recordConnect records that a host had capacity for a new connection.
func (s *sharedSizer) recordConnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizer.RecordConnect()
}

// recordRejection records that a host rejected a new connection, and returns whether fewer idle connections may be kept
// than before.
func (s *sharedSizer) recordRejection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizer.RecordRejection(time.Now())
}

// idleTimeLeft returns how much longer a connection that became free at freedAt may stay idle. usedLater is the number of
// its host's idle connections that were used after it.
func (s *sharedSizer) idleTimeLeft(h *poolsize.Host, freedAt, now time.Time, usedLater int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizer.IdleTimeout(now, h, usedLater) - now.Sub(freedAt)
}
