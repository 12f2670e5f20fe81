package frontend

import (
	"fmt"
	"log/slog"
	"net"
	"os"
)

// Retire closes the listener, as another process accepts new clients from now on. Connected clients are served on.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return
	}
	s.retired = true
	close(s.nextRetirement())
	if s.acceptor != nil {
		s.closeListener()
	}
}

// Resume undoes Retire, as the other process has ended. It does nothing where this process is shutting down. It returns an
// error where the server can't listen at its address again.
func (s *Server) Resume() error {
	s.mu.Lock()
	acceptor, retired := s.acceptor, s.retired
	s.mu.Unlock()
	if acceptor != nil && retired {
		<-acceptor.closed // without s.mu, which a client in the backlog may need; its address is free then
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retired || s.stopping {
		return nil
	}
	if s.acceptor != nil {
		l, err := s.reopenListener()
		if err != nil {
			return fmt.Errorf("%s: listening again: %w", s.Name, err)
		}
		s.acceptor = s.startAcceptor(l)
	}
	s.retired = false
	s.retiredSignal = nil
	return nil
}

// closeListener closes the listener. Of a shared one it keeps a duplicate: with a listener of its own, Resume would leave
// clients in a queue from which nobody accepts. s.mu is held.
func (s *Server) closeListener() {
	l, hasFile := s.acceptor.Listener.(interface{ File() (*os.File, error) })
	if !hasFile || !s.SharedListener {
		go s.acceptor.drainAndClose()
		return
	}
	f, err := l.File()
	if err != nil {
		slog.Warn("listener_not_kept", "front", s.Name, "error", err)
	}
	s.parkedListener = f
	go s.acceptor.abandon() // may wait for a drainAndClose that has begun; s.mu is held here
}

// reopenListener listens at the listener's address again. s.mu is held.
func (s *Server) reopenListener() (net.Listener, error) {
	if s.parkedListener == nil {
		return net.Listen(s.acceptor.Addr().Network(), s.acceptor.Addr().String())
	}
	l, err := net.FileListener(s.parkedListener)
	if err == nil {
		s.parkedListener.Close()
		s.parkedListener = nil
	}
	return l, err
}

// nextRetirement returns the channel that Retire closes. s.mu is held.
func (s *Server) nextRetirement() chan struct{} {
	if s.retiredSignal == nil {
		s.retiredSignal = make(chan struct{})
	}
	return s.retiredSignal
}
