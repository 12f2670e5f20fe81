package backend_test

import (
	"bytes"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/routing"
)

// brittle is a connection to a host whose first write of a request breaks in some way.
type brittle struct {
	*net.TCPConn
	write func(c *net.TCPConn, b []byte) (int, error)
	once  *sync.Once
}

func (c brittle) Write(b []byte) (n int, err error) {
	broke := false
	if bytes.Contains(b, []byte("q1")) {
		c.once.Do(func() { broke = true; n, err = c.write(c.TCPConn, b) })
	}
	if broke {
		return n, err
	}
	return c.TCPConn.Write(b)
}

// TestWriteBreaks breaks the write of a request: up to its last byte that never ran and is sent on; with the last byte written it
// may have run, whatever the write returns, and isn't.
func TestWriteBreaks(t *testing.T) {
	broke := errors.New("broken")
	for name, c := range map[string]struct {
		write func(c *net.TCPConn, b []byte) (int, error)
		act   fake.Act
		want  core.Status
	}{
		"nothing":      {func(*net.TCPConn, []byte) (int, error) { return 0, broke }, fake.Serve, core.Served},
		"but a byte":   {func(c *net.TCPConn, b []byte) (int, error) { n, _ := c.Write(b[:len(b)-1]); return n, broke }, fake.Serve, core.Served},
		"all":          {func(c *net.TCPConn, b []byte) (int, error) { n, _ := c.Write(b); return n, broke }, fake.Serve, core.Served},
		"all, a reset": {func(c *net.TCPConn, b []byte) (int, error) { n, _ := c.Write(b); return n, broke }, fake.Reset, core.Failed},
	} {
		for _, form := range forms {
			t.Run(form+", "+name, func(t *testing.T) {
				host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
					if prepare {
						return fake.Serve
					}
					return c.act
				}}
				var once sync.Once
				r := newRig(t, form, host, func(opt *backend.Options) {
					opt.Connect = func(_ context.Context, address string) (net.Conn, error) {
						raw, err := net.Dial("tcp", address)
						if err != nil {
							return nil, err
						}
						return brittle{raw.(*net.TCPConn), c.write, &once}, nil
					}
				})
				if a := r.wait(r.ask("put", "q1")); a.Status != c.want || host.Ran("q1") != 1 {
					t.Errorf("status %d, ran %d times", a.Status, host.Ran("q1"))
				}
			})
		}
	}
}

// TestWriteHangs holds a write back for ever, as a host's full window does: the request is answered when its time is up, and its
// connection closed with it.
func TestWriteHangs(t *testing.T) {
	closed := make(chan struct{})
	r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) {
		opt.Connect = func(_ context.Context, address string) (net.Conn, error) {
			raw, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return brittle{raw.(*net.TCPConn), func(c *net.TCPConn, b []byte) (int, error) {
				defer close(closed)
				c.SetReadDeadline(time.Time{})
				_, err := c.Read(make([]byte, 1)) // until it is closed on this side
				return 0, err
			}, &sync.Once{}}, nil
		}
	})
	if a := r.wait(r.ask("brief", "q1")); a.Status == core.Served {
		t.Error("served")
	}
	select {
	case <-closed:
	case <-time.After(soon):
		t.Error("the connection stays open")
	}
	if n := r.host.Ran("q1"); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// cutting is the host's end of a connection that is reset in the middle of what it writes next.
type cutting struct {
	net.Conn
	next *atomic.Bool
}

func (c cutting) Write(b []byte) (int, error) {
	if !c.next.CompareAndSwap(true, false) {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:len(b)/2])
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Conn.Close()
	return n, net.ErrClosed
}

// TestResetInTheAnswer resets the connection in the middle of an answer: the statement may have run, and isn't sent on.
func TestResetInTheAnswer(t *testing.T) {
	for _, form := range forms {
		var next atomic.Bool
		host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act { next.Store(!prepare); return fake.Serve }}
		r := newRig(t, form, host, nil, func(c net.Conn) {
			if c = (cutting{c, &next}); form == "postgres" {
				host.ServePostgres(c)
			} else {
				host.ServeMySQL(c)
			}
		})
		if a := r.wait(r.ask("put", "q1")); a.Status != core.Failed || host.Ran("q1") != 1 {
			t.Errorf("%s: status %d, ran %d times", form, a.Status, host.Ran("q1"))
		}
	}
}

