package backend_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/fake"
)

// TestLocalFaultIsNotHostFault has connects fail because this machine lacks a resource. No attempt may report to the router
// that the host could not be reached. The requests must be rejected without having run, and later requests must be served as
// soon as the resource is available again.
func TestLocalFaultIsNotHostFault(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EAGAIN, syscall.ENETUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			var faulty atomic.Bool
			faulty.Store(true)
			h := newHarness(t, "postgres", &fake.Host{}, func(options *backend.Options) {
				options.Connect = func(ctx context.Context, address string) (net.Conn, error) {
					if faulty.Load() {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", fault)}
					}
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				}
			})
			for n := range 3 {
				id := fmt.Sprint("during-", n)
				if a := h.wait(h.request("brief", id)); a.Status != core.Rejected || h.host.Ran(id) != 0 {
					t.Errorf("%s: status %d, ran %d times", id, a.Status, h.host.Ran(id))
				}
			}
			if n := h.counters.Get("attempts_not_connected"); n != 0 {
				t.Errorf("%d attempts reported to the router that the host could not be reached", n)
			}
			faulty.Store(false)
			h.checkServes("put", "after")
		})
	}
}
