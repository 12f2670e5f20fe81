package override

import (
	"errors"
	"testing"
	"time"

	"cranegate/routing"
)

const second = time.Second

func endpointList(kind routing.EndpointListKind, entries ...routing.Endpoint) routing.EndpointList {
	return routing.EndpointList{Kind: kind, Endpoints: entries}
}

// phase is what the module is told last of a host.
func onlyPhase(t *testing.T, got []routing.Endpoint) routing.Phase {
	t.Helper()
	if len(got) != 1 {
		t.Fatalf("the module is told %+v, want one entry", got)
	}
	return got[0].Phase
}

// TestDetachOverridesDiscovery takes a host out and has discovery say all that it can: new starts, a drain, that it is
// gone, and that it is back under the same id.
func TestDetachOverridesDiscovery(t *testing.T) {
	var h Overrides
	h.Apply(0, endpointList(routing.EndpointListComplete, routing.Endpoint{Member: "a"}, routing.Endpoint{Member: "b"}))
	got, err := h.Detach(second, "a")
	if err != nil || onlyPhase(t, got) != routing.PhaseDraining {
		t.Fatal(got, err)
	}
	for i, l := range []routing.EndpointList{
		endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a"}),
		endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a", StartedAt: 9 * second}),
		endpointList(routing.EndpointListComplete, routing.Endpoint{Member: "b"}),
		endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a", Phase: routing.PhaseRemoved}),
		endpointList(routing.EndpointListComplete, routing.Endpoint{Member: "a", StartedAt: 20 * second}),
	} {
		for _, e := range h.Apply(time.Duration(10+i)*second, l).Endpoints {
			if e.Member == "a" && e.Phase == routing.PhaseServing || e.Member == "b" && e.Phase != routing.PhaseServing {
				t.Errorf("list %d: the module is told %+v", i, e)
			}
		}
	}
	h.Detach(30*second, "a") // one call back is enough for two calls out
	if got, err = h.Attach(40*second, "a"); err != nil || onlyPhase(t, got) != routing.PhaseServing || got[0].StartedAt != 40*second {
		t.Errorf("called back: %+v, %v; want it serving, as started then", got, err)
	}
	if got, err = h.Attach(50*second, "a"); err != nil || got != nil {
		t.Errorf("called back twice: %+v, %v; want nothing", got, err)
	}
	later := h.Apply(60*second, endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a", StartedAt: 55 * second})).Endpoints[0]
	if older := h.Apply(61*second, endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a"})).Endpoints[0]; later.StartedAt != 55*second ||
		older.StartedAt != 40*second {
		t.Errorf("started at %v and %v, want a later start as told, and an older one not before the call back", later.StartedAt, older.StartedAt)
	}
}

// TestAttachKeepsDiscoveryDrain guards discovery's own drain: being called back does not undo it, nor does an old list.
func TestAttachKeepsDiscoveryDrain(t *testing.T) {
	var h Overrides
	h.Apply(0, endpointList(routing.EndpointListComplete, routing.Endpoint{Member: "a"}))
	h.Detach(0, "a")
	h.Apply(0, endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a", Phase: routing.PhaseDraining}))
	h.Apply(0, endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a"}))
	if got, err := h.Attach(second, "a"); err != nil || onlyPhase(t, got) != routing.PhaseDraining {
		t.Error(got, err)
	}
	h.Apply(0, endpointList(routing.EndpointListPatch, routing.Endpoint{Member: "a", StartedAt: 2 * second}))
	if got := h.current("a"); onlyPhase(t, got) != routing.PhaseServing {
		t.Errorf("a new process is told as %+v", got)
	}
}

// TestUnknownHosts holds calls against ids that nobody has, hosts that have gone for good, and one that comes later.
func TestUnknownHosts(t *testing.T) {
	var h Overrides
	var unknown UnknownHostError
	if _, err := h.Detach(0, "a"); !errors.As(err, &unknown) {
		t.Error("nobody is known, and yet:", err)
	}
	if got, err := h.DetachUnlisted(0, "a"); err != nil || got != nil {
		t.Error("held ahead:", got, err)
	}
	if e := h.Apply(0, endpointList(routing.EndpointListComplete, routing.Endpoint{Member: "a"})).Endpoints[0]; e.Phase != routing.PhaseDraining {
		t.Errorf("it came as %+v", e)
	}
	h.Apply(0, endpointList(routing.EndpointListComplete))
	if _, err := h.Attach(second, "a"); err != nil {
		t.Error("one that is out and off the list:", err)
	}
	h.Apply(0, endpointList(routing.EndpointListComplete, routing.Endpoint{Member: "b"}))
	h.Apply(10*second, endpointList(routing.EndpointListComplete))
	if _, err := h.Detach(20*second, "b"); err != nil {
		t.Error("off the list of late, and maybe still in use:", err)
	}
	h.Attach(30*second, "b")
	h.Apply(100*second, endpointList(routing.EndpointListComplete))
	if _, err := h.Detach(101*second, "b"); !errors.As(err, &unknown) || len(h.listed)+len(h.attachedAt) > 0 {
		t.Error("gone for good:", err, h.listed, h.attachedAt)
	}
}
