package backend_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// TestHostHangsInBufferedRow has a host hang in the middle of the longest row that is buffered. The client must get an answer long
// before a streamed row would be abandoned.
func TestHostHangsInBufferedRow(t *testing.T) {
	const valueLength = 64 << 10
	row := pgwire.Append(nil, 'T', "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	head := len(row)
	length := string(binary.BigEndian.AppendUint32(nil, valueLength))
	row = pgwire.Append(row, 'D', "\x00\x01", length, strings.Repeat("v", valueLength))
	row = pgwire.AppendReady(pgwire.Append(row, 'C', "SELECT 1\x00"))
	for _, sent := range []int{head, head + 5, head + 11, valueLength / 2, len(row) - 7, len(row)} {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			t.Parallel()
			host := &fake.Host{Malform: func(string, []byte) fake.Malformed {
				return fake.Malformed{Answer: row[:sent], Dead: sent < len(row)}
			}}
			h := newHarness(t, "postgres", host, nil)
			submitted := time.Now()
			a := h.wait(h.request("put", "q1"))
			wantServed := sent == len(row)
			if (a.Status == core.Served) != wantServed || h.counters.Get("streams") != 0 || host.Ran("q1") != 1 ||
				time.Since(submitted) > testTimeout/4 {
				t.Errorf("status %d after %v, %d streams, ran %d times", a.Status, time.Since(submitted),
					h.counters.Get("streams"), host.Ran("q1"))
			}
		})
	}
}

// dribblingConn is the host's end of a connection that writes the answer to a statement in pieces, with pauses between them.
type dribblingConn struct {
	net.Conn
	piece int // bytes
	pause time.Duration
}

// Write implements net.Conn. Messages of a startup have no key of a statement in them and are written at once.
func (c dribblingConn) Write(b []byte) (written int, err error) {
	if !bytes.Contains(b, []byte("value of")) {
		return c.Conn.Write(b)
	}
	for part := range slices.Chunk(b, c.piece) {
		n, err := c.Conn.Write(part)
		if written += n; err != nil {
			return written, err
		}
		time.Sleep(c.pause)
	}
	return written, nil
}

// TestHostIsSlowInTheAnswer has a host write an answer in pieces for over a second. The answer must be served: it was cut off 0.4 s after
// its first byte, and a write failed though it had run. A host that goes on for longer than the request's time must not delay the final
// answer.
func TestHostIsSlowInTheAnswer(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, protocol := range protocols {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			host := &fake.Host{}
			h := newHarness(t, protocol, host, nil, func(conn net.Conn) {
				if conn = (dribblingConn{conn, 10, pause}); protocol == "postgres" {
					host.ServePostgres(conn)
				} else {
					host.ServeMySQL(conn)
				}
			})
			h.checkServes("put", "q1")
			submitted := time.Now()
			if a := h.wait(h.request("brief", "q2")); a.Status != core.Failed || host.Ran("q2") != 1 {
				t.Errorf("a short deadline: status %d, ran %d times", a.Status, host.Ran("q2"))
			}
			if took := time.Since(submitted); took > testTimeout/4 {
				t.Errorf("a short deadline: answered after %v", took)
			}
		})
	}
}
