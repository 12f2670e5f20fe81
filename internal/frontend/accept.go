package frontend

import (
	"context"
	"cranegate/internal/invariant"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stopAfter  = 500 * time.Millisecond // after a stop, new connections go on being taken for this long
	acceptWait = 20 * time.Millisecond  // after a failed accept
	drainLook  = 10 * time.Millisecond  // a listener's backlog is empty once nobody has come for so long,
	drainFor   = 300 * time.Millisecond // and it is closed after so long at the latest
)

// intake is a listener whose clients are taken.
type intake struct {
	net.Listener
	draining atomic.Bool   // it is about to be closed: what waits in its backlog is taken
	done     chan struct{} // closed once nobody is taken from it any more
	closed   chan struct{} // closed once it is closed, or is as soon as an accept that hangs comes back
	ends     sync.Once     // the end of this process and one that takes its clients may both close it
}

// accepts begins to take a listener's clients.
func (s *Server) accepts(l net.Listener) *intake {
	in := &intake{Listener: l, done: make(chan struct{}), closed: make(chan struct{})}
	go s.accept(in)
	return in
}

// Run accepts clients until the context ends, and some time longer; then it closes the listener behind the last client in
// its backlog, has all clients sent away, and returns once every request taken has its answer.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.guardStart()
	s.mu.Lock()
	if s.intake = s.accepts(l); s.retired {
		s.shut()
	}
	s.mu.Unlock()
	<-ctx.Done() // one that is retired before serves those on that it has
	s.Limiter.Shutdown()
	s.mu.Lock()
	s.stopping = true
	left := s.leaving()
	s.mu.Unlock()
	select {
	case <-left:
	case <-time.After(stopAfter):
	}
	s.mu.Lock()
	if !s.retired {
		go s.intake.close()
	}
	in := s.intake
	s.mu.Unlock()
	<-in.closed
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept != nil {
		s.kept.Close()
	}
	for s.running > 0 { // an older process may pass connections on till the last of them has ended
		none := make(chan struct{})
		s.none = none
		s.mu.Unlock()
		<-none
		s.mu.Lock()
	}
	s.ended = true
	return nil
}

// guardStart checks that the core can serve as clients begin to be taken.
func (s *Server) guardStart() {
	select {
	case <-s.Core.Ready():
	default:
		s.Monitor.Report(invariant.Violation{Rule: invariant.Start, Reason: invariant.NotReady})
	}
}

// accept takes clients until the listener is closed, or its backlog is empty as it is about to be. Nobody waits for it
// without end: where another process that shares the socket has set it to blocking, an accept may hang in the kernel, and
// keep Close waiting too, until one more client comes.
func (s *Server) accept(in *intake) {
	defer close(in.done)
	for looked := false; ; {
		draining := in.draining.Load()
		if draining {
			in.deadline(time.Now().Add(drainLook)) // of its own for each, as one that has passed takes nobody
		}
		conn, err := in.Accept()
		switch {
		case err == nil:
			looked = false
			s.admit(s.session(conn))
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if looked { // twice: the first may have been cut short by close
				return
			}
			looked = draining
		default:
			slog.Warn("accept_failed", "front", s.Name, "error", err)
			time.Sleep(acceptWait)
		}
	}
}

// deadline bounds the present accept and those to come. False says that this listener knows none.
func (in *intake) deadline(t time.Time) bool {
	l, ok := in.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(t) == nil
}

// close closes the listener once its backlog is empty: whoever waits there has a connection, and may have asked.
func (in *intake) close() { in.ends.Do(in.drain) }

func (in *intake) drain() {
	in.draining.Store(true)
	if in.deadline(time.Now()) {
		in.wait()
	}
	ended := make(chan struct{})
	go func() { in.Close(); close(ended) }() // see accept
	select {
	case <-ended:
	case <-time.After(drainFor):
	}
	in.wait()
	close(in.closed)
}

// abandon closes a listener whose clients wait for another process.
func (in *intake) abandon() {
	in.ends.Do(func() {
		go in.Close() // see accept
		close(in.closed)
	})
}

func (in *intake) wait() {
	select {
	case <-in.done:
	case <-time.After(drainFor):
	}
}

// admit serves a client that has come, or has it wait for a place, or tells it that there is none.
func (s *Server) admit(x *Session) {
	conn := x.Conn.Conn
	s.Counters.Add(s.Name+"_clients", 1)
	if s.Limiter.take(x) {
		if !s.spawn(func() { s.serve(x) }) {
			s.Limiter.leave(x)
			brush(s.Protocol, conn)
		}
		return
	}
	if s.Limiter.lobby.enter() {
		if s.spawn(func() { s.await(x) }) {
			return
		}
		s.Limiter.lobby.leave()
	}
	s.Counters.Add(s.Name+"_clients_turned_away", 1)
	brush(s.Protocol, conn)
}

// await has a client wait in the lobby for a place.
func (s *Server) await(x *Session) {
	if s.Limiter.enter(x) {
		s.Limiter.lobby.leave()
		s.serve(x)
		return
	}
	defer s.Limiter.lobby.leave()
	s.Counters.Add(s.Name+"_clients_turned_away", 1)
	conn := x.Conn.Conn
	conn.SetWriteDeadline(time.Now().Add(lingerFor))
	s.Protocol.Reject(conn)
	linger(conn)
}

// spawn has Run wait for a function. False says that this server has ended.
func (s *Server) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.running++
	go func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.running--; s.running == 0 && s.none != nil {
				close(s.none)
				s.none = nil
			}
		}()
		f()
	}()
	return true
}

// Retire closes the listener: another process takes the clients that come from now on. Those here are served on.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return
	}
	s.retired = true
	close(s.leaving())
	if s.intake != nil {
		s.shut()
	}
}

// shut closes the listener, and keeps a duplicate of a shared one: one of its own would have clients wait in a queue that
// nobody looks at. s.mu is held.
func (s *Server) shut() {
	if l, ok := s.intake.Listener.(interface{ File() (*os.File, error) }); ok && s.SharedListener {
		f, err := l.File()
		if err != nil {
			slog.Warn("listener_not_kept", "front", s.Name, "error", err)
		}
		s.kept = f
		go s.intake.abandon() // it may wait for a close that has begun, which must hold nobody up
		return
	}
	go s.intake.close()
}

// Resume undoes Retire, as the other process is gone: clients that come wait for this one. A process that ends does not
// listen again.
func (s *Server) Resume() error {
	s.mu.Lock()
	in, retired := s.intake, s.retired
	s.mu.Unlock()
	if in != nil && retired {
		<-in.closed // its address is free then; whoever waits in its backlog may need s.mu
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retired || s.stopping {
		return nil
	}
	if s.intake != nil {
		l, err := s.reopen()
		if err != nil {
			return fmt.Errorf("%s: listening again: %w", s.Name, err)
		}
		s.intake = s.accepts(l)
	}
	s.retired, s.left = false, nil
	return nil
}

// reopen listens again where the listener did. s.mu is held.
func (s *Server) reopen() (net.Listener, error) {
	if s.kept == nil {
		return net.Listen(s.intake.Addr().Network(), s.intake.Addr().String())
	}
	l, err := net.FileListener(s.kept)
	if err == nil {
		s.kept.Close()
		s.kept = nil
	}
	return l, err
}

// leaving is the channel that Retire closes. s.mu is held.
func (s *Server) leaving() chan struct{} {
	if s.left == nil {
		s.left = make(chan struct{})
	}
	return s.left
}
