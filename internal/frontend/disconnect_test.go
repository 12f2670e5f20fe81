package frontend_test

import (
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// disconnects are the ways in which a client ends its connection.
var disconnects = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"half close": func(c *net.TCPConn) { c.CloseWrite() },
	"reset": func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	},
}

// forEachDisconnect runs a test with both protocols, once for each way to disconnect.
func forEachDisconnect(t *testing.T, test func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn))) {
	for _, mysqlFront := range []bool{false, true} {
		for name, disconnect := range disconnects {
			t.Run(fmt.Sprintf("mysql=%v,%s", mysqlFront, name), func(t *testing.T) {
				t.Parallel()
				test(t, mysqlFront, disconnect)
			})
		}
	}
}

// disconnectTest is a client of a harness on real sockets.
type disconnectTest struct {
	*testHarness
	host    *fake.Host
	client  *net.TCPConn
	gateway *steppedConn
	began   chan string   // ids of attempts at the host
	release chan struct{} // with blockingHost: closing it lets attempts end
}

// newDisconnectTest returns a test whose client has logged in. The host serves each attempt at once.
func newDisconnectTest(t *testing.T, mysqlFront bool) *disconnectTest {
	d := &disconnectTest{began: make(chan string, 10)}
	d.start(t, mysqlFront, func(id, _ string, _ bool) fake.Act {
		d.began <- id
		return fake.Serve
	})
	return d
}

// newBlockingDisconnectTest is newDisconnectTest with a host that rejects each attempt, so that another one may follow, but
// only once release is closed.
func newBlockingDisconnectTest(t *testing.T, mysqlFront bool) *disconnectTest {
	d := &disconnectTest{began: make(chan string, 10), release: make(chan struct{})}
	d.start(t, mysqlFront, func(id, _ string, _ bool) fake.Act {
		d.began <- id
		<-d.release
		return fake.Reject
	})
	return d
}

func (d *disconnectTest) start(t *testing.T, mysqlFront bool, act func(id, text string, prepare bool) fake.Act) {
	t.Helper()
	d.host = &fake.Host{Primary: true, Act: act}
	d.testHarness = newHarness(mysqlFront, d.host)
	t.Cleanup(d.closeNow) // after the connections were closed
	d.client, d.gateway = d.login(t)
}

// sendTwo pipelines two requests, q1 and q2.
func (d *disconnectTest) sendTwo() {
	fmt.Fprint(d.client, d.requestBytes("look", "q1", "")+d.requestBytes("look", "q2", ""))
}

// awaitFirstAttempt waits for the attempt of q1.
func (d *disconnectTest) awaitFirstAttempt(t *testing.T) {
	t.Helper()
	if id := receive(t, "the first attempt", d.began); id != "q1" {
		t.Fatalf("%s begins first", id)
	}
}

// disconnect ends the client's connection and waits until the gateway's system knows.
func (d *disconnectTest) disconnect(t *testing.T, disconnect func(*net.TCPConn)) {
	t.Helper()
	disconnect(d.client)
	d.gateway.awaitClientEnd(t)
}

// expectNoAttempt waits for the session's end. No attempt may begin until then, however late the session reads.
func (d *disconnectTest) expectNoAttempt(t *testing.T) {
	t.Helper()
	select {
	case <-d.gateway.closed:
	case id := <-d.began:
		t.Errorf("%s begins after its client has disconnected", id)
	case <-time.After(10 * time.Second):
		t.Error("the disconnect is not seen")
	}
	d.gateway.hold(false, false)
	d.gateway.Close()
	select {
	case id := <-d.began:
		t.Errorf("%s begins after its client has disconnected", id)
	default:
	}
}

// expectOneAttempt waits for the ends of the session and the request, and lets the host go on. The request must have ended as
// that of a client that has disconnected, with no attempt after the first.
func (d *disconnectTest) expectOneAttempt(t *testing.T) {
	t.Helper()
	receive(t, "the end of the session", d.gateway.closed)
	c := d.counters
	waitFor(t, "the end of the request", func() bool { return c.Get("clients_gone")+c.Get("refused")+c.Get("failed") > 0 })
	close(d.release)
	if c.Get("clients_gone") != 1 || c.Get("requests") != 1 || c.Get("attempts") != 1 || len(d.began) > 0 {
		t.Errorf("%d further attempts began: %s", len(d.began), c)
	}
}

