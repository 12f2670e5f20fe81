package backend_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
)

// breakingConn is a connection to a host on which write replaces the first write of request q1.
type breakingConn struct {
	*net.TCPConn
	write func(conn *net.TCPConn, b []byte) (int, error)
	once  *sync.Once
}

func (c breakingConn) Write(b []byte) (n int, err error) {
	replaced := false
	if bytes.Contains(b, []byte("q1")) {
		c.once.Do(func() {
			replaced = true
			n, err = c.write(c.TCPConn, b)
		})
	}
	if replaced {
		return n, err
	}
	return c.TCPConn.Write(b)
}

// withBreakingConns has the pool open connections on which write replaces the first write of request q1, once for all of them
// together.
func withBreakingConns(write func(conn *net.TCPConn, b []byte) (int, error)) func(*backend.Options) {
	var once sync.Once
	return func(options *backend.Options) {
		options.Connect = func(_ context.Context, address string) (net.Conn, error) {
			raw, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return breakingConn{raw.(*net.TCPConn), write, &once}, nil
		}
	}
}

// TestWriteBreaks breaks the write of a request. If its last byte was not written, the request never ran and must be retried.
// If the last byte was written, whatever the write returns, the request may have run and must not be retried.
func TestWriteBreaks(t *testing.T) {
	errBroken := errors.New("broken")
	writeNothing := func(*net.TCPConn, []byte) (int, error) { return 0, errBroken }
	writeAllButAByte := func(conn *net.TCPConn, b []byte) (int, error) {
		n, _ := conn.Write(b[:len(b)-1])
		return n, errBroken
	}
	writeAll := func(conn *net.TCPConn, b []byte) (int, error) {
		n, _ := conn.Write(b)
		return n, errBroken
	}
	for name, c := range map[string]struct {
		write func(conn *net.TCPConn, b []byte) (int, error)
		act   fake.Act
		want  core.Status
	}{
		"nothing":      {writeNothing, fake.Serve, core.Served},
		"but a byte":   {writeAllButAByte, fake.Serve, core.Served},
		"all":          {writeAll, fake.Serve, core.Served},
		"all, a reset": {writeAll, fake.Reset, core.Failed},
	} {
		for _, protocol := range protocols {
			t.Run(protocol+", "+name, func(t *testing.T) {
				host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
					if prepare {
						return fake.Serve
					}
					return c.act
				}}
				h := newHarness(t, protocol, host, withBreakingConns(c.write))
				if a := h.wait(h.request("put", "q1")); a.Status != c.want || host.Ran("q1") != 1 {
					t.Errorf("status %d, ran %d times", a.Status, host.Ran("q1"))
				}
			})
		}
	}
}

// TestWriteHangs blocks a write indefinitely, as a host with a full receive window does. At its deadline the request must be
// answered and its connection closed.
func TestWriteHangs(t *testing.T) {
	closed := make(chan struct{})
	h := newHarness(t, "postgres", &fake.Host{}, withBreakingConns(func(conn *net.TCPConn, _ []byte) (int, error) {
		defer close(closed)
		conn.SetReadDeadline(time.Time{})
		_, err := conn.Read(make([]byte, 1)) // until it is closed on this side
		return 0, err
	}))
	if a := h.wait(h.request("brief", "q1")); a.Status == core.Served {
		t.Error("served")
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection stays open")
	}
	if n := h.host.Ran("q1"); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// resettingConn is the host's end of a connection. If next is set, the connection is reset in the middle of its next write.
type resettingConn struct {
	net.Conn
	next *atomic.Bool
}

func (c resettingConn) Write(b []byte) (int, error) {
	if !c.next.CompareAndSwap(true, false) {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:len(b)/2])
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
	return n, net.ErrClosed
}

// TestResetInTheAnswer resets the connection in the middle of an answer. The statement may have run and must not be retried.
func TestResetInTheAnswer(t *testing.T) {
	for _, protocol := range protocols {
		var next atomic.Bool
		host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
			next.Store(!prepare)
			return fake.Serve
		}}
		h := newHarness(t, protocol, host, nil, func(conn net.Conn) {
			if conn = (resettingConn{conn, &next}); protocol == "postgres" {
				host.ServePostgres(conn)
			} else {
				host.ServeMySQL(conn)
			}
		})
		if a := h.wait(h.request("put", "q1")); a.Status != core.Failed || host.Ran("q1") != 1 {
			t.Errorf("%s: status %d, ran %d times", protocol, a.Status, host.Ran("q1"))
		}
	}
}
