package rules

import (
	"fmt"
	"testing"
	"time"
)

// TestAttemptsBeginInsideTheirWindow has repeats and bounded reads that may wait for a connection: each is sent with the time
// by which it has to have begun.
func TestAttemptsBeginInsideTheirWindow(t *testing.T) {
	for _, window := range []time.Duration{150 * ms, 400 * ms, 2 * time.Second, time.Minute} {
		c := config()
		c.Classes[keyedWrite].KeyTTL = window
		b := newRig(t, c)
		b.told("a", 10*ms)
		first := b.now
		w := b.ask(keyedWrite)
		limit := first + c.Classes[keyedWrite].Deadline
		b.want("the first begins by", b.sends[0].beginBy, limit)
		b.now += 100 * ms
		b.answer(w, ResultReset, RoleUnknown, 0)
		if len(b.to(w)) != 2 {
			t.Fatalf("sent to %v", b.to(w))
		}
		b.want(fmt.Sprint("a repeat begins by, with a window of ", window), b.sends[1].beginBy, min(limit, first+window))
		b.want("and is given up at", b.sends[1].abandonAt, limit)
	}
	c := config()
	c.Guards = GuardNone
	b := newRig(t, c)
	b.told("a", 60*ms)
	q := b.ask(boundedRead)
	b.want("a read of a replica", b.to(q)[0] != "a", true)
	b.want("begins while its data is recent enough", b.sends[0].beginBy, b.now-60*ms+c.Classes[boundedRead].Bound)
	q = b.ask(anyRead)
	b.want("any read begins by its aim", b.sends[1].beginBy, b.now+c.Classes[anyRead].Aim)
}

// TestAimPastTheDeadline has a class whose aim lies far past its deadline: what is usual is at first a part of the time that
// clients wait, or each request would be hopeless and nothing ever learned.
func TestAimPastTheDeadline(t *testing.T) {
	c := config()
	c.Classes[anyRead].Aim, c.Classes[anyRead].Deadline = 10*time.Second, 200*ms
	b := newRig(t, c)
	b.told("a", 10*ms)
	if q := b.ask(anyRead); len(b.to(q)) != 1 {
		t.Errorf("sent to %v, refused %d", b.to(q), b.refused[q])
	}
}
