package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegate/internal/backoff"
	"cranegate/internal/core"
	"cranegate/internal/metrics"
)

// countingConn is a connection that counts the bytes read from it.
type countingConn struct {
	net.Conn
	mu       sync.Mutex
	read     int
	progress chan struct{} // signals a read; has a capacity of one
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.read += n
	c.mu.Unlock()
	select {
	case c.progress <- struct{}{}:
	default:
	}
	return n, err
}

// waitForBytes waits until n bytes have been read. It reports false if that takes longer than testTimeout.
func (c *countingConn) waitForBytes(n int) bool {
	timeout := time.After(testTimeout)
	for {
		c.mu.Lock()
		got := c.read
		c.mu.Unlock()
		if got >= n {
			return true
		}
		select {
		case <-c.progress:
		case <-timeout:
			return false
		}
	}
}

// listen opens a listener on a free port for the duration of a test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// start runs a Watcher until the test ends.
func start(t *testing.T, w *Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// acceptCall accepts a connection, reads a call from it and returns the call's request line.
func acceptCall(t *testing.T, l net.Listener) (c *net.TCPConn, requestLine string) {
	t.Helper()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(accepted)
	requestLine, err = r.ReadString('\n')
	for line := requestLine; err == nil && line != "\r\n"; {
		line, err = r.ReadString('\n')
	}
	return accepted.(*net.TCPConn), requestLine
}

// TestAnswerEnd ends the first answer of a watch in different ways, on real sockets, and checks the revision in the next call. A
// complete answer is applied before that call. A reset does not complete an answer without a length, even if the last byte has been
// read. An incomplete answer is not applied at all, and the next call has the same revision as before.
func TestAnswerEnd(t *testing.T) {
	const body = `{"rev":2,"all":false,"targets":[{"uid":"r2","state":"DRAINING"}]}`
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	sized := func(head string) string {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, test := range map[string]answerEndTest{
		"no length":                            {"HTTP/1.1 200 OK\r\n\r\n" + body, false, true},
		"no length, Connection: close":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, false, true},
		"no length, Connection: keep-alive":    {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n" + body, false, true},
		"no length, HTTP/1.0":                  {"HTTP/1.0 200 OK\r\n\r\n" + body, false, true},
		"no length, indented":                  {"HTTP/1.1 200 OK\r\n\r\n" + strings.ReplaceAll(body, ",", ",\n\t\t") + "\n", false, true},
		"a length, Connection: close":          {sized("HTTP/1.1 200 OK\r\nConnection: Foo, Close\r\n"), false, true},
		"a length, HTTP/1.0":                   {sized("HTTP/1.0 200 OK\r\n"), false, true},
		"a length, reset behind it":            {sized("HTTP/1.1 200 OK\r\n"), true, true},
		"chunked, close":                       {chunked, false, true},
		"no length, reset behind it":           {"HTTP/1.1 200 OK\r\n\r\n" + body, true, false},
		"no length, HTTP/1.0, reset":           {"HTTP/1.0 200 OK\r\n\r\n" + body, true, false},
		"no length, close, reset":              {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true, false},
		"no length, cut":                       {"HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-1], false, false},
		"no length, reset in the middle":       {"HTTP/1.1 200 OK\r\n\r\n" + body[:20], true, false},
		"no length, reset in the header":       {"HTTP/1.1 200 OK\r\n", true, false},
		"a length, cut":                        {sized("HTTP/1.1 200 OK\r\n")[:80], false, false},
		"a length, reset in the middle":        {sized("HTTP/1.1 200 OK\r\n")[:80], true, false},
		"chunked, cut before its end":          {chunked[:len(chunked)-7], false, false},
		"chunked, reset before its end":        {chunked[:len(chunked)-7], true, false},
		"no length, unknown transfer encoding": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + body, false, false},
		"nothing":                              {"", true, false},
		"no length, too long":                  {"HTTP/1.1 200 OK\r\n\r\n" + body + strings.Repeat(" ", maxAnswerBytes), false, false},
		"no length, of the maximum length":     {"HTTP/1.1 200 OK\r\n\r\n" + body + strings.Repeat(" ", maxAnswerBytes-len(body)), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.run(t)
		})
	}
}

// answerEndTest is a case of TestAnswerEnd.
type answerEndTest struct {
	answer  string
	reset   bool // the connection is reset after the answer, not closed
	applied bool
}

func (test answerEndTest) run(t *testing.T) {
	l := listen(t)
	notified, dialled := make(chan string, 10), make(chan *countingConn, 10)
	w := NewWatcher(l.Addr().String(), Snapshot{Rev: 1, All: true}, func(list core.EndpointList) {
		for _, host := range list.Hosts {
			notified <- host.Endpoint.Member
		}
	}, backoff.New(1, 1), &metrics.Counters{})
	w.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &countingConn{Conn: raw, progress: make(chan struct{}, 1)}
		dialled <- c
		return c, nil
	}
	start(t, w)

	c, _ := acceptCall(t, l)
	near := <-dialled
	io.WriteString(c, test.answer)
	if test.reset {
		if !near.waitForBytes(len(test.answer)) { // a reset may discard what has not been read
			t.Error("the answer was not read")
		}
		c.SetLinger(0)
	}
	c.Close()
	c, requestLine := acceptCall(t, l) // the first answer is applied before the next call
	defer c.Close()
	if applied := len(notified) > 0; applied != test.applied {
		t.Errorf("applied: %t, want %t", applied, test.applied)
	}
	rev := "after=1&"
	if test.applied {
		rev = "after=2&"
	}
	if !strings.Contains(requestLine, rev) {
		t.Errorf("the next call is %q, want %q in it", requestLine, rev)
	}
}

