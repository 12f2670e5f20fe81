package processtest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegate/internal/discovery"
)

// requestID returns the id of the nth request of a series.
func requestID(prefix string, n int) string { return fmt.Sprint(prefix, "-", n) }

// counter returns the value of a counter of the process; 0 if it has none.
func (p *process) counter(name string) (n int) {
	_, body := p.callAdmin("GET", "/counters")
	for line := range strings.SplitSeq(body, "\n") {
		if value, ok := strings.CutPrefix(line, name+"="); ok {
			fmt.Sscan(value, &n)
		}
	}
	return n
}

// setEndpointList sets the state of each host in the endpoint list and waits until a process has received it. A host with an empty state
// is not listed.
func (h *harness) setEndpointList(p *process, stateOf func(uid string) string) {
	h.t.Helper()
	targets := slices.Clone(h.targets)
	for i := range targets {
		targets[i].State = stateOf(targets[i].UID)
	}
	targets = slices.DeleteFunc(targets, func(t discovery.Target) bool { return t.State == "" })
	if p == h.processes[0] { // later processes inherit the list
		h.eventually("the first endpoint list", func() bool { return p.counter("list_changes") > 0 })
	}
	changes := p.counter("list_changes")
	h.discovery.Set(targets)
	h.eventually("the changed endpoint list", func() bool { return p.counter("list_changes") > changes })
}

// everyHostServing is the endpoint list in which all hosts serve.
func everyHostServing(string) string { return "SERVING" }

// oneHostInState is the endpoint list in which one host has the given state and all others serve.
func oneHostInState(uid, state string) (stateOf func(uid string) string) {
	return func(listed string) string {
		if listed == uid {
			return state
		}
		return everyHostServing(listed)
	}
}

// TestConcurrentNewProcesses starts two new processes at the same time. One of them takes over the clients. After
// the old process has ended, one of the new ones is terminated and the other continues to serve; each of the two survives once.
func TestConcurrentNewProcesses(t *testing.T) {
	for survivor := range 2 {
		h := newHarness(t, 256)
		old := h.start().waitReady()
		l := h.startLoad(12, 4*time.Millisecond)
		l.waitProgress()
		old.mustPost("/_database-hosts/detach/db-0-1")
		l.excludeHost(h.hosts[1])
		started := []*process{h.start(), h.start()}
		for _, p := range started {
			p.waitReady()
		}
		time.Sleep(50 * time.Millisecond)
		old.terminate()
		l.waitProgress()
		if n := l.unansweredSince(time.Time{}); n > 0 {
			t.Errorf("%d requests not answered while two new processes started", n)
		}
		started[1].mustPost("/_database-hosts/detach/db-1-1")
		l.excludeHost(h.hosts[4])
		started[1-survivor].terminate()
		l.waitProgress()
		h.upgrade(started[survivor])
		l.waitProgress()
		l.check(t, l.clients) // if the newer process was terminated, it could not pass its clients to another
	}
}

// TestUpgradeWithoutDiscovery checks that a new process serves with the inherited endpoint list while discovery hangs, and sends no
// requests to a host that is draining in that list.
func TestUpgradeWithoutDiscovery(t *testing.T) {
	h := newHarness(t, 256)
	p := h.start().waitReady()
	l := h.startLoad(12, 4*time.Millisecond)
	l.waitProgress()
	h.setEndpointList(p, oneHostInState("db-0-2", "DRAINING"))
	l.excludeHost(h.hosts[2])
	h.discoveryHung.Store(true)
	for range 2 {
		p = h.upgrade(p)
		l.waitProgress()
	}
	h.discoveryHung.Store(false)
	l.check(t, 0)
}

// TestUpgradeDuringLameduck checks that lameduck mode holds in the new process, until it is ended there.
func TestUpgradeDuringLameduck(t *testing.T) {
	h := newHarness(t, 256)
	p := h.start().waitReady()
	checkEmptyQuery := func(want string) {
		t.Helper()
		c, err := h.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if reply, err := c.Ask(";"); err != nil || reply.Outcome != want {
			t.Errorf("the empty query: %+v, %v, want %s", reply, err, want)
		}
	}
	checkEmptyQuery("empty")
	p.mustPost("/_lameduck/on")
	for range 2 {
		checkEmptyQuery("failed")
		p = h.upgrade(p)
	}
	checkEmptyQuery("failed")
	p.mustPost("/_lameduck/off")
	checkEmptyQuery("empty")
	l := h.startLoad(8, 4*time.Millisecond)
	l.waitProgress()
	h.upgrade(p)
	checkEmptyQuery("empty")
	l.waitProgress()
	l.check(t, 0)
}

// TestBanOutlivesRelisting checks that a detached host stays out of service when discovery removes it and lists it again with the same
// UID, and in the two processes that follow; once attached it is used again.
func TestBanOutlivesRelisting(t *testing.T) {
	h := newHarness(t, 256)
	p := h.start().waitReady()
	l := h.startLoad(12, 4*time.Millisecond)
	l.waitProgress()
	p.mustPost("/_database-hosts/detach/db-1-1")
	include := l.excludeHost(h.hosts[4])
	p = h.upgrade(p)
	h.setEndpointList(p, oneHostInState("db-1-1", ""))
	l.waitProgress()
	h.setEndpointList(p, everyHostServing)
	l.waitProgress()
	p = h.upgrade(p)
	l.waitProgress()
	h.setEndpointList(p, oneHostInState("db-1-1", "DELETED"))
	h.setEndpointList(p, everyHostServing)
	l.waitProgress()
	before := len(h.hosts[4].arrivals())
	include()
	p.mustPost("/_database-hosts/attach/db-1-1")
	h.eventually("the attached host is used again", func() bool { return len(h.hosts[4].arrivals()) > before })
	l.check(t, 0)
}

// TestRapidLameduckToggles toggles lameduck mode ten times in a second under load: every request is answered.
func TestRapidLameduckToggles(t *testing.T) {
	h := newHarness(t, 256)
	p := h.start().waitReady()
	l := h.startLoad(12, 4*time.Millisecond)
	l.waitProgress()
	for range 10 {
		p.mustPost("/_lameduck/on")
		time.Sleep(50 * time.Millisecond)
		p.mustPost("/_lameduck/off")
		time.Sleep(50 * time.Millisecond)
	}
	l.waitProgress()
	h.upgrade(p)
	l.waitProgress()
	l.check(t, 0)
}
