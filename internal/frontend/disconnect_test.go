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

// disconnects are the ways in which a client can end its connection, by name.
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

// disconnectTest is a harness with one client that is connected by TCP.
type disconnectTest struct {
	*testHarness
	host       *fake.Host
	client     *net.TCPConn
	gateway    *pausableConn
	attemptIDs chan string   // ids of attempts at the host
	release    chan struct{} // with newBlockingDisconnectTest: attempts end when it is closed
}

// newDisconnectTest returns a test whose client has logged in. The host serves each attempt at once.
func newDisconnectTest(t *testing.T, mysqlFront bool) *disconnectTest {
	d := &disconnectTest{attemptIDs: make(chan string, 10)}
	d.start(t, mysqlFront, func(id, _ string, _ bool) fake.Act {
		d.attemptIDs <- id
		return fake.Serve
	})
	return d
}

// newBlockingDisconnectTest is like newDisconnectTest, but the host holds each attempt until release is closed and then rejects it, so
// that a retry may follow.
func newBlockingDisconnectTest(t *testing.T, mysqlFront bool) *disconnectTest {
	d := &disconnectTest{attemptIDs: make(chan string, 10), release: make(chan struct{})}
	d.start(t, mysqlFront, func(id, _ string, _ bool) fake.Act {
		d.attemptIDs <- id
		<-d.release
		return fake.Reject
	})
	return d
}

// start starts the harness and logs in the client.
func (d *disconnectTest) start(t *testing.T, mysqlFront bool, act func(id, text string, prepare bool) fake.Act) {
	t.Helper()
	d.host = &fake.Host{Primary: true, Act: act}
	d.testHarness = newHarness(mysqlFront, d.host)
	t.Cleanup(d.closeNow) // runs after the later cleanups, which close the connections
	d.client, d.gateway = d.login(t)
}

// sendTwo pipelines two requests, q1 and q2.
func (d *disconnectTest) sendTwo() {
	fmt.Fprint(d.client, d.requestBytes("look", "q1", "")+d.requestBytes("look", "q2", ""))
}

// awaitFirstAttempt waits for the attempt of q1.
func (d *disconnectTest) awaitFirstAttempt(t *testing.T) {
	t.Helper()
	if id := receive(t, "the first attempt", d.attemptIDs); id != "q1" {
		t.Fatalf("the first attempt is for %s", id)
	}
}

// disconnect ends the client's connection and waits until the kernel at the gateway's end has received that.
func (d *disconnectTest) disconnect(t *testing.T, disconnect func(*net.TCPConn)) {
	t.Helper()
	disconnect(d.client)
	d.gateway.awaitClientEnd(t)
}

// expectNoAttempt waits until the session has ended, and checks that no attempt begins before or after.
func (d *disconnectTest) expectNoAttempt(t *testing.T) {
	t.Helper()
	select {
	case <-d.gateway.closed:
	case id := <-d.attemptIDs:
		t.Errorf("%s begins after its client has disconnected", id)
	case <-time.After(10 * time.Second):
		t.Error("the session has not ended 10 s after the disconnect")
	}
	d.gateway.pause(false, false)
	d.gateway.Close()
	select {
	case id := <-d.attemptIDs:
		t.Errorf("%s begins after its client has disconnected", id)
	default:
	}
}

// expectOneAttempt waits until the session and the request have ended, and then closes release. The request must be counted as one
// whose client has disconnected, and must have had no attempt after the first.
func (d *disconnectTest) expectOneAttempt(t *testing.T) {
	t.Helper()
	receive(t, "the end of the session", d.gateway.closed)
	c := d.counters
	waitFor(t, "the end of the request", func() bool { return c.Get("clients_gone")+c.Get("refused")+c.Get("failed") > 0 })
	close(d.release)
	if c.Get("clients_gone") != 1 || c.Get("requests") != 1 || c.Get("attempts") != 1 || len(d.attemptIDs) > 0 {
		t.Errorf("%d further attempts began, or the request did not end as disconnected: %s", len(d.attemptIDs), c)
	}
}

// TestDisconnectBeforeALateRead has a client pipeline two requests and disconnect before the session's first read returns. No attempt
// of either request may begin, although the session has not read the end of the connection when it gets the requests.
func TestDisconnectBeforeALateRead(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newDisconnectTest(t, mysqlFront)
		d.gateway.pause(true, false)
		d.sendTwo()
		read := receive(t, "the requests", d.gateway.pausedRead)
		d.disconnect(t, disconnect)
		close(read)
		d.expectNoAttempt(t)
	})
}

// TestDisconnectDuringTheAnswer has a client pipeline two requests and disconnect while the first answer is being written. No attempt of
// the second request may begin.
func TestDisconnectDuringTheAnswer(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newDisconnectTest(t, mysqlFront)
		d.gateway.pause(false, true)
		d.sendTwo()
		d.awaitFirstAttempt(t)
		write := receive(t, "the answer", d.gateway.pausedWrite)
		d.gateway.pause(true, false)
		d.disconnect(t, disconnect)
		close(write)
		d.expectNoAttempt(t)
	})
}