// TestDisconnectBeforeALateRead has a client pipeline two requests and disconnect before its session sees the first of them:
// neither begins, though the session reads the end only after an attempt has had all the time to begin.
func TestDisconnectBeforeALateRead(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newDisconnectTest(t, mysqlFront)
		d.gateway.hold(true, false)
		d.sendTwo()
		read := receive(t, "the requests", d.gateway.read)
		d.disconnect(t, disconnect)
		close(read)
		d.expectNoAttempt(t)
	})
}

// TestDisconnectDuringTheAnswer has a client disconnect that has pipelined a second request, while the answer to its first one
// is being written: the second does not begin.
func TestDisconnectDuringTheAnswer(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newDisconnectTest(t, mysqlFront)
		d.gateway.hold(false, true)
		d.sendTwo()
		d.awaitFirstAttempt(t)
		write := receive(t, "the answer", d.gateway.write)
		d.gateway.hold(true, false)
		d.disconnect(t, disconnect)
		close(write)
		d.expectNoAttempt(t)
	})
}

// TestDisconnectBehindUnreadBytes has a client disconnect behind more than the gateway reads while the client's request is open:
// its buffer is full, or there is no memory left. The request ends as that of a disconnected client, without another attempt.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	for _, exhaustBudget := range []bool{false, true} {
		forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
			d := newBlockingDisconnectTest(t, mysqlFront)
			d.gateway.SetReadBuffer(1 << 20) // the system takes in all that comes, and the end behind it
			d.client.SetWriteBuffer(1 << 20)
			fmt.Fprint(d.client, d.requestBytes("look", "q1", ""))
			d.awaitFirstAttempt(t)
			size := 250 << 10
			if exhaustBudget {
				size = 8 << 10
				if !d.budget.Reserve(harnessBudget - 1<<10) {
					t.Fatal("the budget is used already")
				}
				defer d.budget.Release(harnessBudget - 1<<10)
			}
			d.client.SetWriteDeadline(time.Now().Add(10 * time.Second))
			more := strings.Repeat(d.requestBytes("look", "q2", strings.Repeat(" ", 1<<10)), size>>10)
			if _, err := d.client.Write([]byte(more)); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "unread bytes", func() bool { return d.counters.Get("test_looks_past_unread") > 0 })
			d.disconnect(t, disconnect)
			d.expectOneAttempt(t)
		})
	}
}

// TestDisconnectBeforeTheAttemptBegins has a client disconnect whose request waits for a connection, and keeps its session from
// reading of it: the attempt does not begin once the connection is there.
func TestDisconnectBeforeTheAttemptBegins(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newDisconnectTest(t, mysqlFront)
		dialling, dial := make(chan struct{}, 100), make(chan struct{})
		d.onDial = func() {
			dialling <- struct{}{}
			<-dial
		}
		sent := time.Now()
		fmt.Fprint(d.client, d.requestBytes("look", "q1", ""))
		receive(t, "an attempt that waits for a connection", dialling)
		d.gateway.hold(true, false)
		d.disconnect(t, disconnect)
		receive(t, "the read of the end", d.gateway.read) // goes no further
		waitFor(t, "some time", func() bool { return time.Since(sent) > 50*time.Millisecond })
		close(dial)
		c := d.counters
		waitFor(t, "the end of the attempt", func() bool { return len(d.began) > 0 || c.Get("clients_gone")+c.Get("refused") > 0 })
		if len(d.began) > 0 || c.Get("attempts_ok") > 0 {
			t.Errorf("%s begins after its client has disconnected: %s", <-d.began, c)
		}
		d.gateway.hold(false, false)
	})
}

// TestManyDisconnectAtOnce has a hundred clients disconnect at once whose requests wait for connections: none begins.
func TestManyDisconnectAtOnce(t *testing.T) {
	const clients = 100
	var began atomic.Int64
	host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
		began.Add(1)
		return fake.Serve
	}}
	harness := newHarnessFor(2*clients, 1, false, host)
	t.Cleanup(harness.closeNow)
	dial := make(chan struct{})
	harness.onDial = func() { <-dial }
	var conns []*net.TCPConn
	var gateways []*steppedConn
	for range clients {
		client, gateway := harness.login(t)
		conns = append(conns, client)
		gateways = append(gateways, gateway)
	}
	for i, client := range conns {
		fmt.Fprint(client, harness.requestBytes("look", fmt.Sprint("q", i), ""))
	}
	c := harness.counters
	waitFor(t, "the requests", func() bool { return c.Get("requests") == clients })
	for _, client := range conns {
		client.Close()
	}
	for _, gateway := range gateways {
		receive(t, "the end of a session", gateway.closed)
	}
	close(dial)
	waitFor(t, "the ends of the requests", func() bool { return c.Get("clients_gone")+c.Get("refused")+c.Get("failed") == clients })
	if c.Get("clients_gone") == 0 || began.Load() > 0 {
		t.Errorf("%d attempts began: %s", began.Load(), c)
	}
}

