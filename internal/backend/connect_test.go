package backend_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
)

// gate is how connections are opened under a test's eyes: each is told of, and comes up, or not, when the test says so.
type gate struct {
	t     *testing.T
	began chan chan error // takes one for each connection asked for; a nil sent to it lets it come up
}

func (g *gate) connect(opt *backend.Options) {
	opt.Connect = func(_ context.Context, address string) (net.Conn, error) {
		say := make(chan error, 1)
		g.began <- say
		select {
		case err := <-say:
			if err != nil {
				return nil, err
			}
		case <-g.t.Context().Done():
			return nil, errors.New("the test is over")
		}
		return net.Dial("tcp", address)
	}
}

// allow lets all connections come up from now on.
func (g *gate) allow() {
	go func() {
		for {
			select {
			case say := <-g.began:
				say <- nil
			case <-g.t.Context().Done():
				return
			}
		}
	}()
}

// until waits for something that has to come about.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(soon); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never", what)
		}
	}
}

// TestConnectFailsForAnother lets a request be served by a connection that comes free while its own comes up; when that one
// fails, the next request, whose own connection is coming up, isn't told that it could not connect.
func TestConnectFailsForAnother(t *testing.T) {
	hold := map[string]chan struct{}{"q0": make(chan struct{}), "q1": make(chan struct{})}
	came := make(chan string, 10)
	host := &fake.Host{Act: func(id, _ string, _ bool) fake.Act {
		came <- id
		if hold[id] != nil {
			<-hold[id]
		}
		return fake.Serve
	}}
	g := &gate{t: t, began: make(chan chan error, 10)}
	r := newRig(t, "postgres", host, g.connect)
	first := r.ask("put", "q0")
	(<-g.began) <- nil
	<-came
	second := r.ask("put", "q1")
	failing := <-g.began
	time.Sleep(20 * time.Millisecond) // it has waited in vain: now it takes any connection
	close(hold["q0"])
	r.isServed(r.wait(first), "q0")
	<-came // q1, on the first connection
	third := r.ask("put", "q2")
	coming := <-g.began
	failing <- errors.New("refused")
	until(t, "the failed connect is noted", func() bool { return r.counters.Get("server_connects_failed") == 1 })
	coming <- nil
	r.isServed(r.wait(third), "q2")
	close(hold["q1"])
	r.isServed(r.wait(second), "q1")
	if n := r.counters.Get("attempts_not_connected"); n != 0 {
		t.Errorf("%d attempts were told that they could not connect", n)
	}
}

// TestOwnConnectIsOver lets a request's own connect fail while another's, whose client has left, hangs: it isn't made to wait
// for that.
func TestOwnConnectIsOver(t *testing.T) {
	g := &gate{t: t, began: make(chan chan error, 10)}
	r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) {
		g.connect(opt)
		opt.ConnectTimeout = 300 * time.Millisecond
	})
	first := r.ask("put", "q0")
	failing := <-g.began
	gone := r.submit("put", "q1")
	hanging := <-g.began
	r.core.ClientDisconnected(gone)
	until(t, "the client's leaving is noted", func() bool { return r.counters.Get("clients_gone") == 1 })
	time.Sleep(300 * time.Millisecond)
	failing <- errors.New("late")
	until(t, "it could not connect", func() bool { return r.counters.Get("attempts_not_connected") == 1 })
	g.allow() // it is sent anew
	r.isServed(r.wait(first), "q0")
	hanging <- errors.New("late")
}

// TestLateConnect lets a connection come up when the attempt that asked for it is over: nothing is written for that one, and
// neither the connection nor its place is lost.
func TestLateConnect(t *testing.T) {
	g := &gate{t: t, began: make(chan chan error, 10)}
	r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) { g.connect(opt); opt.MaxOpen = 1 })
	q := r.submit("put", "q0")
	late := <-g.began
	r.core.ClientDisconnected(q)
	until(t, "the client's leaving is noted", func() bool { return r.counters.Get("clients_gone") == 1 })
	late <- nil
	until(t, "the connection is up", func() bool { return r.counters.Get("server_connects") == 1 })
	r.served("put", "q1") // on that one, as there is no room for another
	if n := r.host.Ran("q0"); n != 0 || r.opened() != 1 {
		t.Errorf("the request that was over ran %d times, %d connections", n, r.opened())
	}
}

