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

// Bounds of a Sink's queue. Lines beyond them are dropped and counted, because callers that log may hold locks and must never wait for
// the reader of the log.
const (
	maxLines = 4096
	maxBytes = 256 << 10
)

// droppedCounter is the name of the counter, and of the log event, for dropped lines.
const droppedCounter = "log_lines_dropped"

// Sink is a writer that never blocks. A separate goroutine forwards lines to the underlying writer in order. While that blocks, lines
// are queued up to a bound, and further lines are dropped. Once it accepts lines again, a line reports how many were dropped.
type Sink struct {
	out io.Writer

	mu          sync.Mutex
	lines       [][]byte // the queue
	queuedBytes int
	dropped     int64 // since the last line that reported it
	counters    *metrics.Counters
	writing     bool          // the goroutine may be writing a line
	wake        chan struct{} // signals that lines are queued; has a capacity of one
	idle        chan struct{} // closed once all lines are written; nil while no Flush waits
}

// NewSink returns a Sink that forwards to out. Its goroutine runs until the program ends.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// IgnoreSIGPIPE ignores SIGPIPE, which would end the process when the log is written to a pipe that has no reader any more. The write
// fails instead. Call it at the program's start.
func IgnoreSIGPIPE() { signal.Ignore(syscall.SIGPIPE) }

// Count sets the counters in which later dropped lines are counted.
func (s *Sink) Count(c *metrics.Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters = c
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lines) >= maxLines || s.queuedBytes+len(line) > maxBytes {
		s.dropped++
		s.counters.Add(droppedCounter, 1)
		return len(line), nil
	}
	s.lines = append(s.lines, bytes.Clone(line))
	s.queuedBytes += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Flush waits until all queued lines have been forwarded, or until the timeout.
func (s *Sink) Flush(timeout time.Duration) {
	idle := s.idleChannel()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-time.After(timeout):
	}
}

// idleChannel returns a channel that is closed once all lines are written, or nil if they already are.
func (s *Sink) idleChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lines) == 0 && !s.writing {
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	return s.idle
}

// run forwards queued lines to the underlying writer.
func (s *Sink) run() {
	for range s.wake {
		for line := s.nextLine(); line != nil; line = s.nextLine() {
			s.out.Write(line) // a failure can't be reported anywhere
		}
	}
}

// nextLine removes the oldest line from the queue and returns it. If the queue is empty, it returns a line that reports how many lines
// were dropped, if any were, and then nil.
func (s *Sink) nextLine() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = true
	switch {
	case len(s.lines) > 0:
		line := s.lines[0]
		s.lines[0] = nil
		s.lines = s.lines[1:]
		s.queuedBytes -= len(line)
		return line
	case s.dropped > 0:
		line := fmt.Appendf(nil, "time=%s level=WARN event=%s count=%d\n", time.Now().UTC().Format(timeFormat), droppedCounter, s.dropped)
		s.dropped = 0
		return line
	}
	s.lines = nil
	s.writing = false
	if s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
	return nil
}