// listenAndServe serves a fake agent's connections on a real socket until the test ends.
func (a *fakeAgent) listenAndServe(t *testing.T) (address string) {
	t.Helper()
	a.done = make(chan struct{})
	l := listen(t)
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
			go a.serve(c, a.nextBehaviour())
		}
	}()
	t.Cleanup(func() {
		close(a.done)
		l.Close()
		for len(accepted) > 0 {
			(<-accepted).Close()
		}
	})
	return l.Addr().String()
}

// TestTwoFailuresOnSockets has two consecutive calls fail on real sockets, mostly right after the first answer, and makes a change at
// the first failure. The change must be notified within reachableBound. A busy machine may add half a second.
func TestTwoFailuresOnSockets(t *testing.T) {
	for _, behaviours := range [][]string{{"late silent", "silent"}, {"late body", "header"}, {"late silent", "reject"}, {"late reject", "silent"},
		{"retry-after", "silent"}, {"late cut", "reject-late"}} {
		t.Run(strings.Join(behaviours, ", then "), func(t *testing.T) {
			t.Parallel()
			a := &fakeAgent{behaviours: append(behaviours, "live"), rev: 2}
			notified := make(chan struct{})
			w := NewWatcher(a.listenAndServe(t), Snapshot{Rev: 2, All: true}, func(list core.EndpointList) {
				for _, host := range list.Hosts {
					if host.Endpoint.Member == "r3" {
						close(notified)
					}
				}
			}, backoff.New(300, 1), &metrics.Counters{})
			start(t, w)
			callsBeforeFailure := 1
			if strings.HasPrefix(behaviours[0], "late ") {
				callsBeforeFailure = 2
			}
			for deadline := time.Now().Add(testTimeout); a.calls() < callsBeforeFailure; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the Watcher did not make the call that fails")
				}
			}
			a.setRev(3)
			changedAt := time.Now()
			select {
			case <-notified:
				if took := time.Since(changedAt); took > reachableBound+500*time.Millisecond {
					t.Errorf("notified after %v", took)
				}
			case <-time.After(testTimeout):
				t.Error("not notified")
			}
		})
	}
}
