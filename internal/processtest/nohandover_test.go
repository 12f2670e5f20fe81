package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestUpgradeWithoutHandOver has the new process find no place for the socket by which clients pass, as on a full disk or without
// descriptors. The old one's clients go on being served, there or by connecting anew, and none of them is kept waiting.
func TestUpgradeWithoutHandOver(t *testing.T) {
	r := newRig(t, 256)
	old := r.start().ready()
	l := r.newLoad(12, 4*time.Millisecond)
	l.goesOn()
	next := r.startStopped()
	taken := filepath.Join(r.dir, fmt.Sprintf("cranegate-clients.sock.%d", next.cmd.Process.Pid), "taken")
	if err := os.MkdirAll(taken, 0o700); err != nil {
		t.Fatal(err)
	}
	next.signal(syscall.SIGCONT)
	next.ready()
	next.says("fdpass_disabled")
	old.says("superseded")
	l.goesOn()
	old.term()
	l.goesOn()
	l.judge(t, l.clients)
	if text := old.log(); strings.Contains(text, "postgres_clients_passed=") {
		t.Error("the old process has passed clients on, though nobody takes them")
	}
}
