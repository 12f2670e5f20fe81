package routing

import (
	"slices"
	"testing"
	"time"

	"cranegate/internal/zones"
)

// zoned is a rig of three zones with two members each, a1 the primary of their one group. Probes are answered by
// alive, at once, over a connection that came up at opened.
type zonedHarness struct {
	*harness
	alive        map[string]bool
	connectedAt  map[string]time.Duration
	handledSends int // sends that have been answered or left
}

func newZonedHarness(t *testing.T, own string) *zonedHarness {
	cfg := testConfig()
	cfg.Zone, cfg.Zones = own, &zones.Options{OwnZone: own}
	var endpoints []Endpoint
	for _, z := range []string{"a", "b", "c"} {
		for _, n := range []string{"1", "2"} {
			endpoints = append(endpoints, Endpoint{Member: z + n, Group: 1, Zone: z, Capacity: 1, Primary: z+n == "a1"})
		}
	}
	h := &zonedHarness{newHarness(t, cfg, endpoints...), map[string]bool{}, map[string]time.Duration{}, 0}
	for _, endpoint := range endpoints {
		h.alive[endpoint.Member] = true
	}
	return h
}

// live lets time go by and answers probes.
func (h *zonedHarness) advanceAnswering(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.advance(10 * ms)
		asked := h.healthChecks
		h.healthChecks = nil
		for _, m := range asked {
			if check := (HealthCheckResult{Member: m, Result: ResultTimeout}); !h.alive[m] {
				h.router.HealthChecked(h.now+200*ms, check)
			} else {
				role := RoleReplica
				if m == "a1" {
					role = RolePrimary
				}
				check.Result, check.ConnectedAt = ResultOK, h.connectedAt[m]
				check.Report = Report{HasPosition: true, Position: h.router.positionAt(h.now), Role: role}
				h.router.HealthChecked(h.now, check)
			}
		}
	}
}

// placed asks for reads, has members that live answer them and their copies, and counts where they went first.
func (h *zonedHarness) place(n int) map[string]int {
	out := map[string]int{}
	for range n {
		h.advanceAnswering(10 * ms)
		h.request(anyRead)
		for ; h.handledSends < len(h.sends); h.handledSends++ {
			sent := h.sends[h.handledSends]
			number := h.attemptsEnded[sent.request]
			if h.attemptsEnded[sent.request]++; number == 0 {
				out[sent.member]++
			}
			if role := RoleReplica; h.alive[sent.member] {
				if sent.member == "a1" {
					role = RolePrimary
				}
				h.router.Outcome(h.now, Outcome{Request: sent.request, Attempt: number, Member: sent.member, Result: ResultOK, Latency: ms,
					Closed: true, Role: role, Position: h.position(0)})
			}
		}
	}
	return out
}

// TestReadsPreferTheOwnZone has reads stay in the own zone as long as it has room, and leave it as it is lost.
func TestReadsPreferTheOwnZone(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(time.Second)
	if at := h.place(200); at["b1"]+at["b2"] < 195 {
		t.Errorf("with all well: %v", at)
	}
	h.alive["b1"], h.alive["b2"] = false, false
	h.place(60)
	if h.router.Zones().Zone("b").State() != zones.Down {
		t.Fatalf("zone b is %s", h.router.Zones().Zone("b").State())
	}
	if at := h.place(100); at["b1"]+at["b2"] > 0 || at["c1"] < 15 || at["c2"] < 15 || at["a2"] < 15 {
		t.Errorf("with the own zone lost: %v", at)
	}
	if !slices.ContainsFunc(h.zones, func(change zones.Change) bool { return change.Zone == "b" && change.To == zones.Down }) {
		t.Error("nobody was told")
	}
}

// TestPreferredTierDoesNotOverrideFreshness guards freshness: the own tier does not make a member that lags eligible.
func TestPreferredTierDoesNotOverrideFreshness(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(500 * ms)
	for range 50 {
		h.advanceAnswering(10 * ms)
		for _, m := range []string{"b1", "b2"} { // they stand where they stood
			h.router.members[m].position = h.router.positionAt(h.now - 5*time.Second)
			h.router.members[m].positionAt = h.now
		}
		id := h.request(boundedRead)
		if to := h.membersTried(id); len(to) > 0 && h.router.members[to[0]].zone == "b" {
			t.Fatalf("a read of data 200 ms old at most went to %s, 5 s behind", to[0])
		} else if len(to) > 0 {
			h.endAttempt(id, ResultOK, RoleReplica, h.position(0))
		}
	}
}

// TestSurvivingConnectionMeansNoRestart guards the way back: a member that went with its zone counts as started anew, unless a
// connection that came up before brings an answer. One that came up since proves nothing.
func TestSurvivingConnectionMeansNoRestart(t *testing.T) {
	for _, lived := range []bool{false, true} {
		h := newZonedHarness(t, "a")
		h.place(50)
		for m := range h.alive {
			h.connectedAt[m] = h.now - 500*ms // before it was heard last
		}
		h.alive["b1"], h.alive["b2"] = false, false
		h.place(300)
		if !h.router.members["b1"].zoneState.MemberDown(h.router.members["b1"].answeredAt) {
			t.Fatal("zone b is not lost")
		}
		h.alive["b1"], h.alive["b2"] = true, true
		if !lived {
			h.connectedAt["b1"] = h.now
		}
		h.place(100)
		if w := h.router.slowStartWeight(h.router.members["b1"]); lived != (w == 1) {
			t.Errorf("its connections lived on: %v, yet its warmth is %.2f", lived, w)
		}
	}
}

// TestHealthCheckSilenceRestartsAfterAnAnswer guards the evidence of probes: one that went unanswered before the member was heard must not hide those
// that go unanswered after it.
func TestHealthCheckSilenceRestartsAfterAnAnswer(t *testing.T) {
	h := newZonedHarness(t, "a")
	h.place(20)
	member := h.router.members["b1"]
	member.healthCheckSent(h.now)
	h.now += ms
	h.router.advanceClock(h.now)
	h.router.observeAnswer(member, 0)
	h.now += 100 * ms
	h.router.advanceClock(h.now)
	if member.healthCheckSent(h.now); h.router.healthCheckSilence(member) != 0 {
		t.Error("a probe that has just gone out counts")
	}
	h.now += 50 * ms
	h.router.advanceClock(h.now)
	if got := h.router.healthCheckSilence(member); got != 50*ms {
		t.Errorf("mute for %v, want 50ms", got)
	}
}

// TestDetectOnlyCanBeReloaded guards the reload: tiers can be turned off and on while the module runs.
func TestDetectOnlyCanBeReloaded(t *testing.T) {
	h := newZonedHarness(t, "b")
	h.advanceAnswering(time.Second)
	for _, only := range []bool{true, false} {
		if err := h.router.Zones().Configure(zones.Options{OwnZone: "b", DetectOnly: only}); err != nil {
			t.Fatal(err)
		}
		if at := h.place(200); only != (at["b1"]+at["b2"] < 150) {
			t.Errorf("detect_only = %v: %v", only, at)
		}
	}
}

// TestZonesOff guards the platform: without the options no zone is judged and no probe goes another way.
func TestZonesOff(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.advance(time.Second)
	if h.router.Zones() != nil || len(h.zones) > 0 || h.router.members["a"].healthCheckConn() != ConnAny {
		t.Error("zones are judged though they are off")
	}
}
