package processtest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

const stateFile = "cranegate-state.json"

// serves asks once of each kind and group.
func (r *rig) serves(prefix string) {
	r.t.Helper()
	c, err := r.dial()
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	for n := range 4 {
		if a, err := c.Ask(statement(id(prefix, n), n%groups, n > 1)); err != nil || a.Outcome != "served" {
			r.t.Errorf("%s: %+v, %v", id(prefix, n), a, err)
		}
	}
}

// TestFaultyFile: with a state file that is torn, foreign or not there the program serves, says in its log what it can't
// know, and what staff say from then on holds in the next process too.
func TestFaultyFile(t *testing.T) {
	for name, text := range map[string]string{"torn": `{"format":"cranegate-state","version":1,"seq`,
		"foreign": `{"format":"of another program"}`, "empty": "", "missing": "none"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256)
			path := filepath.Join(r.dir, stateFile)
			if text != "none" {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p := r.start().ready()
			r.serves("first")
			if got := strings.Contains(p.log(), "event=hotrestart_unconfirmed"); got != (text != "none") {
				t.Errorf("the log holds a doubt: %t", got)
			}
			p.must("/_database-hosts/detach/db-0-1")
			p.kill()
			p = r.start().ready()
			if !strings.Contains(p.log(), "event=hotrestart_opened older=false out=1") {
				t.Error("the next process does not know of the host that is out")
			}
			before := len(r.hosts[1].arrivals())
			for n := range 10 {
				r.serves(id("next", n))
			}
			if n := len(r.hosts[1].arrivals()) - before; n > 0 {
				t.Errorf("%d requests went to a host that is out", n)
			}
		})
	}
}

// TestNoFolder: without a folder to share the program serves and says so, and staff's calls hold in it; so does an upgrade
// that passes nothing on.
func TestNoFolder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	closed := t.TempDir()
	os.Chmod(closed, 0o500) // which root may write to all the same
	for name, dir := range map[string]string{"unset": "", "missing": filepath.Join(t.TempDir(), "none"), "a file": file,
		"of the kernel": "/proc/self", "unwritable": closed} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 256)
			p := r.start(dir).ready()
			r.serves("first")
			if !strings.Contains(p.log(), "event=hotrestart_disabled") && (name != "unwritable" || os.Geteuid() != 0) {
				t.Error("it does not say so")
			}
			p.must("/_database-hosts/detach/db-0-1")
			before := len(r.hosts[1].arrivals())
			for n := range 10 {
				r.serves(id("next", n))
			}
			if n := len(r.hosts[1].arrivals()) - before; n > 0 {
				t.Errorf("%d requests went to a host that is out", n)
			}
			p.must("/_database-hosts/attach/db-0-1")
			next := r.start(dir).ready()
			p.term()
			r.serves("after")
			next.term()
		})
	}
}

// TestFilesMayNotGrow bounds the files that a process may write at nothing: a ban that can't be kept gets no yes and holds here all
// the same, the process lives, and once files may grow the same call gets its yes and outlives the process.
func TestFilesMayNotGrow(t *testing.T) {
	r := newRig(t, 256)
	p := r.start().ready()
	pid := p.cmd.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}, &before); err != nil {
		t.Fatal(err)
	}
	if status, body := p.call("POST", "/_database-hosts/detach/db-0-1"); status == 200 || len(body) == 0 {
		t.Errorf("a ban that can't be kept: %d %q", status, body)
	}
	r.serves("bounded")
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil); err != nil {
		t.Fatal(err)
	}
	p.must("/_database-hosts/detach/db-0-1")
	p.kill()
	p = r.start().ready()
	if log := p.log(); !strings.Contains(log, "event=hotrestart_opened older=false out=1") {
		t.Errorf("the next process: %s", log)
	}
}
