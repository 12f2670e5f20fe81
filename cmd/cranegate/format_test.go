package main

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateGolden writes the golden files anew: go test ./cmd/cranegate -run 'TestHelp|TestCounterNames' -update. What they hold is an interface of
// the program; a change of it is told in CHANGELOG.md.
var updateGolden = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares a text with a file of testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("%s (%v): got\n%s\nwant\n%s", name, err, got, want)
	}
}

// TestHelp pins the commands, flags and arguments of the command line, and their help.
func TestHelp(t *testing.T) {
	var all strings.Builder
	for _, args := range []string{"--help", "run --help", "check --help", "members --help", "ready --help", "host --help", "host detach --help",
		"host attach --help", "lameduck --help", "lameduck on --help", "lameduck off --help"} {
		code, text := runCommand(t, "", strings.Fields(args)...)
		if code != 0 {
			t.Errorf("%s: exit %d", args, code)
		}
		all.WriteString("$ cranegate " + args + "\n" + text + "\n")
	}
	compareGolden(t, "help.txt", all.String())
}

// goldenHandoffState is what one process tells the next.
const goldenHandoffState = `{"lists":{"postgres":{"rev":1,"all":true,"targets":[{"uid":"db-1","endpoint":"127.0.0.1:1","az":"z","pod_group":2,` +
	`"state":"SERVING","capacity_hint":3,"boot_ms":4,"replication":"primary"}]}},"starts":{"postgres":{"db-1":"2026-12-03T07:00:00Z"}},"learned":{}}`

// TestHandoffStateFormat pins what one process tells the next: processes of other versions read and write it.
func TestHandoffStateFormat(t *testing.T) {
	var k handoffState
	if err := json.Unmarshal([]byte(goldenHandoffState), &k); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(k); err != nil || string(got) != goldenHandoffState {
		t.Errorf("%s, %v", got, err)
	}
}

// TestCounterNames pins the names of /counters: each stands in the source still.
func TestCounterNames(t *testing.T) {
	source := productSource(t)
	names, err := os.ReadFile(filepath.Join("testdata", "counters.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for name := range strings.Lines(string(names)) {
		if name = strings.TrimSpace(name); !strings.Contains(source, `"`+name+`"`) {
			t.Errorf("no counter is called %s, or begins so", name)
		}
	}
}

// productSource is the source of the program, without tests.
func productSource(t *testing.T) string {
	t.Helper()
	var source strings.Builder
	for _, root := range []string{"../../routing", "../../internal", "."} {
		err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			source.Write(text)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return source.String()
}
