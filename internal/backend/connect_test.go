package backend_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
)

// connectControl lets a test decide on each connect of the pool. For each, the test gets a channel from connects: nil sent on
// it lets the connect succeed, and an error fails it.
type connectControl struct {
	t        *testing.T
	connects chan chan<- error
}

func newConnectControl(t *testing.T) *connectControl {
	return &connectControl{t: t, connects: make(chan chan<- error, 10)}
}

// apply has the pool's connects wait for the test.
func (c *connectControl) apply(options *backend.Options) {
	options.Connect = func(_ context.Context, address string) (net.Conn, error) {
		decision := make(chan error, 1)
		c.connects <- decision
		select {
		case err := <-decision:
			if err != nil {
				return nil, err
			}
		case <-c.t.Context().Done():
			return nil, errors.New("the test is over")
		}
		return net.Dial("tcp", address)
	}
}

// allowAll lets all connects succeed from now on.
func (c *connectControl) allowAll() {
	go func() {
		for {
			select {
			case decision := <-c.connects:
				decision <- nil
			case <-c.t.Context().Done():
				return
			}
		}
	}()
}

// TestFailedConnectOfServedRequest has a connection that becomes free take a request while another connection is being opened for
// the request. If that connect then fails, the next request must not fail, as its own connection is still being opened.
func TestFailedConnectOfServedRequest(t *testing.T) {
	release := map[string]chan struct{}{"q0": make(chan struct{}), "q1": make(chan struct{})}
	atHost := make(chan string, 10)
	host := &fake.Host{Act: func(id, _ string, _ bool) fake.Act {
		atHost <- id
		if release[id] != nil {
			<-release[id]
		}
		return fake.Serve
	}}
	control := newConnectControl(t)
	h := newHarness(t, "postgres", host, control.apply)
	first := h.request("put", "q0")
	(<-control.connects) <- nil
	<-atHost
	second := h.request("put", "q1")
	failing := <-control.connects
	time.Sleep(20 * time.Millisecond) // longer than newConnWait: now q1 takes any connection
	close(release["q0"])
	h.checkServed(h.wait(first), "q0")
	<-atHost // q1, on the first connection
	third := h.request("put", "q2")
	succeeding := <-control.connects
	failing <- errors.New("refused")
	waitFor(t, "the failed connect is counted", func() bool { return h.counters.Get("server_connects_failed") == 1 })
	succeeding <- nil
	h.checkServed(h.wait(third), "q2")
	close(release["q1"])
	h.checkServed(h.wait(second), "q1")
	if n := h.counters.Get("attempts_not_connected"); n != 0 {
		t.Errorf("%d attempts failed to connect", n)
	}
}

// TestNoWaitForAnotherConnect has the connect for one request fail after the connect timeout, while the connect for another
// request, whose client has disconnected, hangs. The first request must not wait for the second connect.
func TestNoWaitForAnotherConnect(t *testing.T) {
	control := newConnectControl(t)
	h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) {
		control.apply(options)
		options.ConnectTimeout = 300 * time.Millisecond
	})
	first := h.request("put", "q0")
	failing := <-control.connects
	disconnected := h.submit("put", "q1")
	hanging := <-control.connects
	h.core.ClientDisconnected(disconnected)
	waitFor(t, "the client's disconnect is counted", func() bool { return h.counters.Get("clients_gone") == 1 })
	time.Sleep(300 * time.Millisecond)
	failing <- errors.New("late")
	waitFor(t, "it could not connect", func() bool { return h.counters.Get("attempts_not_connected") == 1 })
	control.allowAll() // the first request is retried
	h.checkServed(h.wait(first), "q0")
	hanging <- errors.New("late")
}

// TestLateConnect has a connect succeed after the end of the attempt for which it was started. Nothing must be written for
// that attempt, and neither the connection nor its slot may be lost.
func TestLateConnect(t *testing.T) {
	control := newConnectControl(t)
	h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) {
		control.apply(options)
		options.MaxOpen = 1
	})
	request := h.submit("put", "q0")
	late := <-control.connects
	h.core.ClientDisconnected(request)
	waitFor(t, "the client's disconnect is counted", func() bool { return h.counters.Get("clients_gone") == 1 })
	late <- nil
	waitFor(t, "the connection is open", func() bool { return h.counters.Get("server_connects") == 1 })
	h.checkServes("put", "q1") // on that connection, as there is no slot for another
	if n := h.host.Ran("q0"); n != 0 || h.connCount() != 1 {
		t.Errorf("the request whose client had disconnected ran %d times, %d connections", n, h.connCount())
	}
}

