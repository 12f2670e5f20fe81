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

// TestSmallFaultCombinations plays three members for eight seconds with all combinations of a cut in one direction or a
// standstill with one message that is lost, comes late or comes twice. Nobody may be failed, the parts of a budget are
// never more than the budget, and all views are alike in the end.
func TestSmallFaultCombinations(t *testing.T) {
	const warm, length, last = 20, 80, 50
	plain := newRing(t, 3)
	plain.run(warm)
	from := plain.sent
	plain.run(last - warm)
	to := plain.sent
	var large []deviation
	for a := range 3 {
		for at := warm; at < last; at += 10 {
			large = append(large, deviation{kind: "pause", at: at, a: a, ticks: 9})
			for b := range 3 {
				if a != b {
					large = append(large, deviation{kind: "cut", at: at, a: a, b: b, ticks: length})
				}
			}
		}
	}
	runs := 0
	for _, big := range large {
		for at := from; at < to; at += 2 {
			for _, kind := range []string{"loss", "late", "twice"} {
				r := newRing(t, 3, big, deviation{kind: kind, at: at})
				r.run(length)
				runs++
				if len(r.failed) > 0 || r.maxBudget > 1+1e-9 {
					t.Fatalf("%+v and %s of message %d: %v, parts %.2f", big, kind, at, r.failed, r.maxBudget)
				}
				for _, n := range r.nodes {
					if n.liveMembers() != 3 {
						t.Fatalf("%+v and %s of message %d: %s holds %+v", big, kind, at, n.Self().Name, n.Members())
					}
				}
			}
		}
	}
	if t.Logf("%d runs", runs); runs < 2500 {
		t.Errorf("%d runs are too few", runs)
	}
}

// TestIndirectLinks looks for a cut in one direction in what the members say of it.
func TestIndirectLinks(t *testing.T) {
	r := newRing(t, 4, deviation{kind: "cut", at: 30, a: 1, b: 2, ticks: 1000})
	r.run(100)
	if got := r.nodes[1].Indirect(); !slices.Equal(got, []Incarnation{r.nodes[2].Self().Incarnation}) {
		t.Errorf("1 does not reach %v, want 2 alone", got)
	}
	if got := r.nodes[0].Indirect(); len(got) > 0 {
		t.Errorf("0 does not reach %v", got)
	}
}

// TestIsolationIsDetected cuts one member off, in each direction alone and in both: it fails nobody.
func TestIsolationIsDetected(t *testing.T) {
	for name, c := range map[string]struct{ in, out bool }{"deaf": {in: true}, "dumb": {out: true}, "both": {in: true, out: true}} {
		var devs []deviation
		for i := 1; i < 4; i++ {
			if c.in {
				devs = append(devs, deviation{kind: "cut", at: 30, a: i, b: 0, ticks: 1000})
			}
			if c.out {
				devs = append(devs, deviation{kind: "cut", at: 30, a: 0, b: i, ticks: 1000})
			}
		}
		r := newRing(t, 4, devs...)
		r.run(200)
		x := r.nodes[0]
		if x.liveMembers() != 4 || c.in && !x.Isolated() || !c.in && !x.Unanswered() || x.BudgetShare() != 0 {
			t.Errorf("%s: holds %+v, cut %v, unheard %v, part %.2f", name, x.Members(), x.Isolated(), x.Unanswered(), x.BudgetShare())
		}
		if r.maxBudget > 1+1e-9 {
			t.Errorf("%s: parts add up to %.2f", name, r.maxBudget)
		}
	}
}

