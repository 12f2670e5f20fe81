package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cranegate/internal/fake"
)

// runCommand runs the program with a PROXY_ADMIN and returns its exit code and output.
func runCommand(t *testing.T, adminAddress string, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=", "PROXY_ADMIN="+adminAddress)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

// TestCommands runs each command with calls that are accepted, that are rejected, and that reach no gateway.
func TestCommands(t *testing.T) {
	h := startGateway(t, nil)
	foreign := listenLoopback(t)
	go http.Serve(foreign, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(rw, strings.Repeat("x", maxResponseBytes+1))
	}))
	for _, c := range []struct {
		adminAddress, args string
		code               int
		output             string
	}{
		{h.adminAddress, "ready", 0, "yes\n"},
		{"", "ready --admin " + h.adminAddress, 0, "yes\n"},
		{h.adminAddress, "host detach db-1", 0, "yes\n"},
		{h.adminAddress, "host detach nobody", 1, `no database host has the id "nobody"`},
		{h.adminAddress, "host detach ..", 1, `no database host has the id ".."`},
		{h.adminAddress, "host attach a/b%20?c", 1, `no database host has the id "a/b%20?c"`},
		{h.adminAddress, "host attach db-1", 0, "yes\n"},
		{h.adminAddress, "lameduck on", 0, "yes\n"},
		{h.adminAddress, "lameduck off", 0, "yes\n"},
		{h.adminAddress, "members", 1, "its file has no [fleet]"},
		{h.adminAddress, "ready --admin " + freeAddress(t), 2, "no gateway answers at"},
		{foreign.Addr().String(), "ready", 2, "is longer than"},
		{"no address", "ready", 2, "no gateway answers at"},
		{"", "ready", 80, "no gateway is named"},
		{h.adminAddress, "host detach", 80, "<id>"},
	} {
		if code, text := runCommand(t, c.adminAddress, strings.Fields(c.args)...); code != c.code || !strings.Contains(text, c.output) {
			t.Errorf("%s: exit %d, %q; want %d, %q", c.args, code, text, c.code, c.output)
		}
	}
}

// TestOperatorAdminAddress makes calls at the address that an operator's file names.
func TestOperatorAdminAddress(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	admin := freeAddress(t)
	if err := os.WriteFile(path, fmt.Appendf(nil, "[admin]\nlisten = %q\n", admin), 0o600); err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, log: &fake.LogBuffer{}}
	h.launch(exec.Command(program, "-operator", path))
	h.until("a yes", func() bool { code, _ := runCommand(t, "", "ready", "--operator", path); return code == 0 })
	if code, text := runCommand(t, "", "host", "detach", "--operator", path, "db-1"); code != 1 || !strings.Contains(text, "db-1") {
		t.Errorf("detaching a host that no fleet has: exit %d, %q", code, text)
	}
	if adminStatus("GET", admin, "/counters") != 200 {
		t.Error("/counters was not served")
	}
	if code, text := runCommand(t, "", "lameduck", "on", "--operator", path); code != 0 {
		t.Errorf("lameduck: exit %d, %q", code, text)
	}
}
