package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cranegate/internal/experiment"
)

// run runs the program and returns its output and exit code.
func run(t *testing.T, program string, args ...string) (out string, code int) {
	t.Helper()
	text, err := exec.Command(program, args...).CombinedOutput()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		return string(text), exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return string(text), 0
}

// TestCommandLine runs an experiment, saves its result, draws the report, and checks the exit code of several invalid calls.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "cranelab")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	if out, code := run(t, program, "list"); code != 0 || !strings.Contains(out, "zone-loss-silent") {
		t.Errorf("list: %d\n%s", code, out)
	}
	results := filepath.Join(dir, "results")
	out, code := run(t, program, "run", "zone-slow", "--seeds", "1", "--out", results)
	text, err := os.ReadFile(filepath.Join(results, "zone-slow", "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	var r experiment.Result
	if err := json.Unmarshal(text, &r); err != nil || len(r.Claims) < 10 || len(r.Figures) == 0 || len(r.Series) == 0 {
		t.Errorf("result.json: %v %+v", err, r)
	}
	if want := map[bool]int{true: 0, false: 1}[r.Holds()]; code != want {
		t.Errorf("exit %d, want %d\n%s", code, want, out)
	}
	if out, code := run(t, program, "report", results); code != 0 {
		t.Errorf("report: %d\n%s", code, out)
	}
	for name, want := range map[string]string{"index.html": "zone-slow", "zone-slow/worth.svg": "<svg"} {
		if text, err := os.ReadFile(filepath.Join(results, name)); err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s: %v, without %q", name, err, want)
		}
	}
	for _, args := range [][]string{{"run", "no-such"}, {"run", "zone-slow", "--seeds", "0"}, {"report", t.TempDir()}, {"fly"},
		{"run", "zone-slow", "--overprovision", "0.2"}} {
		if out, code := run(t, program, args...); code != 2 || strings.Count(out, "\n") != 1 {
			t.Errorf("%v: exit %d\n%s", args, code, out)
		}
	}
}