// TestNoVerdictsAfterIsolation cuts a member off for eight seconds, in each direction, in which it tries all others in
// vain, and then lets one answer reach it.
func TestNoVerdictsAfterIsolation(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		var devs []deviation
		for i := 1; i < 6; i++ {
			d := deviation{kind: "cut", at: 30, a: i, b: 0, ticks: 1000}
			if !deaf {
				d.a, d.b = 0, i
			}
			devs = append(devs, d)
		}
		r := newRing(t, 6, devs...)
		r.run(110)
		n, from := r.nodes[0], r.nodes[1].Self()
		from.Heartbeat++
		n.Step(r.now+tick/2, Message{Kind: Ack, From: from})
		if n.Tick(r.now + tick); n.liveMembers() != 6 {
			t.Errorf("deaf %v: it holds %+v", deaf, n.Members())
		}
	}
}

// TestIncarnationsOfOneName ends the old start of a member that came back, and names two processes of one name without ending
// either.
func TestIncarnationsOfOneName(t *testing.T) {
	r := newRing(t, 3)
	r.run(50)
	old := r.nodes[2].Self().Incarnation
	again, _ := New(r.now, Options{Name: "g2", Zone: "z2", Addr: "a2", Join: []string{"a0"}, Gateways: 3, Seed: 77})
	r.nodes[2] = again
	r.run(30)
	for _, n := range r.nodes[:2] {
		if i := slices.IndexFunc(n.Members(), func(x MemberState) bool { return x.Incarnation == old && x.State < Failed }); i >= 0 || n.liveMembers() != 3 {
			t.Errorf("%s still holds the old start: %+v", n.Self().Name, n.Members())
		}
	}
	twin, _ := New(r.now, Options{Name: "g1", Zone: "z1", Addr: "a9", Join: []string{"a0"}, Gateways: 3, Seed: 78})
	r.nodes = append(r.nodes, twin)
	r.failed = nil
	r.run(200)
	for _, n := range r.nodes {
		if !slices.Equal(n.Conflicts(), []string{"g1"}) || n.liveMembers() != 4 || len(r.failed) > 0 {
			t.Errorf("%s: conflicts %v, %d there, %v", n.Self().Name, n.Conflicts(), n.liveMembers(), r.failed)
		}
	}
}

// TestReplayIsIgnored replays what a dead member said.
func TestReplayIsIgnored(t *testing.T) {
	r := newRing(t, 3)
	r.run(50)
	r.nodes[2].Drain()
	r.nodes[2].ping(r.nodes[2].members[0])
	out, _ := r.nodes[2].Ready()
	said := out[len(out)-1]
	dead := r.nodes[2].Self().Incarnation
	r.nodes = r.nodes[:2]
	r.nodes[0].Step(r.now, said) // it was said in time
	for range 30 {
		for _, n := range r.nodes {
			n.Step(r.now, said)
		}
		r.run(5)
	}
	for _, n := range r.nodes {
		if e := n.table[dead]; e == nil || e.State != Failed {
			t.Errorf("%s holds %+v", n.Self().Name, e)
		}
	}
}

// TestFloodsAreBounded invents members without end: those that live are not displaced.
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
		t.Errorf("%d members, the real one %+v, %d refused", len(n.members), n.table[5], n.Rejected())
	}
	n.Step(time.Hour, Message{Kind: Ping, Fleet: "another", From: MemberState{Incarnation: 6, Name: "x", Addr: "y"}})
	if n.table[6] != nil {
		t.Error("a member of another fleet was taken in")
	}
}

// TestDecodeIsStrict cuts a message at every byte, and flips every bit: what comes back is an error or a message within all
// bounds.
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
			t.Errorf("cut at %d: %v", i, err)
		}
		for bit := range 8 {
			x := bytes.Clone(b)
			x[i] ^= 1 << bit
			Decode(x)
		}
	}
	long := m
	for range 100 {
		long.Members = append(long.Members, m.Members[0])
	}
	if _, err := Encode(long); err == nil {
		t.Error("a datagram over the bound is written")
	}
}

// FuzzDecode looks for bytes that Decode takes and Encode would not write within its bounds.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(Message{Kind: Ping, From: MemberState{Incarnation: 1, Name: "a", Addr: "b"}, Members: []MemberState{{Incarnation: 2, Name: "c", Addr: "d", Age: 5}}})
	f.Add(b)
	odd, _ := hex.DecodeString("01a101ff")
	f.Add(odd)
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

