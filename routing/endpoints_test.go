package routing

import (
	"testing"
	"time"
)

func TestDrainingStopsSendsAtOnce(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	draining := Endpoint{Member: "b", Group: 1, Phase: PhaseDraining}
	h.updateEndpoints(EndpointListPatch, draining)
	h.updateEndpoints(EndpointListComplete, Endpoint{Member: "a", Group: 1}, draining)
	for range 30 {
		h.request(anyRead)
		h.advance(10 * ms)
	}
	for _, sent := range h.sends {
		if sent.member != "a" {
			t.Fatalf("a request was sent to %s, which is draining or removed", sent.member)
		}
	}
}

func TestSubscriptionIsRenewed(t *testing.T) {
	cfg := testConfig()
	cfg.Subscribe = true
	cfg.MaxPollInterval = 10 * time.Second
	h := newHarness(t, cfg)
	h.want("subscriptions at the start", h.subscriptions, 1)
	h.updateEndpoints(EndpointListFailed)
	h.advance(3 * time.Second)
	h.want("subscriptions after a failure", h.subscriptions, 2)
	h.updateEndpoints(EndpointListPatch)
	h.advance(20 * time.Second)
	h.want("subscriptions while subscribed", h.subscriptions, 2)
}

func TestRemovedMemberIsUsedWhereAllowed(t *testing.T) {
	cfg := testConfig()
	cfg.UseRemovedMembers = true
	h := newHarness(t, cfg)
	h.updateEndpoints(EndpointListPatch,
		Endpoint{Member: "b", Group: 1, Phase: PhaseRemoved},
		Endpoint{Member: "c", Group: 1, Phase: PhaseDraining})
	h.want("a read", h.membersTried(h.request(anyRead)), "[b]")
}

func TestStaleListDoesNotUndoDraining(t *testing.T) {
	cfg := testConfig()
	cfg.UseRemovedMembers = true
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	update := func(phase Phase, startedAt time.Duration) {
		h.updateEndpoints(EndpointListComplete,
			Endpoint{Member: "a", Group: 1},
			Endpoint{Member: "c", Group: 1},
			Endpoint{Member: "b", Group: 1, Phase: phase, StartedAt: startedAt})
	}
	update(PhaseDraining, 0)
	update(PhaseServing, 0)
	h.want("usable on a stale list", h.router.members["b"].usable, false)
	update(PhaseServing, h.now)
	h.want("usable after a restart", h.router.members["b"].usable, true)
}
