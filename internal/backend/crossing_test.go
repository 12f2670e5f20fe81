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

// staged is a connection whose steps are stopped between: at is called before and after each.
type staged struct {
	backend.Conn
	at   func(stage string, c backend.Conn)
	woke chan struct{} // takes one when an attempt has been handed over
}

func (s *staged) Park(until time.Time, woken func() bool) error {
	s.at("before park", s)
	err := s.Conn.Park(until, woken)
	s.at("after park", s)
	return err
}

func (s *staged) Wake() {
	s.woke <- struct{}{}
	s.Conn.Wake()
}

func (s *staged) Exchange(a *core.Attempt) (core.Outcome, bool) {
	s.at("before exchange", s)
	o, inStep := s.Conn.Exchange(a)
	s.at("after exchange", s)
	return o, inStep
}

// stage wraps each connection's start.
func stage(at func(stage string, c backend.Conn)) func(*backend.Options) {
	return func(opt *backend.Options) {
		start := opt.Start
		opt.Start = func(raw net.Conn) (backend.Conn, error) {
			c, err := start(raw)
			if err != nil {
				return nil, err
			}
			return &staged{Conn: c, at: at, woke: make(chan struct{}, 100)}, nil
		}
	}
}

// arrived waits until what the host has done to a connection is there to be seen.
func arrived(t *testing.T, c backend.Conn) {
	for end := time.Now().Add(soon); c.Alive(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			t.Error("it never arrives")
			return
		}
	}
}

// TestComesAsTheConnectionIsTaken has bytes or an end arrive on a resting connection at each step of its return and of its being
// taken out, up to the moment in which its next attempt is to be written: a statement that may run once goes by another
// connection then, runs once, and gets its own answer.
func TestComesAsTheConnectionIsTaken(t *testing.T) {
	refusal := map[string][]byte{"postgres": pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", "no room", ""))}
	var w mysqlwire.Writer
	w.Reset(1)
	w.Err(mysqlwire.Error{Code: 1040, State: "08004", Text: "too many"}, mysqlwire.CapProtocol41)
	refusal["mysql"], refusal["prepared"] = w.B, w.B
	events := map[string]func(form string, answer []byte, c *net.TCPConn){
		"the answer again": func(_ string, b []byte, c *net.TCPConn) { c.Write(b) },
		"a refusal":        func(form string, _ []byte, c *net.TCPConn) { c.Write(refusal[form]) },
		"half a message":   func(_ string, b []byte, c *net.TCPConn) { c.Write(b[:3]) },
		"a byte":           func(_ string, _ []byte, c *net.TCPConn) { c.Write([]byte("x")) },
		"an end":           func(_ string, _ []byte, c *net.TCPConn) { c.CloseWrite() },
		"a reset":          func(_ string, _ []byte, c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for _, form := range forms {
		for event, happens := range events {
			for _, when := range []string{"after exchange", "before park", "after park", "before exchange"} {
				t.Run(fmt.Sprint(form, ", ", event, " ", when), func(t *testing.T) {
					t.Parallel()
					var answer atomic.Pointer[[]byte]
					host := &fake.Host{Malform: func(_ string, b []byte) fake.Malformed {
						copied := bytes.Clone(b)
						answer.CompareAndSwap(nil, &copied)
						return fake.Malformed{Answer: b}
					}}
					nth := 2 // the first time belongs to the first request
					if when == "after exchange" {
						nth = 1
					}
					var mu sync.Mutex
					times := 0
					var r *rig
					r = newRig(t, form, host, stage(func(stage string, c backend.Conn) {
						mu.Lock()
						defer mu.Unlock()
						if stage != when {
							return
						} else if times++; times != nth {
							return
						}
						if stage == "before park" { // let it be taken out first
							for range 2 {
								<-c.(*staged).woke
							}
						}
						happens(form, *answer.Load(), r.conn(0))
						arrived(t, c)
					}))
					r.served("put", "q1")
					if when != "after exchange" {
						time.Sleep(restsFor)
					}
					r.served("put", "q2")
					if n, failed := r.opened(), r.counters.Get("attempts_not_connected"); n != 2 || failed > 0 {
						t.Errorf("%d connections, %d attempts could not connect", n, failed)
					}
				})
			}
		}
	}
}

// TestSpoiltFromTheStart has each new connection be followed by a byte that nobody asked for. An attempt must not go round from
// one to the next for all its time; it never ran.
func TestSpoiltFromTheStart(t *testing.T) {
	r := newRig(t, "postgres", &fake.Host{}, nil, func(c net.Conn) {
		b := framebuf.New(c, pgwire.MaxMessage)
		if _, _, err := pgwire.ReadStartup(b); err == nil {
			c.Write(append(pgwire.AppendReady(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")), 'x'))
			b.Need(1)
		}
		c.Close()
	})
	if a := r.wait(r.ask("brief", "q1")); a.Status != core.Rejected || r.opened() > 6 {
		t.Errorf("status %d after %d connections", a.Status, r.opened())
	}
}

// twice is the host's end of a connection that writes once more what it writes next, in one piece with it.
type twice struct {
	net.Conn
	next *atomic.Bool
}

func (c twice) Write(b []byte) (int, error) {
	if c.next.CompareAndSwap(true, false) {
		_, err := c.Conn.Write(append(bytes.Clone(b), b...))
		return len(b), err
	}
	return c.Conn.Write(b)
}

// TestSurplusBehindAPrepare has the answer to a prepare come twice: the second must not be taken for what the statement brought.
func TestSurplusBehindAPrepare(t *testing.T) {
	var next atomic.Bool
	first := true
	host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
		if prepare && first {
			first = false
			next.Store(true)
		}
		return fake.Serve
	}}
	r := newRig(t, "prepared", host, nil, func(c net.Conn) { host.ServeMySQL(twice{c, &next}) })
	r.served("put", "q1")
	if n := r.opened(); n != 2 {
		t.Errorf("%d connections", n)
	}
}
