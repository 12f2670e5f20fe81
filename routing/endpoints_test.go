package routing

import (
	"testing"
	"time"
)

func TestDrainingStopsSendsAtOnce(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.updateEndpoints(EndpointListPatch, Endpoint{Member: "b", Group: 1, Phase: PhaseDraining})
	h.updateEndpoints(EndpointListComplete, Endpoint{Member: "a", Group: 1}, Endpoint{Member: "b", Group: 1,
		Phase: PhaseDraining})
	for range 30 {
		h.request(anyRead)
		h.advance(10 * ms)
	}
	for _, sent := range h.sends {
		if sent.member != "a" {
			t.Fatalf("a send to %s, which drains or is gone", sent.member)
		}
	}
}

func TestSubscriptionIsRenewed(t *testing.T) {
	cfg := testConfig()
	cfg.Subscribe, cfg.MaxPollInterval = true, 10*time.Second
	h := newHarness(t, cfg)
	h.want("at the start", h.subscriptions, 1)
	h.updateEndpoints(EndpointListFailed)
	h.advance(3 * time.Second)
	h.want("after a break", h.subscriptions, 2)
	h.updateEndpoints(EndpointListPatch)
	h.advance(20 * time.Second)
	h.want("while subscribed", h.subscriptions, 2)
}

func TestRemovedMemberIsUsedWhereAllowed(t *testing.T) {
	cfg := testConfig()
	cfg.UseRemovedMembers = true
	h := newHarness(t, cfg)
	h.updateEndpoints(EndpointListPatch, Endpoint{Member: "b", Group: 1, Phase: PhaseRemoved},
		Endpoint{Member: "c", Group: 1, Phase: PhaseDraining})
	h.want("a read", h.membersTried(h.request(anyRead)), "[b]")
}

func TestStaleListDoesNotUndoDraining(t *testing.T) {
	cfg := testConfig()
	cfg.UseRemovedMembers = true
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	list := func(phase Phase, started time.Duration) {
		h.updateEndpoints(EndpointListComplete, Endpoint{Member: "a", Group: 1}, Endpoint{Member: "c", Group: 1},
			Endpoint{Member: "b", Group: 1, Phase: phase, StartedAt: started})
	}
	list(PhaseDraining, 0)
	list(PhaseServing, 0)
	h.want("usable on an old list", h.router.members["b"].usable, false)
	list(PhaseServing, h.now)
	h.want("usable once started anew", h.router.members["b"].usable, true)
}
