package agentcheck

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
)

// pipeListener is a listener whose connections come from a channel.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAgentLineByState checks the line that HAProxy gets in each state, with and without input from it, and the line for health checks.
func TestAgentLineByState(t *testing.T) {
	free := 0.42
	s := &Status{Free: func() float64 { return free }}
	for _, c := range []struct {
		state              State
		sent, want, health string
	}{
		{Starting, "", "down\n", "starting"},
		{Ready, "", "up ready 42%\n", "ready\n"},
		{Draining, "anything\n", "drain\n", "draining"},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			l := pipeListener{make(chan net.Conn), make(chan struct{})}
			s.Set(c.state)
			ended := make(chan error, 1)
			go func() { ended <- ServeAgent(ctx, l, s) }()
			near, far := net.Pipe()
			l.conns <- far
			go near.Write([]byte(c.sent))
			if got, err := io.ReadAll(near); err != nil || string(got) != c.want {
				t.Errorf("%v %q: %q, %v", c.state, c.sent, got, err)
			}
			text, err := s.Health()
			if err != nil {
				text = err.Error()
			}
			if text != c.health {
				t.Errorf("health in %v: %q", c.state, text)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
