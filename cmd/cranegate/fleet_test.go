package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestFleetOfTwo starts two gateways of one fleet and shows their members on the command line; then one leaves.
func TestFleetOfTwo(t *testing.T) {
	dir := t.TempDir()
	addresses := []string{freeAddress(t), freeAddress(t)}
	var cmds []*exec.Cmd
	var files []string
	for i := range 2 {
		path := filepath.Join(dir, fmt.Sprintf("g%d.toml", i))
		text := fmt.Sprintf("[admin]\nlisten = %q\n[fleet]\nname = \"g%d\"\nzone = \"z\"\nlisten = %q\njoin = [%q]\n", freeAddress(t), i, addresses[i], addresses[1-i])
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, path)
		if out, err := exec.Command(program, "check", path).CombinedOutput(); err != nil || !strings.Contains(string(out), "fleet on") {
			t.Fatalf("check: %v, %s", err, out)
		}
		cmd := exec.Command(program, "run", "--operator", path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { kill(cmd) })
		cmds = append(cmds, cmd)
	}
	h := &harness{t: t}
	h.until("both know each other", func() bool {
		for i, f := range files {
			out, err := exec.Command(program, "members", "--operator", f).CombinedOutput()
			if text := string(out); err != nil || !strings.Contains(text, fmt.Sprintf("g%d    z     %s  alive", 1-i, addresses[1-i])) || !strings.Contains(text, "2 gateways are counted on") {
				return false
			}
		}
		return true
	})
	cmds[1].Process.Signal(syscall.SIGTERM)
	h.until("one has left", func() bool {
		out, err := exec.Command(program, "members", "--json", "--operator", files[0]).CombinedOutput()
		return err == nil && strings.Contains(string(out), `"state":"left"`)
	})
	if err := os.WriteFile(files[0], []byte("[fleet]\nname = 7\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(program, "check", files[0]).CombinedOutput(); err == nil || !strings.Contains(string(out), "name") {
		t.Errorf("check accepts a faulty file: %s", out)
	}
	if out, err := exec.Command(program, "members").CombinedOutput(); err == nil {
		t.Errorf("members succeeds without an address: %s", out)
	}
}
