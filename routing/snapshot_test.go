package routing

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// TestSnapshotIsRestored has a router learn, of a primary, of one that is silent and of one that is cold, and hands that to
// another as text: the other decides alike from its first request on.
func TestSnapshotIsRestored(t *testing.T) {
	endpoints := []Endpoint{{Member: "a", Group: 1, Capacity: 1}, {Member: "b", Group: 1, Capacity: 1}, {Member: "c", Group: 1, Capacity: 1}}
	cfg := testConfig()
	cfg.RoleSource = RoleSourceNone
	h := newHarness(t, cfg, endpoints...)
	h.reportAll("b", 10*ms)
	for range 60 {
		h.endAttempt(h.request(anyRead), ResultOK, RoleReplica, h.position(10*ms))
		h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
		h.advance(10 * ms)
	}
	for h.router.members["c"].failures < maxFailures { // and then it breaks
		id := h.request(anyRead)
		result := ResultOK
		if h.membersTried(id)[0] == "c" {
			result = ResultReset
		}
		h.endAttempt(id, result, RoleReplica, h.position(10*ms))
		h.router.ClientDisconnected(h.now, id)
	}
	text, err := json.Marshal(h.router.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	successor := newHarness(t, cfg, endpoints...)
	successor.now = h.now + 100*ms
	successor.router.Restore(snapshot)
	if got := successor.router.Snapshot(); !reflect.DeepEqual(got.Members["b"], snapshot.Members["b"]) || !reflect.DeepEqual(got.ExpectedLatency, snapshot.ExpectedLatency) {
		t.Errorf("learned %+v, want %+v", got.Members["b"], snapshot.Members["b"])
	}
	write := successor.request(nonIdempotentWrite)
	successor.want("a write at once goes", successor.membersTried(write), "[b]")
	if got, want := successor.router.unhealthy(successor.router.members["c"]), h.router.unhealthy(h.router.members["c"]); got != want || successor.router.members["c"].failures < maxFailures {
		t.Errorf("the one that broke is suspect: %t, want %t", got, want)
	}
	other := newHarness(t, func() Config { cfg := testConfig(); cfg.Classes = cfg.Classes[:2]; return cfg }())
	other.router.Restore(snapshot) // of another configuration: nothing of it is taken, and nothing breaks
	if other.router.warmThroughput.sum != 0 {
		t.Error("what was learned under other classes is taken over")
	}
	other.advance(time.Second)
}
