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
)

// command runs the program's command line and gives its exit code and what it says.
func command(t *testing.T, env string, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=", "PROXY_ADMIN="+env)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

// TestCommands makes each call on the command line, with a yes, with a no and with nobody there.
func TestCommands(t *testing.T) {
	w := start(t, nil)
	foreign := listen(t)
	go http.Serve(foreign, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(rw, strings.Repeat("x", maxResponseBytes+1))
	}))
	for _, c := range []struct {
		env, args string
		code      int
		says      string
	}{
		{w.admin, "ready", 0, "yes\n"},
		{"", "ready --admin " + w.admin, 0, "yes\n"},
		{w.admin, "host detach db-1", 0, "yes\n"},
		{w.admin, "host detach nobody", 1, `no database host has the id "nobody"`},
		{w.admin, "host detach ..", 1, `no database host has the id ".."`},
		{w.admin, "host attach a/b%20?c", 1, `no database host has the id "a/b%20?c"`},
		{w.admin, "host attach db-1", 0, "yes\n"},
		{w.admin, "lameduck on", 0, "yes\n"},
		{w.admin, "lameduck off", 0, "yes\n"},
		{w.admin, "members", 1, "its file has no [fleet]"},
		{w.admin, "ready --admin " + free(t), 2, "no gateway answers at"},
		{foreign.Addr().String(), "ready", 2, "is longer than"},
		{"no address", "ready", 2, "no gateway answers at"},
		{"", "ready", 80, "no gateway is named"},
		{w.admin, "host detach", 80, "<id>"},
	} {
		if code, text := command(t, c.env, strings.Fields(c.args)...); code != c.code || !strings.Contains(text, c.says) {
			t.Errorf("%s: exit %d, %q; want %d, %q", c.args, code, text, c.code, c.says)
		}
	}
}

// TestOperatorsAddress acts at the address that an operator's file names.
func TestOperatorsAddress(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	admin := free(t)
	if err := os.WriteFile(path, fmt.Appendf(nil, "[admin]\nlisten = %q\n", admin), 0o600); err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, out: &output{}}
	w.launch(exec.Command(program, "-operator", path))
	w.until("a yes", func() bool { code, _ := command(t, "", "ready", "--operator", path); return code == 0 })
	if code, text := command(t, "", "host", "detach", "--operator", path, "db-1"); code != 1 || !strings.Contains(text, "db-1") {
		t.Errorf("a host of no fleet: exit %d, %q", code, text)
	}
	if call("GET", admin, "/counters") != 200 {
		t.Error("no counters")
	}
	if code, text := command(t, "", "lameduck", "on", "--operator", path); code != 0 {
		t.Errorf("lameduck: exit %d, %q", code, text)
	}
}
