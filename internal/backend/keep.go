package backend

import (
	"sync"
	"time"

	"cranegate/internal/poolsize"
)

// sharedKeeper is the rule on idle connections, as the hosts' actors and the connections share it.
type sharedKeeper struct {
	mu     sync.Mutex
	keeper *poolsize.Sizer
	hosts  int
}

// sized takes the number of hosts that are listed.
func (s *sharedKeeper) sized(hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// asked notes an attempt that wants a connection to a host.
func (s *sharedKeeper) asked(h *poolsize.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.RecordAttempt(time.Now(), h, s.hosts)
}

// noRoom notes that a host had no room for a new connection, and says whether less may be kept from now on.
func (s *sharedKeeper) noRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.RecordRejection(time.Now())
}

// fleet takes the number of gateways, and says whether less may be kept from now on.
func (s *sharedKeeper) fleet(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.SetGateways(n)
}

// found notes that a host had room for a new connection.
func (s *sharedKeeper) found() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.RecordConnect()
}

// left is how long a connection that has come free may still stand idle; later is how many of its host's idle ones
// were used after it.
func (s *sharedKeeper) left(h *poolsize.Host, freedAt, now time.Time, later int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.IdleTimeout(now, h, later) - now.Sub(freedAt)
}
