package frontend_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// crossingConn is the gateway's end of a connection. It calls a function right before the gateway shuts down the sending side or closes
// the connection, whichever comes first, and counts the bytes that the gateway reads afterwards.
type crossingConn struct {
	*net.TCPConn
	beforeClose func()
	once        sync.Once
	shutDown    atomic.Bool  // beforeClose has returned
	readAfter   atomic.Int64 // bytes read since then
}

// callBeforeClose calls beforeClose, the first time that it is called.
func (c *crossingConn) callBeforeClose() {
	c.once.Do(func() {
		c.beforeClose()
		c.shutDown.Store(true)
	})
}

func (c *crossingConn) CloseWrite() error {
	c.callBeforeClose()
	return c.TCPConn.CloseWrite()
}

func (c *crossingConn) Close() error {
	c.callBeforeClose()
	return c.TCPConn.Close()
}

func (c *crossingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.shutDown.Load() {
		c.readAfter.Add(int64(n))
	}
	return n, err
}

// crossingClient returns a PostgreSQL client, and the gateway's end of its connection. The client sends a text right before the gateway
// closes the connection.
func (h *testHarness) crossingClient(t *testing.T, text string) (*fake.PostgresClient, *crossingConn) {
	t.Helper()
	near, far := loopback(t)
	c := &crossingConn{TCPConn: far}
	c.beforeClose = func() {
		if _, err := io.WriteString(near, text); err != nil {
			t.Error(err)
		}
		awaitArrival(far)
	}
	h.listener.conns <- c
	client, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	return client, c
}

// expectServed sends a request and checks its answer.
func expectServed(t *testing.T, client *fake.PostgresClient, id string) {
	t.Helper()
	if r, err := client.Ask(fmt.Sprintf(readStatement, id)); err != nil || r.Value != "value of "+id {
		t.Fatalf("%s: %+v, %v", id, r, err)
	}
}

// expectEOF checks that the client's next read returns EOF.
func expectEOF(t *testing.T, client *fake.PostgresClient) {
	t.Helper()
	if _, err := client.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("the client sees %v instead of EOF", err)
	}
}

// closeAfterAnswerDelay is a little longer than the time after which a drain begins to close connections right after their answers.
const closeAfterAnswerDelay = 450 * time.Millisecond

// TestRequestCrossesTheClose has a request arrive between the gateway's last check of a connection and its close. The gateway closes it
// in a drain while it is idle, in a drain right after an answer, after an eviction, or because a message was late. The
// request must be neither read nor sent to a host, because the client sends it again elsewhere. The client must see EOF, after the
// complete answer to its previous request.
func TestRequestCrossesTheClose(t *testing.T) {
	crossed := postgresQuery(fmt.Sprintf(readStatement, "crossed"))
	half := postgresQuery(fmt.Sprintf(readStatement, "half"))
	for _, test := range []struct {
		name  string
		text  string                                               // sent by the client right before the close
		close func(*testing.T, *testHarness, *fake.PostgresClient) // makes the gateway close the connection
	}{
		{"idle", crossed, func(_ *testing.T, h *testHarness, _ *fake.PostgresClient) { h.shutdown() }},
		{"after an answer", crossed, func(t *testing.T, h *testHarness, client *fake.PostgresClient) {
			h.shutdown()
			time.Sleep(closeAfterAnswerDelay)
			expectServed(t, client, "last")
		}},
		{"evicted", crossed, func(t *testing.T, h *testHarness, _ *fake.PostgresClient) { h.connectForAnother(t) }},
		{"half a message", half[20:], func(_ *testing.T, h *testHarness, client *fake.PostgresClient) {
			io.WriteString(client, half[:20])
			h.shutdown()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			host := &fake.Host{Primary: true}
			harness := newHarnessFor(1, 1, false, host)
			defer harness.close()
			client, conn := harness.crossingClient(t, test.text)
			expectServed(t, client, "first")
			test.close(t, harness, client)
			expectEOF(t, client)
			client.Close()
			harness.shutdown()
			harness.awaitEnd()
			if n := conn.readAfter.Load(); n > 0 {
				t.Errorf("%d bytes were read after the close", n)
			}
			if host.Ran("crossed")+host.Ran("half") > 0 {
				t.Error("the request that arrived during the close was sent to a host")
			}
		})
	}
}

// connectForAnother connects a client that takes the slot of another client. It retries, as the new client is rejected if the other has
// just got its answer and does not count as idle yet.
func (h *testHarness) connectForAnother(t *testing.T) {
	t.Helper()
	for attempt := 0; ; attempt++ {
		client, err := fake.DialPostgres(h.connect(), "")
		if err == nil {
			t.Cleanup(func() { client.Close() })
			return
		}
		if attempt == 20 {
			t.Fatal(err)
		}
	}
}

// TestOneEvictionPerNewClient checks that only one client is evicted for a new client, even if it is slow to close its side.
func TestOneEvictionPerNewClient(t *testing.T) {
	harness := newHarnessFor(3, 1, false, &fake.Host{Primary: true})
	defer harness.close()
	for range 3 { // clients that send no request and do not notice an eviction, as they read nothing more
		near, far := loopback(t)
		harness.listener.conns <- far
		if _, err := fake.DialPostgres(near, ""); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(150 * time.Millisecond) // each may be evicted after 0.1 s
	near, far := loopback(t)
	harness.listener.conns <- far
	client, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := client.Ask(fmt.Sprintf(readStatement, "a")); err != nil || r.Outcome != "served" {
		t.Errorf("the new client: %+v, %v", r, err)
	}
	if n := harness.counters.Get("test_clients_let_go"); n != 1 {
		t.Errorf("%d clients were evicted for one new client", n)
	}
}

// TestSlowReaderGetsTheCompleteAnswer checks that a client that reads nothing until the gateway has closed its connection still gets its
// complete answer, which is longer than the client's receive buffer, and then EOF.
func TestSlowReaderGetsTheCompleteAnswer(t *testing.T) {
	harness := newHarness(false, &fake.Host{Primary: true})
	defer harness.close()
	near, far := loopback(t)
	near.SetReadBuffer(4 << 10)
	harness.listener.conns <- far
	client, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	key := strings.Repeat("k", 50<<10)
	client.Write([]byte(postgresQuery("/* id=long,c=look,d=1000,cluster=4 */ SELECT v FROM records WHERE k = '" + key + "'")))
	harness.shutdown()
	harness.awaitEnd()
	if r, err := client.Read(); err != nil || r.Value != "value of "+key {
		t.Errorf("%d bytes, %v", len(r.Value), err)
	}
	expectEOF(t, client)
}
