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

// crossingConn is the gateway's end of a connection. It calls a function right before its sending side is shut down, or before
// its close where that comes first, and counts the bytes that are read from then on.
type crossingConn struct {
	*net.TCPConn
	beforeClose func()
	once        sync.Once
	shutDown    atomic.Bool
	readAfter   atomic.Int64
}

func (c *crossingConn) cross() {
	c.once.Do(func() {
		c.beforeClose()
		c.shutDown.Store(true)
	})
}

func (c *crossingConn) CloseWrite() error {
	c.cross()
	return c.TCPConn.CloseWrite()
}

func (c *crossingConn) Close() error {
	c.cross()
	return c.TCPConn.Close()
}

func (c *crossingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.shutDown.Load() {
		c.readAfter.Add(int64(n))
	}
	return n, err
}

// crossingClient returns a client of the platform's protocol that sends a text at the instant at which its connection is closed.
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
	if r, err := client.Ask(fmt.Sprintf(lookStatement, id)); err != nil || r.Value != "value of "+id {
		t.Fatalf("%s: %+v, %v", id, r, err)
	}
}

// expectEOF checks that the client sees a plain end next.
func expectEOF(t *testing.T, client *fake.PostgresClient) {
	t.Helper()
	if _, err := client.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("the client sees %v in place of a plain end", err)
	}
}

// drainNotice is how long after its start a drain closes connections right after an answer, and a little.
const drainNotice = 450 * time.Millisecond

// TestRequestCrossesTheClose has a request arrive between the last check of a connection and its close: as a client is drained
// while idle and right after its answer, as one is evicted, and as the time for a message is over. It may neither be
// forwarded nor be read, as its client sends it again; the client sees a plain end, and the answer before it complete.
func TestRequestCrossesTheClose(t *testing.T) {
	crossed := postgresQuery(fmt.Sprintf(lookStatement, "crossed"))
	half := postgresQuery(fmt.Sprintf(lookStatement, "half"))
	for _, test := range []struct {
		name  string
		text  string // that crosses the close
		close func(*testing.T, *testHarness, *fake.PostgresClient)
	}{
		{"idle", crossed, func(_ *testing.T, h *testHarness, _ *fake.PostgresClient) { h.shutdown() }},
		{"after an answer", crossed, func(t *testing.T, h *testHarness, client *fake.PostgresClient) {
			h.shutdown()
			time.Sleep(drainNotice)
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
				t.Error("what crossed the close was forwarded")
			}
		})
	}
}

// connectForAnother connects a client that takes the slot of another one. It is rejected where that one's answer has gone out
// and its connection does not count as idle yet.
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

// TestOneEvictionPerNewClient checks that clients that are slow to close after an eviction do not cause further evictions.
func TestOneEvictionPerNewClient(t *testing.T) {
	harness := newHarnessFor(3, 1, false, &fake.Host{Primary: true})
	defer harness.close()
	for range 3 { // without a request, and without a look at their connection
		near, far := loopback(t)
		harness.listener.conns <- far
		if _, err := fake.DialPostgres(near, ""); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(150 * time.Millisecond) // each may be evicted from 0.1 s on
	near, far := loopback(t)
	harness.listener.conns <- far
	client, err := fake.DialPostgres(near, "")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := client.Ask(fmt.Sprintf(lookStatement, "a")); err != nil || r.Outcome != "served" {
		t.Errorf("the new client: %+v, %v", r, err)
	}
	if n := harness.counters.Get("test_clients_let_go"); n != 1 {
		t.Errorf("%d clients were evicted for one", n)
	}
}

// TestSlowReaderGetsTheWholeAnswer checks that a client that reads nothing until the gateway has closed its connection, behind an
// answer longer than both ends' buffers, gets the whole of it then, and a plain end.
func TestSlowReaderGetsTheWholeAnswer(t *testing.T) {
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
