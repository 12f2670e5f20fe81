package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestHealthChecksFollowTheTraffic(t *testing.T) {
	h := newHarness(t, testConfig())
	h.healthChecks = nil
	for range 400 {
		h.advance(100 * ms)
		h.reportAll("a", 10*ms)
	}
	h.want("probes of an idle gateway in 40 s", len(h.healthChecks) <= int(maxHealthCheckTokens), true)
}

func TestHealthChecksReachAllMembersInDoubt(t *testing.T) {
	var endpoints []Endpoint
	for i := range 20 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", 10+i), Group: i / 5, Primary: i%5 == 0})
	}
	h := newHarness(t, testConfig(), endpoints...)
	h.reportAll("", 10*ms)
	for _, member := range h.router.sortedMembers {
		member.failures = maxFailures
	}
	h.healthChecks = nil
	h.advance(2 * time.Second)
	n := map[string]int{}
	for _, m := range h.healthChecks {
		n[m]++
		h.router.members[m].healthCheckPending = false
	}
	h.want("members probed", len(n), 20)
}

func TestLargeFleetIsNotCheckedAtEachStart(t *testing.T) {
	var endpoints []Endpoint
	for i := range 100 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", 100+i), Group: i / 5, Primary: i%5 == 0})
	}
	h := newHarness(t, testConfig(), endpoints...)
	h.want("probes at the start", len(h.healthChecks), 0)
	id := h.request(boundedRead)
	if to := h.membersTried(id); len(to) == 0 || to[0] == "m105" {
		t.Errorf("the first bounded read of a gateway that has heard nobody went %v", to)
	}
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	h = newHarness(t, cfg, endpoints...)
	h.want("probes where members do not check reads", len(h.healthChecks), 100)
}

func TestLargeFleetIsCheckedLessPerRequest(t *testing.T) {
	share := func(members int) float64 {
		var endpoints []Endpoint
		for i := range members {
			endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", 10+i), Group: i / 4, Primary: i%4 == 0, Capacity: 1})
		}
		h := newHarness(t, testConfig(), endpoints...)
		for _, member := range h.router.sortedMembers {
			member.role = RoleReplica
			if member.listedPrimary {
				member.role = RolePrimary
			}
		}
		asked := 0
		for range 40 * 20 {
			h.advance(50 * ms)
			id := h.request(anyRead, func(req *Request) { req.Group = asked % (members / 4) })
			if asked++; asked == 400 {
				h.healthChecks = nil // what was saved up for the start is spent
			}
			h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
			for _, member := range h.router.sortedMembers {
				if member.healthCheckPending {
					h.checkOK(member.id, RoleUnknown, 0)
				}
			}
		}
		return float64(len(h.healthChecks)) / float64(asked-400)
	}
	few, many := share(8), share(60)
	if few < 0.1 || many > 0.1 || many == 0 {
		t.Errorf("%.2f probes a request with 8 members, %.2f with 60", few, many)
	}
}

func TestPrimaryIsSoughtByHealthChecksOnlyOnDemand(t *testing.T) {
	for _, class := range []int{strongRead, sessionRead, boundedRead} {
		h := newHarness(t, testConfig(), Endpoint{Member: "a", Group: 1}, Endpoint{Member: "b", Group: 1}, Endpoint{Member: "c", Group: 1})
		h.advance(time.Second)
		h.healthChecks, h.router.healthCheckTokens = nil, 0 // what is saved up is spent
		for _, member := range h.router.sortedMembers {
			member.healthCheckPending = false
		}
		h.advance(2 * time.Second)
		h.want("probes while nothing wants the primary", len(h.healthChecks), 0)
		h.request(class, func(req *Request) { req.SinceWrite = ms })
		h.advance(300 * ms)
		if len(h.healthChecks) < 3 {
			t.Errorf("%d probes while a read of class %d waits for the primary", len(h.healthChecks), class)
		}
	}
}

// TestOneOfManyGatewaysChecksNobodyAtItsStart starts gateways beside few and beside many others: each probe of a start costs its member the
// same, and all gateways pay for it together.
func TestOneOfManyGatewaysChecksNobodyAtItsStart(t *testing.T) {
	var endpoints []Endpoint
	for i := range 24 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", i), Group: i / 3, Primary: i%3 == 0, Capacity: 1})
	}
	for gateways, want := range map[int]int{2: 24, 6: 24, 36: 0} {
		cfg := testConfig()
		cfg.Gateways = gateways
		if got := len(newHarness(t, cfg, endpoints...).healthChecks); got != want {
			t.Errorf("one of %d gateways probes %d members at its start, want %d", gateways, got, want)
		}
	}
}

// TestUncheckedReadsFindFreshMembers has a gateway that sees little of a large site whose members answer from what they
// have. No position that it knows is recent enough for a bounded read, and the primary has no room: members of that group are
// asked, though the budget for probes is spent, and the read goes to one that has told.
func TestUncheckedReadsFindFreshMembers(t *testing.T) {
	for _, guards := range []StaleReadPolicy{StaleReadServed, StaleReadDelayed} {
		cfg := testConfig()
		cfg.StaleReads = guards
		h := newHarness(t, cfg)
		h.reportAll("a", 10*ms)
		h.advance(10 * time.Second)
		for _, member := range h.router.sortedMembers {
			member.healthCheckPending, member.answeredAt = false, h.now
		}
		a := h.router.members["a"]
		for len(a.inFlight) < 20 {
			a.inFlight = append(a.inFlight, &attemptState{request: &requestState{}, member: a, sentAt: h.now - 100*time.Second, expectedLatency: 2 * time.Second})
		}
		h.healthChecks, h.router.healthCheckTokens = nil, 0
		id := h.request(boundedRead)
		h.want("sent at once where members check", len(h.membersTried(id)) == 1, guards != StaleReadServed)
		h.want("it pays for a probe", h.router.healthCheckTokens == 1, guards == StaleReadServed)
		h.advance(120 * ms)
		h.want("probes for the read", len(h.healthChecks) > 0, guards == StaleReadServed)
		if guards != StaleReadServed {
			continue
		}
		h.reportAll("a", 10*ms)
		h.advance(50 * ms)
		h.want("sent once a member has told", len(h.membersTried(id)) == 1 && h.membersTried(id)[0] != "a", true)
	}
}
