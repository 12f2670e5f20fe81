package framebuf

import (
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestArrivedAtPerMessage sends messages of four bytes while none is consumed. Each must have the time of the read that returned
// its last byte, also if that read returned other messages or if the message took two reads.
func TestArrivedAtPerMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		c := New(near, 1<<10)
		start := time.Now()
		if !c.ArrivedAt().IsZero() {
			t.Error("a message has arrived before any was sent")
		}
		go func() {
			for _, part := range []string{"aaaab", "bbbcc", "cc", "ddddeeee"} {
				far.Write([]byte(part))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for c.Buffered() < 20 { // as a session does while it waits for an answer
			if err := c.Park(time.Time{}, func() bool { return false }); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for i, want := range []time.Duration{0, 100, 200, 300, 300} {
			c.Need(4)
			c.Skip(4)
			if c.ArrivedAt().Sub(start) != want*time.Millisecond {
				t.Errorf("message %d arrived at %v, want %v ms", i, c.ArrivedAt().Sub(start), int(want))
			}
		}
		if len(c.arrivals.reads) != 0 {
			t.Errorf("%d reads are recorded, though no bytes are unread", len(c.arrivals.reads))
		}
		go far.Write([]byte("f"))
		if _, err := c.Need(1); err != nil {
			t.Fatal(err)
		}
		c.Skip(1)
		if age := time.Since(c.ArrivedAt()); age != 0 {
			t.Errorf("a message that was waited for is %v old", age)
		}
	})
}

// TestArrivalsAreBounded has the bytes of a thousand reads unread. The number of recorded reads must be bounded, no byte may seem
// younger than it is, and none may seem older by more than an eighth of the time over which the bytes arrived.
func TestArrivalsAreBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		var a arrivals
		now := time.Unix(1, 0)
		start := now
		var arrivedAt []time.Time
		for range 1000 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			n := 1 + rng.IntN(5)
			for range n {
				arrivedAt = append(arrivedAt, now)
			}
			a.add(n, now)
			if len(a.reads) > maxArrivals {
				t.Fatalf("%d reads are recorded", len(a.reads))
			}
		}
		maxAge := now.Sub(start) / 8
		for i, at := range arrivedAt {
			a.consume(1)
			if age := at.Sub(a.lastConsumed); age < 0 || age > maxAge {
				t.Fatalf("byte %d seems older by %v; 0 to %v allowed", i, age, maxAge)
			}
		}
		if len(a.reads) != 0 {
			t.Fatalf("%d reads are left over", len(a.reads))
		}
	}
}
