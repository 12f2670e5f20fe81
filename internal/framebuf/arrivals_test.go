package framebuf

import (
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestCameIsEachMessagesOwn sends messages of four bytes while nobody consumes any: each keeps the time of the read that
// brought its last byte, also where that read brought others, and where a message came in two.
func TestCameIsEachMessagesOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		c, start := New(near, 1<<10), time.Now()
		if !c.ArrivedAt().IsZero() {
			t.Error("something has come")
		}
		go func() {
			for _, part := range []string{"aaaab", "bbbcc", "cc", "ddddeeee"} {
				far.Write([]byte(part))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for c.Buffered() < 20 { // as a session does while an answer is out
			if err := c.Park(time.Time{}, func() bool { return false }); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for i, want := range []time.Duration{0, 100, 200, 300, 300} {
			c.Need(4)
			if c.Skip(4); c.ArrivedAt().Sub(start) != want*time.Millisecond {
				t.Errorf("message %d came at %v, want %v ms", i, c.ArrivedAt().Sub(start), int(want))
			}
		}
		if len(c.came.reads) != 0 {
			t.Errorf("%d reads are kept with nothing unread", len(c.came.reads))
		}
		go far.Write([]byte("f"))
		if _, err := c.Need(1); err != nil {
			t.Fatal(err)
		}
		if c.Skip(1); time.Since(c.ArrivedAt()) != 0 {
			t.Errorf("a message that was waited for is %v old", time.Since(c.ArrivedAt()))
		}
	})
}

// TestCameIsBounded has a thousand reads unread: what is kept is bounded, no byte is taken for younger than it is, and none
// for older by more than an eighth of the time over which they came.
func TestCameIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		var a arrivals
		now := time.Unix(1, 0)
		start := now
		var came []time.Time
		for range 1000 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			n := 1 + rng.IntN(5)
			for range n {
				came = append(came, now)
			}
			if a.add(n, now); len(a.reads) > mostArrivals {
				t.Fatalf("%d reads are kept", len(a.reads))
			}
		}
		most := now.Sub(start) / 8
		for i, at := range came {
			a.skip(1)
			if age := at.Sub(a.last); age < 0 || age > most {
				t.Fatalf("byte %d is taken for older by %v; 0 to %v allowed", i, age, most)
			}
		}
		if len(a.reads) != 0 {
			t.Fatalf("%d reads are left over", len(a.reads))
		}
	}
}
