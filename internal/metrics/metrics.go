// Package metrics holds the gateway's counters by name, and writes them as text and as a line of the log.
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

// latencyBounds are the upper bounds of the latency histogram's buckets.
var latencyBounds = []time.Duration{
	10 * time.Millisecond,
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
}

// Counters are counters by name. The zero value is ready to use. All methods are safe for use by several goroutines at once.
type Counters struct {
	mu     sync.Mutex
	counts map[string]int64
}

// Add adds n to a counter. On a nil receiver it does nothing.
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

// ObserveLatency counts an answer in the histogram's bucket for its latency.
func (c *Counters) ObserveLatency(d time.Duration) {
	for _, bound := range latencyBounds {
		if d <= bound {
			c.Add(fmt.Sprintf("answered_within_%dms", bound/time.Millisecond), 1)
			return
		}
	}
	c.Add("answered_later", 1)
}

// Get returns the value of a counter, 0 if nothing was added to it.
func (c *Counters) Get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// String returns the counters as name=value, sorted by name and separated by spaces.
func (c *Counters) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, c.counts[name]))
	}
	return strings.Join(parts, " ")
}

// Log logs the counters as attributes of one event, sorted by name.
func (c *Counters) Log(event string) {
	slog.LogAttrs(context.Background(), slog.LevelInfo, event, c.attributes()...)
}

// attributes returns the counters as attributes, sorted by name.
func (c *Counters) attributes() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var attrs []slog.Attr
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		attrs = append(attrs, slog.Int64(name, c.counts[name]))
	}
	return attrs
}
