package routing

import (
	"testing"
	"time"
)

func TestDrainStopsSendsAtOnce(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: "b", Group: 1, Phase: PhaseDraining}}})
	b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListComplete, Endpoints: []Endpoint{{Member: "a", Group: 1}, {Member: "b", Group: 1,
		Phase: PhaseDraining}}})
	for range 30 {
		b.ask(anyRead)
		b.pass(10 * ms)
	}
	for _, s := range b.sends {
		if s.member != "a" {
			t.Fatalf("a send to %s, which drains or is gone", s.member)
		}
	}
}

func TestSubscriptionIsAskedForAndAskedAgain(t *testing.T) {
	c := config()
	c.Subscribe, c.MaxPollInterval = true, 10*time.Second
	b := newRig(t, c)
	b.want("at the start", b.subscribed, 1)
	b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListFailed})
	b.pass(3 * time.Second)
	b.want("after a break", b.subscribed, 2)
	b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListPatch})
	b.pass(20 * time.Second)
	b.want("while subscribed", b.subscribed, 2)
}

func TestMemberOffTheListIsUsedWhereOnlyDrainingBinds(t *testing.T) {
	c := config()
	c.UseRemovedMembers = true
	b := newRig(t, c)
	b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: "b", Group: 1, Phase: PhaseRemoved},
		{Member: "c", Group: 1, Phase: PhaseDraining}}})
	b.want("a read", b.to(b.ask(anyRead)), "[b]")
}

func TestOldListDoesNotUndoADrain(t *testing.T) {
	c := config()
	c.UseRemovedMembers = true
	b := newRig(t, c)
	b.told("a", 10*ms)
	list := func(phase Phase, started time.Duration) {
		b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListComplete, Endpoints: []Endpoint{{Member: "a", Group: 1}, {Member: "c", Group: 1},
			{Member: "b", Group: 1, Phase: phase, StartedAt: started}}})
	}
	list(PhaseDraining, 0)
	list(PhaseServing, 0)
	b.want("usable on an old list", b.r.members["b"].usable, false)
	list(PhaseServing, b.now)
	b.want("usable once started anew", b.r.members["b"].usable, true)
}
