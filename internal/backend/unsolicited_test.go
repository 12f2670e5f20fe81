package backend_test

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
)

// waitArrived waits until the bytes or the close that the host has sent can be seen on a connection.
func waitArrived(t *testing.T, conn backend.Conn) {
	for end := time.Now().Add(testTimeout); conn.Alive(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			t.Error("timed out waiting for the bytes or the close of the host")
			return
		}
	}
}

// unsolicited maps names to what a host may do to an idle connection. answer is the host's last answer on it.
var unsolicited = map[string]func(protocol string, answer []byte, conn *net.TCPConn){
	"the answer again": func(_ string, answer []byte, conn *net.TCPConn) { conn.Write(answer) },
	"a rejection":      func(protocol string, _ []byte, conn *net.TCPConn) { conn.Write(rejection(protocol)) },
	"half a message":   func(_ string, answer []byte, conn *net.TCPConn) { conn.Write(answer[:3]) },
	"a byte":           func(_ string, _ []byte, conn *net.TCPConn) { conn.Write([]byte("x")) },
	"an end":           func(_ string, _ []byte, conn *net.TCPConn) { conn.CloseWrite() },
	"a reset": func(_ string, _ []byte, conn *net.TCPConn) {
		conn.SetLinger(0)
		conn.Close()
	},
}

// rejection returns the message with which a host over its capacity rejects a statement.
func rejection(protocol string) []byte {
	if protocol == "postgres" {
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", "no room", ""))
	}
	var w mysqlwire.Writer
	w.Reset(1)
	w.Err(mysqlwire.Error{Code: 1040, State: "08004", Text: "too many"}, mysqlwire.CapProtocol41)
	return w.B
}

// TestUnsolicitedAtEachStep has bytes or a close arrive on an idle connection at each step of its return to the pool and of
// its reuse, up to the moment before its next attempt is written. A statement that may run only once must then go by another
// connection, run once, and get its own answer.
func TestUnsolicitedAtEachStep(t *testing.T) {
	for _, protocol := range protocols {
		for event, send := range unsolicited {
			for _, when := range []connStep{afterExchange, beforePark, afterPark, beforeExchange} {
				t.Run(fmt.Sprint(protocol, ", ", event, " ", when), func(t *testing.T) {
					t.Parallel()
					testUnsolicited(t, protocol, send, when)
				})
			}
		}
	}
}

func testUnsolicited(t *testing.T, protocol string, send func(string, []byte, *net.TCPConn), when connStep) {
	var answer atomic.Pointer[[]byte]
	host := &fake.Host{Malform: func(_ string, b []byte) fake.Malformed {
		copied := bytes.Clone(b)
		answer.CompareAndSwap(nil, &copied)
		return fake.Malformed{Answer: b}
	}}
	nth := 2 // the first occurrence of a step belongs to the first request
	if when == afterExchange {
		nth = 1
	}
	var mu sync.Mutex
	times := 0
	var h *harness
	h = newHarness(t, protocol, host, withSteps(func(step connStep, conn *steppedConn) {
		mu.Lock()
		defer mu.Unlock()
		if step != when {
			return
		}
		if times++; times != nth {
			return
		}
		if step == beforePark { // both requests' attempts have to be handed to the connection first
			for range 2 {
				<-conn.woken
			}
		}
		send(protocol, *answer.Load(), h.hostConn(0))
		waitArrived(t, conn)
	}))
	h.checkServes("put", "q1")
	if when != afterExchange {
		time.Sleep(pastReuseDelay)
	}
	h.checkServes("put", "q2")
	if n, failed := h.connCount(), h.counters.Get("attempts_not_connected"); n != 2 || failed > 0 {
		t.Errorf("%d connections, %d attempts could not connect", n, failed)
	}
}

// TestUnsolicitedByteAfterStartup has a host send an unsolicited byte after the startup of each connection. An attempt must not go
// through new connections until its deadline, and it never ran.
func TestUnsolicitedByteAfterStartup(t *testing.T) {
	h := newHarness(t, "postgres", &fake.Host{}, nil, func(conn net.Conn) {
		buffered := framebuf.New(conn, pgwire.MaxMessage)
		if _, _, err := pgwire.ReadStartup(buffered); err == nil {
			conn.Write(append(pgwire.AppendReady(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")), 'x'))
			buffered.Need(1)
		}
		conn.Close()
	})
	if a := h.wait(h.request("brief", "q1")); a.Status != core.Rejected || h.connCount() > 6 {
		t.Errorf("status %d after %d connections", a.Status, h.connCount())
	}
}

// duplicatingConn is the host's end of a connection. If next is set, its next write writes the bytes twice, in one piece.
type duplicatingConn struct {
	net.Conn
	next *atomic.Bool
}

func (c duplicatingConn) Write(b []byte) (int, error) {
	if c.next.CompareAndSwap(true, false) {
		_, err := c.Conn.Write(append(bytes.Clone(b), b...))
		return len(b), err
	}
	return c.Conn.Write(b)
}

// hostOfFirstPrepare returns a host that sets next as the first prepare arrives, before it answers.
func hostOfFirstPrepare(next *atomic.Bool) *fake.Host {
	first := true
	return &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
		if prepare && first {
			first = false
			next.Store(true)
		}
		return fake.Serve
	}}
}

// TestDuplicatePrepareAnswer has a host answer a prepare twice. The second answer must not be taken for the execute's answer.
func TestDuplicatePrepareAnswer(t *testing.T) {
	var next atomic.Bool
	host := hostOfFirstPrepare(&next)
	h := newHarness(t, "prepared", host, nil, func(conn net.Conn) { host.ServeMySQL(duplicatingConn{conn, &next}) })
	h.checkServes("put", "q1")
	if n := h.connCount(); n != 2 {
		t.Errorf("%d connections", n)
	}
}
