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
	if n := len(h.healthChecks); n > int(maxHealthCheckTokens) {
		t.Errorf("%d health checks by an idle gateway in 40 s", n)
	}
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
	checked := map[string]bool{}
	for _, name := range h.healthChecks {
		checked[name] = true
		h.router.members[name].healthCheckPending = false
	}
	h.want("members checked", len(checked), 20)
}

func TestLargeFleetIsNotCheckedAtEachStart(t *testing.T) {
	var endpoints []Endpoint
	for i := range 100 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", 100+i), Group: i / 5, Primary: i%5 == 0})
	}
	h := newHarness(t, testConfig(), endpoints...)
	h.want("health checks at the start", len(h.healthChecks), 0)
	id := h.request(boundedRead)
	if tried := h.membersTried(id); len(tried) == 0 || tried[0] == "m105" {
		t.Errorf("the first bounded read of a gateway without any observation of members went to %v", tried)
	}
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	h = newHarness(t, cfg, endpoints...)
	h.want("health checks where members do not check reads", len(h.healthChecks), 100)
}

func TestLargeFleetIsCheckedLessPerRequest(t *testing.T) {
	checksPerRequest := func(members int) float64 {
		var endpoints []Endpoint
		for i := range members {
			endpoints = append(endpoints,
				Endpoint{Member: fmt.Sprint("m", 10+i), Group: i / 4, Primary: i%4 == 0, Capacity: 1})
		}
		h := newHarness(t, testConfig(), endpoints...)
		for _, member := range h.router.sortedMembers {
			member.role = RoleReplica
			if member.listedPrimary {
				member.role = RolePrimary
			}
		}
		requests := 0
		for range 40 * 20 {
			h.advance(50 * ms)
			id := h.request(anyRead, func(req *Request) { req.Group = requests % (members / 4) })
			requests++
			if requests == 400 {
				h.healthChecks = nil // the tokens saved up for the start are spent
			}
			h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
			for _, member := range h.router.sortedMembers {
				if member.healthCheckPending {
					h.checkOK(member.id, RoleUnknown, 0)
				}
			}
		}
		return float64(len(h.healthChecks)) / float64(requests-400)
	}
	few, many := checksPerRequest(8), checksPerRequest(60)
	if few < 0.1 || many > 0.1 || many == 0 {
		t.Errorf("%.2f health checks per request with 8 members, %.2f with 60", few, many)
	}
}

func TestHealthChecksSearchForThePrimaryOnDemand(t *testing.T) {
	for _, class := range []int{strongRead, sessionRead, boundedRead} {
		h := newHarness(t, testConfig(), groupWithoutRoles...)
		h.advance(time.Second)
		h.healthChecks = nil
		h.router.healthCheckTokens = 0
		for _, member := range h.router.sortedMembers {
			member.healthCheckPending = false
		}
		h.advance(2 * time.Second)
		h.want("health checks while no request wants the primary", len(h.healthChecks), 0)
		h.request(class, func(req *Request) { req.SinceWrite = ms })
		h.advance(300 * ms)
		if len(h.healthChecks) < 3 {
			t.Errorf("%d health checks while a read of class %d waits for the primary", len(h.healthChecks), class)
		}
	}
}

// TestGatewaysOfALargeFleetCheckNoMembersAtStart starts one gateway of small and of large fleets. Each
// gateway that checks a member at its start costs the member the same, so that a large fleet would cost it
// too much.
func TestGatewaysOfALargeFleetCheckNoMembersAtStart(t *testing.T) {
	var endpoints []Endpoint
	for i := range 24 {
		endpoints = append(endpoints, Endpoint{Member: fmt.Sprint("m", i), Group: i / 3, Primary: i%3 == 0, Capacity: 1})
	}
	for gateways, want := range map[int]int{2: 24, 6: 24, 36: 0} {
		cfg := testConfig()
		cfg.Gateways = gateways
		if got := len(newHarness(t, cfg, endpoints...).healthChecks); got != want {
			t.Errorf("one of %d gateways checked %d members at its start, want %d", gateways, got, want)
		}
	}
}

// TestUncheckedReadsFindFreshMembers runs a gateway with little traffic. No position that has been reported
// to it is recent enough for a bounded read, and the primary has no capacity left. If members serve stale
// reads, members of the group must be health-checked, although the budget is spent, and the read goes to a
// member that has reported.
func TestUncheckedReadsFindFreshMembers(t *testing.T) {
	for _, policy := range []StaleReadPolicy{StaleReadServed, StaleReadDelayed} {
		cfg := testConfig()
		cfg.StaleReads = policy
		h := newHarness(t, cfg)
		h.reportAll("a", 10*ms)
		h.advance(10 * time.Second)
		for _, member := range h.router.sortedMembers {
			member.healthCheckPending = false
			member.answeredAt = h.now
		}
		a := h.router.members["a"]
		for len(a.inFlight) < 20 {
			a.inFlight = append(a.inFlight, &attemptState{
				request:         &requestState{},
				member:          a,
				sentAt:          h.now - 100*time.Second,
				expectedLatency: 2 * time.Second,
			})
		}
		h.healthChecks = nil
		h.router.healthCheckTokens = 0
		id := h.request(boundedRead)
		h.want("sent at once where members check", len(h.membersTried(id)) == 1, policy != StaleReadServed)
		h.want("it earns a health check", h.router.healthCheckTokens == 1, policy == StaleReadServed)
		h.advance(120 * ms)
		h.want("health checks for the read", len(h.healthChecks) > 0, policy == StaleReadServed)
		if policy != StaleReadServed {
			continue
		}
		h.reportAll("a", 10*ms)
		h.advance(50 * ms)
		tried := h.membersTried(id)
		h.want("sent once a member has reported", len(tried) == 1 && tried[0] != "a", true)
	}
}