// TestNoVerdictsAfterStall stops a member for 4 s while it tries to reach another, in vain so far: what it missed
// in the meantime is held against nobody.
func TestNoVerdictsAfterStall(t *testing.T) {
	for stop := 30; stop < 50; stop++ {
		r := newRing(t, 3, deviation{kind: "cut", at: 28, a: 0, b: 1, ticks: stop - 28}, deviation{kind: "cut", at: 28, a: 2, b: 1, ticks: stop - 28},
			deviation{kind: "pause", at: stop, a: 0, ticks: 40})
		r.run(150)
		for _, x := range r.failed {
			if strings.HasPrefix(x, "g0 failed") {
				t.Errorf("stopped at %d: %s", stop, x)
			}
		}
	}
}

// TestStall holds what a member makes of a jump of its own clock, with mail that waited for it: what it was trying
// counts from now on, and after a long one it uses no part of any budget until the others count it again.
func TestStall(t *testing.T) {
	for _, long := range []bool{false, true} {
		r := newRing(t, 4)
		r.run(100)
		n, by := r.nodes[0], r.nodes[3]
		e := n.table[r.nodes[1].Self().Incarnation]
		e.suspicion = n.newSuspicion(r.now)
		e.suspicion.othersAnswered = 5 // others answered before it stopped
		gap := 4 * time.Second
		if long {
			gap = 12 * time.Second
		}
		by.ping(by.table[n.Self().Incarnation])
		out, _ := by.Ready()
		n.Step(r.now+gap, out[len(out)-1])
		if n.Tick(r.now + gap); e.State != Alive {
			t.Errorf("after %v %s is held as %s", gap, e.Name, e.State)
		}
		if (n.BudgetShare() == 0) != long {
			t.Errorf("after %v it uses %.2f", gap, n.BudgetShare())
		}
	}
}

// TestNoBudgetBeforeJoin has a gateway start before seeds that are all dead: it does not know who else uses the budget.
// One whose list names itself alone is the first of all.
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
				t.Fatalf("joining %v: a part of %v after %v, want %v", c.join, n.BudgetShare(), now, c.want)
			}
		}
		n.Join(nil)
		if n.BudgetShare() == 0 {
			t.Errorf("joining %v: no part though there is nobody to wait for any more", c.join)
		}
	}
}

// TestLongNames has members with the longest names, zones and addresses tell each other of many: no datagram may be too long
// to be sent.
func TestLongNames(t *testing.T) {
	long := func(c string, i int) string { return fmt.Sprintf("%02d%s", i, strings.Repeat(c, maxNameBytes-2)) }
	n, err := New(0, Options{Fleet: long("f", 0), Name: long("n", 0), Zone: long("z", 0), Addr: long("a", 0), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	told := map[Incarnation]bool{}
	for i := range 40 {
		from := MemberState{Incarnation: Incarnation(math.MaxUint64 - uint64(i)), Name: long("n", i+1), Zone: long("z", i+1), Addr: long("a", i+1), Heartbeat: math.MaxUint64}
		n.Step(time.Duration(i)*time.Millisecond, Message{Kind: Ping, Fleet: long("f", 0), From: from, Seq: math.MaxUint64})
	}
	for now := tick; now < 20*time.Second; now += tick {
		n.Tick(now)
		out, _ := n.Ready()
		for _, m := range out {
			if b, err := Encode(m); err != nil {
				t.Fatal(err)
			} else if m.Kind != StateRequest && m.Kind != StateResponse && len(b) > MaxDatagram {
				t.Fatalf("a datagram of %d bytes", len(b))
			}
			for _, r := range m.Members {
				told[r.Incarnation] = true
			}
		}
	}
	if len(told) != 40 {
		t.Errorf("%d of 40 members were told of", len(told))
	}
}

// pairs are all links, in order.
var pairs = [][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}
