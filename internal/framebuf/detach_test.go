package framebuf

import (
	"bytes"
	"net"
	"testing"
)

// TestDetach reads messages of which a caller keeps the buffer. Later reads must not change the bytes that were kept, and the buffer's
// bytes must return to the budget, as the caller reserves its own.
func TestDetach(t *testing.T) {
	const budgetBytes = 1 << 20
	for _, c := range []struct {
		name            string
		message, behind int
		want            bool
	}{
		{"long", 100 << 10, 0, true},
		{"short", 100, 0, false},
		{"long, with the next message behind it", 100 << 10, 10, false},
	} {
		near, far := net.Pipe()
		conn, budget := New(near, 200<<10), NewBudget(budgetBytes)
		conn.Charge(budget)
		sent := bytes.Repeat([]byte("a"), c.message+c.behind)
		go func() {
			far.Write(sent)
			far.Write(bytes.Repeat([]byte("b"), 100<<10))
		}()
		conn.Need(c.message + c.behind)
		b, err := conn.Need(c.message)
		if err != nil {
			t.Fatal(err)
		}
		b = b[:c.message]
		conn.Skip(c.message)
		if got := conn.Detach(c.message); got != c.want {
			t.Errorf("%s: detached %t", c.name, got)
		} else if got {
			if conn.Need(100 << 10); !bytes.Equal(b, sent) {
				t.Errorf("%s: the bytes have changed", c.name)
			}
		}
		if conn.Release(); !budget.Reserve(budgetBytes) {
			t.Errorf("%s: the budget has lost bytes", c.name)
		}
		near.Close()
		far.Close()
	}
}
