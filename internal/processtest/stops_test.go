package processtest

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// inTime bounds a call to staff, which has its yes or its no within a second; the rest is for a busy machine.
const inTime = 3 * time.Second

// detach takes a host out by a call at a process, of which another may hang: a yes, or a no that names why, in time.
func (p *process) detach(uid string) (status int) {
	p.r.t.Helper()
	began := time.Now()
	status, body := p.call("POST", "/_database-hosts/detach/"+uid)
	took := time.Since(began)
	if status != 200 && (status != 503 || len(strings.TrimSpace(body)) == 0) || took > inTime {
		p.r.t.Errorf("detach: %d %q after %v", status, body, took)
	}
	p.r.t.Logf("detach beside a process that hangs: %d %q after %v", status, strings.TrimSpace(body), took.Round(time.Millisecond))
	return status
}

// TestNewStopped stops the new process before its yes. Calls at the old one are answered, and a ban holds in it from then
// on; once the new one goes on, the ban holds there too.
func TestNewStopped(t *testing.T) {
	r := newRig(t, 256)
	old := r.start().ready()
	l := r.newLoad(12, 4*time.Millisecond)
	l.goesOn()
	next := r.startStopped()
	old.detach("db-0-1")
	l.isOut(r.hosts[1])
	l.goesOn()
	next.signal(syscall.SIGCONT)
	next.ready()
	l.goesOn()
	if s := old.detach("db-0-1"); s != 200 {
		t.Errorf("detach once it goes on: %d", s)
	}
	time.Sleep(50 * time.Millisecond)
	old.term()
	l.goesOn()
	l.judge(t, 0)
}

// TestOldStopped stops the old process after the new one's yes, with requests under way in it. The new one serves, and
// calls are answered; requests are asked of the old one meanwhile, on connections that it keeps. Once it goes on it learns
// of the ban; docs/design/hotrestart.md states that it may send until then, which is counted.
func TestOldStopped(t *testing.T) {
	r := newRig(t, 256)
	old := r.start().ready()
	var kept []*half
	for n := range 8 { // half written, so that the old one keeps them
		h, err := r.begin(id("kept", n), n%groups, false)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, h)
	}
	next := r.start().ready()
	old.says("superseded")
	old.stop()
	l := r.newLoad(12, 4*time.Millisecond)
	l.goesOn()
	status := next.detach("db-0-1")
	l.isOut(r.hosts[1])
	second := next.detach("db-1-1")
	l.isOut(r.hosts[4])
	before := len(r.hosts[1].arrivals()) + len(r.hosts[4].arrivals())
	l.goesOn()
	for _, h := range kept {
		h.Write(h.rest)
	}
	old.signal(syscall.SIGCONT)
	for _, h := range kept {
		h.rest = nil
		if err := h.end(); err != nil {
			t.Error(err)
		}
	}
	sent := len(r.hosts[1].arrivals()) + len(r.hosts[4].arrivals()) - before
	t.Logf("after yes or no (%d, %d) the process that went on sent %d of %d requests to hosts that were out", status, second, sent, len(kept))
	if sent > 0 && status == 200 && second == 200 {
		t.Error("the calls were answered with yes")
	}
	if s := next.detach("db-0-1"); s != 200 {
		t.Errorf("detach once it goes on: %d", s)
	}
	before = len(r.hosts[1].arrivals()) + len(r.hosts[4].arrivals())
	old.term()
	l.goesOn()
	l.end()
	if n := len(r.hosts[1].arrivals()) + len(r.hosts[4].arrivals()) - before; n > 0 {
		t.Errorf("%d requests went to hosts that are out, after the yes of all", n)
	}
	l.out = nil // what the old one sent as it went on is counted above
	l.judge(t, 0)
}

// TestHalfWritten upgrades under 50 connections whose request is half written: each has its one answer when it is whole. A
// write runs once; a read may be repeated, as often as the limits say.
func TestHalfWritten(t *testing.T) {
	for name, write := range map[string]bool{"writes": true, "reads": false} {
		t.Run(name, func(t *testing.T) { halfWritten(t, write) })
	}
}

func halfWritten(t *testing.T, write bool) {
	r := newRig(t, 256, unhurried)
	old := r.start().ready()
	var all []*half
	for n := range 50 {
		h, err := r.begin(id("h", n), n%groups, write)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, h)
	}
	r.start().ready()
	time.Sleep(50 * time.Millisecond)
	old.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	for _, h := range all {
		if n := r.ran(h.id); n > 0 {
			t.Errorf("%s ran %d times, half written", h.id, n)
		}
		if err := h.end(); err != nil {
			t.Error(err)
		}
	}
	for _, h := range all { // on the same connection, or on another where that one was ended
		c, again := h.PostgresClient, h.id+"-again"
		var a fake.Reply
		var err error
		for try := 0; ; try++ {
			if a, err = c.Ask(unhurriedStatement(again, 0, false)); err == nil || try > 0 {
				break
			}
			if c, err = r.dial(); err != nil {
				break
			}
			defer c.Close()
		}
		if err != nil || a.Outcome != "served" || a.Value != "value of "+again {
			t.Errorf("%s: the next request: %+v, %v", h.id, a, err)
		}
	}
	old.term()
	most := 1
	if !write {
		most = r.attempts
	}
	for _, h := range all {
		if n := r.ran(h.id); n < 1 || n > most {
			t.Errorf("%s ran %d times, %d may be", h.id, n, most)
		}
	}
}