// TestDisconnectBehindUnreadBytes has a client send more bytes than the gateway reads during an open request, and then disconnect. The
// gateway stops reading because its buffer is full or the memory budget is exhausted. The request must end as one of a disconnected
// client, without another attempt.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	for _, exhaustBudget := range []bool{false, true} {
		forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
			d := newBlockingDisconnectTest(t, mysqlFront)
			d.gateway.SetReadBuffer(1 << 20) // room in the kernel for all bytes that the client sends, and the end after them
			d.client.SetWriteBuffer(1 << 20)
			fmt.Fprint(d.client, d.requestBytes("look", "q1", ""))
			d.awaitFirstAttempt(t)
			size := 250 << 10
			if exhaustBudget {
				size = 8 << 10
				if !d.budget.Reserve(harnessBudget - 1<<10) {
					t.Fatal("the memory budget is already in use")
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

// TestDisconnectBeforeTheAttemptBegins has a client disconnect while its request waits for a connection to the host, and pauses the
// session's read of the disconnect. The attempt must not begin when the connection is established.
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
		d.gateway.pause(true, false)
		d.disconnect(t, disconnect)
		receive(t, "the read of the end", d.gateway.pausedRead) // it stays paused
		waitFor(t, "some time", func() bool { return time.Since(sent) > 50*time.Millisecond })
		close(dial)
		c := d.counters
		waitFor(t, "the end of the attempt", func() bool { return len(d.attemptIDs) > 0 || c.Get("clients_gone")+c.Get("refused") > 0 })
		if len(d.attemptIDs) > 0 || c.Get("attempts_ok") > 0 {
			t.Errorf("%s begins after its client has disconnected: %s", <-d.attemptIDs, c)
		}
		d.gateway.pause(false, false)
	})
}

// TestManyDisconnectAtOnce has a hundred clients disconnect at once while their requests wait for connections to the host. No attempt
// may begin.
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
	var gateways []*pausableConn
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

// TestDisconnectBehindAPipelinedRequest has a client pipeline a second request behind an open one, and disconnect. The first request must
// end as one of a disconnected client, without another attempt, and no attempt of the second may begin.
func TestDisconnectBehindAPipelinedRequest(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, mysqlFront bool, disconnect func(*net.TCPConn)) {
		d := newBlockingDisconnectTest(t, mysqlFront)
		fmt.Fprint(d.client, d.requestBytes("look", "q1", ""))
		d.awaitFirstAttempt(t)
		d.gateway.pause(true, false)
		fmt.Fprint(d.client, d.requestBytes("look", "q2", ""))
		read := receive(t, "the second request", d.gateway.pausedRead)
		d.disconnect(t, disconnect)
		d.gateway.pause(false, false)
		close(read)
		d.expectOneAttempt(t)
	})
}

// TestDisconnectDuringAPrepare has a client disconnect while its statement is prepared again on a new connection to a host, and pauses
// the session's read of the disconnect. The execute must not be sent to the host.
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
			client, gateway := harness.connectPausable(t)
			c, err := fake.DialMySQL(client, mysqlwire.CapQueryAttributes)
			if err != nil {
				t.Fatal(err)
			}
			_, statement, _, err := c.Prepare("/* c=look,cluster=4 */ SELECT v FROM records WHERE k = ?")
			if err != nil {
				t.Fatal(err)
			}
			host.DropConnections() // drops the connections on which the statement was prepared
			waitFor(t, "the ends of the host's connections", func() bool { return host.Conns() == 0 })
			blockPrepares.Store(true)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				c.Execute(statement, []mysqlwire.Param{mysqlwire.Attribute("", "q1")}, mysqlwire.Attribute("id", "q1"))
			}()
			receive(t, "a prepare", preparing)
			sent := time.Now()
			gateway.pause(true, false)
			disconnect(client)
			gateway.awaitClientEnd(t)
			receive(t, "the read of the end", gateway.pausedRead) // it stays paused
			waitFor(t, "some time", func() bool { return time.Since(sent) > 50*time.Millisecond })
			close(release)
			counters := harness.counters
			waitFor(t, "the end of the attempt", func() bool {
				return host.Ran("q1") > 0 || counters.Get("clients_gone")+counters.Get("refused") > 0
			})
			if host.Ran("q1") > 0 {
				t.Errorf("the execute has run after its client has disconnected: %s", counters)
			}
			client.Close()
			receive(t, "the end of the client", answered)
		})
	}
}

// TestIDOfADisconnectedClient has a client disconnect while its write runs, and another client send a write with the same id. The
// gateway must not serve the second write, as hosts would take it for another attempt of the first, nor after the timeout of the first
// write, which has run. Its memory is free then: another write is served.
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
			synctest.Wait() // until the write is at the host
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
				return fmt.Errorf("%s: a request with the same id: %+v, %v, %d requests", form, got, err, harness.counters.Get("requests"))
			}
			release()
			time.Sleep(1100 * time.Millisecond)
			if got, err := second.request("put", "q1"); err != nil || got.Outcome != "failed" || host.Ran("q1") != 1 {
				return fmt.Errorf("%s: the same id after the timeout: %+v, %v, ran %d times", form, got, err, host.Ran("q1"))
			}
			if got, err := second.request("put", "q2"); err != nil || got.Outcome != "served" {
				return fmt.Errorf("%s: another id after the timeout: %+v, %v", form, got, err)
			}
			return nil
		})
	}
}
