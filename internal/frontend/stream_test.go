package frontend_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

const (
	longValue    = 4 << 20 // bytes
	readyMessage = "Z\x00\x00\x00\x05I"
)

// longAnswer returns a host's answer with a value of the given size and, as hosts send it, a ParameterStatus message after the row.
func longAnswer(size int) []byte {
	b := pgwire.Append(nil, 'T', "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	v := strings.Repeat("0123456789abcdef", size/16)
	b = pgwire.Append(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(v)))), v)
	b = pgwire.Append(b, 'C', "SELECT 1\x00")
	b = pgwire.AppendParameter(b, "replication_role", "primary")
	return pgwire.AppendReady(b)
}

// requestLong returns a client that has sent a request. The caller reads the answer from its connection.
func (h *testHarness) requestLong(id string) (*testClient, error) {
	c, err := h.newClient(formPostgres)
	if err == nil {
		_, err = io.WriteString(c.pg, h.requestBytes("put", id, ""))
	}
	return c, err
}

// forwarded returns the part of a host's answer that the client gets. ParameterStatus messages after the row are for the gateway.
func forwarded(answer []byte) []byte {
	parameters := bytes.LastIndex(answer, []byte("S\x00\x00\x00"))
	return append(bytes.Clone(answer[:parameters]), readyMessage...)
}

// TestLongValues streams an answer of 4 MiB to a client that reads in small pieces, from a host that pauses in the middle of the row for
// longer than any deadline. The host must stay healthy meanwhile, the answer must be streamed instead of buffered, and both connections
// must be usable afterwards.
func TestLongValues(t *testing.T) {
	want := longAnswer(longValue)
	inBubble(t, func() error {
		host := &fake.Host{Primary: true, Malform: func(id string, b []byte) fake.Malformed {
			if id == "long" { // the surplus is the second half of the answer, sent after a pause
				return fake.Malformed{Answer: want[:longValue/2], After: 3 * time.Second, Surplus: want[longValue/2:]}
			}
			return fake.Malformed{Answer: b}
		}}
		harness := newHarness(false, host)
		client, err := harness.requestLong("long")
		if err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() {
			var got bytes.Buffer
			b := make([]byte, 1500)
			for !bytes.HasSuffix(got.Bytes(), []byte(readyMessage)) {
				n, err := client.pg.Conn.Conn.Read(b)
				if got.Write(b[:n]); err != nil {
					done <- fmt.Errorf("after %d bytes: %w", got.Len(), err)
					return
				}
				time.Sleep(50 * time.Microsecond)
			}
			if !bytes.Equal(got.Bytes(), forwarded(want)) {
				done <- fmt.Errorf("the client got %d bytes that differ from the host's %d bytes", got.Len(), len(forwarded(want)))
				return
			}
			done <- nil
		}()
		other, err := harness.newClient(formPostgres)
		if err != nil {
			return err
		}
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			if r, err := other.request("put", fmt.Sprint("short", i)); err != nil || r.Outcome != "served" {
				return fmt.Errorf("during a long answer: %+v, %w", r, err)
			}
		}
		if err := <-done; err != nil {
			return err
		}
		if r, err := client.request("put", "next"); err != nil || r.Outcome != "served" {
			return fmt.Errorf("after a long answer: %+v, %w", r, err)
		}
		if n := harness.counters.Get("streams"); n != 1 || host.Ran("long") != 1 {
			return fmt.Errorf("%d streams, ran %d times", n, host.Ran("long"))
		}
		return harness.close()
	})
}

// TestLongValuesCut interrupts long answers by a host that drops its connections and by a client that disconnects, before or during the
// answer. If the host fails, the client must see that its answer is incomplete. If the client disconnects, nothing may wait for it any
// longer. In each case the gateway must serve the next client.
func TestLongValuesCut(t *testing.T) {
	want := longAnswer(longValue)
	for _, who := range []string{"host", "client", "client before it begins"} {
		inBubble(t, func() error {
			host := &fake.Host{Primary: true}
			host.Malform = func(id string, b []byte) fake.Malformed {
				if id != "long" {
					return fake.Malformed{Answer: b}
				}
				if who == "host" {
					go func() { time.Sleep(200 * time.Millisecond); host.DropConnections() }()
					return fake.Malformed{Answer: want[:longValue/2], Dead: true}
				}
				time.Sleep(50 * time.Millisecond)
				return fake.Malformed{Answer: want}
			}
			harness := newHarness(false, host)
			client, err := harness.requestLong("long")
			if err != nil {
				return err
			}
			if who != "host" {
				if who == "client" {
					io.ReadFull(client.pg.Conn.Conn, make([]byte, 100<<10))
				}
				client.disconnect()
			} else if b, err := io.ReadAll(client.pg.Conn.Conn); err != nil || len(b) < longValue/4 || bytes.HasSuffix(b, []byte(readyMessage)) {
				return fmt.Errorf("the client got %d bytes, and then %w", len(b), err)
			}
			time.Sleep(2 * time.Second)
			if other, err := harness.newClient(formPostgres); err != nil {
				return err
			} else if r, err := other.request("put", "next"); err != nil || r.Outcome != "served" {
				return errors.Join(err, fmt.Errorf("%s: afterwards %+v", who, r))
			}
			return harness.close()
		})
	}
}

// TestLongValueAtShutdown shuts the gateway down in the middle of a value, while the host pauses for longer than idle connections stay open
// in a shutdown. The client must get the complete value, and then its connection must be closed.
func TestLongValueAtShutdown(t *testing.T) {
	want := longAnswer(longValue)
	inBubble(t, func() error {
		harness := newHarness(false, &fake.Host{Primary: true, Malform: func(string, []byte) fake.Malformed {
			return fake.Malformed{Answer: want[:longValue/2], After: 2500 * time.Millisecond, Surplus: want[longValue/2:]}
		}})
		client, err := harness.requestLong("long")
		if err != nil {
			return err
		}
		head := make([]byte, 1000)
		if _, err := io.ReadFull(client.pg.Conn.Conn, head); err != nil {
			return err
		}
		harness.shutdown()
		rest, err := io.ReadAll(client.pg.Conn.Conn)
		if got := append(head, rest...); err != nil || !bytes.Equal(got, forwarded(want)) {
			return fmt.Errorf("the client got %d bytes that differ from the host's %d bytes, and %v", len(got), len(forwarded(want)), err)
		}
		return harness.close()
	})
}
