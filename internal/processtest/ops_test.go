package processtest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/discovery"
)

func id(prefix string, n int) string { return fmt.Sprint(prefix, "-", n) }

// counter is a counter of the process.
func (p *process) counter(name string) (n int) {
	_, body := p.call("GET", "/counters")
	for line := range strings.SplitSeq(body, "\n") {
		if v, ok := strings.CutPrefix(line, name+"="); ok {
			fmt.Sscan(v, &n)
		}
	}
	return n
}

// lists sets what discovery says, and waits until a process has it.
func (r *rig) lists(p *process, change func(uid string) (state string)) {
	r.t.Helper()
	targets := slices.Clone(r.targets)
	for i := range targets {
		targets[i].State = change(targets[i].UID)
	}
	targets = slices.DeleteFunc(targets, func(t discovery.Target) bool { return t.State == "" })
	if p == r.procs[0] { // the others inherit it
		r.until("the first list", func() bool { return p.counter("list_changes") > 0 })
	}
	n := p.counter("list_changes")
	r.discovery.Set(targets)
	r.until("news of discovery", func() bool { return p.counter("list_changes") > n })
}

func all(string) string { return "SERVING" }

// TestTwoAtOnce starts two new processes at one instant. One of them takes the clients; whichever ends after the old one,
// the other goes on.
func TestTwoAtOnce(t *testing.T) {
	for last := range 2 {
		r := newRig(t, 256)
		old := r.start().ready()
		l := r.newLoad(12, 4*time.Millisecond)
		l.goesOn()
		old.must("/_database-hosts/detach/db-0-1")
		l.isOut(r.hosts[1])
		two := []*process{r.start(), r.start()}
		for _, p := range two {
			p.ready()
		}
		time.Sleep(50 * time.Millisecond)
		old.term()
		l.goesOn()
		if n := l.unheard(time.Time{}); n > 0 {
			t.Errorf("%d turned back by the start of two", n)
		}
		two[1].must("/_database-hosts/detach/db-1-1")
		l.isOut(r.hosts[4])
		two[1-last].term()
		l.goesOn()
		r.upgrade(two[last])
		l.goesOn()
		l.judge(t, l.clients) // where the one that ended was the newer, its clients had nobody to be passed on to
	}
}

// TestUpgradeWithoutDiscovery: the new process serves from the list that it inherits. A host that drains by it is not used.
func TestUpgradeWithoutDiscovery(t *testing.T) {
	r := newRig(t, 256)
	p := r.start().ready()
	l := r.newLoad(12, 4*time.Millisecond)
	l.goesOn()
	r.lists(p, func(uid string) string {
		if uid == "db-0-2" {
			return "DRAINING"
		}
		return "SERVING"
	})
	l.isOut(r.hosts[2])
	r.mute.Store(true)
	for range 2 {
		p = r.upgrade(p)
		l.goesOn()
	}
	r.mute.Store(false)
	l.judge(t, 0)
}

// TestUpgradeInLameduck: the new process sends its clients away too, until lameduck is ended there.
func TestUpgradeInLameduck(t *testing.T) {
	r := newRig(t, 256)
	p := r.start().ready()
	says := func(want string) {
		t.Helper()
		c, err := r.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if a, err := c.Ask(";"); err != nil || a.Outcome != want {
			t.Errorf("the empty query: %+v, %v, want %s", a, err, want)
		}
	}
	says("empty")
	p.must("/_lameduck/on")
	for range 2 {
		says("failed")
		p = r.upgrade(p)
	}
	says("failed")
	p.must("/_lameduck/off")
	says("empty")
	l := r.newLoad(8, 4*time.Millisecond)
	l.goesOn()
	r.upgrade(p)
	says("empty")
	l.goesOn()
	l.judge(t, 0)
}

// TestHostComesAgain: a host that is out stays out when discovery forgets it and lists it again under the same id, and in
// two processes that follow; called back it is used.
func TestHostComesAgain(t *testing.T) {
	r := newRig(t, 256)
	p := r.start().ready()
	l := r.newLoad(12, 4*time.Millisecond)
	l.goesOn()
	p.must("/_database-hosts/detach/db-1-1")
	back := l.isOut(r.hosts[4])
	p = r.upgrade(p)
	r.lists(p, func(uid string) string {
		if uid == "db-1-1" {
			return ""
		}
		return "SERVING"
	})
	l.goesOn()
	r.lists(p, all)
	l.goesOn()
	p = r.upgrade(p)
	l.goesOn()
	r.lists(p, func(uid string) string {
		if uid == "db-1-1" {
			return "DELETED"
		}
		return "SERVING"
	})
	r.lists(p, all)
	l.goesOn()
	before := len(r.hosts[4].arrivals())
	back()
	p.must("/_database-hosts/attach/db-1-1")
	r.until("it is used again", func() bool { return len(r.hosts[4].arrivals()) > before })
	l.judge(t, 0)
}

// TestLameduckFlutters says on and off ten times a second under load: no client notices.
func TestLameduckFlutters(t *testing.T) {
	r := newRig(t, 256)
	p := r.start().ready()
	l := r.newLoad(12, 4*time.Millisecond)
	l.goesOn()
	for range 10 {
		p.must("/_lameduck/on")
		time.Sleep(50 * time.Millisecond)
		p.must("/_lameduck/off")
		time.Sleep(50 * time.Millisecond)
	}
	l.goesOn()
	r.upgrade(p)
	l.goesOn()
	l.judge(t, 0)
}
