// Package metrics counts what the gateway takes in, sends and answers.
package metrics

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// bounds are the upper ends of the classes of answer times.
var bounds = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second}

// Counters are numbers by name. The zero value is ready; all calls are safe from any goroutine.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Add raises a counter.
func (c *Counters) Add(name string, n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[name] += n
}

// Took counts an answer by the time it took.
func (c *Counters) ObserveLatency(d time.Duration) {
	for _, b := range bounds {
		if d <= b {
			c.Add(fmt.Sprintf("answered_within_%dms", b/time.Millisecond), 1)
			return
		}
	}
	c.Add("answered_later", 1)
}

// Get returns one counter.
func (c *Counters) Get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// String lists the counters in order of their names.
func (c *Counters) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, c.counts[name]))
	}
	return strings.Join(parts, " ")
}

// Log writes the counters as one line, in order of their names.
func (c *Counters) Log(event string) {
	slog.LogAttrs(context.Background(), slog.LevelInfo, event, c.attributes()...)
}

// attributes are the counters for a line of the log.
func (c *Counters) attributes() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []slog.Attr
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		all = append(all, slog.Int64(name, c.counts[name]))
	}
	return all
}
