package processtest

import (
	"flag"
	"testing"
	"time"
)

// upgrades is the number of consecutive upgrades of TestUpgrades.
var upgrades = flag.Int("upgrades", 5, "upgrades in a row under load")

// TestUpgrades performs consecutive upgrades under load: every request is answered, no write is executed twice, and a host that was
// detached before the first upgrade receives no requests from any process.
func TestUpgrades(t *testing.T) {
	h := newHarness(t, 256)
	p := h.start().waitReady()
	l := h.startLoad(24, 5*time.Millisecond)
	l.waitProgress()
	p.mustPost("/_database-hosts/detach/db-1-2")
	l.excludeHost(h.hosts[5])
	for i := range *upgrades {
		before := l.unansweredSince(time.Time{})
		p = h.upgrade(p)
		l.waitProgress()
		if n := l.unansweredSince(time.Time{}) - before; n > 0 {
			t.Errorf("upgrade %d: %d requests not answered", i+1, n)
		}
	}
	l.check(t, 0)
}
