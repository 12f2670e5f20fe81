// Package frontend serves client connections for every client protocol: it accepts them within a connection limit,
// submits their requests to the core while watching for a disconnect, and closes connections so that no close crosses a
// request that was read.
package frontend

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/drain"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
)

// faultLogInterval is the shortest time between two log lines about clients that were disconnected for a fault.
const faultLogInterval = time.Second

// Errors that Session's methods return.
var (
	// ErrTooManyFaults is returned after too many messages in a row that could not be used.
	ErrTooManyFaults = errors.New("too many messages at fault")
	// ErrDuplicateID is returned for a request with the id of another one that is open.
	ErrDuplicateID = errors.New("a request with this id is open already")
	// ErrDisconnected is returned once the client has closed or reset its connection, or takes no answer.
	ErrDisconnected = errors.New("the client has disconnected")
)

// Errors that end a session between two requests.
var (
	errIdleEvicted = errors.New("evicted while idle")
	errDraining    = errors.New("closed while draining")
	errTransferred = errors.New("transferred to another process")
)

// errPanic wraps a panic of the code that serves a client.
var errPanic = errors.New("panic")

// Protocol is a client protocol.
type Protocol interface {
	// MaxMessageBytes is the largest message that a client may send.
	MaxMessageBytes() int
	// Serve serves one client until that disconnects or Session.Next returns an error.
	Serve(*Session) error
	// Reject writes the error for a client that gets no slot.
	Reject(net.Conn)
}

// Server accepts and serves the clients of one protocol. The exported fields are set before Run.
type Server struct {
	Name     string // prefix of the counters, and in log lines
	Protocol Protocol
	Core     *core.Core
	Limiter  *connlimit.Limiter // may be shared with other servers
	Budget   *framebuf.Budget   // bytes for what clients send; may be shared with other servers
	Counters *metrics.Counters
	Monitor  *invariant.Monitor // counts violations of invariants; may be nil
	// Transfer hands an idle connection over to another process during a hot restart. The connection belongs to that
	// process once it returns true. Nil: connections are not transferred.
	Transfer func(c net.Conn, started, answered bool) bool
	// SharedListener is set where other processes hold the listening socket too: its accept queue outlives a close.
	SharedListener bool

	mu             sync.Mutex
	acceptor       *acceptor       // of the current or the last listener; nil before Run
	parkedListener *os.File        // a duplicate of a shared listener that is closed, to open it again
	retired        bool            // another process accepts the clients
	retiredSignal  chan struct{}   // closed by Retire; nil until somebody waits for it
	stopping       bool            // Run's context has ended
	running        int             // sessions, and clients in the reject queue
	idleSignal     chan struct{}   // closed when running falls to zero; nil until Run waits for it
	ended          bool            // Run has returned, nothing may start
	openIDs        map[string]bool // ids of open requests
	faultLoggedAt  time.Time
}

// Adopt serves a connection that another process has transferred. Started and answered are what that process passed to
// Transfer. It returns false once Run has returned.
func (s *Server) Adopt(conn net.Conn, started, answered bool) bool {
	session := s.newSession(conn)
	session.resumed = started
	if started {
		session.startupDeadline = time.Time{}
	}
	session.answered = answered
	if answered {
		session.firstRequestDeadline = time.Time{}
	}
	s.Limiter.ForceAcquire(session.slot)
	if !s.spawn(func() { s.serve(session) }) {
		s.Limiter.Release(session.slot)
		return false
	}
	s.Counters.Add(s.Name+"_clients_taken_over", 1)
	return true
}

// newSession returns a session for a new connection. It holds no slot yet.
func (s *Server) newSession(conn net.Conn) *Session {
	now := time.Now()
	session := &Session{
		Conn:                 framebuf.New(conn, s.Protocol.MaxMessageBytes()),
		server:               s,
		acceptedAt:           now,
		drainSlot:            rand.IntN(drain.Slots),
		startupDeadline:      now.Add(startupTimeout),
		firstRequestDeadline: now.Add(startupTimeout),
	}
	session.slot = connlimit.NewSlot(session.Wake)
	return session
}

// serve serves one client to its end and releases its slot.
func (s *Server) serve(session *Session) {
	defer s.Limiter.Release(session.slot)
	conn := session.Conn.Conn
	session.Charge(s.Budget)
	err := s.runProtocol(session)
	reason := closeReasonOf(err)
	session.checkClose(reason)
	session.Release()
	session.close(err)
	if reason.isFault() {
		s.recordFault(conn, err)
	}
}

// recordFault counts a client that was disconnected for a fault. Log lines are limited, as such clients may come often.
func (s *Server) recordFault(conn net.Conn, err error) {
	s.Counters.Add(s.Name+"_clients_at_fault", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.faultLoggedAt) > faultLogInterval {
		s.faultLoggedAt = now
		slog.Warn("client_ended", "front", s.Name, "peer", conn.RemoteAddr(), "error", err)
	}
}

// runProtocol serves a session. A panic ends this session alone.
func (s *Server) runProtocol(session *Session) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Counters.Add(s.Name+"_panics", 1)
			err = fmt.Errorf("%w: %v\n%s", errPanic, p, debug.Stack())
		}
	}()
	return s.Protocol.Serve(session)
}

// openRequest records the id of a request as open. It returns false where it is open already: database hosts would take
// the second request for an attempt of the first. Requests without an id are all different.
func (s *Server) openRequest(id string) bool {
	if id == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] {
		return false
	}
	if s.openIDs == nil {
		s.openIDs = map[string]bool{}
	}
	s.openIDs[id] = true
	return true
}

// closeRequest frees the id of a request.
func (s *Server) closeRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openIDs, id)
}
