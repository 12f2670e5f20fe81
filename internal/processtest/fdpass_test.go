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

// TestUpgradeWithoutFDPassing upgrades to a process that can't create the socket for passed connections, as on a full disk or without
// descriptors. The old process's clients continue to be served, by it or after a reconnect, and none of them hangs.
func TestUpgradeWithoutFDPassing(t *testing.T) {
	h := newHarness(t, 256)
	old := h.start().waitReady()
	l := h.startLoad(12, 4*time.Millisecond)
	l.waitProgress()
	next := h.startStopped()
	taken := filepath.Join(h.stateDir, fmt.Sprintf("cranegate-clients.sock.%d", next.cmd.Process.Pid), "taken")
	if err := os.MkdirAll(taken, 0o700); err != nil {
		t.Fatal(err)
	}
	next.signal(syscall.SIGCONT)
	next.waitReady()
	next.waitEvent("fdpass_disabled")
	old.waitEvent("superseded")
	l.waitProgress()
	old.terminate()
	l.waitProgress()
	l.check(t, l.clients)
	if text := old.logText(); strings.Contains(text, "postgres_clients_passed=") {
		t.Error("the old process passed connections although no process receives them")
	}
}