// TestConnectGivenUp gives a connect up while it hangs, and has it come up later all the same: the attempt never ran, the
// connection is closed with nothing written for it, and its place is free for the next.
func TestConnectGivenUp(t *testing.T) {
	g := &gate{t: t, began: make(chan chan error, 10)}
	r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) {
		g.connect(opt)
		opt.MaxOpen, opt.ConnectTimeout = 1, 200*time.Millisecond
	})
	answers := r.ask("brief", "q0") // its time is up at 0.6 s
	late := <-g.began
	if a := r.wait(answers); a.Status != core.Rejected {
		t.Errorf("status %d", a.Status)
	}
	late <- nil
	until(t, "the late connection has failed", func() bool { return r.counters.Get("server_connects_failed") >= 1 })
	g.allow()
	r.served("put", "q1")
	if n := r.host.Ran("q0"); n != 0 {
		t.Errorf("it ran %d times", n)
	}
}

// TestFailCrossesTheTimeOut lets an attempt's time run out after its connect has failed and before the core has heard of that: it
// never ran, and its request is refused.
func TestFailCrossesTheTimeOut(t *testing.T) {
	g := &gate{t: t, began: make(chan chan error, 10)}
	r := newRig(t, "postgres", &fake.Host{}, g.connect)
	answers := r.ask("brief", "q1")
	failing := <-g.began
	held, release := make(chan struct{}), make(chan struct{})
	r.send("no such class", "q0", func(core.Answer) { close(held); <-release }) // holds the core up
	<-held
	r.core.ClientDisconnected(&core.Request{}) // comes before the outcome, and after the time
	failing <- errors.New("refused")
	until(t, "the connect has failed", func() bool { return r.counters.Get("server_connects_failed") == 1 })
	time.Sleep(700 * time.Millisecond) // its deadline is over
	close(release)
	if a := r.wait(answers); a.Status != core.Rejected || r.counters.Get("attempts_timed_out") > 0 {
		t.Errorf("status %d, %d timed out", a.Status, r.counters.Get("attempts_timed_out"))
	}
}

// TestHalfStart has a host hang, turn away or break in the middle of a connection's start: the attempt never ran, within the time
// for a connect.
func TestHalfStart(t *testing.T) {
	hello := pgwire.Append(nil, 'R', "\x00\x00\x00\x00")
	turned := pgwire.AppendError(nil, "FATAL", "53300", "too many", "")
	for name, c := range map[string]struct {
		say  []byte
		ends bool
		want string
	}{
		"nothing, hangs":       {nil, false, "attempts_not_connected"},
		"half, hangs":          {hello[:4], false, "attempts_not_connected"},
		"half, ends":           {hello[:4], true, "attempts_not_connected"},
		"no Ready, hangs":      {hello, false, "attempts_not_connected"},
		"noise":                {[]byte("\x97\xd4\x97\xd4\x97\xd4\x97\xd4"), false, "attempts_not_connected"},
		"turned away":          {turned, true, "attempts_turned_away"},
		"turned away, no end":  {turned, false, "attempts_turned_away"},
		"a turn away cut off":  {turned[:20], true, "attempts_not_connected"},
		"hello, then turned":   {append(hello, turned...), true, "attempts_turned_away"},
		"Ready cut off, hangs": {append(hello, 'Z', 0, 0), false, "attempts_not_connected"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wait := soon
			if strings.HasSuffix(name, "hangs") {
				wait = 50 * time.Millisecond
			}
			r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) { opt.ConnectTimeout = wait }, func(raw net.Conn) {
				b := framebuf.New(raw, pgwire.MaxMessage)
				if _, _, err := pgwire.ReadStartup(b); err == nil {
					raw.Write(c.say)
				}
				if !c.ends {
					b.Need(1)
				}
				raw.Close()
			})
			if a := r.wait(r.ask("brief", "q1")); a.Status != core.Rejected || r.counters.Get(c.want) == 0 {
				t.Errorf("status %d, %s %d", a.Status, c.want, r.counters.Get(c.want))
			}
		})
	}
}
