package frontend_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/postgres"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
	"cranegate/internal/pgwire"
)

// runningServer is a server that runs on a listener.
type runningServer struct {
	*frontend.Server
	address string
	stop    context.CancelFunc
	ended   chan error
}

// run runs a server on a listener.
func run(server *frontend.Server, l net.Listener) *runningServer {
	ctx, stop := context.WithCancel(context.Background())
	s := &runningServer{Server: server, address: l.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { s.ended <- s.Run(ctx, l) }()
	return s
}

// serveOn runs an additional server with the harness's core on a listener.
func (h *testHarness) serveOn(name string, l net.Listener) *runningServer {
	return run(h.newServer(name, connlimit.New(harnessSlots)), l)
}

// listenLocal listens on a free port of the loopback interface.
func listenLocal(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// dial connects to the server by TCP, with a deadline of 20 s.
func (s *runningServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// login connects to the server and completes the startup.
func (s *runningServer) login(t *testing.T) *fake.PostgresClient {
	t.Helper()
	client, err := fake.DialPostgres(s.dial(t), "")
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// listening reports whether the server's address accepts connections.
func (s *runningServer) listening() bool {
	c, err := net.Dial("tcp", s.address)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// pausedListener is a listener whose Accept calls can be paused: they then do not return until the gateway begins to close the
// listener, as if the process had been suspended.
type pausedListener struct {
	*net.TCPListener
	paused    chan struct{} // closed to pause Accept calls
	closing   chan struct{} // closed when the gateway begins to close the listener
	closeOnce sync.Once
	accepted  chan struct{} // holds a value once an Accept call was paused
}

// resume lets paused Accept calls return.
func (l *pausedListener) resume() {
	select {
	case <-l.paused:
		l.closeOnce.Do(func() { close(l.closing) })
	default:
	}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	select {
	case <-l.paused:
		select {
		case l.accepted <- struct{}{}:
		default:
		}
		<-l.closing
	default:
	}
	return c, err
}

func (l *pausedListener) SetDeadline(t time.Time) error {
	l.resume()
	return l.TCPListener.SetDeadline(t)
}

func (l *pausedListener) Close() error {
	err := l.TCPListener.Close()
	l.resume()
	return err
}

// startupWithRequest returns a startup message with a first request right behind it.
func startupWithRequest(id string) []byte {
	return append(pgwire.AppendStartup(nil, "svc", "main"), postgresQuery(fmt.Sprintf(readStatement, id))...)
}

// TestBacklogIsServedBeforeTheClose checks that clients in the listener's backlog are served before the listener is closed, as they are
// connected and have sent requests.
func TestBacklogIsServedBeforeTheClose(t *testing.T) {
	harness := newHarness(false, &fake.Host{Primary: true})
	defer harness.close()
	l := &pausedListener{TCPListener: listenLocal(t), paused: make(chan struct{}), closing: make(chan struct{}),
		accepted: make(chan struct{}, 1)}
	server := harness.serveOn("backlog", l)
	close(l.paused)
	var conns []net.Conn
	for i := range 5 { // the first one is in the paused Accept
		c := server.dial(t)
		c.Write(startupWithRequest(fmt.Sprint("b", i)))
		conns = append(conns, c)
	}
	<-l.accepted
	server.stop()
	for i, c := range conns {
		text, err := io.ReadAll(c)
		if want := fmt.Sprint("value of b", i); err != nil || !bytes.Contains(text, []byte(want)) {
			t.Errorf("client %d got %q, %v", i, text, err)
		}
	}
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
	if server.listening() {
		t.Error("the listener is still open")
	}
}

// TestEveryRejectedClientGetsAnError has more clients connect at once than fit into the reject queue. They have sent requests, and do
// not close their connections. Each must get an error, and no connection may be reset because of its unread request.
func TestEveryRejectedClientGetsAnError(t *testing.T) {
	blocked := make(chan struct{})
	harness := newHarnessFor(1, 1, false, &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
		<-blocked
		return fake.Serve
	}})
	defer harness.close()
	defer close(blocked)
	near, far := loopback(t)
	harness.listener.conns <- far
	active, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { // keeps the only slot's client active until the test ends
		for i, err := 0, error(nil); err == nil; i++ {
			_, err = active.Ask(fmt.Sprintf(readStatement, fmt.Sprint("held", i)))
		}
	}()
	waitFor(t, "an open request", func() bool { return harness.hosts[0].Conns() > 0 })
	var conns []net.Conn
	for i := range 30 {
		near, far := loopback(t)
		near.Write(startupWithRequest(fmt.Sprint("n", i)))
		awaitArrival(far)
		harness.listener.conns <- far
		conns = append(conns, near)
	}
	for i, c := range conns {
		text, err := io.ReadAll(c)
		if !bytes.Contains(text, []byte("C53300\x00")) || err != nil {
			t.Errorf("client %d: %q, %v", i, text, err)
		}
	}
}

// readFirstAnswer reads messages to a new client up to the first row or error, and returns the last message's kind and body.
func readFirstAnswer(conn net.Conn) (kind byte, body []byte, err error) {
	buf := framebuf.New(conn, pgwire.MaxMessage)
	for err == nil && kind != 'D' && kind != 'E' {
		kind, body, err = pgwire.ReadMessage(buf)
	}
	return kind, body, err
}

// TestNewClientsWaitConcurrently has five clients connect at once while both slots are used by clients that may be evicted 0.25 s
// after their answers. Each new client must get an answer or an error within 0.4 s. If they waited one by one, the fourth would get its
// error only after 0.49 s.
func TestNewClientsWaitConcurrently(t *testing.T) {
	inBubble(t, func() error {
		harness := newHarnessFor(32, 1, false, &fake.Host{Primary: true}) // with a reject queue of eight
		defer harness.close()
		harness.limiter.Resize(2)
		for i, pause := range []time.Duration{200 * time.Millisecond, 10 * time.Millisecond} {
			c, err := harness.newClient(formPostgres)
			if err != nil {
				return err
			}
			defer c.disconnect()
			if r, err := c.request("look", fmt.Sprint("a", i)); err != nil || r.Outcome != "served" {
				return fmt.Errorf("%+v, %v", r, err)
			}
			time.Sleep(pause) // the connection is idle meanwhile
		}
		connectedAt := time.Now()
		answered := make(chan time.Duration, 5)
		served := make(chan string, 5)
		for i := range 5 {
			go func() {
				c := harness.connect()
				defer c.Close()
				go c.Write(startupWithRequest(fmt.Sprint("n", i)))
				kind, body, _ := readFirstAnswer(c)
				if kind == 'D' {
					served <- string(body)
				}
				answered <- time.Since(connectedAt)
				time.Sleep(2 * time.Second) // stays connected
			}()
		}
		for range 5 {
			if took := <-answered; took > 400*time.Millisecond {
				return fmt.Errorf("a new client got its answer or error after %v", took)
			}
		}
		if len(served) < 2 {
			return fmt.Errorf("only %d new clients were served", len(served))
		}
		return nil
	})
}

// TestNewClientWaitsHalfOfTheShortestDeadline checks that a new client gets a slot that becomes free 0.23 s after it has connected if the
// shortest deadline is 1 s, and that it is rejected at once if the shortest deadline is 0.2 s.
func TestNewClientWaitsHalfOfTheShortestDeadline(t *testing.T) {
	for deadline, want := range map[time.Duration]bool{time.Second: true, 200 * time.Millisecond: false} {
		inBubble(t, func() error {
			harness := newHarnessFor(1, 1, false, &fake.Host{Primary: true})
			defer harness.close()
			harness.limiter.ObserveDeadline(5 * time.Second)
			harness.limiter.ObserveDeadline(deadline)
			first, err := harness.newClient(formPostgres)
			if err != nil {
				return err
			}
			defer first.disconnect()
			if r, err := first.request("look", "a"); err != nil || r.Outcome != "served" {
				return fmt.Errorf("%+v, %v", r, err)
			}
			time.Sleep(20 * time.Millisecond)
			connectedAt, c := time.Now(), harness.connect()
			defer c.Close()
			go c.Write(startupWithRequest("b"))
			kind, _, err := readFirstAnswer(c)
			if took := time.Since(connectedAt); err != nil || (kind == 'D') != want || !want && took > deadline/2 {
				return fmt.Errorf("deadline %v: answered with %q after %v, %v", deadline, kind, took, err)
			}
			return nil
		})
	}
}

// TestResumeRightAfterRetire has a server retire and resume at once, twenty times. Each time the server must wait until the old listener
// is drained and closed, listen at the same address again, and serve.
func TestResumeRightAfterRetire(t *testing.T) {
	harness := newHarness(false, &fake.Host{Primary: true})
	defer harness.close()
	server := harness.serveOn("again", listenLocal(t))
	for i := range 20 {
		client := server.login(t)
		if r, err := client.Ask(fmt.Sprintf(readStatement, fmt.Sprint("a", i))); err != nil || r.Outcome != "served" {
			t.Fatalf("round %d: %+v, %v", i, r, err)
		}
		client.Close()
		server.Retire()
		if err := server.Resume(); err != nil {
			t.Fatalf("round %d: %v", i, err)
		}
	}
	server.stop()
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
}

// TestStartCheck runs a server before its core has an endpoint list, which must be counted as a violation of the start rule.
func TestStartCheck(t *testing.T) {
	counters := &metrics.Counters{}
	c, err := core.New(core.Options{Routing: testRouting, Seed: 1, Counters: counters}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s := &frontend.Server{Name: "early", Protocol: postgres.Protocol{}, Core: c, Limiter: connlimit.New(5), Counters: counters,
		Monitor: &invariant.Monitor{Counters: counters}}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := s.Run(ctx, listenLocal(t)); err != nil || counters.Get("violations_start") != 1 {
		t.Errorf("%v, %v", err, counters)
	}
}
