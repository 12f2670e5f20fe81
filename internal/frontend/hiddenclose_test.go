package frontend_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// TestCloseBehindUnreadBytes has a client send a write and 4 MB of further ones, while connections to its host take 200 ms. If the
// client closes meanwhile, its close can't arrive behind the unread bytes, and the write must not begin: it was sent on. A client that
// stays must be answered and, where the protocol has a message to probe it with, be served.
func TestCloseBehindUnreadBytes(t *testing.T) {
	const connectTime = 200 * time.Millisecond
	for _, mysqlFront := range []bool{false, true} {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("mysql=%t, leaves=%t", mysqlFront, leaves), func(t *testing.T) {
				host := &fake.Host{Primary: true}
				h := newHarness(mysqlFront, host)
				defer h.closeNow()
				h.onDial = func() { time.Sleep(connectTime) }
				near, far := loopback(t)
				h.listener.conns <- far
				send, read := h.startPipeline(t, near)
				go near.Write([]byte(send("first", "k") + strings.Repeat(send("more", strings.Repeat("v", 100<<10)), 40)))
				if leaves {
					time.Sleep(50 * time.Millisecond)
					near.Close()
					time.Sleep(connectTime + 300*time.Millisecond)
					if n := host.Ran("first"); n != 0 {
						t.Errorf("the write ran %d times, although its client had left", n)
					}
					return
				}
				reply, err := read()
				if err != nil || reply.Outcome != "served" && !(mysqlFront && reply.Outcome == "refused") {
					t.Errorf("a client that stays: %+v, %v", reply, err)
				}
			})
		}
	}
}

// startPipeline logs a client in. It returns a function for the messages of writes, and one that reads the first answer.
func (h *testHarness) startPipeline(t *testing.T, conn net.Conn) (send func(id, value string) string, read func() (fake.Reply, error)) {
	t.Helper()
	text := func(id, value string) string {
		return fmt.Sprintf("/* id=%s,c=put,d=900,cluster=4 */ INSERT INTO records (k, v) VALUES ('%s', '%s')", id, id, value)
	}
	if !h.mysql {
		client, err := fake.DialPostgres(conn, "")
		if err != nil {
			t.Fatal(err)
		}
		return func(id, value string) string { return postgresQuery(text(id, value)) }, client.Read
	}
	client, err := fake.DialMySQL(conn, mysqlwire.CapQueryAttributes)
	if err != nil {
		t.Fatal(err)
	}
	send = func(id, value string) string {
		var w mysqlwire.Writer
		w.Query(nil, []byte(text(id, value)), mysqlwire.CapQueryAttributes)
		return string(w.B)
	}
	return send, client.ReadReply
}
