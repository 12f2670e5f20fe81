package balancers

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
)

// oneConn is a listener with one connection.
type oneConn struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l oneConn) Close() error   { close(l.done); return nil }
func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// TestChecksFollowTheState guards what balancers hear in each state, and that odd requests are turned away.
func TestChecksFollowTheState(t *testing.T) {
	free := 0.42
	s := &Status{Free: func() float64 { return free }}
	for _, c := range []struct {
		state         State
		sent, want    string
		agent, health bool
	}{
		{Starting, "", "down\n", true, false},
		{Ready, "", "up ready 42%\n", true, false},
		{Draining, "anything\n", "drain\n", true, false},
		{Starting, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n", "503 Service Unavailable", false, true},
		{Ready, "OPTIONS / HTTP/1.0\r\n\r\n", "200 OK", false, true},
		{Ready, "HEAD /health?x=1 HTTP/1.1\r\n\r\n", "Content-Length: 6\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n$", false, true},
		{Draining, "GET /health HTTP/1.1\r\n\r\n", "draining\n$", false, true},
		{Ready, "GET /counters HTTP/1.1\r\n\r\n", "a=1\nb=2\n$", false, true},
		{Ready, "GET /secret HTTP/1.1\r\n\r\n", "404", false, true},
		{Ready, "POST /health HTTP/1.1\r\n\r\n", "405", false, true},
		{Ready, "nonsense\r\n", "400", false, true},
		{Ready, strings.Repeat("x", 5000), "400", false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			l := oneConn{make(chan net.Conn), make(chan struct{})}
			s.Set(c.state)
			ended := make(chan error, 1)
			go func() {
				if c.agent {
					ended <- ServeAgent(ctx, l, s)
				} else {
					ended <- ServeHealth(ctx, l, s, func() string { return "a=1 b=2" })
				}
			}()
			near, far := net.Pipe()
			l.conns <- far
			go near.Write([]byte(c.sent))
			got, err := io.ReadAll(near)
			want, whole := strings.CutSuffix(c.want, "$")
			if err != nil || !strings.Contains(string(got), want) || whole && !strings.HasSuffix(string(got), want) {
				t.Errorf("%v %q: %q, %v", c.state, c.sent, got, err)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
