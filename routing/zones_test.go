package routing

import (
	"slices"
	"testing"
	"time"

	"cranegate/internal/zones"
)

// zonedHarness is a harness with three zones of two members each, which form one group with the primary a1.
// Members that are alive answer health checks at once.
type zonedHarness struct {
	*harness
	alive        map[string]bool
	connectedAt  map[string]time.Duration // by member: of the connection that answers health checks
	handledSends int                      // attempts that were answered, or sent to a member that is down
}

func newZonedHarness(t *testing.T, ownZone string) *zonedHarness {
	t.Helper()
	cfg := testConfig()
	cfg.Zone = ownZone
	cfg.Zones = &zones.Options{OwnZone: ownZone}
	var endpoints []Endpoint
	alive := map[string]bool{}
	for _, zone := range []string{"a", "b", "c"} {
		for _, number := range []string{"1", "2"} {
			name := zone + number
			endpoints = append(endpoints,
				Endpoint{Member: name, Group: 1, Zone: zone, Capacity: 1, Primary: name == "a1"})
			alive[name] = true
		}
	}
	return &zonedHarness{
		harness:     newHarness(t, cfg, endpoints...),
		alive:       alive,
		connectedAt: map[string]time.Duration{},
	}
}

// role returns a member's role.
func (h *zonedHarness) role(name string) Role {
	if name == "a1" {
		return RolePrimary
	}
	return RoleReplica
}

// advanceAnswering moves the clock forward and ends health checks.
func (h *zonedHarness) advanceAnswering(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(10 * ms)
		checked := h.healthChecks
		h.healthChecks = nil
		for _, name := range checked {
			h.endHealthCheck(name)
		}
	}
}

// endHealthCheck ends a health check: successfully if the member is alive, otherwise by a timeout.
func (h *zonedHarness) endHealthCheck(name string) {
	if !h.alive[name] {
		h.router.HealthChecked(h.now+200*ms, HealthCheckResult{Member: name, Result: ResultTimeout})
		return
	}
	h.router.HealthChecked(h.now, HealthCheckResult{
		Member:      name,
		Result:      ResultOK,
		ConnectedAt: h.connectedAt[name],
		Report:      Report{HasPosition: true, Position: h.router.positionAt(h.now), Role: h.role(name)},
	})
}

// sendReads sends n reads, which members that are alive answer. It returns the number of first attempts by
// member.
func (h *zonedHarness) sendReads(n int) map[string]int {
	reads := map[string]int{}
	for range n {
		h.advanceAnswering(10 * ms)
		h.request(anyRead)
		for ; h.handledSends < len(h.sends); h.handledSends++ {
			sent := h.sends[h.handledSends]
			number := h.attemptsEnded[sent.request]
			h.attemptsEnded[sent.request]++
			if number == 0 {
				reads[sent.member]++
			}
			if h.alive[sent.member] {
				h.router.Outcome(h.now, Outcome{Request: sent.request, Attempt: number, Member: sent.member,
					Result: ResultOK, Latency: ms, Closed: true, Role: h.role(sent.member), Position: h.position(0)})
			}
		}
	}
	return reads
}

// TestReadsPreferTheOwnZone checks that reads stay in the gateway's own zone as long as the zone has
// capacity, and go to other zones when it is down.
func TestReadsPreferTheOwnZone(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(time.Second)
	if reads := h.sendReads(200); reads["b1"]+reads["b2"] < 195 {
		t.Errorf("reads by member with all zones healthy: %v", reads)
	}
	h.alive["b1"], h.alive["b2"] = false, false
	h.sendReads(60)
	if h.router.Zones().Zone("b").State() != zones.Down {
		t.Fatalf("zone b is %s", h.router.Zones().Zone("b").State())
	}
	reads := h.sendReads(100)
	if reads["b1"]+reads["b2"] > 0 || reads["c1"] < 15 || reads["c2"] < 15 || reads["a2"] < 15 {
		t.Errorf("reads by member with the own zone down: %v", reads)
	}
	reported := slices.ContainsFunc(h.zones, func(change zones.Change) bool {
		return change.Zone == "b" && change.To == zones.Down
	})
	if !reported {
		t.Error("the outage of the zone was not reported")
	}
}

