package routing

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// TestLearnedPassesOn has a router learn, of a primary, of one that is silent and of one that is cold, and hands that to
// another as text: the other decides alike from its first request on.
func TestLearnedPassesOn(t *testing.T) {
	entries := []Endpoint{{Member: "a", Group: 1, Capacity: 1}, {Member: "b", Group: 1, Capacity: 1}, {Member: "c", Group: 1, Capacity: 1}}
	c := config()
	c.RoleSource = RoleSourceNone
	b := newRig(t, c, entries...)
	b.told("b", 10*ms)
	for range 60 {
		b.answer(b.ask(anyRead), ResultOK, RoleReplica, b.at(10*ms))
		b.answer(b.ask(onceWrite), ResultOK, RolePrimary, b.at(0))
		b.pass(10 * ms)
	}
	for b.r.members["c"].failures < maxFailures { // and then it breaks
		q := b.ask(anyRead)
		result := ResultOK
		if b.to(q)[0] == "c" {
			result = ResultReset
		}
		b.answer(q, result, RoleReplica, b.at(10*ms))
		b.r.ClientDisconnected(b.now, q)
	}
	text, err := json.Marshal(b.r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var l Snapshot
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	next := newRig(t, c, entries...)
	next.now = b.now + 100*ms
	next.r.Restore(l)
	if got := next.r.Snapshot(); !reflect.DeepEqual(got.Members["b"], l.Members["b"]) || !reflect.DeepEqual(got.ExpectedLatency, l.ExpectedLatency) {
		t.Errorf("learned %+v, want %+v", got.Members["b"], l.Members["b"])
	}
	w := next.ask(onceWrite)
	next.want("a write at once goes", next.to(w), "[b]")
	if got, want := next.r.unhealthy(next.r.members["c"]), b.r.unhealthy(b.r.members["c"]); got != want || next.r.members["c"].failures < maxFailures {
		t.Errorf("the one that broke is suspect: %t, want %t", got, want)
	}
	other := newRig(t, func() Config { c := config(); c.Classes = c.Classes[:2]; return c }())
	other.r.Restore(l) // of another configuration: nothing of it is taken, and nothing breaks
	if other.r.warmThroughput.sum != 0 {
		t.Error("what was learned under other classes is taken over")
	}
	other.pass(time.Second)
}
