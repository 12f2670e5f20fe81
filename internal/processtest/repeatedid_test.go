package processtest

import (
	"testing"
)

// TestRepeatedIDAcrossUpgrade sends a write to the older process and its id again to the newer one, while both run and after the older
// one has ended; and the other way round. No id may run twice: each process knew only the ids of its own requests.
func TestRepeatedIDAcrossUpgrade(t *testing.T) {
	h := newHarness(t, 256, withLongTimeouts)
	old := h.start().waitReady()
	write := func(id string) string {
		t.Helper()
		c, err := h.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		reply, err := c.Ask(longTimeoutStatement(id, 0, true))
		if err != nil {
			t.Fatal(err)
		}
		return reply.Outcome
	}
	write("before")
	next := h.start().waitReady()
	old.waitEvent("superseded")
	write("overlap")
	write("before")
	old.terminate()
	write("before")
	write("overlap")
	next.terminate()
	h.start().waitReady()
	write("overlap")
	for _, id := range []string{"before", "overlap"} {
		if n := h.executions(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if outcome := write("another"); outcome != "served" {
		t.Errorf("another id: %s", outcome)
	}
}
