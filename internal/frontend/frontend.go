// Package frontend holds what every front shares: accepting connections within a budget, asking the core while
// watching for the client's close, and ending without crossing a request already read.
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
	"cranegate/internal/frontend/drain"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
)

const (
	writeFor   = 5 * time.Second         // a client that takes no answer for this long is let go
	messageFor = 10 * time.Second        // and so long for the whole of any message that has begun,
	stalledFor = 2500 * time.Millisecond // as long as a part of it comes this often: who stops is let go within 3 s,
	startFor   = 2500 * time.Millisecond // but a client that has asked nothing yet only till this long after it came,
	firstFor   = time.Second             // or for this long
	lastRead   = 20 * time.Millisecond   // in which what had come by the end of these times is read
	mostFaults = 16                      // messages in a row of which nothing can be made
	logEvery   = time.Second             // a line about clients that are at fault
)

// ErrTooManyFaults says that a client has sent nothing but what can't be used for too long.
var ErrTooManyFaults = errors.New("too many messages at fault")

// ErrDuplicateID says that another request of the same id is open.
var ErrDuplicateID = errors.New("a request with this id is open already")

// ErrProcessEnded says that the client has left.
var ErrDisconnected = errors.New("the client has left")

// errLetGo says that the client's connection has nothing under way and is ended, as its place is wanted; errSentAway
// that it is, as all clients are sent away.
var (
	errLetGo    = errors.New("ended between requests")
	errSentAway = errors.New("sent away between requests")
	errPassed   = errors.New("passed on to another process")
)

// Front speaks one protocol with clients.
type Protocol interface {
	// Limit bounds a message's size.
	MaxMessageBytes() int
	// Serve talks to one client until that leaves or Next returns an error.
	Serve(*Session) error
	// Reject tells a client that there is no room for it.
	Reject(net.Conn)
}

// Server accepts a front's clients.
type Server struct {
	Name     string
	Protocol Protocol
	Core     *core.Core
	Limiter  *Limiter         // a descriptor for each client; all fronts may share it
	Budget   *framebuf.Budget // bytes for all that clients send; all fronts may share it
	Counters *metrics.Counters
	Monitor  *invariant.Monitor // takes violations of the rules; nil: they are not counted
	// Pass hands a connection with nothing under way to another process, once the room's plan says so: started says
	// that the client has said who it is, asked that it has had an answer. From a true on it is the other's. Nil: none is
	// handed over. It is set before Run.
	Pass func(c net.Conn, started, asked bool) bool
	// Shared says that other processes hold the listening socket too: clients wait in its queue, whoever closes it.
	SharedListener bool

	mu       sync.Mutex
	intake   *intake         // of the listener that is open, or was last; nil before Run
	kept     *os.File        // a duplicate of one that is closed, from which it can be opened again
	retired  bool            // another process takes clients
	left     chan struct{}   // closed once that is so, or nil; one is made at each change
	stopping bool            // this process ends
	running  int             // sessions, and clients in the lobby
	none     chan struct{}   // closed as there are none, or nil while nobody waits for that
	ended    bool            // and takes nobody any more
	open     map[string]bool // the ids of open requests
	logged   time.Time       // when a client at fault was logged last
}

// Adopt serves a connection that another process has passed on, with what it knew of it. False says that this server
// has ended.
func (s *Server) Adopt(conn net.Conn, started, asked bool) bool {
	x := s.session(conn)
	if x.resumes = started; started {
		x.starts = time.Time{}
	}
	if x.asked = asked; asked {
		x.proves = time.Time{}
	}
	s.Limiter.force(x)
	if !s.spawn(func() { s.serve(x) }) {
		s.Limiter.leave(x)
		return false
	}
	s.Counters.Add(s.Name+"_clients_taken_over", 1)
	return true
}

// session makes a session of a new connection.
func (s *Server) session(conn net.Conn) *Session {
	x := &Session{Conn: framebuf.New(conn, s.Protocol.MaxMessageBytes()), server: s, born: time.Now(), slot: rand.IntN(drain.Slots)}
	x.starts = x.born.Add(startFor)
	x.proves = x.starts
	return x
}

// serve lives with one connection.
func (s *Server) serve(x *Session) {
	defer s.Limiter.leave(x)
	conn := x.Conn.Conn
	x.Charge(s.Budget)
	err := s.talk(x)
	x.guardClose(err)
	x.Release()
	x.close(err)
	if err != nil && !errors.Is(err, ErrDisconnected) && !errors.Is(err, errLetGo) && !errors.Is(err, errSentAway) && !errors.Is(err, errPassed) {
		s.fault(conn, err)
	}
}

// fault counts a client that was at fault. Only some are logged: those who send rubbish send much of it.
func (s *Server) fault(conn net.Conn, err error) {
	s.Counters.Add(s.Name+"_clients_at_fault", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.logged) > logEvery {
		s.logged = now
		slog.Warn("client_ended", "front", s.Name, "peer", conn.RemoteAddr(), "error", err)
	}
}

// talk has the front serve a session. A fault in what one client's bytes lead to must not end all others.
func (s *Server) talk(x *Session) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Counters.Add(s.Name+"_panics", 1)
			err = fmt.Errorf("%w: %v\n%s", errPanic, p, debug.Stack())
		}
	}()
	return s.Protocol.Serve(x)
}

// begin marks a request's id as open. False says that it is: database hosts would take the second for an attempt of
// the first. Requests without an id are never the same.
func (s *Server) begin(id string) bool {
	if id == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] {
		return false
	}
	if s.open == nil {
		s.open = map[string]bool{}
	}
	s.open[id] = true
	return true
}

func (s *Server) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, id)
}
