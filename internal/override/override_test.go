package override

import (
	"errors"
	"testing"
	"time"

	"cranegate/routing"
)

const second = time.Second

func complete(endpoints ...routing.Endpoint) routing.EndpointList {
	return routing.EndpointList{Kind: routing.EndpointListComplete, Endpoints: endpoints}
}

func patch(endpoints ...routing.Endpoint) routing.EndpointList {
	return routing.EndpointList{Kind: routing.EndpointListPatch, Endpoints: endpoints}
}

// checkPhase checks that a change has exactly one endpoint, and its phase.
func checkPhase(t *testing.T, change []routing.Endpoint, err error, want routing.Phase) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if len(change) != 1 {
		t.Fatalf("%+v; want one endpoint", change)
	}
	if change[0].Phase != want {
		t.Fatalf("%+v; want phase %v", change[0], want)
	}
}

// TestDetachOverridesDiscovery detaches a host and has discovery list it in every way: with new starts, draining, removed, and listed again
// under the same id.
func TestDetachOverridesDiscovery(t *testing.T) {
	var o Overrides
	o.Apply(0, complete(routing.Endpoint{Member: "a"}, routing.Endpoint{Member: "b"}))
	change, err := o.Detach(second, "a")
	checkPhase(t, change, err, routing.PhaseDraining)
	for i, list := range []routing.EndpointList{
		patch(routing.Endpoint{Member: "a"}),
		patch(routing.Endpoint{Member: "a", StartedAt: 9 * second}),
		complete(routing.Endpoint{Member: "b"}),
		patch(routing.Endpoint{Member: "a", Phase: routing.PhaseRemoved}),
		complete(routing.Endpoint{Member: "a", StartedAt: 20 * second}),
	} {
		for _, e := range o.Apply(time.Duration(10+i)*second, list).Endpoints {
			if e.Member == "a" && e.Phase == routing.PhaseServing || e.Member == "b" && e.Phase != routing.PhaseServing {
				t.Errorf("list %d: the router gets %+v", i, e)
			}
		}
	}
	o.Detach(30*second, "a") // one Attach undoes two Detach
	change, err = o.Attach(40*second, "a")
	checkPhase(t, change, err, routing.PhaseServing)
	if change[0].StartedAt != 40*second {
		t.Errorf("attached: %+v; want it started then", change)
	}
	if change, err = o.Attach(50*second, "a"); err != nil || change != nil {
		t.Errorf("attached twice: %+v, %v; want no change", change, err)
	}
	later := o.Apply(60*second, patch(routing.Endpoint{Member: "a", StartedAt: 55 * second})).Endpoints[0]
	older := o.Apply(61*second, patch(routing.Endpoint{Member: "a"})).Endpoints[0]
	if later.StartedAt != 55*second {
		t.Errorf("started at %v, want a start after the Attach as listed", later.StartedAt)
	}
	if older.StartedAt != 40*second {
		t.Errorf("started at %v, want no start before the Attach", older.StartedAt)
	}
}

// TestAttachKeepsDiscoveryDrain checks that neither Attach nor an older list undoes discovery's own drain.
func TestAttachKeepsDiscoveryDrain(t *testing.T) {
	var o Overrides
	o.Apply(0, complete(routing.Endpoint{Member: "a"}))
	o.Detach(0, "a")
	o.Apply(0, patch(routing.Endpoint{Member: "a", Phase: routing.PhaseDraining}))
	o.Apply(0, patch(routing.Endpoint{Member: "a"}))
	change, err := o.Attach(second, "a")
	checkPhase(t, change, err, routing.PhaseDraining)
	o.Apply(0, patch(routing.Endpoint{Member: "a", StartedAt: 2 * second})) // a new process
	checkPhase(t, o.current("a"), nil, routing.PhaseServing)
}

// TestUnknownHosts detaches and attaches ids that no host has, hosts that were removed, and one that is listed later.
func TestUnknownHosts(t *testing.T) {
	var o Overrides
	var unknown UnknownHostError
	if _, err := o.Detach(0, "a"); !errors.As(err, &unknown) {
		t.Error("no host is known, and yet:", err)
	}
	if change, err := o.DetachUnlisted(0, "a"); err != nil || change != nil {
		t.Error("detached before it is listed:", change, err)
	}
	if e := o.Apply(0, complete(routing.Endpoint{Member: "a"})).Endpoints[0]; e.Phase != routing.PhaseDraining {
		t.Errorf("listed as %+v", e)
	}
	o.Apply(0, complete())
	if _, err := o.Attach(second, "a"); err != nil {
		t.Error("detached and off the list:", err)
	}
	o.Apply(0, complete(routing.Endpoint{Member: "b"}))
	o.Apply(10*second, complete())
	if _, err := o.Detach(20*second, "b"); err != nil {
		t.Error("removed lately, and maybe still in use:", err)
	}
	o.Attach(30*second, "b")
	o.Apply(100*second, complete())
	if _, err := o.Detach(101*second, "b"); !errors.As(err, &unknown) || len(o.listed)+len(o.attachedAt) > 0 {
		t.Error("removed for good:", err, o.listed, o.attachedAt)
	}
}
