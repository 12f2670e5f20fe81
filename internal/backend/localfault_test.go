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

// TestOwnFaultIsNotTheHosts has connects fail for want of something on this machine: no attempt tells the module that the host
// could not be reached, requests have a refusal that is true, and the next ones are served as soon as there is enough again.
func TestOwnFaultIsNotTheHosts(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EAGAIN, syscall.ENETUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			var short atomic.Bool
			short.Store(true)
			r := newRig(t, "postgres", &fake.Host{}, func(opt *backend.Options) {
				opt.Connect = func(ctx context.Context, address string) (net.Conn, error) {
					if short.Load() {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", fault)}
					}
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				}
			})
			for n := range 3 {
				id := fmt.Sprint("short-", n)
				if a := r.wait(r.ask("brief", id)); a.Status != core.Rejected || r.host.Ran(id) != 0 {
					t.Errorf("%s: status %d, ran %d times", id, a.Status, r.host.Ran(id))
				}
			}
			if n := r.counters.Get("attempts_not_connected"); n != 0 {
				t.Errorf("%d attempts told the module that the host could not be reached", n)
			}
			short.Store(false)
			r.served("put", "after")
		})
	}
}