// tell has the core take a list with the host in some phase, and returns once it has.
func (r *rig) tell(kind routing.EndpointListKind, phase routing.Phase) {
	r.t.Helper()
	r.core.UpdateEndpoints(core.EndpointList{Kind: kind, Hosts: []core.Host{{Address: r.listener.Addr().String(),
		Endpoint: routing.Endpoint{Member: "db-0", Group: 4, Primary: true, Capacity: 1, Phase: phase}}}})
	r.settled()
}

// settled returns once the core has taken all that it was told before.
func (r *rig) settled() {
	r.t.Helper()
	if _, err := r.core.Known(r.t.Context(), "x"); err != nil {
		r.t.Error(err)
	}
}

// TestDrainCrossesTheAttempt has a host begin to drain, or leave the list, as an attempt is about to be written, while it is out,
// and as its answer has come: in the first case nothing is written, in the others the answer counts.
func TestDrainCrossesTheAttempt(t *testing.T) {
	for _, form := range forms {
		for _, phase := range []routing.Phase{routing.PhaseDraining, routing.PhaseRemoved} {
			for _, when := range []string{"before exchange", "at the host", "after exchange"} {
				var r *rig
				var once sync.Once
				drain := func(at string) {
					if at == when {
						once.Do(func() { r.tell(routing.EndpointListPatch, phase) })
					}
				}
				host := &fake.Host{Act: func(_, _ string, prepare bool) fake.Act {
					if !prepare {
						drain("at the host")
					}
					return fake.Serve
				}}
				r = newRig(t, form, host, stage(func(at string, _ backend.Conn) { drain(at) }))
				a := r.wait(r.ask("brief", "q1"))
				if when != "before exchange" {
					r.isServed(a, "q1")
				} else if a.Status != core.Rejected || host.Ran("q1") != 0 {
					t.Errorf("%s, phase %d %s: status %d, ran %d times", form, phase, when, a.Status, host.Ran("q1"))
				}
			}
		}
	}
}

// TestClientLeavesAsTheAnswerCame lets a client leave as its answer has been read: the request has no second outcome, and the
// connection is in step for the next.
func TestClientLeavesAsTheAnswerCame(t *testing.T) {
	for _, form := range forms {
		var r *rig
		var q atomic.Pointer[core.Request]
		asked := make(chan struct{})
		var once sync.Once
		r = newRig(t, form, &fake.Host{}, stage(func(at string, _ backend.Conn) {
			if at == "after exchange" {
				once.Do(func() { <-asked; r.core.ClientDisconnected(q.Load()); r.settled() })
			}
		}))
		var answers atomic.Int32
		q.Store(r.send("put", "q1", func(core.Answer) { answers.Add(1) }))
		close(asked)
		until(t, "its client's leaving is noted", func() bool { return r.counters.Get("clients_gone") == 1 })
		until(t, "its attempt is over", func() bool {
			return r.counters.Get("attempts_ok")+r.counters.Get("attempts_cancelled") > 0
		})
		r.served("put", "q2")
		time.Sleep(restsFor)
		r.served("put", "q3")
		if n := answers.Load(); n != 0 || r.opened() > 2 {
			t.Errorf("%s: %d answers for one that had left, %d connections", form, n, r.opened())
		}
	}
}

// TestAbsurdTimes gives the pool times that no operator means: nothing panics or goes round, and where a connection may come up
// at all requests are served.
func TestAbsurdTimes(t *testing.T) {
	for _, idle := range []time.Duration{math.MinInt64, -time.Second, 0, 1, math.MaxInt64} {
		r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) { opt.IdleTimeout, opt.ConnectTimeout = idle, math.MaxInt64 })
		for _, id := range []string{"q1", "q2", "q3"} {
			r.served("put", id)
		}
		if n := r.opened(); n > 18 { // six attempts each
			t.Errorf("idle for %v: %d connections", idle, n)
		}
	}
	for _, connect := range []time.Duration{math.MinInt64, -time.Second, 0} {
		r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) { opt.ConnectTimeout = connect })
		if a := r.wait(r.ask("brief", "q1")); a.Status != core.Rejected || r.host.Ran("q1") > 0 || r.opened() > 6 {
			t.Errorf("connects of %v: status %d, %d connections", connect, a.Status, r.opened())
		}
	}
}
