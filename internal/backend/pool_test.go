package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cranegate/internal/core"
	"cranegate/routing"
)

// TestAThousandHosts lists up to 3,000 hosts. Each has its actor, and the mailboxes of 1,024 hosts together take no more than
// the mailboxes of 128 do. No connection is opened, and the number of slots stays MaxOpen. All actors end with the context.
func TestAThousandHosts(t *testing.T) {
	for _, c := range []struct{ hosts, mailboxSize int }{
		{1, maxMailboxSize},
		{128, maxMailboxSize},
		{1024, totalMailboxSize / 1024},
		{1025, minMailboxSize},
		{3000, minMailboxSize},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		p := New(ctx, Options{IdleTimeout: 20 * time.Second, MaxOpen: 16, Gateways: 1024})
		list := core.EndpointList{Kind: routing.EndpointListComplete}
		for i := range c.hosts {
			list.Hosts = append(list.Hosts, core.Host{Address: "127.0.0.1:1",
				Endpoint: routing.Endpoint{Member: fmt.Sprint("db-", i), Phase: routing.PhaseServing}})
		}
		p.Update(list)
		if len(p.hosts) != c.hosts || len(p.slots) != 0 || cap(p.slots) != 16 {
			t.Errorf("%d hosts: %d listed, %d of %d slots taken", c.hosts, len(p.hosts), len(p.slots), cap(p.slots))
		}
		for member := range p.hosts {
			if n := cap(p.host(member).mailbox); n != c.mailboxSize {
				t.Fatalf("%d hosts: mailbox of %d messages at %s, want %d", c.hosts, n, member, c.mailboxSize)
			}
		}
		cancel()
		if err := p.Wait(); err != nil {
			t.Error(err)
		}
	}
}
