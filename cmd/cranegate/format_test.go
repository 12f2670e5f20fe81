package main

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateGolden rewrites the golden file: go test ./cmd/cranegate -run TestHelp -update. The golden file pins an interface of the program;
// each change of it belongs in CHANGELOG.md.
var updateGolden = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares a text with a file in testdata.
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

// goldenHandoffState is a state as one process sends it to a newer one.
const goldenHandoffState = `{"lists":{"postgres":{"rev":1,"all":true,"targets":[{"uid":"db-1","endpoint":"127.0.0.1:1","az":"z","pod_group":2,` +
	`"state":"SERVING","capacity_hint":3,"boot_ms":4,"replication":"primary"}]}},"starts":{"postgres":{"db-1":"2026-12-03T07:00:00Z"}},"learned":{}}`

// TestHandoffStateFormat pins the format of the state that one process sends to a newer one, because processes of other versions read
// and write it.
func TestHandoffStateFormat(t *testing.T) {
	var k handoffState
	if err := json.Unmarshal([]byte(goldenHandoffState), &k); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(k); err != nil || string(got) != goldenHandoffState {
		t.Errorf("%s, %v", got, err)
	}
}

// TestCounterNames checks that each name in testdata/counters.txt, or part of a name, is still in the source.
func TestCounterNames(t *testing.T) {
	source := productSource(t)
	names, err := os.ReadFile(filepath.Join("testdata", "counters.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for name := range strings.Lines(string(names)) {
		if name = strings.TrimSpace(name); !strings.Contains(source, `"`+name+`"`) {
			t.Errorf("the source has no counter name, or part of one, %s", name)
		}
	}
}

// productSource returns the source of the program, without tests.
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
