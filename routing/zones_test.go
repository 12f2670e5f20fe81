package routing

import (
	"slices"
	"testing"
	"time"

	"cranegate/internal/zones"
)

// zoned is a rig of three zones with two members each, a1 the primary of their one group. Probes are answered by
// alive, at once, over a connection that came up at opened.
type zoned struct {
	*rig
	alive  map[string]bool
	opened map[string]time.Duration
	read   int // sends that have been answered or left
}

func newZoned(t *testing.T, own string) *zoned {
	c := config()
	c.Zone, c.Zones = own, &zones.Options{Own: own}
	var all []Endpoint
	for _, z := range []string{"a", "b", "c"} {
		for _, n := range []string{"1", "2"} {
			all = append(all, Endpoint{Member: z + n, Group: 1, Zone: z, Capacity: 1, Primary: z+n == "a1"})
		}
	}
	b := &zoned{newRig(t, c, all...), map[string]bool{}, map[string]time.Duration{}, 0}
	for _, e := range all {
		b.alive[e.Member] = true
	}
	return b
}

// live lets time go by and answers probes.
func (b *zoned) live(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.pass(10 * ms)
		asked := b.probes
		b.probes = nil
		for _, m := range asked {
			if p := (HealthCheckResult{Member: m, Result: ResultTimeout}); !b.alive[m] {
				b.r.HealthChecked(b.now+200*ms, p)
			} else {
				role := RoleReplica
				if m == "a1" {
					role = RolePrimary
				}
				p.Result, p.ConnectedAt = ResultOK, b.opened[m]
				p.Report = Report{HasPosition: true, Position: b.r.positionAt(b.now), Role: role}
				b.r.HealthChecked(b.now, p)
			}
		}
	}
}

// placed asks for reads, has members that live answer them and their copies, and counts where they went first.
func (b *zoned) placed(n int) map[string]int {
	out := map[string]int{}
	for range n {
		b.live(10 * ms)
		b.ask(anyRead)
		for ; b.read < len(b.sends); b.read++ {
			s := b.sends[b.read]
			number := b.made[s.request]
			if b.made[s.request]++; number == 0 {
				out[s.member]++
			}
			if role := RoleReplica; b.alive[s.member] {
				if s.member == "a1" {
					role = RolePrimary
				}
				b.r.Outcome(b.now, Outcome{Request: s.request, Attempt: number, Member: s.member, Result: ResultOK, Latency: ms,
					Closed: true, Role: role, Position: b.at(0)})
			}
		}
	}
	return out
}

// TestTiersAmongNearTies has reads stay in the own zone as long as it has room, and leave it as it is lost.
func TestTiersAmongNearTies(t *testing.T) {
	b := newZoned(t, "b")
	b.live(time.Second)
	if at := b.placed(200); at["b1"]+at["b2"] < 195 {
		t.Errorf("with all well: %v", at)
	}
	b.alive["b1"], b.alive["b2"] = false, false
	b.placed(60)
	if b.r.Zones().Zone("b").State() != zones.Down {
		t.Fatalf("zone b is %s", b.r.Zones().Zone("b").State())
	}
	if at := b.placed(100); at["b1"]+at["b2"] > 0 || at["c1"] < 15 || at["c2"] < 15 || at["a2"] < 15 {
		t.Errorf("with the own zone lost: %v", at)
	}
	if !slices.ContainsFunc(b.zones, func(c zones.Change) bool { return c.Zone == "b" && c.To == zones.Down }) {
		t.Error("nobody was told")
	}
}

// TestStaleMembersStayOut guards freshness: the own tier does not make a member that lags eligible.
func TestStaleMembersStayOut(t *testing.T) {
	b := newZoned(t, "b")
	b.live(500 * ms)
	for range 50 {
		b.live(10 * ms)
		for _, m := range []string{"b1", "b2"} { // they stand where they stood
			b.r.members[m].position = b.r.positionAt(b.now - 5*time.Second)
			b.r.members[m].positionAt = b.now
		}
		q := b.ask(boundedRead)
		if to := b.to(q); len(to) > 0 && b.r.members[to[0]].zone == "b" {
			t.Fatalf("a read of data 200 ms old at most went to %s, 5 s behind", to[0])
		} else if len(to) > 0 {
			b.answer(q, ResultOK, RoleReplica, b.at(0))
		}
	}
}

// TestConnectionThatOutlives guards the way back: a member that went with its zone counts as started anew, unless a
// connection that came up before brings an answer. One that came up since proves nothing.
func TestConnectionThatOutlives(t *testing.T) {
	for _, lived := range []bool{false, true} {
		b := newZoned(t, "a")
		b.placed(50)
		for m := range b.alive {
			b.opened[m] = b.now - 500*ms // before it was heard last
		}
		b.alive["b1"], b.alive["b2"] = false, false
		b.placed(300)
		if !b.r.members["b1"].zoneState.Condemned(b.r.members["b1"].answeredAt) {
			t.Fatal("zone b is not lost")
		}
		b.alive["b1"], b.alive["b2"] = true, true
		if !lived {
			b.opened["b1"] = b.now
		}
		b.placed(100)
		if w := b.r.slowStartWeight(b.r.members["b1"]); lived != (w == 1) {
			t.Errorf("its connections lived on: %v, yet its warmth is %.2f", lived, w)
		}
	}
}

// TestMuteAgain guards the evidence of probes: one that went unanswered before the member was heard must not hide those
// that go unanswered after it.
func TestMuteAgain(t *testing.T) {
	b := newZoned(t, "a")
	b.placed(20)
	m := b.r.members["b1"]
	m.healthCheckSent(b.now)
	b.now += ms
	b.r.advanceClock(b.now)
	b.r.observeAnswer(m, 0)
	b.now += 100 * ms
	b.r.advanceClock(b.now)
	if m.healthCheckSent(b.now); b.r.healthCheckSilence(m) != 0 {
		t.Error("a probe that has just gone out counts")
	}
	b.now += 50 * ms
	b.r.advanceClock(b.now)
	if got := b.r.healthCheckSilence(m); got != 50*ms {
		t.Errorf("mute for %v, want 50ms", got)
	}
}

// TestDetectOnlyByReload guards the reload: tiers can be turned off and on while the module runs.
func TestDetectOnlyByReload(t *testing.T) {
	b := newZoned(t, "b")
	b.live(time.Second)
	for _, only := range []bool{true, false} {
		if err := b.r.Zones().Configure(zones.Options{Own: "b", DetectOnly: only}); err != nil {
			t.Fatal(err)
		}
		if at := b.placed(200); only != (at["b1"]+at["b2"] < 150) {
			t.Errorf("detect_only = %v: %v", only, at)
		}
	}
}

// TestZonesOffNothingChanges guards the platform: without the options no zone is judged and no probe goes another way.
func TestZonesOffNothingChanges(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	b.pass(time.Second)
	if b.r.Zones() != nil || len(b.zones) > 0 || b.r.members["a"].healthCheckConn() != ConnAny {
		t.Error("zones are judged though they are off")
	}
}
