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

const mostWait = 20 * time.Second // for what must come; a busy machine may take its time

// counted is a connection that tells how many bytes have been read from it.
type counted struct {
	net.Conn
	mu   sync.Mutex
	n    int
	more chan struct{} // holds one
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.n += n
	c.mu.Unlock()
	select {
	case c.more <- struct{}{}:
	default:
	}
	return n, err
}

// until waits till so many bytes have been read.
func (c *counted) until(n int) bool {
	for end := time.After(mostWait); ; {
		c.mu.Lock()
		got := c.n
		c.mu.Unlock()
		if got >= n {
			return true
		}
		select {
		case <-c.more:
		case <-end:
			return false
		}
	}
}

// TestWhatEndsAnAnswer gives an answer in one way on the first connection of a watch, on real sockets, and whole with a length
// on the second. Where the first has ended in order it is told of at once. A reset is no end, even one that comes once
// the last byte has been read, nor is a close in the middle: nothing of it is told, and the next call asks as before.
func TestWhatEndsAnAnswer(t *testing.T) {
	const body = `{"rev":2,"all":false,"targets":[{"uid":"r2","state":"DRAINING"}]}`
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	sized := func(head string) string {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, x := range map[string]struct {
		answer string
		reset  bool
		told   bool
	}{
		"no length":                          {"HTTP/1.1 200 OK\r\n\r\n" + body, false, true},
		"no length, Connection: close":       {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, false, true},
		"no length, Connection: keep-alive":  {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n" + body, false, true},
		"no length, HTTP/1.0":                {"HTTP/1.0 200 OK\r\n\r\n" + body, false, true},
		"no length, indented":                {"HTTP/1.1 200 OK\r\n\r\n" + strings.ReplaceAll(body, ",", ",\n\t\t") + "\n", false, true},
		"a length, Connection: close":        {sized("HTTP/1.1 200 OK\r\nConnection: Foo, Close\r\n"), false, true},
		"a length, HTTP/1.0":                 {sized("HTTP/1.0 200 OK\r\n"), false, true},
		"a length, reset behind it":          {sized("HTTP/1.1 200 OK\r\n"), true, true},
		"chunked, close":                     {chunked, false, true},
		"no length, reset behind it":         {"HTTP/1.1 200 OK\r\n\r\n" + body, true, false},
		"no length, HTTP/1.0, reset":         {"HTTP/1.0 200 OK\r\n\r\n" + body, true, false},
		"no length, close, reset":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true, false},
		"no length, cut":                     {"HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-1], false, false},
		"no length, reset in the middle":     {"HTTP/1.1 200 OK\r\n\r\n" + body[:20], true, false},
		"no length, reset in the header":     {"HTTP/1.1 200 OK\r\n", true, false},
		"a length, cut":                      {sized("HTTP/1.1 200 OK\r\n")[:80], false, false},
		"a length, reset in the middle":      {sized("HTTP/1.1 200 OK\r\n")[:80], true, false},
		"chunked, cut before its end":        {chunked[:len(chunked)-7], false, false},
		"chunked, reset before its end":      {chunked[:len(chunked)-7], true, false},
		"no length, a word that is not read": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + body, false, false},
		"nothing":                            {"", true, false},
		"no length, too long":                {"HTTP/1.1 200 OK\r\n\r\n" + body + strings.Repeat(" ", mostTold), false, false},
		"no length, as long as may be":       {"HTTP/1.1 200 OK\r\n\r\n" + body + strings.Repeat(" ", mostTold-len(body)), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			told, dialled := make(chan string, 10), make(chan *counted, 10)
			w := NewWatcher(l.Addr().String(), Snapshot{Rev: 1, All: true}, func(l core.EndpointList) {
				for _, h := range l.Hosts {
					told <- h.Endpoint.Member
				}
			}, backoff.New(1, 1), &metrics.Counters{})
			w.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				c := &counted{Conn: raw, more: make(chan struct{}, 1)}
				dialled <- c
				return c, nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- w.Run(ctx) }()
			defer func() { cancel(); <-ended }()

			accept := func() (*net.TCPConn, string) {
				c, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(time.Now().Add(mostWait))
				r := bufio.NewReader(c)
				first, err := r.ReadString('\n')
				for line := first; err == nil && line != "\r\n"; {
					line, err = r.ReadString('\n')
				}
				return c.(*net.TCPConn), first
			}
			c, _ := accept()
			near := <-dialled
			io.WriteString(c, x.answer)
			if x.reset {
				if !near.until(len(x.answer)) { // all that came has been read: a reset may not throw it away
					t.Error("the answer was not read")
				}
				c.SetLinger(0)
			}
			c.Close()
			c, asked := accept() // the next call: what the first answer told has been told by now
			defer c.Close()
			if x.told {
				if len(told) == 0 || !strings.Contains(asked, "after=2&") {
					t.Errorf("not told: the next call is %q", asked)
				}
			} else if len(told) > 0 || !strings.Contains(asked, "after=1&") {
				t.Errorf("told of what had no end, the next call is %q", asked)
			}
		})
	}
}

// TestTwoFailuresOnSockets has a watch fail on real sockets right after its first answer, the call after it fail too, and a change
// come with the first failure: it is told in time. A busy machine may add half a second.
func TestTwoFailuresOnSockets(t *testing.T) {
	for _, words := range [][]string{{"late silent", "silent"}, {"late body", "header"}, {"late silent", "full"}, {"late full", "silent"}, {"asks", "silent"}, {"late cut", "busy"}} {
		t.Run(strings.Join(words, ", then "), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			a := &agent{words: append(words, "live"), rev: 2, over: make(chan struct{})}
			ends := make(chan net.Conn, 100)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					ends <- c
					a.mu.Lock()
					word := a.words[0]
					if len(a.words) > 1 {
						a.words = a.words[1:]
					}
					a.mu.Unlock()
					go a.serve(c, word)
				}
			}()
			told := make(chan struct{})
			w := NewWatcher(l.Addr().String(), Snapshot{Rev: 2, All: true}, func(x core.EndpointList) {
				for _, h := range x.Hosts {
					if h.Endpoint.Member == "r3" {
						close(told)
					}
				}
			}, backoff.New(300, 1), &metrics.Counters{})
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- w.Run(ctx) }()
			defer func() {
				cancel()
				<-ended
				close(a.over)
				l.Close()
				for len(ends) > 0 {
					(<-ends).Close()
				}
			}()
			first := 1 // calls before the one that fails
			if strings.HasPrefix(words[0], "late ") {
				first = 2
			}
			for end := time.Now().Add(mostWait); ; time.Sleep(time.Millisecond) {
				if a.mu.Lock(); len(a.asked) >= first {
					a.rev = 3
					a.mu.Unlock()
					break
				}
				a.mu.Unlock()
				if time.Now().After(end) {
					t.Fatal("no call came")
				}
			}
			since := time.Now()
			select {
			case <-told:
				if took := time.Since(since); took > reachedTold+500*time.Millisecond {
					t.Errorf("told after %v", took)
				}
			case <-time.After(mostWait):
				t.Error("not told")
			}
		})
	}
}
