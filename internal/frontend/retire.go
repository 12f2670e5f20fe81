package frontend

import (
	"fmt"
	"log/slog"
	"net"
	"os"
)

// Retire closes the listener, because another process accepts new clients from now on. Connected clients are still served.
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

// Resume undoes Retire after the other process has ended. It has no effect if this process is shutting down. It returns an
// error if the server can't listen at its address again.
func (s *Server) Resume() error {
	s.mu.Lock()
	acceptor, retired := s.acceptor, s.retired
	s.mu.Unlock()
	if acceptor != nil && retired {
		<-acceptor.closed // frees the address; not while s.mu is held, which a client in the backlog may need
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

// closeListener closes the listener. It keeps a duplicate of a shared listener for Resume. If Resume opened a new listener
// instead, clients in the accept queue of the shared one would never be accepted. s.mu is held.
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
	s.listenerDuplicate = f
	go s.acceptor.abandon() // in a goroutine, as it may wait for a drainAndClose under way, which may need s.mu
}

// reopenListener listens again at the address of the closed listener. s.mu is held.
func (s *Server) reopenListener() (net.Listener, error) {
	if s.listenerDuplicate == nil {
		return net.Listen(s.acceptor.Addr().Network(), s.acceptor.Addr().String())
	}
	l, err := net.FileListener(s.listenerDuplicate)
	if err == nil {
		s.listenerDuplicate.Close()
		s.listenerDuplicate = nil
	}
	return l, err
}

// nextRetirement returns the channel that Retire closes, and creates it if needed. s.mu is held.
func (s *Server) nextRetirement() chan struct{} {
	if s.retiredSignal == nil {
		s.retiredSignal = make(chan struct{})
	}
	return s.retiredSignal
}