// TestConnectAbandoned has a connect hang past the connect timeout, and succeed later. The attempt must not run, the
// connection must be closed without a write for the attempt, and its slot must be free for the next connection.
func TestConnectAbandoned(t *testing.T) {
	control := newConnectControl(t)
	h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) {
		control.apply(options)
		options.MaxOpen, options.ConnectTimeout = 1, 200*time.Millisecond
	})
	answers := h.request("brief", "q0") // its deadline is at 0.6 s
	late := <-control.connects
	if a := h.wait(answers); a.Status != core.Rejected {
		t.Errorf("status %d", a.Status)
	}
	late <- nil
	waitFor(t, "the late connection has failed", func() bool { return h.counters.Get("server_connects_failed") >= 1 })
	control.allowAll()
	h.checkServes("put", "q1")
	if n := h.host.Ran("q0"); n != 0 {
		t.Errorf("q0 ran %d times", n)
	}
}

// TestConnectFailsAtDeadline has an attempt's deadline pass after its connect has failed and before the core has handled the
// failure. The attempt never ran, so its request must be rejected.
func TestConnectFailsAtDeadline(t *testing.T) {
	control := newConnectControl(t)
	h := newHarness(t, "postgres", &fake.Host{}, control.apply)
	answers := h.request("brief", "q1")
	failing := <-control.connects
	blocked, release := make(chan struct{}), make(chan struct{})
	h.send("no such class", "q0", func(core.Answer) { // blocks the core
		close(blocked)
		<-release
	})
	<-blocked
	h.core.ClientDisconnected(&core.Request{}) // an event that the core handles after the deadline and before the outcome
	failing <- errors.New("refused")
	waitFor(t, "the connect has failed", func() bool { return h.counters.Get("server_connects_failed") == 1 })
	time.Sleep(700 * time.Millisecond) // past its deadline
	close(release)
	if a := h.wait(answers); a.Status != core.Rejected || h.counters.Get("attempts_timed_out") > 0 {
		t.Errorf("status %d, %d timed out", a.Status, h.counters.Get("attempts_timed_out"))
	}
}

// TestIncompleteStartup has a host hang, reject the connection or close it in the middle of the startup. The attempt must fail
// within the connect timeout, as one that never ran.
func TestIncompleteStartup(t *testing.T) {
	hello := pgwire.Append(nil, 'R', "\x00\x00\x00\x00")
	rejection := pgwire.AppendError(nil, "FATAL", "53300", "too many", "")
	for name, c := range map[string]struct {
		reply  []byte
		closes bool // the host closes the connection after the reply
		want   string
	}{
		"nothing, hangs":       {nil, false, "attempts_not_connected"},
		"half, hangs":          {hello[:4], false, "attempts_not_connected"},
		"half, ends":           {hello[:4], true, "attempts_not_connected"},
		"no Ready, hangs":      {hello, false, "attempts_not_connected"},
		"noise":                {[]byte("\x97\xd4\x97\xd4\x97\xd4\x97\xd4"), false, "attempts_not_connected"},
		"rejected":             {rejection, true, "attempts_turned_away"},
		"rejected, no end":     {rejection, false, "attempts_turned_away"},
		"a rejection cut off":  {rejection[:20], true, "attempts_not_connected"},
		"hello, then rejected": {slices.Concat(hello, rejection), true, "attempts_turned_away"},
		"Ready cut off, hangs": {slices.Concat(hello, []byte{'Z', 0, 0}), false, "attempts_not_connected"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			timeout := testTimeout
			if strings.HasSuffix(name, "hangs") {
				timeout = 50 * time.Millisecond
			}
			setTimeout := func(options *backend.Options) { options.ConnectTimeout = timeout }
			h := newHarness(t, "postgres", &fake.Host{}, setTimeout, func(raw net.Conn) {
				buffered := framebuf.New(raw, pgwire.MaxMessage)
				if _, _, err := pgwire.ReadStartup(buffered); err == nil {
					raw.Write(c.reply)
				}
				if !c.closes {
					buffered.Need(1)
				}
				raw.Close()
			})
			if a := h.wait(h.request("brief", "q1")); a.Status != core.Rejected || h.counters.Get(c.want) == 0 {
				t.Errorf("status %d, %s %d", a.Status, c.want, h.counters.Get(c.want))
			}
		})
	}
}
