package processtest

import (
	"testing"
	"time"
)

// killCase begins an upgrade and kills one of the two processes. It returns the other and a time at which the killed one had ended.
type killCase func(h *harness, old *process) (survivor *process, killedAt time.Time)

// testKill runs a case under load, after a host was detached. It checks that the survivor serves, that every request on a connection
// begun after the kill is answered, and that another upgrade works.
func testKill(t *testing.T, upgrade killCase) {
	h := newHarness(t, 256)
	old := h.start().waitReady()
	load := h.startLoad(16, 4*time.Millisecond)
	load.waitProgress()
	old.mustPost("/_database-hosts/detach/db-0-1")
	load.excludeHost(h.hosts[1])
	survivor, killedAt := upgrade(h, old)
	load.waitProgress()
	if status, body := survivor.callAdmin("GET", "/_ready"); status != 200 {
		t.Errorf("the survivor is not ready: %d %s", status, body)
	}
	before := load.unansweredSince(time.Time{})
	h.upgrade(survivor)
	load.waitProgress()
	if n := load.unansweredSince(time.Time{}) - before; n > 0 {
		t.Errorf("the next upgrade: %d requests not answered", n)
	}
	load.end()
	if n := load.unansweredSince(killedAt); n > 0 {
		t.Errorf("%d requests not answered on connections begun after the kill", n)
	}
	load.check(t, load.clients) // the kill may lose one request on each connection of the killed process
}

// TestNewProcessKilled kills the new process at steps of its start and after it is ready. The old one continues to serve, even if
// the new one had taken over all clients.
func TestNewProcessKilled(t *testing.T) {
	kill := func(h *harness, old, next *process) (*process, time.Time) { return old, next.kill() }
	for name, do := range map[string]killCase{
		"at its start": func(h *harness, old *process) (*process, time.Time) { return kill(h, old, h.start()) },
		"before it is ready": func(h *harness, old *process) (*process, time.Time) {
			next := h.start()
			next.waitEvent("hotrestart_opened ")
			return kill(h, old, next)
		},
		"when it is ready": func(h *harness, old *process) (*process, time.Time) {
			return kill(h, old, h.start().waitReady())
		},
		"once it has taken over": func(h *harness, old *process) (*process, time.Time) {
			next := h.start()
			old.waitEvent("superseded")
			return kill(h, old, next)
		},
		"after 20 ms":  killAfter(kill, 20*time.Millisecond),
		"after 100 ms": killAfter(kill, 100*time.Millisecond),
		"after 500 ms": killAfter(kill, 500*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) { testKill(t, do) })
	}
}

// killAfter returns a case that kills some time after the new process is ready.
func killAfter(kill func(h *harness, old, next *process) (*process, time.Time), delay time.Duration) killCase {
	return func(h *harness, old *process) (*process, time.Time) {
		next := h.start().waitReady()
		time.Sleep(delay)
		return kill(h, old, next)
	}
}

// TestOldProcessKilled kills the old process at steps of an upgrade. The new one serves, and the
// administrative calls that the old one had confirmed hold in it.
func TestOldProcessKilled(t *testing.T) {
	for name, do := range map[string]killCase{
		"before the new one starts": func(h *harness, old *process) (*process, time.Time) {
			killedAt := old.kill()
			return h.start().waitReady(), killedAt
		},
		"while it starts": func(h *harness, old *process) (*process, time.Time) {
			next := h.start()
			next.waitEvent("hotrestart_opened ")
			killedAt := old.kill()
			return next.waitReady(), killedAt
		},
		"when the new one is ready": func(h *harness, old *process) (*process, time.Time) {
			next := h.start().waitReady()
			return next, old.kill()
		},
		"while it passes connections": func(h *harness, old *process) (*process, time.Time) {
			next := h.start()
			old.waitEvent("superseded")
			return next.waitReady(), old.kill()
		},
	} {
		t.Run(name, func(t *testing.T) { testKill(t, do) })
	}
}

// TestOldProcessRestored kills the new process after each of three takeovers: the old one serves again each time, and accepts lameduck
// calls at the end.
func TestOldProcessRestored(t *testing.T) {
	h := newHarness(t, 256)
	old := h.start().waitReady()
	for n := range 3 {
		next := h.start().waitReady()
		old.waitEventAfter("superseded", n)
		next.kill()
		c, err := h.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if reply, err := c.Ask(statement("after", 0, false)); err != nil || reply.Outcome != "served" {
			t.Errorf("a client after the kill: %+v, %v", reply, err)
		}
		old.waitEventAfter("restored", n) // otherwise the next process may be ready before the old one has detected the end of this one
	}
	superseded, restored := old.eventCount("superseded"), old.eventCount("restored")
	if superseded != 3 || restored != 3 {
		t.Errorf("superseded %d times and restored %d times, want 3", superseded, restored)
	}
	for i, call := range []string{"on", "off"} {
		old.mustPost("/_lameduck/" + call)
		c, err := h.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if reply, err := c.Ask(";"); err != nil || reply.Outcome != []string{"failed", "empty"}[i] {
			t.Errorf("lameduck %s: %+v, %v", call, reply, err)
		}
	}
}

// TestLameduckOutlivesNewProcess sets lameduck mode in a new process, which is then killed. The old process must
// stay in that mode; the same holds for the end of lameduck mode.
func TestLameduckOutlivesNewProcess(t *testing.T) {
	h := newHarness(t, 256)
	old := h.start().waitReady()
	for i, call := range []string{"on", "off"} {
		next := h.start().waitReady()
		old.waitEventAfter("superseded", i)
		next.mustPost("/_lameduck/" + call)
		next.kill()
		c, err := h.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		want := []string{"failed", "empty"}[i]
		h.eventually("the old process answers "+want, func() bool {
			reply, err := c.Ask(";")
			return err == nil && reply.Outcome == want
		})
		old.waitEventAfter("restored", i)
	}
}
