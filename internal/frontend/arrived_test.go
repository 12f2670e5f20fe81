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

// checkedConn is the gateway's end of a connection. It calls a function right before the first check of the connection behind
// an answer that holds a text. The checks before a request is submitted come earlier.
type checkedConn struct {
	*net.TCPConn
	answer      string
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

// TestArrivedRequestsAreAnswered has bytes arrive right before the last check of a connection that is about to be closed, idle or
// after its answer: a request, the first bytes of one, one behind another. All that becomes complete is answered, and then
// the client sees a plain end.
func TestArrivedRequestsAreAnswered(t *testing.T) {
	a, b := postgresQuery(fmt.Sprintf(lookStatement, "a")), postgresQuery(fmt.Sprintf(lookStatement, "b"))
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
					time.Sleep(drainNotice)
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

// lateConn is the gateway's end of a connection. Once something has been read after stall is closed, the next read begins when
// its deadline has passed and the rest has arrived, as in a process that has not run for a while.
type lateConn struct {
	*net.TCPConn
	stall    chan struct{}
	sendRest func()
	deadline time.Time
	state    stallState
}

type stallState int

const (
	stallPending stallState = iota
	stallNextRead
	stallOver
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

// TestMessageArrivedInTime checks that the rest of a request that had arrived before the message's deadline passed, but was not
// read by then, is read, and the request answered.
func TestMessageArrivedInTime(t *testing.T) {
	harness := newHarness(false, &fake.Host{Primary: true})
	defer harness.close()
	near, far := loopback(t)
	text := postgresQuery(fmt.Sprintf(lookStatement, "a"))
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
