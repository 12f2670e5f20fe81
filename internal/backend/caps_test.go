package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cranegate/internal/core"
	"cranegate/routing"
)

// TestAThousandHosts lists 1,024 hosts: each has its actor, and their mailboxes together take no more than those of 128 do; no
// connection is opened, and the slots stay those of the limit. All end with the context.
func TestAThousandHosts(t *testing.T) {
	for _, x := range []struct{ hosts, each int }{{1, mailboxSize}, {128, mailboxSize}, {1024, mailboxesAll / 1024}, {1025, mailboxLeast}, {3000, mailboxLeast}} {
		ctx, cancel := context.WithCancel(context.Background())
		p := New(ctx, Options{IdleTimeout: 20 * time.Second, MaxOpen: 16, Gateways: 1024})
		l := core.EndpointList{Kind: routing.EndpointListComplete}
		for i := range x.hosts {
			l.Hosts = append(l.Hosts, core.Host{Address: "127.0.0.1:1", Endpoint: routing.Endpoint{Member: fmt.Sprint("db-", i), Phase: routing.PhaseServing}})
		}
		p.Update(l)
		if len(p.hosts) != x.hosts || len(p.slots) != 0 || cap(p.slots) != 16 {
			t.Errorf("%d hosts: %d listed, %d of %d slots taken", x.hosts, len(p.hosts), len(p.slots), cap(p.slots))
		}
		for name := range p.hosts {
			if n := cap(p.host(name).mailbox); n != x.each {
				t.Fatalf("%d hosts: room for %d messages at %s, want %d", x.hosts, n, name, x.each)
			}
		}
		cancel()
		if err := p.Wait(); err != nil {
			t.Error(err)
		}
	}
}
