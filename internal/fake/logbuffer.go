package fake

import (
	"bytes"
	"sync"
)

// LogBuffer collects a log and may be read while other goroutines write to it. The zero value is empty.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns what was written so far.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
