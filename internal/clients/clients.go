// Package clients holds what every front shares: accepting connections within a budget, asking the core while
// watching for the client's close, and ending without crossing a request already read.
package clients

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/clients/away"
	"cranegate/internal/core"
	"cranegate/internal/invariant"
	"cranegate/internal/netbuf"
	"cranegate/internal/stats"
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

// ErrFaults says that a client has sent nothing but what can't be used for too long.
var ErrFaults = errors.New("too many messages at fault")

// ErrOpen says that another request of the same id is open.
var ErrOpen = errors.New("a request with this id is open already")

// ErrGone says that the client has left.
var ErrGone = errors.New("the client has left")

// errLetGo says that the client's connection has nothing under way and is ended, as its place is wanted; errSentAway
// that it is, as all clients are sent away.
var (
	errLetGo    = errors.New("ended between requests")
	errSentAway = errors.New("sent away between requests")
	errPassed   = errors.New("passed on to another process")
)

// Front speaks one protocol with clients.
type Front interface {
	// Limit bounds a message's size.
	Limit() int
	// Serve talks to one client until that leaves or Next returns an error.
	Serve(*Session) error
	// TurnAway tells a client that there is no room for it.
	TurnAway(net.Conn)
}

// Server accepts a front's clients.
type Server struct {
	Name     string
	Front    Front
	Core     *core.Core
	Room     *Room          // a descriptor for each client; all fronts may share it
	Budget   *netbuf.Budget // bytes for all that clients send; all fronts may share it
	Counters *stats.Counters
	Monitor  *invariant.Monitor // takes violations of the rules; nil: they are not counted
	// Pass hands a connection with nothing under way to another process, once the room's plan says so: started says
	// that the client has said who it is, asked that it has had an answer. From a true on it is the other's. Nil: none is
	// handed over. It is set before Run.
	Pass func(c net.Conn, started, asked bool) bool
	// Shared says that other processes hold the listening socket too: clients wait in its queue, whoever closes it.
	Shared bool

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

// TakeOver serves a connection that another process has passed on, with what it knew of it. False says that this server
// has ended.
func (s *Server) TakeOver(conn net.Conn, started, asked bool) bool {
	x := s.session(conn)
	if x.resumes = started; started {
		x.starts = time.Time{}
	}
	if x.asked = asked; asked {
		x.proves = time.Time{}
	}
	s.Room.force(x)
	if !s.spawn(func() { s.serve(x) }) {
		s.Room.leave(x)
		return false
	}
	s.Counters.Add(s.Name+"_clients_taken_over", 1)
	return true
}

// session makes a session of a new connection.
func (s *Server) session(conn net.Conn) *Session {
	x := &Session{Conn: netbuf.New(conn, s.Front.Limit()), server: s, born: time.Now(), slot: rand.IntN(away.Slots)}
	x.starts = x.born.Add(startFor)
	x.proves = x.starts
	return x
}

// serve lives with one connection.
func (s *Server) serve(x *Session) {
	defer s.Room.leave(x)
	conn := x.Conn.Conn
	x.Charge(s.Budget)
	err := s.talk(x)
	x.guardClose(err)
	x.Release()
	x.close(err)
	if err != nil && !errors.Is(err, ErrGone) && !errors.Is(err, errLetGo) && !errors.Is(err, errSentAway) && !errors.Is(err, errPassed) {
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
	return s.Front.Serve(x)
}

// Session is one client's connection. Its goroutine is the client's actor; Conn.Wake with an answer or a stop
// is its mailbox.
type Session struct {
	*netbuf.Conn
	server  *Server
	born    time.Time // when it was taken
	slot    int       // spreads what many sessions do at one time
	asked   bool      // it has had an answer
	resumes bool      // it has started up in another process
	Moves   bool      // nothing is known of it but what Resumes tells: another process may go on with it; set by the front
	starts  time.Time // until when the client must have said who it is; zero once it has
	proves  time.Time // until when a first request must be whole; zero once one was good
	arrived time.Time // when the last byte of the message in hand came; it may have stood behind others since
	faults  int       // messages in a row that could not be used
	owes    bool      // a message was read that has no answer yet, for the guard on closes alone
	lastID  string    // the id of the last request, for the log

	leaving atomic.Bool // its place is wanted: it ends unless something has come
	resting time.Time   // since when nothing is open, zero while something is; like the next two, owned by the room
	silent  bool        // and it has asked nothing yet
	ending  bool        // it has been let go, and its place is free soon
}

// Away says whether clients are sent away: who asks whether this gateway serves is owed a no.
func (x *Session) Away() bool { return x.server.Room.Away() }

// Core is the core that the session asks.
func (x *Session) Core() *core.Core { return x.server.Core }

// Budget pays for what the session keeps beside its buffer.
func (x *Session) Budget() *netbuf.Budget { return x.server.Budget }

// Counters are the program's counters.
func (x *Session) Counters() *stats.Counters { return x.server.Counters }

// Resumes says that the client has started up in another process, and had its welcome there.
func (x *Session) Resumes() bool { return x.resumes }

// Started says that the client has said who it is.
func (x *Session) Started() { x.starts = time.Time{} }

// Next waits for a message and calls read, which must take one whole message. It returns an error where the
// client has left, or where clients are sent away and nothing of a message has come. What has come by then is taken:
// that guards against a close that crosses a request.
func (x *Session) Next(read func() error) error {
	x.owes = false // the front has come back: it has answered, or nothing was owed
	if x.Buffered() == 0 {
		x.server.Room.rest(x)
	}
	// An answer has gone out just now, or nothing has been asked. Later is no time to end for one that is idle: its
	// client may be about to ask.
	behind := x.asked && x.server.Room.plan.Load().Behind(time.Now())
	for x.Buffered() == 0 {
		plan := x.server.Room.plan.Load()
		if plan.Passes() && x.Moves && x.server.Pass != nil && x.server.Pass(x.Conn.Conn, x.starts.IsZero(), x.asked) {
			x.server.Counters.Add(x.server.Name+"_clients_passed", 1)
			return errPassed
		}
		if x.leaving.Load() || behind {
			if err := x.endIdle(); err != nil {
				return err
			}
			break
		}
		until, idle := x.starts, plan.Idle(x.born, x.slot)
		if !idle.IsZero() && (until.IsZero() || idle.Before(until)) {
			until = idle
		}
		// What holds now may change before the wait begins: a wake is missed only if it does not.
		err := x.Park(until, func() bool { return x.leaving.Load() || x.server.Room.plan.Load() != plan })
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && until.Equal(idle) {
			if x.server.Room.plan.Load() == nil { // taken back meanwhile
				continue
			} else if err := x.endIdle(); err != nil {
				return err
			}
			break
		}
		if err != nil {
			return x.gone(err)
		}
	}
	x.server.Room.work(x)
	err := x.whole(read)
	if x.arrived = x.Came(); err != nil {
		return x.gone(err)
	}
	x.owes = true
	return nil
}

// whole calls read until it has a whole message, the message's time is up, or nothing of it has come for stalledFor.
func (x *Session) whole(read func() error) error {
	end := x.server.Room.plan.Load().Read(time.Now(), x.messageUntil())
	for {
		had := x.Buffered()
		x.SetReadDeadline(earlier(end, time.Now().Add(stalledFor)))
		err := read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if x.Buffered() > had && time.Now().Before(end) {
			continue
		}
		// A time that has passed takes nothing, though the rest may lie there since long.
		x.SetReadDeadline(time.Now().Add(lastRead))
		return read()
	}
}

// messageUntil is until when a message that begins now has to be whole.
func (x *Session) messageUntil() time.Time {
	switch {
	case !x.starts.IsZero():
		return x.starts
	case x.proves.IsZero():
		return time.Now().Add(messageFor)
	}
	// What a device on a poor link gets, a stranger does not.
	until := time.Now().Add(firstFor)
	if until.Before(x.proves) {
		return x.proves
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// endIdle says that an idle session ends, unless its client has sent something by now or has left.
func (x *Session) endIdle() error {
	if !x.Alive() {
		return nil
	}
	if x.server.Room.plan.Load() == nil {
		x.server.Counters.Add(x.server.Name+"_clients_let_go", 1)
		x.server.Room.letGo(x)
		return errLetGo
	}
	x.server.Counters.Add(x.server.Name+"_clients_sent_away", 1)
	return errSentAway
}

// gone names an error that only says that the client has left.
func (x *Session) gone(err error) error {
	if errors.Is(err, netbuf.ErrTooLarge) || errors.Is(err, netbuf.ErrNoRoom) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe) {
		return ErrGone
	}
	return err
}

// Fault counts a message that could not be used. ErrFaults says that the client has sent enough of them.
func (x *Session) Fault() error {
	if x.faults++; x.faults >= mostFaults {
		return ErrFaults
	}
	return nil
}

// Good says that a message could be used.
func (x *Session) Good() { x.faults, x.asked = 0, true }

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

// Slowly returns a writer for answers that are passed on as they come: a client may be as slow as it likes, so long as it
// takes something.
func (x *Session) Slowly() io.Writer { return slowly{x} }

type slowly struct{ x *Session }

func (s slowly) Write(b []byte) (n int, err error) {
	s.x.owes = false // what breaks off from here on the client can tell from a whole answer
	for n < len(b) {
		s.x.SetWriteDeadline(time.Now().Add(writeFor))
		m, err := s.x.Write(b[n:])
		n += m
		if err != nil && (m == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return n, ErrGone
		}
	}
	return n, nil
}

// Send writes to the client.
func (x *Session) Send(b []byte) error {
	x.owes = false // also where the client takes nothing
	x.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := x.Write(b); err != nil {
		return ErrGone
	}
	return nil
}
