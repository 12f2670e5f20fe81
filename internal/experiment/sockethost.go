package experiment

import (
	"bytes"
	"context"
	"net"
	"sync"

	"cranegate/internal/fake"
	"cranegate/routing"
)

// hostSockets are the listeners and connections of a modelled host. While they are blocked, as during a partition, bytes
// wait in both directions, and are lost with their connection if the process crashes meanwhile.
type hostSockets struct {
	live      *live
	host      *host
	addresses [2]string
	server    *fake.Host

	mu        sync.Mutex
	blocked   chan struct{} // closed to unblock; nil: not blocked
	ctx       context.Context
	cancel    context.CancelFunc
	listeners [2]net.Listener
	conns     map[net.Conn]bool
}

// waitUnblocked waits while the sockets are blocked. It returns false if the process has crashed.
func (s *hostSockets) waitUnblocked() bool {
	s.mu.Lock()
	blocked, ctx := s.blocked, s.ctx
	s.mu.Unlock()
	if blocked == nil {
		return true
	}
	select {
	case <-blocked:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// blockableConn is a connection that passes no bytes while its host is blocked.
type blockableConn struct {
	net.Conn
	sockets *hostSockets
}

// Read returns bytes once the host is unblocked. Requests that arrive while it is blocked count as attempts
// at an unreachable host.
func (c blockableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sockets.mu.Lock()
	blocked := c.sockets.blocked != nil
	c.sockets.mu.Unlock()
	if text := b[:n]; blocked && !bytes.Contains(text, []byte("SHOW pressure")) {
		if _, rest, ok := bytes.Cut(text, []byte("id=")); ok {
			id, _, _ := bytes.Cut(rest, []byte(","))
			c.sockets.live.post(func() { c.sockets.live.recordLost(c.sockets.host, string(id)) })
		}
	}
	if !c.sockets.waitUnblocked() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes once the host is unblocked.
func (c blockableConn) Write(b []byte) (int, error) {
	if !c.sockets.waitUnblocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// handleStatement waits for the model's outcome of a statement and converts it into an act of the fake host.
func (s *hostSockets) handleStatement(id, text string, prepare bool) fake.Act {
	if prepare {
		return fake.Serve
	}
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	result := make(chan routing.Result, 1)
	s.live.post(func() { s.live.receive(s.host, id, result) })
	select {
	case r := <-result:
		return map[routing.Result]fake.Act{routing.ResultOK: fake.Serve, routing.ResultMissed: fake.Miss,
			routing.ResultOverCapacity: fake.Reject, routing.ResultTimeout: fake.Silent, routing.ResultError: fake.Error}[r]
	case <-ctx.Done():
	case <-s.live.ctx.Done():
	}
	return fake.Reset
}

// report returns the role and the position that the host reports: the current values or, if cached is set, the values of
// its health report.
func (s *hostSockets) report(cached bool) (primary bool, position int64) {
	type state struct {
		primary  bool
		position int64
	}
	result := make(chan state, 1)
	s.live.post(func() {
		x := healthReport{s.host.position, s.host.group.primary == s.host}
		if cached {
			x = s.host.currentReport()
		}
		result <- state{x.primary, s.live.unixMillis(x.position)}
	})
	select {
	case x := <-result:
		return x.primary, x.position
	case <-s.live.ctx.Done():
		return false, 0
	}
}

// setState applies the state of the modelled host to its sockets. It runs in the goroutine that owns the model.
func (s *hostSockets) setState(up, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if partitioned && s.blocked == nil {
		s.blocked = make(chan struct{})
	} else if !partitioned && s.blocked != nil {
		close(s.blocked)
		s.blocked = nil
	}
	running := s.ctx != nil && s.ctx.Err() == nil
	switch {
	case running && !up:
		s.cancel()
		for i, x := range s.listeners {
			x.Close()
			s.listeners[i] = nil
		}
		for c := range s.conns {
			c.(*net.TCPConn).SetLinger(0) // reset, as after a crash
			c.Close()
		}
		s.conns = map[net.Conn]bool{}
	case !running && up:
		s.ctx, s.cancel = context.WithCancel(s.live.ctx)
		for i := range s.listeners {
			x, err := net.Listen("tcp", s.addresses[i])
			if err != nil {
				s.live.judge.note("%s can't listen again: %v", s.host.id, err)
				continue
			}
			s.listeners[i], s.addresses[i] = x, x.Addr().String()
			go fake.Accept(x, func(c net.Conn) { s.serveConn(c, i) })
		}
	}
}

// serveConn serves one connection until it ends.
func (s *hostSockets) serveConn(c net.Conn, protocol int) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if protocol == 0 {
		s.server.ServePostgres(blockableConn{c, s})
	} else {
		s.server.ServeMySQL(blockableConn{c, s})
	}
}
