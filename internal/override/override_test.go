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

// checkPhase checks that a change consists of one endpoint with the given phase.
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

// TestDetachOverridesDiscovery checks that a detached host never serves while discovery lists it again, with a new start, omits it, removes
// it, and lists it again under the same id. It then checks Attach and the start time that the router sees.
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
	o.Detach(30*second, "a") // one Attach undoes two calls of Detach
	change, err = o.Attach(40*second, "a")
	checkPhase(t, change, err, routing.PhaseServing)
	if change[0].StartedAt != 40*second {
		t.Errorf("attached at 40 s: %+v; want that as its start", change)
	}
	if change, err = o.Attach(50*second, "a"); err != nil || change != nil {
		t.Errorf("attached twice: %+v, %v; want no change", change, err)
	}
	later := o.Apply(60*second, patch(routing.Endpoint{Member: "a", StartedAt: 55 * second})).Endpoints[0]
	older := o.Apply(61*second, patch(routing.Endpoint{Member: "a"})).Endpoints[0]
	if later.StartedAt != 55*second {
		t.Errorf("started at %v, want the listed start, which is later than the Attach", later.StartedAt)
	}
	if older.StartedAt != 40*second {
		t.Errorf("started at %v, want the time of the Attach, which is later than the listed start", older.StartedAt)
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
	o.Apply(0, patch(routing.Endpoint{Member: "a", StartedAt: 2 * second})) // the host has a new process
	checkPhase(t, o.current("a"), nil, routing.PhaseServing)
}

// TestUnknownHosts checks Detach and Attach with an unknown id, a host that is listed only later, and hosts that were removed recently or
// long ago.
func TestUnknownHosts(t *testing.T) {
	var o Overrides
	var unknown UnknownHostError
	if _, err := o.Detach(0, "a"); !errors.As(err, &unknown) {
		t.Error("an unknown host must not be detached:", err)
	}
	if change, err := o.DetachUnlisted(0, "a"); err != nil || change != nil {
		t.Error("a host must be detached before it is listed, without a change:", change, err)
	}
	if e := o.Apply(0, complete(routing.Endpoint{Member: "a"})).Endpoints[0]; e.Phase != routing.PhaseDraining {
		t.Errorf("a host that was detached before it is listed must drain: %+v", e)
	}
	o.Apply(0, complete())
	if _, err := o.Attach(second, "a"); err != nil {
		t.Error("a detached host that was removed must be attached:", err)
	}
	o.Apply(0, complete(routing.Endpoint{Member: "b"}))
	o.Apply(10*second, complete())
	if _, err := o.Detach(20*second, "b"); err != nil {
		t.Error("a host that was removed recently may be in use and must be detached:", err)
	}
	o.Attach(30*second, "b")
	o.Apply(100*second, complete())
	if _, err := o.Detach(101*second, "b"); !errors.As(err, &unknown) || len(o.listed)+len(o.attachedAt) > 0 {
		t.Error("a host that was removed long ago must be unknown and leave no record:", err, o.listed, o.attachedAt)
	}
}