// TestDisconnectBehindAPipelinedRequest has a client disconnect that has pipelined a request behind an open one: the first ends as
// that of a disconnected client, without another attempt, and the second does not begin.
func TestDisconnectBehindAPipelinedRequest(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newBlockingDisconnectTest(t, mysqlFront)
		fmt.Fprint(d.client, d.requestBytes("look", "q1", ""))
		d.awaitFirstAttempt(t)
		d.gateway.hold(true, false)
		fmt.Fprint(d.client, d.requestBytes("look", "q2", ""))
		read := receive(t, "the second request", d.gateway.read)
		d.disconnect(t, disconnect)
		d.gateway.hold(false, false)
		close(read)
		d.expectOneAttempt(t)
	})
}

// TestDisconnectDuringAPrepare has a client disconnect while its statement is prepared anew on a host's connection, and keeps its
// session from reading of it: the execute is not written.
func TestDisconnectDuringAPrepare(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			preparing, release := make(chan struct{}, 10), make(chan struct{})
			var blockPrepares atomic.Bool
			host := &fake.Host{Primary: true, Act: func(_, _ string, prepare bool) fake.Act {
				if prepare && blockPrepares.Load() {
					preparing <- struct{}{}
					<-release
				}
				return fake.Serve
			}}
			harness := newHarness(true, host)
			t.Cleanup(harness.closeNow)
			client, gateway := harness.connectStepped(t)
			c, err := fake.DialMySQL(client, mysqlwire.CapQueryAttributes)
			if err != nil {
				t.Fatal(err)
			}
			_, statement, _, err := c.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
			if err != nil {
				t.Fatal(err)
			}
			host.DropConnections() // and its connections, which knew the statement
			waitFor(t, "the ends of the host's connections", func() bool { return host.Conns() == 0 })
			blockPrepares.Store(true)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				c.Execute(statement, []mysqlwire.Param{mysqlwire.Attribute("", "q1")}, mysqlwire.Attribute("id", "q1"))
			}()
			receive(t, "a prepare", preparing)
			sent := time.Now()
			gateway.hold(true, false)
			disconnect(client)
			gateway.awaitClientEnd(t)
			receive(t, "the read of the end", gateway.read) // goes no further
			waitFor(t, "some time", func() bool { return time.Since(sent) > 50*time.Millisecond })
			close(release)
			counters := harness.counters
			waitFor(t, "the end of the attempt", func() bool {
				return host.Ran("q1") > 0 || counters.Get("clients_gone")+counters.Get("refused") > 0
			})
			if host.Ran("q1") > 0 {
				t.Errorf("it begins after its client has disconnected: %s", counters)
			}
			client.Close()
			receive(t, "the end of the client", answered)
		})
	}
}

// TestIDOfADisconnectedClient has a client disconnect while its write runs, and another one send a copy of it: hosts would take
// that for a second attempt of the first. Once the first one's timeout is over its id is free, and so is its memory.
func TestIDOfADisconnectedClient(t *testing.T) {
	for _, form := range protocols {
		inBubble(t, func() (err error) {
			blocked := make(chan struct{})
			release := sync.OnceFunc(func() { close(blocked) })
			host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
				<-blocked
				return fake.Serve
			}}
			harness := newHarness(form != formPostgres, host)
			defer func() { err = cmp.Or(err, harness.close()) }()
			defer release()
			first, err := harness.newClient(form)
			if err != nil {
				return err
			}
			go first.request("put", "q1")
			synctest.Wait() // it is at the host
			first.disconnect()
			synctest.Wait()
			if n := harness.counters.Get("clients_gone"); n != 1 {
				return fmt.Errorf("%s: %d clients have disconnected", form, n)
			}
			second, err := harness.newClient(form)
			if err != nil {
				return err
			}
			defer second.disconnect()
			if got, err := second.request("put", "q1"); err != nil || got.Outcome == "served" || harness.counters.Get("requests") != 1 {
				return fmt.Errorf("%s: a copy: %+v, %v, %d requests", form, got, err, harness.counters.Get("requests"))
			}
			release()
			time.Sleep(1100 * time.Millisecond)
			if got, err := second.request("put", "q1"); err != nil || got.Outcome != "served" {
				return fmt.Errorf("%s: after its timeout: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}
