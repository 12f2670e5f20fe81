package frontend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cranegate/internal/invariant"
)

const (
	stopDelay            = 500 * time.Millisecond // from the end of Run's context until the listener is closed
	acceptRetryDelay     = 20 * time.Millisecond
	backlogDrainInterval = 10 * time.Millisecond  // the backlog is empty once no client has come for this long
	backlogDrainTimeout  = 300 * time.Millisecond // after which the listener is closed in any case
)

// Run accepts and serves clients until the context ends. It accepts them for up to 0.5 s more, closes the listener once its
// backlog is empty, drains all clients, and returns when every request that was read has its answer.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.checkStart()
	s.mu.Lock()
	s.acceptor = s.startAcceptor(l)
	if s.retired {
		s.closeListener()
	}
	s.mu.Unlock()
	<-ctx.Done() // a retired server goes on serving its clients until then
	s.Limiter.Shutdown()
	s.stopAccepting()
	s.awaitSessions()
	return nil
}

// stopAccepting closes the listener after stopDelay, or as soon as another process accepts the clients.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	retired := s.nextRetirement()
	s.mu.Unlock()
	select {
	case <-retired:
	case <-time.After(stopDelay):
	}
	s.mu.Lock()
	if !s.retired {
		go s.acceptor.drainAndClose()
	}
	acceptor := s.acceptor
	s.mu.Unlock()
	<-acceptor.closed
}

// awaitSessions waits for the last session and ends the server. An older process may transfer connections until then.
func (s *Server) awaitSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parkedListener != nil {
		s.parkedListener.Close()
	}
	for s.running > 0 {
		idle := make(chan struct{})
		s.idleSignal = idle
		s.mu.Unlock()
		<-idle
		s.mu.Lock()
	}
	s.ended = true
}

// checkStart reports a violation where the core can't serve yet.
func (s *Server) checkStart() {
	select {
	case <-s.Core.Ready():
	default:
		s.Monitor.Report(invariant.Violation{Rule: invariant.Start, Reason: invariant.NotReady})
	}
}

// spawn runs a function in a goroutine that Run waits for. It returns false once Run has returned.
func (s *Server) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.running++
	go func() {
		defer s.finished()
		f()
	}()
	return true
}

// finished counts a function of spawn that has returned.
func (s *Server) finished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idleSignal != nil {
		close(s.idleSignal)
		s.idleSignal = nil
	}
}

// admit serves a new client, or lets it wait for a slot, or rejects it.
func (s *Server) admit(session *Session) {
	conn := session.Conn.Conn
	s.Counters.Add(s.Name+"_clients", 1)
	if s.Limiter.TryAcquire(session.slot) {
		if !s.spawn(func() { s.serve(session) }) {
			s.Limiter.Release(session.slot)
			rejectBusy(s.Protocol, conn)
		}
		return
	}
	if s.Limiter.EnterRejectQueue() {
		if s.spawn(func() { s.awaitSlot(session) }) {
			return
		}
		s.Limiter.LeaveRejectQueue()
	}
	s.Counters.Add(s.Name+"_clients_turned_away", 1)
	rejectBusy(s.Protocol, conn)
}

// awaitSlot serves a client of the reject queue once it has a slot, or rejects it.
func (s *Server) awaitSlot(session *Session) {
	if s.Limiter.Acquire(session.slot) {
		s.Limiter.LeaveRejectQueue()
		s.serve(session)
		return
	}
	defer s.Limiter.LeaveRejectQueue()
	s.Counters.Add(s.Name+"_clients_turned_away", 1)
	reject(s.Protocol, session.Conn.Conn)
}

// acceptor accepts the clients of one listener.
type acceptor struct {
	net.Listener
	draining  atomic.Bool   // the listener is about to be closed: clients in its backlog are accepted
	done      chan struct{} // closed when no more clients are accepted
	closed    chan struct{} // closed when the listener is, or will be once a blocked Accept returns
	closeOnce sync.Once     // the end of this process and a successor may both close it
}

// startAcceptor accepts a listener's clients in a goroutine of its own.
func (s *Server) startAcceptor(l net.Listener) *acceptor {
	a := &acceptor{Listener: l, done: make(chan struct{}), closed: make(chan struct{})}
	go s.acceptLoop(a)
	return a
}

// acceptLoop accepts clients until the listener is closed, or its backlog is empty while it is draining. Nobody waits for it
// without a limit: where another process has set a shared socket to blocking, Accept, and with it Close, may block in the
// kernel until one more client comes.
func (s *Server) acceptLoop(a *acceptor) {
	defer close(a.done)
	timedOut := false
	for {
		draining := a.draining.Load()
		if draining {
			a.setDeadline(time.Now().Add(backlogDrainInterval)) // anew for each Accept: one that has passed accepts nobody
		}
		conn, err := a.Accept()
		switch {
		case err == nil:
			timedOut = false
			s.admit(s.newSession(conn))
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if timedOut { // twice in a row: drainAndClose may have cut the first Accept short
				return
			}
			timedOut = draining
		default:
			slog.Warn("accept_failed", "front", s.Name, "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// setDeadline sets the deadline of current and later calls of Accept. It returns false where the listener has none.
func (a *acceptor) setDeadline(t time.Time) bool {
	l, ok := a.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(t) == nil
}

// drainAndClose closes the listener once its backlog is empty: clients there are connected, and may have sent a request.
func (a *acceptor) drainAndClose() { a.closeOnce.Do(a.drainBacklog) }

func (a *acceptor) drainBacklog() {
	a.draining.Store(true)
	if a.setDeadline(time.Now()) {
		a.awaitDone()
	}
	listenerClosed := make(chan struct{})
	go func() { // Close may block, see acceptLoop
		a.Close()
		close(listenerClosed)
	}()
	select {
	case <-listenerClosed:
	case <-time.After(backlogDrainTimeout):
	}
	a.awaitDone()
	close(a.closed)
}

// abandon closes a shared listener. The clients in its backlog wait for another process.
func (a *acceptor) abandon() {
	a.closeOnce.Do(func() {
		go a.Close() // may block, see acceptLoop
		close(a.closed)
	})
}

// awaitDone waits for the end of acceptLoop, up to backlogDrainTimeout.
func (a *acceptor) awaitDone() {
	select {
	case <-a.done:
	case <-time.After(backlogDrainTimeout):
	}
}
