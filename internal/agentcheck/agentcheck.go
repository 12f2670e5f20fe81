// Package agentcheck tells load balancers how this gateway is: its state, and HAProxy's agent-check over TCP.
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
	answerFor = time.Second // a check takes no longer
	mostRest  = 64          // reads of what a balancer still sends
	mostOpen  = 11          // checks at once; one more may wait for its turn
)

// State is what balancers are told.
type State int32

// The states, in their order.
const (
	Starting State = iota
	Ready
	Draining // no new clients, please; those here are still served
)

// Unready says that clients should go elsewhere: the gateway has not started yet, or has begun to stop.
type NotReadyError struct{ State State }

func (e NotReadyError) Error() string {
	if e.State == Draining {
		return "draining"
	}
	return "starting"
}

// Status is the state, shared by all checks.
type Status struct {
	state atomic.Int32
	// Free is the share of client connections that are still to be had, 0 to 1; nil stands for all.
	Free func() float64
}

// Set moves to a state.
func (s *Status) Set(x State) { s.state.Store(int32(x)) }

// State is the present state.
func (s *Status) State() State { return State(s.state.Load()) }

// Agent is the line for HAProxy's agent-check: a weight that falls as connections run out.
func (s *Status) Agent() string {
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

// Health is a line for a health check, and Unready while clients should go elsewhere.
func (s *Status) Health() (string, error) {
	if x := s.State(); x != Ready {
		return "", NotReadyError{x}
	}
	return "ready\n", nil
}

// ServeAgent answers agent-checks until the context ends, and closes the listener. Whatever the balancer says is passed
// over.
func ServeAgent(ctx context.Context, l net.Listener, s *Status) error {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	var group errgroup.Group
	group.SetLimit(mostOpen)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return group.Wait()
		} else if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		group.Go(func() error {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(answerFor))
			if _, err := conn.Write([]byte(s.Agent())); err != nil {
				slog.Warn("check_failed", "peer", conn.RemoteAddr(), "error", err)
				return nil
			}
			finish(conn)
			return nil
		})
	}
}

// finish reads what the balancer has still sent: closing over it would reset the connection and lose the answer.
func finish(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(answerFor / 10))
		var b [256]byte
		for range mostRest {
			if _, err := conn.Read(b[:]); err != nil {
				return
			}
		}
	}
}
