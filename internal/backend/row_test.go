package backend_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
)

// TestHangsInTheRow has a host hang in the middle of the longest row that the platform knows: its client is told long before a
// value that streams would be given up, as such a row is kept until it is whole.
func TestHangsInTheRow(t *testing.T) {
	const most = 64 << 10
	row := pgwire.Append(nil, 'T', "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	head := len(row)
	row = pgwire.Append(row, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, most)), strings.Repeat("v", most))
	row = pgwire.AppendReady(pgwire.Append(row, 'C', "SELECT 1\x00"))
	for _, sent := range []int{head, head + 5, head + 11, most / 2, len(row) - 7, len(row)} {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			t.Parallel()
			host := &fake.Host{Malform: func(string, []byte) fake.Malformed {
				return fake.Malformed{Answer: row[:sent], Dead: sent < len(row)}
			}}
			r := newRig(t, "postgres", host, nil)
			asked := time.Now()
			a := r.wait(r.ask("put", "q1"))
			if want := sent == len(row); (a.Status == core.Served) != want || r.counters.Get("streams") != 0 || host.Ran("q1") != 1 ||
				time.Since(asked) > soon/4 {
				t.Errorf("status %d after %v, %d streams, ran %d times", a.Status, time.Since(asked), r.counters.Get("streams"), host.Ran("q1"))
			}
		})
	}
}

// TestNoDelay looks at a connection to a host as the pool opens it: small writes must not be held back, as a close may follow.
func TestNoDelay(t *testing.T) {
	var on atomic.Int64
	r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) {
		start := opt.Start
		opt.Start = func(raw net.Conn) (backend.Conn, error) {
			c, err := raw.(syscall.Conn).SyscallConn()
			if err != nil {
				return nil, err
			}
			c.Control(func(fd uintptr) {
				n, _ := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
				on.Store(int64(n))
			})
			return start(raw)
		}
	})
	if r.served("put", "q1"); on.Load() != 1 {
		t.Errorf("TCP_NODELAY is %d", on.Load())
	}
}
