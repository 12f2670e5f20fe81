package membership

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestSmallFaultCombinations runs three members for eight seconds with combinations of a long fault (a link cut in one
// direction, or a paused member) and one message that is lost, delayed or duplicated. No member may be declared failed, the
// budget shares may never sum to more than 1, and in the end every member must consider all members live.
func TestSmallFaultCombinations(t *testing.T) {
	const warmUpTicks, totalTicks, lastFaultTick = 20, 80, 50
	faultless := newTestFleet(t, 3)
	faultless.run(warmUpTicks)
	firstMessage := faultless.messagesSent
	faultless.run(lastFaultTick - warmUpTicks)
	lastMessage := faultless.messagesSent
	var longFaults []fault
	for a := range 3 {
		for at := warmUpTicks; at < lastFaultTick; at += 10 {
			longFaults = append(longFaults, fault{kind: "pause", at: at, a: a, ticks: 9})
			for b := range 3 {
				if a != b {
					longFaults = append(longFaults, fault{kind: "cut", at: at, a: a, b: b, ticks: totalTicks})
				}
			}
		}
	}
	runs := 0
	for _, longFault := range longFaults {
		for at := firstMessage; at < lastMessage; at += 2 {
			for _, kind := range []string{"loss", "late", "twice"} {
				fleet := newTestFleet(t, 3, longFault, fault{kind: kind, at: at})
				fleet.run(totalTicks)
				runs++
				if len(fleet.declaredFailed) > 0 || fleet.maxBudgetSum > 1+1e-9 {
					t.Fatalf("%+v and %s of message %d: %v, budget shares sum to %.2f", longFault, kind, at, fleet.declaredFailed, fleet.maxBudgetSum)
				}
				for _, n := range fleet.nodes {
					if n.liveMembers() != 3 {
						t.Fatalf("%+v and %s of message %d: the members of %s are %+v", longFault, kind, at, n.Self().Name, n.Members())
					}
				}
			}
		}
	}
	if t.Logf("%d runs", runs); runs < 2500 {
		t.Errorf("%d runs, want at least 2500", runs)
	}
}

// TestIndirectLinks checks that Indirect reports a link cut in one direction, and no intact link.
func TestIndirectLinks(t *testing.T) {
	fleet := newTestFleet(t, 4, fault{kind: "cut", at: 30, a: 1, b: 2, ticks: 1000})
	fleet.run(100)
	if got := fleet.nodes[1].Indirect(); !slices.Equal(got, []Incarnation{fleet.nodes[2].Self().Incarnation}) {
		t.Errorf("node 1 reaches %v only indirectly, want node 2", got)
	}
	if got := fleet.nodes[0].Indirect(); len(got) > 0 {
		t.Errorf("node 0 reaches %v only indirectly, want none", got)
	}
}

// TestIsolationIsDetected isolates one member, in each direction alone and in both. It must detect this, declare no other
// member failed and use no share of a budget.
func TestIsolationIsDetected(t *testing.T) {
	for name, c := range map[string]struct{ in, out bool }{"deaf": {in: true}, "dumb": {out: true}, "both": {in: true, out: true}} {
		var faults []fault
		for i := 1; i < 4; i++ {
			if c.in {
				faults = append(faults, fault{kind: "cut", at: 30, a: i, b: 0, ticks: 1000})
			}
			if c.out {
				faults = append(faults, fault{kind: "cut", at: 30, a: 0, b: i, ticks: 1000})
			}
		}
		fleet := newTestFleet(t, 4, faults...)
		fleet.run(200)
		node := fleet.nodes[0]
		if node.liveMembers() != 4 || c.in && !node.Isolated() || !c.in && !node.Unanswered() || node.BudgetShare() != 0 {
			t.Errorf("%s: members %+v, isolated %v, unanswered %v, budget share %.2f", name, node.Members(), node.Isolated(), node.Unanswered(), node.BudgetShare())
		}
		if fleet.maxBudgetSum > 1+1e-9 {
			t.Errorf("%s: budget shares sum to %.2f", name, fleet.maxBudgetSum)
		}
	}
}

// TestNoFailuresDeclaredAfterIsolation isolates a member for eight seconds, in each direction, so that all its probes fail,
// and then lets one answer reach it. The attempts made in isolation must not count against the other members.
func TestNoFailuresDeclaredAfterIsolation(t *testing.T) {
	for _, inbound := range []bool{true, false} {
		var faults []fault
		for i := 1; i < 6; i++ {
			cut := fault{kind: "cut", at: 30, a: i, b: 0, ticks: 1000}
			if !inbound {
				cut.a, cut.b = 0, i
			}
			faults = append(faults, cut)
		}
		fleet := newTestFleet(t, 6, faults...)
		fleet.run(110)
		n, from := fleet.nodes[0], fleet.nodes[1].Self()
		from.Heartbeat++
		n.Step(fleet.now+tick/2, Message{Kind: Ack, From: from})
		if n.Tick(fleet.now + tick); n.liveMembers() != 6 {
			t.Errorf("inbound links cut: %v; members after the first answer: %+v", inbound, n.Members())
		}
	}
}

// TestIncarnationsOfOneName restarts a member: the others must remove its old incarnation from the live members. Then it
// starts a second process with another member's name at a new address: both must stay live, and Conflicts must report the
// name.
func TestIncarnationsOfOneName(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.run(50)
	old := fleet.nodes[2].Self().Incarnation
	restarted, _ := New(fleet.now, Options{Name: "g2", Zone: "z2", Addr: "a2", Join: []string{"a0"}, Gateways: 3, Seed: 77})
	fleet.nodes[2] = restarted
	fleet.run(30)
	for _, n := range fleet.nodes[:2] {
		if i := slices.IndexFunc(n.Members(), func(x MemberState) bool { return x.Incarnation == old && x.State < Failed }); i >= 0 || n.liveMembers() != 3 {
			t.Errorf("%s still considers the old incarnation live: %+v", n.Self().Name, n.Members())
		}
	}
	duplicate, _ := New(fleet.now, Options{Name: "g1", Zone: "z1", Addr: "a9", Join: []string{"a0"}, Gateways: 3, Seed: 78})
	fleet.nodes = append(fleet.nodes, duplicate)
	fleet.declaredFailed = nil
	fleet.run(200)
	for _, n := range fleet.nodes {
		if !slices.Equal(n.Conflicts(), []string{"g1"}) || n.liveMembers() != 4 || len(fleet.declaredFailed) > 0 {
			t.Errorf("%s: conflicts %v, %d live members, failures %v", n.Self().Name, n.Conflicts(), n.liveMembers(), fleet.declaredFailed)
		}
	}
}

// TestReplayIsIgnored replays a message of a crashed member, which must not pass for a sign of life.
func TestReplayIsIgnored(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.run(50)
	fleet.nodes[2].Drain()
	fleet.nodes[2].ping(fleet.nodes[2].members[0])
	out, _ := fleet.nodes[2].Ready()
	replayed := out[len(out)-1]
	crashed := fleet.nodes[2].Self().Incarnation
	fleet.nodes = fleet.nodes[:2]
	fleet.nodes[0].Step(fleet.now, replayed) // the original delivery
	for range 30 {
		for _, n := range fleet.nodes {
			n.Step(fleet.now, replayed)
		}
		fleet.run(5)
	}
	for _, n := range fleet.nodes {
		if e := n.table[crashed]; e == nil || e.State != Failed {
			t.Errorf("%s has the crashed member as %+v, want state failed", n.Self().Name, e)
		}
	}
}

// TestFloodsAreBounded reports 10,000 invented members: the table must keep its bound, and a real live member must not be
// evicted.
func TestFloodsAreBounded(t *testing.T) {
	n, _ := New(0, Options{Name: "g", Addr: "a", MaxMembers: 50, Seed: 1})
	from := MemberState{Incarnation: 5, Name: "real", Addr: "r"}
	for i := range 10000 {
		from.Heartbeat++
		n.Step(time.Duration(i)*time.Millisecond, Message{Kind: Ack, From: from, Members: []MemberState{{Incarnation: Incarnation(100 + i), Name: "x", Addr: "y", Heartbeat: 1}}})
		n.Tick(time.Duration(i) * time.Millisecond)
		n.Ready()
	}
	if len(n.members) > 50 || n.table[5] == nil || n.table[5].State != Alive || n.Rejected() == 0 {
		t.Errorf("%d members, the real one %+v, %d rejected", len(n.members), n.table[5], n.Rejected())
	}
	n.Step(time.Hour, Message{Kind: Ping, Fleet: "another", From: MemberState{Incarnation: 6, Name: "x", Addr: "y"}})
	if n.table[6] != nil {
		t.Error("a member of another fleet was added")
	}
}

// TestDecodeIsStrict decodes a message truncated at every byte, which must fail, and with each single bit flipped, which must
// not panic. A datagram above the size limit must not be encoded.
func TestDecodeIsStrict(t *testing.T) {
	m := Message{Kind: PingRequest, Fleet: "f", From: MemberState{Incarnation: 1, Name: "a", Zone: "z", Addr: "x:1", Heartbeat: 3}, Target: 2, Seq: 9,
		Subject: MemberState{Incarnation: 4, Name: "b", Addr: "y:1", Age: time.Second}, Members: []MemberState{{Incarnation: 5, Name: "c", Addr: "z:1", State: Failed}}}
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(b); err != nil || fmt.Sprint(got) != fmt.Sprint(m) {
		t.Fatalf("%+v, %v", got, err)
	}
	for i := range b {
		if _, err := Decode(b[:i]); !errors.Is(err, ErrMalformed) {
			t.Errorf("truncated to %d bytes: %v", i, err)
		}
		for bit := range 8 {
			flipped := bytes.Clone(b)
			flipped[i] ^= 1 << bit
			Decode(flipped)
		}
	}
	oversized := m
	for range 100 {
		oversized.Members = append(oversized.Members, m.Members[0])
	}
	if _, err := Encode(oversized); err == nil {
		t.Error("a datagram above the size limit was encoded")
	}
}

// FuzzDecode looks for bytes that Decode accepts and with which a node panics or exceeds its bound of members.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(Message{Kind: Ping, From: MemberState{Incarnation: 1, Name: "a", Addr: "b"}, Members: []MemberState{{Incarnation: 2, Name: "c", Addr: "d", Age: 5}}})
	f.Add(b)
	malformed, _ := hex.DecodeString("01a101ff")
	f.Add(malformed)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		n, _ := New(0, Options{Name: "g", Addr: "a", MaxMembers: 10, Seed: 1})
		n.Step(time.Second, m)
		n.Tick(2 * time.Second)
		if len(n.members) > 10 {
			t.Errorf("%d members", len(n.members))
		}
	})
}

