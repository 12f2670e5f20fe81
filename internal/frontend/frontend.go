// Package frontend serves client connections for every client protocol. It accepts them within a connection limit, submits
// their requests to the core and watches for a disconnect meanwhile. It closes no connection while a request that was read
// has no answer, unless the client has disconnected.
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
	"sync/atomic"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/drain"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
	"cranegate/internal/requestids"
)

// faultLogInterval is the shortest time between two log lines about sessions that ended with a fault.
const faultLogInterval = time.Second

// Errors that Session's methods return.
var (
	// ErrTooManyFaults is returned after too many unusable messages in a row.
	ErrTooManyFaults = errors.New("too many messages at fault")
	// ErrDuplicateID is returned for a request with the same id as another open request.
	ErrDuplicateID = errors.New("a request with this id is open already")
	// ErrDisconnected is returned if the client has closed or reset its connection, or does not read its answer.
	ErrDisconnected = errors.New("the client has disconnected")
)

// Errors that end a session between two requests.
var (
	errIdleEvicted = errors.New("evicted while idle")
	errDraining    = errors.New("closed while draining")
	errTransferred = errors.New("transferred to another process")
)

// errPanic wraps a panic in a goroutine that serves a client.
var errPanic = errors.New("panic")

// Protocol is a client protocol.
type Protocol interface {
	// MaxMessageBytes is the largest message that a client may send.
	MaxMessageBytes() int
	// Serve serves one client until it disconnects or Session.Next returns an error.
	Serve(*Session) error
	// Probe returns a message that clients ignore at any time, or nil if the protocol has none.
	Probe() []byte
	// Reject writes the error that is sent to a client if there is no slot for it.
	Reject(net.Conn)
}

// Server accepts and serves the clients of one protocol. The exported fields are set before Run.
type Server struct {
	Name     string // prefix of the server's counters, and its name in log lines
	Protocol Protocol
	Core     *core.Core
	Limiter  *connlimit.Limiter // may be shared with other servers
	Budget   *framebuf.Budget   // memory budget for data that clients send, in bytes; may be shared with other servers
	Counters *metrics.Counters
	Monitor  *invariant.Monitor // counts violations of invariants; may be nil
	// RequestIDs holds the ids of requests that may have run and must not run again; may be shared with other servers and processes.
	// nil: ids are only compared with those of open requests.
	RequestIDs *requestids.Set
	// Transfer transfers an idle connection to another process during a hot restart. Started says that the client has
	// completed the startup, answered that it has sent a usable message. If Transfer returns true, the connection belongs
	// to the other process. If Transfer is nil, connections are not transferred.
	Transfer func(c net.Conn, started, answered bool) bool
	// SharedListener is set if other processes have the listening socket open too. Its accept queue then outlives a close
	// in this process.
	SharedListener bool

	mu                sync.Mutex
	acceptor          *acceptor       // of the current or the last listener; nil before Run
	listenerDuplicate *os.File        // duplicate of a closed shared listener, from which Resume opens it again
	retired           bool            // another process accepts the clients
	retiredSignal     chan struct{}   // closed by Retire; nil until it is needed
	stopping          bool            // Run's context has ended
	running           int             // number of sessions and of clients in the reject queue
	idleSignal        chan struct{}   // closed when running falls to zero; nil if Run does not wait for it
	ended             bool            // Run has returned or is about to, and no session may start
	openIDs           map[string]bool // ids of open requests
	faultLoggedAt     time.Time       // when a session that ended with a fault was last logged

	answering atomic.Int64              // sessions that are counted by Answering
	finalAt   atomic.Pointer[time.Time] // messages that arrive from then on are not counted; nil: all are
}

// Answering returns the number of sessions that have read a message and not written its whole answer yet. Any goroutine may call it.
func (s *Server) Answering() int { return int(s.answering.Load()) }

// FinishAnswers has Answering leave out messages that arrive from now on, so that a client that always has a message open does not keep
// it above zero. The messages are still answered. Any goroutine may call it.
func (s *Server) FinishAnswers() {
	now := time.Now()
	s.finalAt.CompareAndSwap(nil, &now)
}

// Adopt serves a connection that another process has transferred. Started and answered are the arguments of Transfer in
// that process. Adopt returns false, and does not serve the connection, once the server has ended.
func (s *Server) Adopt(conn net.Conn, started, answered bool) bool {
	session := s.newSession(conn)
	session.resumed = started
	if started {
		session.startupDeadline = time.Time{}
	}
	session.hadUsableMessage = answered
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

// newSession returns a session for a new connection. It has no slot yet.
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

// serve serves one client until its session ends, closes the connection and releases its slot.
func (s *Server) serve(session *Session) {
	defer s.Limiter.Release(session.slot)
	conn := session.Conn.Conn
	session.Charge(s.Budget)
	err := s.runProtocol(session)
	session.endAnswer()
	reason := closeReasonOf(err)
	session.checkClose(reason)
	session.Release()
	session.close(err)
	if reason.isFault() {
		s.recordFault(conn, err)
	}
}

// recordFault counts a session that ended with a fault. Log lines are rate-limited, as such clients may connect often.
func (s *Server) recordFault(conn net.Conn, err error) {
	s.Counters.Add(s.Name+"_clients_at_fault", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.faultLoggedAt) > faultLogInterval {
		s.faultLoggedAt = now
		slog.Warn("client_ended", "front", s.Name, "peer", conn.RemoteAddr(), "error", err)
	}
}

// runProtocol serves a session. A panic ends only this session.
func (s *Server) runProtocol(session *Session) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Counters.Add(s.Name+"_panics", 1)
			err = fmt.Errorf("%w: %v\n%s", errPanic, p, debug.Stack())
		}
	}()
	return s.Protocol.Serve(session)
}
