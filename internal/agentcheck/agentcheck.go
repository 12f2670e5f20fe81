// Package agentcheck reports the state of this gateway to load balancers, as a line for health checks and by HAProxy's agent-check
// protocol over TCP.
package agentcheck

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	checkTimeout        = time.Second
	lingerTimeout       = checkTimeout / 10
	maxLingerReads      = 64 // reads of what a load balancer still sends
	maxConcurrentChecks = 11 // one more connection may wait for its check to begin
	acceptRetryDelay    = 10 * time.Millisecond
)

// State is the state of a gateway as load balancers see it.
type State int32

// The states, in their order.
const (
	Starting State = iota
	Ready
	Draining // no new clients; those that are connected are still served
)

// NotReadyError reports that clients should connect to another gateway: this one has not started yet, or has begun to stop.
type NotReadyError struct{ State State }

// Error implements the error interface.
func (e NotReadyError) Error() string {
	if e.State == Draining {
		return "draining"
	}
	return "starting"
}

// Status is the state, shared by all checks. All methods may be called from any goroutine.
type Status struct {
	state atomic.Int32
	// Free returns the share of client connections that is still free, 0 to 1. If Free is nil, all are free. Set it before the first
	// check.
	Free func() float64
}

// Set changes the state.
func (s *Status) Set(state State) { s.state.Store(int32(state)) }

// State returns the state.
func (s *Status) State() State { return State(s.state.Load()) }

// AgentLine returns the line for HAProxy's agent-check. While the gateway is ready its weight falls as connections run out.
func (s *Status) AgentLine() string {
	switch s.State() {
	case Ready:
		weight := 100
		if s.Free != nil {
			weight = max(1, min(100, int(100*s.Free()+0.5)))
		}
		return fmt.Sprintf("up ready %d%%\n", weight)
	case Draining:
		return "drain\n"
	}
	return "down\n"
}

// Health returns a line for a health check, or a NotReadyError while clients should connect to another gateway.
func (s *Status) Health() (string, error) {
	if state := s.State(); state != Ready {
		return "", NotReadyError{state}
	}
	return "ready\n", nil
}

// ServeAgent answers agent-checks until the context ends, and closes the listener. It ignores what a load balancer sends.
func ServeAgent(ctx context.Context, l net.Listener, s *Status) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var group errgroup.Group
	group.SetLimit(maxConcurrentChecks)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return group.Wait()
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		group.Go(func() error {
			answer(conn, s)
			return nil
		})
	}
}

// answer answers one check and closes its connection.
func answer(conn net.Conn, s *Status) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(checkTimeout))
	if _, err := conn.Write([]byte(s.AgentLine())); err != nil {
		slog.Warn("agentcheck_failed", "peer", conn.RemoteAddr(), "error", err)
		return
	}
	linger(conn)
}

// linger reads what the load balancer still sends: a close with unread bytes would reset the connection and lose the answer.
func linger(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var buf [256]byte
	for range maxLingerReads {
		if _, err := conn.Read(buf[:]); err != nil {
			return
		}
	}
}
