package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fleetFile is an operator's file that joins so many gateways and lists as many database hosts.
func fleetFile(t *testing.T, joins int) string {
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

// TestJoinsAThousand reads a list of 1,024 gateways to join whole; one of 1,025 is refused, with what an operator can do.
func TestJoinsAThousand(t *testing.T) {
	o, err := LoadOperator(fleetFile(t, 1024), nil)
	if err != nil || len(o.Fleet.Join) != 1024 || len(o.Fleet.Options(1).Members.Join) != 1024 {
		t.Fatal(err)
	}
	_, err = LoadOperator(fleetFile(t, 1025), nil)
	var many JoinLimitError
	if !errors.As(err, &many) || many.Listed != 1025 || !strings.Contains(err.Error(), "leave some out") {
		t.Error(err)
	}
}
