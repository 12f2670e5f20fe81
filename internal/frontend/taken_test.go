package frontend_test

import (
	"bytes"
	"errors"
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

// looked is the gateway's end of a connection on whose last look something is made to happen right before: the first one
// behind an answer that holds a text. Looks at the client before its requests are handed on come earlier.
type looked struct {
	*net.TCPConn
	behind   string
	answered atomic.Bool
	before   func()
	once     sync.Once
}

func (c *looked) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(c.behind)) {
		c.answered.Store(true)
	}
	return c.TCPConn.Write(b)
}

func (c *looked) SyscallConn() (syscall.RawConn, error) {
	if c.answered.Load() {
		c.once.Do(c.before)
	}
	return c.TCPConn.SyscallConn()
}

// TestWhatHasComeIsAnswered lets bytes arrive right before the last look at a connection that is about to end, idle or
// behind its answer: a request, the first bytes of one, one behind another. All that becomes whole is answered, and then the
// client sees a plain end.
func TestWhatHasComeIsAnswered(t *testing.T) {
	a, b := pgQuery(fmt.Sprintf(look, "a")), pgQuery(fmt.Sprintf(look, "b"))
	for name, parts := range map[string][2]string{"whole": {a, ""}, "half": {a[:20], a[20:]}, "head": {a[:3], a[3:]},
		"pipelined": {a + b, ""}, "one and a half": {a + b[:20], b[20:]}} {
		for _, behind := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", behind an answer: ", behind), func(t *testing.T) {
				t.Parallel()
				host := &fake.Host{Primary: true}
				rig := newRig(false, host)
				defer rig.close()
				near, far := loopback(t)
				came := make(chan struct{})
				c := &looked{TCPConn: far, behind: "value of first"}
				if behind {
					c.behind = "value of last"
				}
				c.before = func() {
					io.WriteString(near, parts[0])
					(&crossing{TCPConn: far}).arrived()
					close(came)
				}
				rig.pipes.conns <- c
				p, err := fake.DialPostgres(near, "")
				if err != nil {
					t.Fatal(err)
				}
				ask := func(id string) {
					t.Helper()
					if r, err := p.Ask(fmt.Sprintf(look, id)); err != nil || r.Value != "value of "+id {
						t.Fatalf("%s: %+v, %v", id, r, err)
					}
				}
				ask("first")
				rig.stop()
				if behind {
					time.Sleep(450 * time.Millisecond) // connections end behind an answer from 0.4 s on
					ask("last")
				}
				<-came
				io.WriteString(near, parts[1])
				for _, id := range []string{"a", "b"} {
					if id == "b" && len(parts[0])+len(parts[1]) == len(a) {
						break
					}
					if r, err := p.Read(); err != nil || r.Value != "value of "+id {
						t.Errorf("%s: %+v, %v", id, r, err)
					}
				}
				if _, err := p.Read(); !errors.Is(err, io.EOF) {
					t.Errorf("the client sees %v in place of a plain end", err)
				}
			})
		}
	}
}

// late is the gateway's end of a connection: once something has been read after stalls is closed, the next read begins when
// its time has passed and what comes last lies there, as in a process that has not run for a while.
type late struct {
	*net.TCPConn
	stalls chan struct{}
	last   func()
	until  time.Time
	state  int // 1: something was read, 2: the stall is over
}

func (c *late) SetReadDeadline(t time.Time) error { c.until = t; return c.TCPConn.SetReadDeadline(t) }

func (c *late) Read(b []byte) (int, error) {
	if c.state == 1 {
		c.state = 2
		c.last()
		c.TCPConn.SetReadDeadline(c.until) // arrived has taken it away
		time.Sleep(time.Until(c.until) + time.Millisecond)
	}
	n, err := c.TCPConn.Read(b)
	select {
	case <-c.stalls:
		if n > 0 && c.state == 0 {
			c.state = 1
		}
	default:
	}
	return n, err
}

// TestMessageThatCameInTime: the rest of a request that was there before the time for it had passed, but was not read by
// then, is read, and the request answered.
func TestMessageThatCameInTime(t *testing.T) {
	rig := newRig(false, &fake.Host{Primary: true})
	defer rig.close()
	near, far := loopback(t)
	text := pgQuery(fmt.Sprintf(look, "a"))
	c := &late{TCPConn: far, stalls: make(chan struct{})}
	c.last = func() {
		io.WriteString(near, text[20:])
		(&crossing{TCPConn: far}).arrived()
	}
	rig.pipes.conns <- c
	p, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	close(c.stalls)
	io.WriteString(near, text[:20])
	if r, err := p.Read(); err != nil || r.Value != "value of a" {
		t.Errorf("%+v, %v", r, err)
	}
}
