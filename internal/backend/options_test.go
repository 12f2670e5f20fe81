package backend_test

import (
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
)

// TestExtremeTimeouts gives the pool timeouts that no operator sets on purpose. Nothing must panic or loop, and requests must be
// served if a connection can be opened at all.
func TestExtremeTimeouts(t *testing.T) {
	for _, idle := range []time.Duration{math.MinInt64, -time.Second, 0, 1, math.MaxInt64} {
		h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) {
			options.IdleTimeout = idle
			options.ConnectTimeout = math.MaxInt64
		})
		for _, id := range []string{"q1", "q2", "q3"} {
			h.checkServes("put", id)
		}
		if n := h.connCount(); n > 18 { // six attempts each
			t.Errorf("idle for %v: %d connections", idle, n)
		}
	}
	for _, connect := range []time.Duration{math.MinInt64, -time.Second, 0} {
		h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) { options.ConnectTimeout = connect })
		if a := h.wait(h.request("brief", "q1")); a.Status != core.Rejected || h.host.Ran("q1") > 0 || h.connCount() > 6 {
			t.Errorf("connects of %v: status %d, %d connections", connect, a.Status, h.connCount())
		}
	}
}

// TestNoDelay checks that the pool's connections to a host have TCP_NODELAY set: small writes must not be delayed, as a close
// may follow.
func TestNoDelay(t *testing.T) {
	var noDelay atomic.Int64
	h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) {
		start := options.Start
		options.Start = func(raw net.Conn) (backend.Conn, error) {
			conn, err := raw.(syscall.Conn).SyscallConn()
			if err != nil {
				return nil, err
			}
			conn.Control(func(fd uintptr) {
				value, _ := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
				noDelay.Store(int64(value))
			})
			return start(raw)
		}
	})
	if h.checkServes("put", "q1"); noDelay.Load() != 1 {
		t.Errorf("TCP_NODELAY is %d", noDelay.Load())
	}
}
