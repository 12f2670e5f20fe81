package routing

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"
)

// TestSnapshotIsRestored restores the snapshot of a router that has learned of a primary and of a failing
// member in another router, encoded as JSON. The second router must decide like the first one from its first
// request on.
func TestSnapshotIsRestored(t *testing.T) {
	h := newHarnessWithHistory(t)
	snapshot := h.encodedSnapshot()
	successor := newHarness(t, h.router.cfg, groupWithoutRoles...)
	successor.now = h.now + 100*ms
	successor.router.Restore(snapshot)
	restored := successor.router.Snapshot()
	if !reflect.DeepEqual(restored.Members["b"], snapshot.Members["b"]) ||
		!reflect.DeepEqual(restored.ExpectedLatency, snapshot.ExpectedLatency) {
		t.Errorf("restored %+v, want %+v", restored.Members["b"], snapshot.Members["b"])
	}
	write := successor.request(nonIdempotentWrite)
	successor.want("the first write goes to", successor.membersTried(write), "[b]")
	failing := successor.router.members["c"]
	got, want := successor.router.unhealthy(failing), h.router.unhealthy(h.router.members["c"])
	if got != want || failing.failures < maxFailures {
		t.Errorf("the failing member is unhealthy: %t, want %t", got, want)
	}
}

// TestSnapshotOfOtherClassesIsIgnored restores a snapshot under a configuration with fewer classes: it must
// be ignored.
func TestSnapshotOfOtherClassesIsIgnored(t *testing.T) {
	h := newHarnessWithHistory(t)
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	other := newHarness(t, cfg)
	other.router.Restore(h.encodedSnapshot())
	if other.router.warmThroughput.sum != 0 {
		t.Error("a snapshot with other classes was restored")
	}
	other.advance(time.Second)
}

// groupWithoutRoles is a group of three members. The list names none of them as the primary.
var groupWithoutRoles = []Endpoint{
	{Member: "a", Group: 1, Capacity: 1},
	{Member: "b", Group: 1, Capacity: 1},
	{Member: "c", Group: 1, Capacity: 1},
}

// newHarnessWithHistory returns a harness after answered requests, whose writes went to the primary b, and
// after failures of the replica c.
func newHarnessWithHistory(t *testing.T) *harness {
	t.Helper()
	cfg := testConfig()
	cfg.RoleSource = RoleSourceNone
	h := newHarness(t, cfg, groupWithoutRoles...)
	h.reportAll("b", 10*ms)
	for range 60 {
		h.endAttempt(h.request(anyRead), ResultOK, RoleReplica, h.position(10*ms))
		h.endAttempt(h.request(nonIdempotentWrite), ResultOK, RolePrimary, h.position(0))
		h.advance(10 * ms)
	}
	for h.router.members["c"].failures < maxFailures {
		id := h.request(anyRead)
		result := ResultOK
		if h.membersTried(id)[0] == "c" {
			result = ResultReset
		}
		h.endAttempt(id, result, RoleReplica, h.position(10*ms))
		h.router.ClientDisconnected(h.now, id)
	}
	return h
}

// encodedSnapshot returns the router's snapshot after encoding and decoding it.
func (h *harness) encodedSnapshot() Snapshot {
	h.Helper()
	text, err := json.Marshal(h.router.Snapshot())
	if err != nil {
		h.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		h.Fatal(err)
	}
	return snapshot
}
