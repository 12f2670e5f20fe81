package processtest

import (
	"flag"
	"testing"
	"time"
)

var upgrades = flag.Int("upgrades", 5, "upgrades in a row under load")

// TestUpgrades puts new processes in place one after the other under load: nothing is turned back, lost or run twice, and
// a host that was taken out before the first gets nothing from any.
func TestUpgrades(t *testing.T) {
	r := newRig(t, 256)
	p := r.start().ready()
	l := r.newLoad(24, 5*time.Millisecond)
	l.goesOn()
	p.must("/_database-hosts/detach/db-1-2")
	l.isOut(r.hosts[5])
	for i := range *upgrades {
		before := l.unheard(time.Time{})
		p = r.upgrade(p)
		l.goesOn()
		if n := l.unheard(time.Time{}) - before; n > 0 {
			t.Errorf("upgrade %d: %d requests turned back", i+1, n)
		}
	}
	l.judge(t, 0)
}
