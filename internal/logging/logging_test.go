package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegate/internal/metrics"
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

// gate is a reader of the log that can stop.
type gate struct {
	mu   sync.Mutex
	open *sync.Cond
	shut bool
	out  strings.Builder
}

func newGate() *gate { g := &gate{}; g.open = sync.NewCond(&g.mu); return g }

func (g *gate) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.shut {
		g.open.Wait()
	}
	return g.out.Write(b)
}

func (g *gate) set(shut bool) { g.mu.Lock(); defer g.mu.Unlock(); g.shut = shut; g.open.Broadcast() }

func (g *gate) String() string { g.mu.Lock(); defer g.mu.Unlock(); return g.out.String() }

// TestSinkNeverWaits stops the reader: writes go on at once, up to the bounds all lines are kept in order, past them they are
// counted; once it reads again it is told how many are missing. Flush waits no longer than it may.
func TestSinkNeverWaits(t *testing.T) {
	for name, c := range map[string]struct {
		line  string
		lines int // that fit
	}{
		"many lines":   {"short\n", mostLines},
		"larger lines": {strings.Repeat("x", 1023) + "\n", mostBytes >> 10},
	} {
		t.Run(name, func(t *testing.T) {
			g, counters := newGate(), &metrics.Counters{}
			s := NewSink(g)
			s.Count(counters)
			g.set(true)
			s.Write([]byte("first\n"))
			for len(s.wake) > 0 { // it has the first line in hand
				time.Sleep(time.Millisecond)
			}
			s.Flush(time.Millisecond)
			for range c.lines + 7 {
				s.Write([]byte(c.line))
			}
			dropped := counters.Get(droppedCounter)
			if dropped < 6 || dropped > 7 { // the first line may have gone by then or not
				t.Errorf("%d dropped", dropped)
			}
			g.set(false)
			s.Flush(time.Minute)
			lines := strings.SplitAfter(g.String(), "\n")
			if want := c.lines + 7 - int(dropped) + 2; len(lines) != want+1 || lines[0] != "first\n" || lines[1] != c.line {
				t.Errorf("%d lines, want %d", len(lines)-1, want)
			}
			if last := lines[len(lines)-2]; !strings.Contains(last, "event=log_lines_dropped count=") {
				t.Errorf("the last line is %q", last)
			}
		})
	}
}
