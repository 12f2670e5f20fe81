package frontend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// checkedConn is the gateway's end of a connection. It calls a function right before the gateway first checks the connection's socket
// after an answer that contains a given text. Checks before that answer, such as the one before a request is submitted, do not count.
type checkedConn struct {
	*net.TCPConn
	answer      string // text of the answer
	answered    atomic.Bool
	beforeCheck func()
	once        sync.Once
}

func (c *checkedConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(c.answer)) {
		c.answered.Store(true)
	}
	return c.TCPConn.Write(b)
}

func (c *checkedConn) SyscallConn() (syscall.RawConn, error) {
	if c.answered.Load() {
		c.once.Do(c.beforeCheck)
	}
	return c.TCPConn.SyscallConn()
}

// TestArrivedRequestsAreAnswered has bytes arrive right before the gateway's last check of a connection that it is about to close, either
// idle or right after an answer. The bytes are a request, the beginning of one, or several. Every request that becomes complete must be
// answered, and then the client must see EOF.
func TestArrivedRequestsAreAnswered(t *testing.T) {
	a, b := postgresQuery(fmt.Sprintf(readStatement, "a")), postgresQuery(fmt.Sprintf(readStatement, "b"))
	for _, test := range []struct {
		name   string
		before string // arrives before the check
		after  string
		want   []string // the ids of the requests
	}{
		{"complete", a, "", []string{"a"}},
		{"half", a[:20], a[20:], []string{"a"}},
		{"head", a[:3], a[3:], []string{"a"}},
		{"pipelined", a + b, "", []string{"a", "b"}},
		{"one and a half", a + b[:20], b[20:], []string{"a", "b"}},
	} {
		for _, afterAnswer := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", after an answer: ", afterAnswer), func(t *testing.T) {
				t.Parallel()
				harness := newHarness(false, &fake.Host{Primary: true})
				defer harness.close()
				near, far := loopback(t)
				arrived := make(chan struct{})
				conn := &checkedConn{TCPConn: far, answer: "value of first"}
				if afterAnswer {
					conn.answer = "value of last"
				}
				conn.beforeCheck = func() {
					io.WriteString(near, test.before)
					awaitArrival(far)
					close(arrived)
				}
				harness.listener.conns <- conn
				client, err := fake.DialPostgres(near, "")
				if err != nil {
					t.Fatal(err)
				}
				expectServed(t, client, "first")
				harness.shutdown()
				if afterAnswer {
					time.Sleep(closeAfterAnswerDelay)
					expectServed(t, client, "last")
				}
				<-arrived
				io.WriteString(near, test.after)
				for _, id := range test.want {
					if r, err := client.Read(); err != nil || r.Value != "value of "+id {
						t.Errorf("%s: %+v, %v", id, r, err)
					}
				}
				expectEOF(t, client)
			})
		}
	}
}

// lateConn is the gateway's end of a connection. After stall is closed and some bytes were read, it delays the next read until the rest of
// the message has arrived and the read deadline has passed, as if the process had been suspended.
type lateConn struct {
	*net.TCPConn
	stall    chan struct{} // closed to enable the delay
	sendRest func()        // sends the rest of the message and waits until it has arrived
	deadline time.Time     // the read deadline
	state    stallState
}

// stallState says whether a lateConn has delayed a read.
type stallState int

const (
	stallPending  stallState = iota // no bytes were read since stall was closed
	stallNextRead                   // the next read is delayed
	stallOver                       // a read was delayed
)

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.TCPConn.SetReadDeadline(t)
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.state == stallNextRead {
		c.state = stallOver
		c.sendRest()
		c.TCPConn.SetReadDeadline(c.deadline) // awaitArrival has removed it
		time.Sleep(time.Until(c.deadline) + time.Millisecond)
	}
	n, err := c.TCPConn.Read(b)
	select {
	case <-c.stall:
		if n > 0 && c.state == stallPending {
			c.state = stallNextRead
		}
	default:
	}
	return n, err
}

// TestMessageArrivedInTime checks that the rest of a request that has arrived before the message's deadline, but is not read until after
// it, is still read, and that the request is answered.
func TestMessageArrivedInTime(t *testing.T) {
	harness := newHarness(false, &fake.Host{Primary: true})
	defer harness.close()
	near, far := loopback(t)
	text := postgresQuery(fmt.Sprintf(readStatement, "a"))
	conn := &lateConn{TCPConn: far, stall: make(chan struct{})}
	conn.sendRest = func() {
		io.WriteString(near, text[20:])
		awaitArrival(far)
	}
	harness.listener.conns <- conn
	client, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	close(conn.stall)
	io.WriteString(near, text[:20])
	if r, err := client.Read(); err != nil || r.Value != "value of a" {
		t.Errorf("%+v, %v", r, err)
	}
}
