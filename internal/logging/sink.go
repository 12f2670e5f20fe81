package logging

import (
	"bytes"
	"fmt"
	"io"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cranegate/internal/metrics"
)

// What may wait to be written. Past it lines are dropped and counted: whoever logs holds the program's actors and locks, and must
// never wait for whoever reads the log.
const (
	mostLines = 4096
	mostBytes = 256 << 10
)

// droppedCounter counts the lines that were dropped.
const droppedCounter = "log_lines_dropped"

// Sink is a writer that never waits. A goroutine of its own passes on what is written, in order. Where the other end does not take
// it, lines wait up to a bound and are dropped past that; once it does, a line tells how many are missing.
type Sink struct {
	out io.Writer

	mu       sync.Mutex
	lines    [][]byte // that wait
	bytes    int      // of these
	dropped  int64    // since the last line that told of it
	counters *metrics.Counters
	writing  bool          // the goroutine has a line in hand
	wake     chan struct{} // holds one: there is something to write
	idle     chan struct{} // closed once all is written; nil while nobody waits for that
}

// NewSink returns a sink before a writer. Its goroutine lives as long as the program.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Survive has the process live on where a write of the log to a pipe that nobody reads any more would end it: such a write fails
// instead. It is for the program's start.
func Survive() { signal.Ignore(syscall.SIGPIPE) }

// Count has dropped lines counted from now on.
func (s *Sink) Count(c *metrics.Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters = c
}

// Write takes a line. It never waits, and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lines) >= mostLines || s.bytes+len(line) > mostBytes {
		s.dropped++
		s.counters.Add(droppedCounter, 1)
		return len(line), nil
	}
	s.lines = append(s.lines, bytes.Clone(line))
	s.bytes += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Flush waits until all that was written has been passed on, but no longer than a time.
func (s *Sink) Flush(most time.Duration) {
	s.mu.Lock()
	if len(s.lines) == 0 && !s.writing {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(most):
	}
}

// run passes lines on.
func (s *Sink) run() {
	for range s.wake {
		for line := s.next(); line != nil; line = s.next() {
			s.out.Write(line) // what it says of a failure can be told nowhere
		}
	}
}

// next takes the oldest line, or says how many were dropped once all others are written; nil: there is nothing to write.
func (s *Sink) next() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = true
	switch {
	case len(s.lines) > 0:
		line := s.lines[0]
		s.lines[0] = nil
		s.lines = s.lines[1:]
		s.bytes -= len(line)
		return line
	case s.dropped > 0:
		line := fmt.Appendf(nil, "time=%s level=WARN event=%s count=%d\n", time.Now().UTC().Format(timeForm), droppedCounter, s.dropped)
		s.dropped = 0
		return line
	}
	s.lines, s.writing = nil, false
	if s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
	return nil
}
