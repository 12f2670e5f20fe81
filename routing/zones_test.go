package routing

import (
	"slices"
	"testing"
	"time"

	"cranegate/internal/zones"
)

// zonedHarness is a harness of three zones with two members each; a1 is the primary of their one group. Members that are
// alive answer health checks at once.
type zonedHarness struct {
	*harness
	alive        map[string]bool
	connectedAt  map[string]time.Duration // by member: of the connection that answers health checks
	handledSends int                      // sends that were answered, or ignored by a dead member
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

// role is a member's role.
func (h *zonedHarness) role(name string) Role {
	if name == "a1" {
		return RolePrimary
	}
	return RoleReplica
}

// advanceAnswering moves the clock on and ends health checks.
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

// endHealthCheck has a member answer a health check, or not.
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

// sendReads sends reads, which members that are alive answer, and counts the members that their first attempts went to.
func (h *zonedHarness) sendReads(n int) map[string]int {
	readsByMember := map[string]int{}
	for range n {
		h.advanceAnswering(10 * ms)
		h.request(anyRead)
		for ; h.handledSends < len(h.sends); h.handledSends++ {
			sent := h.sends[h.handledSends]
			number := h.attemptsEnded[sent.request]
			h.attemptsEnded[sent.request]++
			if number == 0 {
				readsByMember[sent.member]++
			}
			if h.alive[sent.member] {
				h.router.Outcome(h.now, Outcome{Request: sent.request, Attempt: number, Member: sent.member,
					Result: ResultOK, Latency: ms, Closed: true, Role: h.role(sent.member), Position: h.position(0)})
			}
		}
	}
	return readsByMember
}

// TestReadsPreferTheOwnZone has reads stay in the gateway's own zone as long as that has capacity, and leave it when it
// is lost.
func TestReadsPreferTheOwnZone(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(time.Second)
	if readsByMember := h.sendReads(200); readsByMember["b1"]+readsByMember["b2"] < 195 {
		t.Errorf("with all zones healthy: %v", readsByMember)
	}
	h.alive["b1"], h.alive["b2"] = false, false
	h.sendReads(60)
	if h.router.Zones().Zone("b").State() != zones.Down {
		t.Fatalf("zone b is %s", h.router.Zones().Zone("b").State())
	}
	readsByMember := h.sendReads(100)
	if readsByMember["b1"]+readsByMember["b2"] > 0 || readsByMember["c1"] < 15 || readsByMember["c2"] < 15 || readsByMember["a2"] < 15 {
		t.Errorf("with the own zone lost: %v", readsByMember)
	}
	reported := slices.ContainsFunc(h.zones, func(change zones.Change) bool {
		return change.Zone == "b" && change.To == zones.Down
	})
	if !reported {
		t.Error("the loss of the zone was not reported")
	}
}

// TestPreferredTierDoesNotOverrideFreshness has the members of the preferred tier lag: that does not make them eligible.
func TestPreferredTierDoesNotOverrideFreshness(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(500 * ms)
	for range 50 {
		h.advanceAnswering(10 * ms)
		for _, name := range []string{"b1", "b2"} {
			h.router.members[name].position = h.router.positionAt(h.now - 5*time.Second)
			h.router.members[name].positionAt = h.now
		}
		id := h.request(boundedRead)
		if tried := h.membersTried(id); len(tried) > 0 && h.router.members[tried[0]].zone == "b" {
			t.Fatalf("a read of data 200 ms old at most went to %s, which lags 5 s", tried[0])
		} else if len(tried) > 0 {
			h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
		}
	}
}

// TestSurvivingConnectionMeansNoRestart has a member answer again after its zone was lost: it counts as restarted, unless
// a connection that was established before brings the answer. One that was established since proves nothing.
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
			t.Fatal("zone b is not lost")
		}
		h.alive["b1"], h.alive["b2"] = true, true
		if !survived {
			h.connectedAt["b1"] = h.now
		}
		h.sendReads(100)
		if weight := h.router.slowStartWeight(member); survived != (weight == 1) {
			t.Errorf("its connections survived: %v, yet its slow start weight is %.2f", survived, weight)
		}
	}
}

// TestHealthCheckSilenceRestartsAfterAnAnswer has a health check go unanswered before a member answers a request: it must
// not hide those that go unanswered after it.
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
		t.Error("a health check that was sent just now counts as unanswered")
	}
	h.now += 50 * ms
	h.router.advanceClock(h.now)
	if got := h.router.healthCheckSilence(member); got != 50*ms {
		t.Errorf("silent for %v, want 50ms", got)
	}
}

// TestDetectOnlyCanBeReloaded turns the preference of tiers off and on while the router runs.
func TestDetectOnlyCanBeReloaded(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(time.Second)
	for _, only := range []bool{true, false} {
		if err := h.router.Zones().Configure(zones.Options{OwnZone: "b", DetectOnly: only}); err != nil {
			t.Fatal(err)
		}
		if readsByMember := h.sendReads(200); only != (readsByMember["b1"]+readsByMember["b2"] < 150) {
			t.Errorf("detect_only = %v: %v", only, readsByMember)
		}
	}
}

// TestZonesOff has no options of zones: no zone is judged, and health checks use any connection.
func TestZonesOff(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.advance(time.Second)
	if h.router.Zones() != nil || len(h.zones) > 0 || h.router.members["a"].healthCheckConn() != ConnAny {
		t.Error("zones are judged though they are off")
	}
}
