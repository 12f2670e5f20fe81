package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is a case's record.txt. Each line has the milliseconds since the start, who saw the event, and the event.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriterSize(f, 1<<20), f: f, start: time.Now()}, nil
}

// add writes one line. Any goroutine may call it.
func (r *record) add(who, format string, args ...any) { r.addAt(time.Now(), who, format, args...) }

// addAt writes one line for an event at a time.
func (r *record) addAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%10.1f ms  %-12s %s\n", float64(at.Sub(r.start).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add("test", format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}
