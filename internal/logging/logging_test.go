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

// TestLines checks the form of a line, which operators and cranelab read, and the levels.
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
		t.Error("debug lines are logged by default")
	}
	for name, level := range map[string]slog.Level{"": slog.LevelInfo, "debug": slog.LevelDebug, "WARN": slog.LevelWarn, "loud": slog.LevelInfo} {
		if got := Level(name); got != level {
			t.Errorf("%q: %v", name, got)
		}
	}
}

// pausableWriter is a writer whose writes block while it is paused, as if the reader of the log had stopped.
type pausableWriter struct {
	mu      sync.Mutex
	resumed *sync.Cond
	paused  bool
	out     strings.Builder
}

func newPausableWriter() *pausableWriter {
	w := &pausableWriter{}
	w.resumed = sync.NewCond(&w.mu)
	return w
}

func (w *pausableWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.paused {
		w.resumed.Wait()
	}
	return w.out.Write(b)
}

func (w *pausableWriter) setPaused(paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = paused
	w.resumed.Broadcast()
}

func (w *pausableWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// TestSinkNeverBlocks pauses the underlying writer. Writes to the Sink must not block, lines up to the bounds are kept in order, and
// further lines are counted as dropped. Once the writer resumes, a line reports how many were dropped. Flush waits no longer than its
// timeout.
func TestSinkNeverBlocks(t *testing.T) {
	for name, c := range map[string]struct {
		line  string
		lines int // that fit into the queue
	}{
		"many lines":   {"short\n", maxLines},
		"larger lines": {strings.Repeat("x", 1023) + "\n", maxBytes >> 10},
	} {
		t.Run(name, func(t *testing.T) {
			out, counters := newPausableWriter(), &metrics.Counters{}
			s := NewSink(out)
			s.Count(counters)
			out.setPaused(true)
			s.Write([]byte("first\n"))
			for len(s.wake) > 0 { // the goroutine has taken the first line
				time.Sleep(time.Millisecond)
			}
			s.Flush(time.Millisecond)
			for range c.lines + 7 {
				s.Write([]byte(c.line))
			}
			dropped := counters.Get(droppedCounter)
			if dropped < 6 || dropped > 7 { // the first line may still be in the queue
				t.Errorf("%d dropped", dropped)
			}
			out.setPaused(false)
			s.Flush(time.Minute)
			lines := strings.SplitAfter(out.String(), "\n")
			if want := c.lines + 7 - int(dropped) + 2; len(lines) != want+1 || lines[0] != "first\n" || lines[1] != c.line {
				t.Errorf("%d lines, want %d", len(lines)-1, want)
			}
			if last := lines[len(lines)-2]; !strings.Contains(last, "event=log_lines_dropped count=") {
				t.Errorf("the last line is %q", last)
			}
		})
	}
}
