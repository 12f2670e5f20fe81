package discovery

import (
	"testing"
	"time"

	"cranegate/routing"
)

// TestEndpointList checks how targets are mapped to endpoints. A host with an unknown state must not get new requests.
func TestEndpointList(t *testing.T) {
	list := Snapshot{Targets: []Target{{UID: "a", State: "SERVING", Replication: "primary", BootMS: 1767225600123},
		{UID: "b", State: "DRAINING"}, {UID: "c", State: "DELETED"}, {UID: "d", State: "RESTING"}}}.EndpointList(routing.EndpointListPatch)
	for i, want := range []routing.Phase{routing.PhaseServing, routing.PhaseDraining, routing.PhaseRemoved, routing.PhaseDraining} {
		if got := list.Hosts[i].Endpoint.Phase; got != want {
			t.Errorf("entry %d: phase %v, want %v", i, got, want)
		}
	}
	if e := list.Hosts[0].Endpoint; !e.Primary || e.StartedAt != 1767225600123*time.Millisecond {
		t.Errorf("entry %+v", e)
	}
}
