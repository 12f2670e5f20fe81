package frontend_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// TestRepeatedIDRunsOnce sends a write's id again on another connection: after the client of the first has left before the
// answer and the request's time has passed, and after the first was served. The id must not run a second time: it was forgotten with
// the end of the first request. A write that was rejected has not run, and its id may come again.
func TestRepeatedIDRunsOnce(t *testing.T) {
	for _, mysqlFront := range []bool{false, true} {
		for _, c := range []struct {
			name     string
			act      fake.Act
			leave    bool // before the answer
			wantRuns int
		}{
			{"left", fake.Serve, true, 1},
			{"served", fake.Serve, false, 1},
			{"rejected", fake.Reject, false, 1},
		} {
			t.Run(fmt.Sprintf("mysql=%t, %s", mysqlFront, c.name), func(t *testing.T) {
				inBubble(t, func() error {
					var repeated atomic.Bool
					host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
						if repeated.Load() {
							return fake.Serve
						}
						if c.leave {
							time.Sleep(600 * time.Millisecond)
						}
						return c.act
					}}
					h := newHarness(mysqlFront, host)
					first := make(chan error, 1)
					conn := h.connect()
					go func() { first <- h.sendWrite(conn, "again") }()
					if c.leave {
						time.Sleep(300 * time.Millisecond)
						conn.Close()
					}
					<-first
					time.Sleep(5 * time.Second)
					repeated.Store(true)
					h.sendWrite(h.connect(), "again")
					if n := h.ran("again"); n != c.wantRuns {
						t.Errorf("the id ran %d times", n)
					}
					if err := h.sendWrite(h.connect(), "another"); err != nil || h.ran("another") != 1 {
						t.Errorf("another id: ran %d times, %v", h.ran("another"), err)
					}
					return h.close()
				})
			})
		}
	}
}

// sendWrite sends a write on a new connection and waits for its answer.
func (h *testHarness) sendWrite(conn net.Conn, id string) error {
	text := fmt.Sprintf("/* id=%s,c=put,d=900,cluster=4 */ INSERT INTO records (k) VALUES ('%s')", id, id)
	if h.mysql {
		client, err := fake.DialMySQL(conn, mysqlwire.CapQueryAttributes)
		if err == nil {
			_, err = client.Query(text)
		}
		return err
	}
	client, err := fake.DialPostgres(conn, "")
	if err == nil {
		_, err = client.Ask(text)
	}
	return err
}
