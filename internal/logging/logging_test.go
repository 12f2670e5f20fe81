package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"testing"
)

// TestLines holds the form of a line, which operators and cranelab read, and the levels.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	defer Use(New(&out, Level("")))()
	slog.Debug("attempt", "id", "a")
	slog.Warn("connect_failed", "host", "db-1", "error", errors.New("connection refused"))
	want := `^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z level=WARN event=connect_failed host=db-1 error="connection refused"\n$`
	if !regexp.MustCompile(want).MatchString(out.String()) {
		t.Errorf("%q", out.String())
	}
	if Debugs() {
		t.Error("debug lines by default")
	}
	for name, level := range map[string]slog.Level{"": slog.LevelInfo, "debug": slog.LevelDebug, "WARN": slog.LevelWarn, "loud": slog.LevelInfo} {
		if got := Level(name); got != level {
			t.Errorf("%q: %v", name, got)
		}
	}
}