// TestNoFailuresDeclaredAfterStall suspends a member for 4 s while it suspects another that has not answered yet.
// Answers missed during the suspension must not count against any member.
func TestNoFailuresDeclaredAfterStall(t *testing.T) {
	for stop := 30; stop < 50; stop++ {
		fleet := newTestFleet(t, 3, fault{kind: "cut", at: 28, a: 0, b: 1, ticks: stop - 28}, fault{kind: "cut", at: 28, a: 2, b: 1, ticks: stop - 28},
			fault{kind: "pause", at: stop, a: 0, ticks: 40})
		fleet.run(150)
		for _, failure := range fleet.declaredFailed {
			if strings.HasPrefix(failure, "g0 failed") {
				t.Errorf("suspended at tick %d: %s", stop, failure)
			}
		}
	}
}

// TestStall makes a member's clock jump, with a message queued in the meantime. A suspicion from before the jump must start
// over, and after a long jump the member must use no share of a budget until the others count it again.
func TestStall(t *testing.T) {
	for _, longStall := range []bool{false, true} {
		fleet := newTestFleet(t, 4)
		fleet.run(100)
		n, peer := fleet.nodes[0], fleet.nodes[3]
		suspect := n.table[fleet.nodes[1].Self().Incarnation]
		suspect.suspicion = n.newSuspicion(fleet.now)
		suspect.suspicion.othersAnswered = 5 // others answered before the suspension
		gap := 4 * time.Second
		if longStall {
			gap = 12 * time.Second
		}
		peer.ping(peer.table[n.Self().Incarnation])
		out, _ := peer.Ready()
		n.Step(fleet.now+gap, out[len(out)-1])
		if n.Tick(fleet.now + gap); suspect.State != Alive {
			t.Errorf("after %v: the state of %s is %s", gap, suspect.Name, suspect.State)
		}
		if (n.BudgetShare() == 0) != longStall {
			t.Errorf("after %v: budget share %.2f", gap, n.BudgetShare())
		}
	}
}

