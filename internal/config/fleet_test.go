package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleetTable reads the tables fleet and admin, and checks that errors describe the fault.
func TestFleetTable(t *testing.T) {
	dir := t.TempDir()
	path, key := filepath.Join(dir, "operator.toml"), filepath.Join(dir, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	sealed := "key_file = \"" + key + "\"\n"
	for text, want := range map[string]string{
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\n":                                                 "",
		"name = \"g\"\nlisten = \"0.0.0.0:7946\"\nadvertise = \"10.0.0.1:7946\"\n" + sealed:           "",
		"name = \"g\"\nlisten = \"10.0.0.1:7946\"\njoin = [\"10.0.0.2:7946\"]\n":                      "key_file is needed",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\njoin = [\"10.0.0.2:7946\"]\n":                     "key_file is needed",
		"name = \"g\"\nlisten = \"0.0.0.0:7946\"\n" + sealed:                                          "nobody can be reached",
		"listen = \"127.0.0.1:7946\"\n":                                                               "name is missing",
		"name = \"g\"\nlisten = \"here\"\n":                                                           "no address and port",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"/none\"\n":                           "reading the keys",
		"name = \"" + strings.Repeat("g", 65) + "\"\nlisten = \"127.0.0.1:7946\"\n":                   "longer than 64",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\nseeds = []\n":                                     "unknown key fleet.seeds",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\n[admin]\nlisten = \"0.0.0.0:80\"\n":               "no address and port on loopback",
		"name = \"g\"\nlisten = \"127.0.0.1:7946\"\n[admin]\nlisten = \"127.0.0.1:17\"\n" + "#" + key: "",
	} {
		if err := os.WriteFile(path, []byte("[fleet]\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := LoadOperator(path, nil)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if err == nil && (o.Fleet.Fleet != "cranegate" || o.Fleet.Advertise == "" || len(o.Fleet.Keys) > 0 != strings.Contains(text, sealed)) {
			t.Errorf("%q: %+v", text, o.Fleet)
		}
	}
}

// writeFleetFile writes an operator's file with a number of addresses to join, and returns its path.
func writeFleetFile(t *testing.T, joins int) string {
	t.Helper()
	var text strings.Builder
	text.WriteString("[fleet]\nname = \"g\"\nlisten = \"127.0.0.1:7946\"\njoin = [")
	for i := range joins {
		fmt.Fprintf(&text, "\"127.0.%d.%d:7946\", ", i/250, 2+i%250)
	}
	text.WriteString("]\n")
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestJoinLimit reads 1,024 addresses to join. One more address gives a JoinLimitError, which says what an operator can do.
func TestJoinLimit(t *testing.T) {
	o, err := LoadOperator(writeFleetFile(t, 1024), nil)
	if err != nil || len(o.Fleet.Join) != 1024 || len(o.Fleet.Options(1).Members.Join) != 1024 {
		t.Fatal(err)
	}
	_, err = LoadOperator(writeFleetFile(t, 1025), nil)
	var limit JoinLimitError
	if !errors.As(err, &limit) || limit.Listed != 1025 || !strings.Contains(err.Error(), "leave some out") {
		t.Error(err)
	}
}