// TestPreferredTierDoesNotOverrideFreshness checks that lagging members of the preferred tier serve no
// bounded reads.
func TestPreferredTierDoesNotOverrideFreshness(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(500 * ms)
	for range 50 {
		h.advanceAnswering(10 * ms)
		for _, name := range []string{"b1", "b2"} {
			h.router.members[name].position = h.router.positionAt(h.now - 5*time.Second)
			h.router.members[name].positionReportedAt = h.now
		}
		id := h.request(boundedRead)
		if tried := h.membersTried(id); len(tried) > 0 && h.router.members[tried[0]].zone == "b" {
			t.Fatalf("a read of data 200 ms old at most went to %s, which lags 5 s", tried[0])
		} else if len(tried) > 0 {
			h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
		}
	}
}

// TestSurvivingConnectionMeansNoRestart checks a member that answers again after an outage of its zone. It
// counts as restarted unless the answer comes over a connection that was established before the outage. A
// newer connection proves nothing.
func TestSurvivingConnectionMeansNoRestart(t *testing.T) {
	for _, survived := range []bool{false, true} {
		h := newZonedHarness(t, "a")
		h.sendReads(50)
		for name := range h.alive {
			h.connectedAt[name] = h.now - 500*ms // before its last answer
		}
		h.alive["b1"], h.alive["b2"] = false, false
		h.sendReads(300)
		member := h.router.members["b1"]
		if !member.zoneState.MemberDown(member.answeredAt) {
			t.Fatal("zone b is not down")
		}
		h.alive["b1"], h.alive["b2"] = true, true
		if !survived {
			h.connectedAt["b1"] = h.now
		}
		h.sendReads(100)
		if weight := h.router.slowStartWeight(member); survived != (weight == 1) {
			t.Errorf("connections survived: %v, but the slow start weight is %.2f", survived, weight)
		}
	}
}

// TestHealthCheckSilenceRestartsAfterAnAnswer checks that a health check that is unanswered when its member
// answers a request does not hide later health checks that are unanswered.
func TestHealthCheckSilenceRestartsAfterAnAnswer(t *testing.T) {
	h := newZonedHarness(t, "a")
	h.sendReads(20)
	member := h.router.members["b1"]
	member.healthCheckSent(h.now)
	h.now += ms
	h.router.advanceClock(h.now)
	h.router.observeAnswer(member, 0)
	h.now += 100 * ms
	h.router.advanceClock(h.now)
	member.healthCheckSent(h.now)
	if h.router.healthCheckSilence(member) != 0 {
		t.Error("a health check that has just been sent counts as unanswered for some time")
	}
	h.now += 50 * ms
	h.router.advanceClock(h.now)
	if got := h.router.healthCheckSilence(member); got != 50*ms {
		t.Errorf("silent for %v, want 50ms", got)
	}
}

// TestDetectOnlyCanBeReloaded turns the preference for tiers off and on while the router runs.
func TestDetectOnlyCanBeReloaded(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(time.Second)
	for _, only := range []bool{true, false} {
		if err := h.router.Zones().Configure(zones.Options{OwnZone: "b", DetectOnly: only}); err != nil {
			t.Fatal(err)
		}
		if reads := h.sendReads(200); only != (reads["b1"]+reads["b2"] < 150) {
			t.Errorf("reads by member with detect_only = %v: %v", only, reads)
		}
	}
}

// TestZonesOff checks that without options of zones no health of zones is evaluated, and health checks use
// any connection.
func TestZonesOff(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.advance(time.Second)
	if h.router.Zones() != nil || len(h.zones) > 0 || h.router.members["a"].healthCheckConn() != ConnAny {
		t.Error("the health of zones is evaluated although zones are off")
	}
}
