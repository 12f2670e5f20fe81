package backend_test

import (
	"encoding/binary"
	"fmt"
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
