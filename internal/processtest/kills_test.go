package processtest

import (
	"testing"
	"time"
)

// killed runs a case of a kill under load, with a host out from before: whoever lives goes on, nothing is turned back on
// connections that were begun after the death, and another upgrade works. do gives the process that lives and the time at
// which the other was dead.
func killed(t *testing.T, do func(r *rig, old *process) (lives *process, dead time.Time)) {
	r := newRig(t, 256)
	old := r.start().ready()
	l := r.newLoad(16, 4*time.Millisecond)
	l.goesOn()
	old.must("/_database-hosts/detach/db-0-1")
	l.isOut(r.hosts[1])
	lives, dead := do(r, old)
	l.goesOn()
	if s, body := lives.call("GET", "/_ready"); s != 200 {
		t.Errorf("who lives says %d %s", s, body)
	}
	before := l.unheard(time.Time{})
	r.upgrade(lives)
	l.goesOn()
	if n := l.unheard(time.Time{}) - before; n > 0 {
		t.Errorf("the upgrade that follows: %d requests turned back", n)
	}
	l.end()
	if n := l.unheard(dead); n > 0 {
		t.Errorf("%d requests turned back on connections that were begun after the death", n)
	}
	l.judge(t, l.clients) // a request for each connection that the dead one held
}

// TestNewKilled kills the new process at steps of its start and after its yes. The old one goes on, also where it had left
// all clients to the new one.
func TestNewKilled(t *testing.T) {
	kill := func(r *rig, old, next *process) (*process, time.Time) { return old, next.kill() }
	for name, do := range map[string]func(r *rig, old *process) (*process, time.Time){
		"at its start": func(r *rig, old *process) (*process, time.Time) { return kill(r, old, r.start()) },
		"before its yes": func(r *rig, old *process) (*process, time.Time) {
			next := r.start()
			next.says("hotrestart_opened ")
			return kill(r, old, next)
		},
		"at its yes": func(r *rig, old *process) (*process, time.Time) { return kill(r, old, r.start().ready()) },
		"once the old one has left clients to it": func(r *rig, old *process) (*process, time.Time) {
			next := r.start()
			old.says("superseded")
			return kill(r, old, next)
		},
		"after 20 ms":  after(kill, 20*time.Millisecond),
		"after 100 ms": after(kill, 100*time.Millisecond),
		"after 500 ms": after(kill, 500*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) { killed(t, do) })
	}
}

func after(kill func(r *rig, old, next *process) (*process, time.Time),
	d time.Duration) func(r *rig, old *process) (*process, time.Time) {
	return func(r *rig, old *process) (*process, time.Time) {
		next := r.start().ready()
		time.Sleep(d)
		return kill(r, old, next)
	}
}

// TestOldKilled kills the old process at steps of an upgrade. The new one serves, and holds what the old was told.
func TestOldKilled(t *testing.T) {
	for name, do := range map[string]func(r *rig, old *process) (*process, time.Time){
		"before the new one starts": func(r *rig, old *process) (*process, time.Time) {
			dead := old.kill()
			return r.start().ready(), dead
		},
		"while it starts": func(r *rig, old *process) (*process, time.Time) {
			next := r.start()
			next.says("hotrestart_opened ")
			dead := old.kill()
			return next.ready(), dead
		},
		"at the yes": func(r *rig, old *process) (*process, time.Time) {
			next := r.start().ready()
			return next, old.kill()
		},
		"while it passes connections on": func(r *rig, old *process) (*process, time.Time) {
			next := r.start()
			old.says("superseded")
			return next.ready(), old.kill()
		},
	} {
		t.Run(name, func(t *testing.T) { killed(t, do) })
	}
}

// TestRestored has the old process take clients again, send them away and take them back, and leave them to a second new
// process, after the first one that had them died.
func TestRestored(t *testing.T) {
	r := newRig(t, 256)
	old := r.start().ready()
	for n := range 3 {
		next := r.start().ready()
		old.saysAgain("superseded", n)
		next.kill()
		c, err := r.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if a, err := c.Ask(statement("after", 0, false)); err != nil || a.Outcome != "served" {
			t.Errorf("a client that comes after: %+v, %v", a, err)
		}
		old.saysAgain("restored", n) // else the next one's yes may come before the old one has seen this death
	}
	if left, back := old.said("superseded"), old.said("restored"); left != 3 || back != 3 {
		t.Errorf("superseded %d times and restored %d times, want 3", left, back)
	}
	for i, call := range []string{"on", "off"} {
		old.must("/_lameduck/" + call)
		c, err := r.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if a, err := c.Ask(";"); err != nil || a.Outcome != []string{"failed", "empty"}[i] {
			t.Errorf("lameduck %s: %+v, %v", call, a, err)
		}
	}
}

// TestLameduckOfDeadHeir says lameduck to a new process, which then dies: it holds in the old one.
func TestLameduckOfDeadHeir(t *testing.T) {
	r := newRig(t, 256)
	old := r.start().ready()
	for i, call := range []string{"on", "off"} {
		next := r.start().ready()
		old.saysAgain("superseded", i)
		next.must("/_lameduck/" + call)
		next.kill()
		c, err := r.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		want := []string{"failed", "empty"}[i]
		r.until("the old one says "+want, func() bool {
			a, err := c.Ask(";")
			return err == nil && a.Outcome == want
		})
		old.saysAgain("restored", i)
	}
}