// TestNoBudgetBeforeJoin starts a gateway none of whose join addresses answers: it must use no share of a budget, because it
// does not know which other gateways use it. A gateway without another gateway's address is the first of its fleet and
// uses its share at once.
func TestNoBudgetBeforeJoin(t *testing.T) {
	for _, c := range []struct {
		join []string
		want float64
	}{{[]string{"dead", "self"}, 0}, {[]string{"self"}, 0.25}, {nil, 0.25}} {
		n, err := New(0, Options{Name: "g", Addr: "self", Join: c.join, Gateways: 4, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		for now := time.Duration(0); now <= 4*time.Second; now += tick {
			n.Tick(now)
			if n.BudgetShare() != c.want {
				t.Fatalf("joining %v: budget share %v after %v, want %v", c.join, n.BudgetShare(), now, c.want)
			}
		}
		n.Join(nil)
		if n.BudgetShare() == 0 {
			t.Errorf("joining %v: no budget share although the join addresses were removed", c.join)
		}
	}
}

// TestLongNames lets a node gossip about 40 members with the longest names, zones and addresses. No datagram may exceed
// MaxDatagram, and all members must be gossiped.
func TestLongNames(t *testing.T) {
	longText := func(c string, i int) string { return fmt.Sprintf("%02d%s", i, strings.Repeat(c, maxNameBytes-2)) }
	n, err := New(0, Options{Fleet: longText("f", 0), Name: longText("n", 0), Zone: longText("z", 0), Addr: longText("a", 0), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	gossiped := map[Incarnation]bool{}
	for i := range 40 {
		from := MemberState{Incarnation: Incarnation(math.MaxUint64 - uint64(i)), Name: longText("n", i+1), Zone: longText("z", i+1), Addr: longText("a", i+1), Heartbeat: math.MaxUint64}
		n.Step(time.Duration(i)*time.Millisecond, Message{Kind: Ping, Fleet: longText("f", 0), From: from, Seq: math.MaxUint64})
	}
	for now := tick; now < 20*time.Second; now += tick {
		n.Tick(now)
		out, _ := n.Ready()
		for _, m := range out {
			if b, err := Encode(m); err != nil {
				t.Fatal(err)
			} else if m.Kind != StateRequest && m.Kind != StateResponse && len(b) > MaxDatagram {
				t.Fatalf("a datagram has %d bytes, more than MaxDatagram", len(b))
			}
			for _, r := range m.Members {
				gossiped[r.Incarnation] = true
			}
		}
	}
	if len(gossiped) != 40 {
		t.Errorf("%d of 40 members were gossiped", len(gossiped))
	}
}

// allLinks are the links between three members, each as sender and receiver, in order.
var allLinks = [][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}
