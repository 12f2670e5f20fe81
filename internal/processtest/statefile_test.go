package processtest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// stateFileName is the name of the state file in the state directory.
const stateFileName = "cranegate-state.json"

// checkServing sends one read and one write to each group and checks that they are served.
func (h *harness) checkServing(prefix string) {
	h.t.Helper()
	c, err := h.dial()
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	for n := range 4 {
		id := requestID(prefix, n)
		reply, err := c.Ask(statement(id, n%groupCount, n > 1))
		if err != nil || reply.Outcome != "served" {
			h.t.Errorf("%s: %+v, %v", id, reply, err)
		}
	}
}

// checkDetached checks that a detached host receives none of 40 requests.
func (h *harness) checkDetached(detached *host) {
	h.t.Helper()
	before := len(detached.arrivals())
	for n := range 10 {
		h.checkServing(requestID("next", n))
	}
	if n := len(detached.arrivals()) - before; n > 0 {
		h.t.Errorf("%d requests went to a detached host", n)
	}
}

// TestInvalidStateFile checks that a gateway serves although its state file is truncated, foreign, empty or missing, that it logs
// an invalid file, and that later administrative calls hold in the next process too.
func TestInvalidStateFile(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": `{"format":"cranegate-state","version":1,"seq`,
		"foreign":   `{"format":"of another program"}`,
		"empty":     "",
		"missing":   "none",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			path := filepath.Join(h.stateDir, stateFileName)
			if text != "none" {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p := h.start().waitReady()
			h.checkServing("first")
			if got := strings.Contains(p.logText(), "event=hotrestart_unconfirmed"); got != (text != "none") {
				t.Errorf("the log has the event hotrestart_unconfirmed: %t", got)
			}
			p.mustPost("/_database-hosts/detach/db-0-1")
			p.kill()
			p = h.start().waitReady()
			if !strings.Contains(p.logText(), "event=hotrestart_opened older=false out=1") {
				t.Error("the next process has not restored the detached host")
			}
			h.checkDetached(h.hosts[1])
		})
	}
}

// TestNoStateDirectory checks that a gateway without a usable state directory serves and logs it, that administrative calls hold in
// it, and that an upgrade works, although it passes no state on.
func TestNoStateDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	readOnly := t.TempDir()
	os.Chmod(readOnly, 0o500) // has no effect on root
	for name, dir := range map[string]string{
		"unset":      "",
		"missing":    filepath.Join(t.TempDir(), "none"),
		"a file":     file,
		"procfs":     "/proc/self",
		"unwritable": readOnly,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 256)
			p := h.start(dir).waitReady()
			h.checkServing("first")
			if !strings.Contains(p.logText(), "event=hotrestart_disabled") && (name != "unwritable" || os.Geteuid() != 0) {
				t.Error("the event hotrestart_disabled is not logged")
			}
			p.mustPost("/_database-hosts/detach/db-0-1")
			h.checkDetached(h.hosts[1])
			p.mustPost("/_database-hosts/attach/db-0-1")
			next := h.start(dir).waitReady()
			p.terminate()
			h.checkServing("after")
			next.terminate()
		})
	}
}

// TestFileSizeLimit sets a process's file size limit to zero: a detach call that can't be stored fails, but still takes the host out of
// service in this process, which continues to run. After the limit is restored the same call succeeds and holds in the next process.
func TestFileSizeLimit(t *testing.T) {
	h := newHarness(t, 256)
	p := h.start().waitReady()
	pid := p.cmd.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}, &before); err != nil {
		t.Fatal(err)
	}
	if status, body := p.callAdmin("POST", "/_database-hosts/detach/db-0-1"); status == 200 || len(body) == 0 {
		t.Errorf("a detach call that can't be stored: %d %q", status, body)
	}
	h.checkServing("bounded")
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil); err != nil {
		t.Fatal(err)
	}
	p.mustPost("/_database-hosts/detach/db-0-1")
	p.kill()
	p = h.start().waitReady()
	if log := p.logText(); !strings.Contains(log, "event=hotrestart_opened older=false out=1") {
		t.Errorf("the next process has not restored the detached host: %s", log)
	}
}
