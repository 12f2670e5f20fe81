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
	stopDelay            = 500 * time.Millisecond // from the end of Run's context until the drain of the backlog begins
	acceptRetryDelay     = 20 * time.Millisecond
	backlogDrainInterval = 10 * time.Millisecond  // the backlog is empty if two Accepts in a row return no client within this time
	backlogDrainTimeout  = 300 * time.Millisecond // for the drain of the backlog, then for Close, and for the end of acceptLoop
)

// Run accepts and serves clients until the context ends. Then it drains all clients, and still accepts new ones for stopDelay
// (0.5 s), or less if Retire is called. After that it accepts the clients in the backlog, for up to backlogDrainTimeout, closes
// the listener, and returns when every request that was read is answered.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	s.checkStart()
	s.mu.Lock()
	s.acceptor = s.startAcceptor(l)
	if s.retired {
		s.closeListener()
	}
	s.mu.Unlock()
	<-ctx.Done() // a retired server still serves its connected clients until then
	s.Limiter.Shutdown()
	s.stopAccepting()
	s.awaitSessions()
	return nil
}

// stopAccepting waits until the listener is closed. It drains the backlog and closes the listener after stopDelay, unless
// Retire closes it earlier.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopping = true
	retirement := s.nextRetirement()
	s.mu.Unlock()
	select {
	case <-retirement:
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

// awaitSessions waits until all sessions have ended, and ends the server. An older process may transfer connections
// until then.
func (s *Server) awaitSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listenerDuplicate != nil {
		s.listenerDuplicate.Close() // it was kept for Resume, which has no effect from here on
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

// checkStart reports a violation of an invariant if the core can't serve requests yet.
func (s *Server) checkStart() {
	select {
	case <-s.Core.Ready():
	default:
		s.Monitor.Report(invariant.Violation{Rule: invariant.Start, Reason: invariant.NotReady})
	}
}

// spawn runs a function in a goroutine that Run waits for. It returns false, and runs nothing, once the server has ended.
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

// finished records that a function started by spawn has returned.
func (s *Server) finished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 && s.idleSignal != nil {
		close(s.idleSignal)
		s.idleSignal = nil
	}
}

// admit serves a new client if there is a slot, puts it into the reject queue if that is not full, or rejects it. Clients in
// the reject queue wait for a slot, and are rejected only if they get none.
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

// awaitSlot serves a client of the reject queue once there is a slot, or rejects it.
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
	draining  atomic.Bool   // the backlog is being drained: its clients are accepted before the listener is closed
	done      chan struct{} // closed when no more clients are accepted
	closed    chan struct{} // closed when the listener is closed, or will be as soon as a blocked Accept returns
	closeOnce sync.Once     // shutdown and Retire may both close the listener
}

// startAcceptor starts a goroutine that accepts a listener's clients.
func (s *Server) startAcceptor(l net.Listener) *acceptor {
	a := &acceptor{Listener: l, done: make(chan struct{}), closed: make(chan struct{})}
	go s.acceptLoop(a)
	return a
}

// acceptLoop accepts clients until the listener is closed or, while the backlog is being drained, until the backlog is empty.
// Every wait for the end of acceptLoop has a timeout: if another process has set a shared socket to blocking mode, Accept, and
// Close with it, may block in the kernel until one more client connects.
func (s *Server) acceptLoop(a *acceptor) {
	defer close(a.done)
	timedOut := false // the last Accept returned no client before its deadline, which was set for the drain of the backlog
	for {
		draining := a.draining.Load()
		if draining {
			a.setDeadline(time.Now().Add(backlogDrainInterval)) // for this Accept: after a deadline Accept returns no client
		}
		conn, err := a.Accept()
		switch {
		case err == nil:
			timedOut = false
			s.admit(s.newSession(conn))
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if timedOut { // twice in a row, as drainBacklog may have ended the first Accept early
				return
			}
			timedOut = draining // false if this Accept began before the drain: drainBacklog ended it
		default:
			slog.Warn("accept_failed", "front", s.Name, "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// setDeadline sets the deadline of current and later Accept calls. It returns false if the listener does not support deadlines.
func (a *acceptor) setDeadline(t time.Time) bool {
	l, ok := a.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(t) == nil
}

// drainAndClose closes the listener once its backlog is empty. Clients in the backlog are already connected and may have sent
// a request, so they have to be accepted first.
func (a *acceptor) drainAndClose() { a.closeOnce.Do(a.drainBacklog) }

// drainBacklog makes acceptLoop accept the clients in the backlog, for up to backlogDrainTimeout, and closes the listener. If
// the listener does not support deadlines, it is closed at once, and the clients in the backlog are not accepted.
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

// abandon closes this process's copy of a shared listener. Another process accepts the clients in the backlog.
func (a *acceptor) abandon() {
	a.closeOnce.Do(func() {
		go a.Close() // may block, see acceptLoop
		close(a.closed)
	})
}

// awaitDone waits for the end of acceptLoop, for at most backlogDrainTimeout.
func (a *acceptor) awaitDone() {
	select {
	case <-a.done:
	case <-time.After(backlogDrainTimeout):
	}
}
