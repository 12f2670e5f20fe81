package frontend_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/mysqlwire"
)

// TestFloodingClientIsPaused has one client send short messages without a pause, also unsound ones. The gateway must pause between them,
// as it found other clients' requests late while it always had work, and must not pause a client that sends some messages.
func TestFloodingClientIsPaused(t *testing.T) {
	const messages = 3200
	ping := string([]byte{1, 0, 0, 0, mysqlwire.ComPing})
	for _, c := range []struct {
		name     string
		mysql    bool
		messages string // one flood of them is a number of copies
	}{
		{"empty queries", false, postgresQuery(";")},
		{"unsound and empty queries", false, postgresQuery("SELECT 1") + postgresQuery("")},
		{"pings", true, ping},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func() error {
				h := newHarness(c.mysql, &fake.Host{Primary: true})
				for _, count := range []int{10, messages} {
					var conn net.Conn
					if c.mysql {
						client, err := fake.DialMySQL(h.connect(), 0)
						if err != nil {
							return err
						}
						conn = client.Conn
					} else {
						client, err := fake.DialPostgres(h.connect(), "")
						if err != nil {
							return err
						}
						conn = client.Conn
					}
					go func() { // reads all answers
						for b := make([]byte, 4096); ; {
							if _, err := conn.Read(b); err != nil {
								return
							}
						}
					}()
					start := time.Now()
					for range count {
						if _, err := conn.Write([]byte(c.messages)); err != nil {
							return err
						}
					}
					took := time.Since(start)
					if paused := took >= messages/64*time.Millisecond; paused != (count == messages) {
						t.Errorf("%d messages took %v", count, took)
					}
					conn.Close()
				}
				if err := h.close(); err != nil {
					return fmt.Errorf("closing: %w", err)
				}
				return nil
			})
		})
	}
}
