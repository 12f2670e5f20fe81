package membership

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// deviation is one thing that goes otherwise in a run than it would by itself.
type deviation struct {
	kind string // "loss", "twice", "late", "pause" or "cut"
	at   int    // the message's number, or the tick
	a, b int    // the member that stands still, or the direction of the cut
	ever int    // ticks that it lasts
}

// ring is a few members on a network without loss, but for the deviations.
type ring struct {
	nodes   []*Node
	now     time.Duration
	sent    int
	waiting []waiting
	devs    []deviation
	failed  []string
	most    float64 // parts of a budget
}

type waiting struct {
	at time.Duration
	m  Message
}

const (
	tick   = 100 * time.Millisecond
	passes = 2 * time.Millisecond
)

func newRing(t *testing.T, n int, devs ...deviation) *ring {
	r := &ring{devs: devs}
	for i := range n {
		x, err := New(0, Options{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Addr: fmt.Sprint("a", i), Join: []string{"a0", "a1"},
			Gateways: n, Seed: uint64(i + 1)})
		if err != nil {
			t.Fatal(err)
		}
		r.nodes = append(r.nodes, x)
	}
	return r
}

func (r *ring) stopped(i, tickNo int) bool {
	return slices.ContainsFunc(r.devs, func(d deviation) bool {
		return d.kind == "pause" && d.a == i && tickNo >= d.at && tickNo < d.at+d.ever
	})
}

func (r *ring) collect(tickNo int, from *Node) {
	out, changes := from.Ready()
	for _, c := range changes {
		if c.Member.State == Failed && !c.New {
			r.failed = append(r.failed, fmt.Sprintf("%s failed %s at %v", from.Self().Name, c.Member.Name, r.now))
		}
	}
	for _, m := range out {
		r.sent++
		at, copies := r.now+passes, 1
		for _, d := range r.devs {
			switch cut := d.kind == "cut" && tickNo >= d.at && tickNo < d.at+d.ever; {
			case cut && m.From.Addr == fmt.Sprint("a", d.a) && m.To == fmt.Sprint("a", d.b), d.kind == "loss" && d.at == r.sent:
				copies = 0
			case d.kind == "late" && d.at == r.sent:
				at += 700 * time.Millisecond
			case d.kind == "twice" && d.at == r.sent:
				r.waiting = append(r.waiting, waiting{at + 3*time.Second, m})
			}
		}
		if copies > 0 {
			r.waiting = append(r.waiting, waiting{at, m})
		}
	}
}

// run plays so many ticks. What is sent arrives between them.
func (r *ring) run(ticks int) {
	first := int(r.now / tick)
	for k := first; k < first+ticks; k++ {
		r.now = time.Duration(k+1) * tick
		for i, n := range r.nodes {
			if !r.stopped(i, k) {
				n.Tick(r.now)
				r.collect(k, n)
			}
		}
		end := r.now + tick - passes
		for {
			i := -1
			for j, w := range r.waiting {
				if w.at <= end && (i < 0 || w.at < r.waiting[i].at) {
					i = j
				}
			}
			if i < 0 {
				break
			}
			w := r.waiting[i]
			r.waiting = slices.Delete(r.waiting, i, i+1)
			for to, n := range r.nodes {
				if n.Self().Addr != w.m.To {
					continue
				}
				if r.stopped(to, k) {
					w.at = r.now + 2*tick // it waits in the socket
					r.waiting = append(r.waiting, w)
					continue
				}
				r.now = max(r.now, w.at)
				n.Step(r.now, w.m)
				r.collect(k, n)
			}
		}
		parts := 0.0
		for _, n := range r.nodes {
			parts += n.BudgetShare()
		}
		r.most = max(r.most, parts)
	}
}

// TestAllSmallRuns plays three members for eight seconds with all combinations of a cut in one direction or a
// standstill with one message that is lost, comes late or comes twice. Nobody may be failed, the parts of a budget are
// never more than the budget, and all views are alike in the end.
func TestAllSmallRuns(t *testing.T) {
	const warm, length, last = 20, 80, 50
	plain := newRing(t, 3)
	plain.run(warm)
	from := plain.sent
	plain.run(last - warm)
	to := plain.sent
	var large []deviation
	for a := range 3 {
		for at := warm; at < last; at += 10 {
			large = append(large, deviation{kind: "pause", at: at, a: a, ever: 9})
			for b := range 3 {
				if a != b {
					large = append(large, deviation{kind: "cut", at: at, a: a, b: b, ever: length})
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
				if len(r.failed) > 0 || r.most > 1+1e-9 {
					t.Fatalf("%+v and %s of message %d: %v, parts %.2f", big, kind, at, r.failed, r.most)
				}
				for _, n := range r.nodes {
					if n.there() != 3 {
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

// TestLinksAreKnown looks for a cut in one direction in what the members say of it.
func TestLinksAreKnown(t *testing.T) {
	r := newRing(t, 4, deviation{kind: "cut", at: 30, a: 1, b: 2, ever: 1000})
	r.run(100)
	if got := r.nodes[1].Unreached(); !slices.Equal(got, []Incarnation{r.nodes[2].Self().Incarnation}) {
		t.Errorf("1 does not reach %v, want 2 alone", got)
	}
	if got := r.nodes[0].Unreached(); len(got) > 0 {
		t.Errorf("0 does not reach %v", got)
	}
}

// TestWhoIsCutOffKnows cuts one member off, in each direction alone and in both: it fails nobody.
func TestWhoIsCutOffKnows(t *testing.T) {
	for name, c := range map[string]struct{ in, out bool }{"deaf": {in: true}, "dumb": {out: true}, "both": {in: true, out: true}} {
		var devs []deviation
		for i := 1; i < 4; i++ {
			if c.in {
				devs = append(devs, deviation{kind: "cut", at: 30, a: i, b: 0, ever: 1000})
			}
			if c.out {
				devs = append(devs, deviation{kind: "cut", at: 30, a: 0, b: i, ever: 1000})
			}
		}
		r := newRing(t, 4, devs...)
		r.run(200)
		x := r.nodes[0]
		if x.there() != 4 || c.in && !x.Isolated() || !c.in && !x.Unanswered() || x.BudgetShare() != 0 {
			t.Errorf("%s: holds %+v, cut %v, unheard %v, part %.2f", name, x.Members(), x.Isolated(), x.Unanswered(), x.BudgetShare())
		}
		if r.most > 1+1e-9 {
			t.Errorf("%s: parts add up to %.2f", name, r.most)
		}
	}
}

// TestWhoHearsAgainAccusesNobody cuts a member off for eight seconds, in each direction, in which it tries all others in
// vain, and then lets one answer reach it.
func TestWhoHearsAgainAccusesNobody(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		var devs []deviation
		for i := 1; i < 6; i++ {
			d := deviation{kind: "cut", at: 30, a: i, b: 0, ever: 1000}
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
		if n.Tick(r.now + tick); n.there() != 6 {
			t.Errorf("deaf %v: it holds %+v", deaf, n.Members())
		}
	}
}

// TestStartsOfOneName ends the old start of a member that came back, and names two processes of one name without ending
// either.
func TestStartsOfOneName(t *testing.T) {
	r := newRing(t, 3)
	r.run(50)
	old := r.nodes[2].Self().Incarnation
	again, _ := New(r.now, Options{Name: "g2", Zone: "z2", Addr: "a2", Join: []string{"a0"}, Gateways: 3, Seed: 77})
	r.nodes[2] = again
	r.run(30)
	for _, n := range r.nodes[:2] {
		if i := slices.IndexFunc(n.Members(), func(x MemberState) bool { return x.Incarnation == old && x.State < Failed }); i >= 0 || n.there() != 3 {
			t.Errorf("%s still holds the old start: %+v", n.Self().Name, n.Members())
		}
	}
	twin, _ := New(r.now, Options{Name: "g1", Zone: "z1", Addr: "a9", Join: []string{"a0"}, Gateways: 3, Seed: 78})
	r.nodes = append(r.nodes, twin)
	r.failed = nil
	r.run(200)
	for _, n := range r.nodes {
		if !slices.Equal(n.Conflicts(), []string{"g1"}) || n.there() != 4 || len(r.failed) > 0 {
			t.Errorf("%s: conflicts %v, %d there, %v", n.Self().Name, n.Conflicts(), n.there(), r.failed)
		}
	}
}

// TestReplayIsNoSignOfLife replays what a dead member said.
func TestReplayIsNoSignOfLife(t *testing.T) {
	r := newRing(t, 3)
	r.run(50)
	r.nodes[2].Drain()
	r.nodes[2].ping(r.nodes[2].sorted[0])
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
	if len(n.sorted) > 50 || n.table[5] == nil || n.table[5].State != Alive || n.Rejected() == 0 {
		t.Errorf("%d members, the real one %+v, %d refused", len(n.sorted), n.table[5], n.Rejected())
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
		if len(n.sorted) > 10 {
			t.Errorf("%d members", len(n.sorted))
		}
	})
}

// TestWhoStoodStillAccusesNobody stops a member for 4 s while it tries to reach another, in vain so far: what it missed
// in the meantime is held against nobody.
func TestWhoStoodStillAccusesNobody(t *testing.T) {
	for stop := 30; stop < 50; stop++ {
		r := newRing(t, 3, deviation{kind: "cut", at: 28, a: 0, b: 1, ever: stop - 28}, deviation{kind: "cut", at: 28, a: 2, b: 1, ever: stop - 28},
			deviation{kind: "pause", at: stop, a: 0, ever: 40})
		r.run(150)
		for _, x := range r.failed {
			if strings.HasPrefix(x, "g0 failed") {
				t.Errorf("stopped at %d: %s", stop, x)
			}
		}
	}
}

// TestStandstill holds what a member makes of a jump of its own clock, with mail that waited for it: what it was trying
// counts from now on, and after a long one it uses no part of any budget until the others count it again.
func TestStandstill(t *testing.T) {
	for _, long := range []bool{false, true} {
		r := newRing(t, 4)
		r.run(100)
		n, by := r.nodes[0], r.nodes[3]
		e := n.table[r.nodes[1].Self().Incarnation]
		e.suspect = n.newSuspicion(r.now)
		e.suspect.heard = 5 // others answered before it stopped
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

// TestStartsWithoutPart has a gateway start before seeds that are all dead: it does not know who else uses the budget.
// One whose list names itself alone is the first of all.
func TestStartsWithoutPart(t *testing.T) {
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
	long := func(c string, i int) string { return fmt.Sprintf("%02d%s", i, strings.Repeat(c, longest-2)) }
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

// choice is one step of a small fleet: a message that arrives, or what befalls one, a member or a link; or a tick.
type choice struct {
	kind string // "take", "lose", "double", "pause", "cut" or "tick"
	a, b int
}

// small is three members whose every step is chosen. Messages of one link keep their order; none is under way for more than
// two ticks, which stands for the longest delay.
type small struct {
	nodes  []*Node
	now    time.Duration
	links  map[[2]int][]waiting
	spent  map[string]bool // each thing that can go wrong does so once
	asleep [3]time.Duration
	cut    [2]int
	cutTo  time.Duration
	failed int
	parts  float64
}

func newSmall(plain bool) *small {
	s := &small{links: map[[2]int][]waiting{}, spent: map[string]bool{}}
	for i := range 3 {
		n, err := New(0, Options{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Addr: fmt.Sprint("a", i), Join: []string{"a0", "a1"}, Gateways: 3, Seed: uint64(i + 11), PlainSWIM: plain})
		if err != nil {
			panic(err)
		}
		s.nodes = append(s.nodes, n)
	}
	for s.now < 8*time.Second {
		s.round()
	}
	s.parts = 0
	return s
}

// pairs are all links, in order.
var pairs = [][2]int{{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}

func (s *small) flush(i int) {
	out, changes := s.nodes[i].Ready()
	for _, c := range changes {
		if c.Member.State == Failed {
			s.failed++
		}
	}
	for _, m := range out {
		link := [2]int{i, int(m.To[1] - '0')}
		if s.now < s.cutTo && link == s.cut {
			continue
		}
		s.links[link] = append(s.links[link], waiting{s.now, m})
	}
}

func (s *small) awake(i int) bool { return s.now >= s.asleep[i] }

// choices are the steps that are possible now.
func (s *small) choices() (out []choice) {
	late := false
	for _, l := range pairs {
		if q := s.links[l]; len(q) > 0 && s.awake(l[1]) {
			out = append(out, choice{"take", l[0], l[1]})
			late = late || s.now-q[0].at >= 2*tick
			for _, kind := range []string{"lose", "double"} {
				if !s.spent[kind] {
					out = append(out, choice{kind, l[0], l[1]})
				}
			}
		}
		if !s.spent["cut"] {
			out = append(out, choice{"cut", l[0], l[1]})
		}
	}
	for i := range s.nodes {
		if !s.spent["pause"] {
			out = append(out, choice{"pause", i, 0})
		}
	}
	if !late {
		out = append(out, choice{"tick", 0, 0})
	}
	return out
}

func (s *small) step(c choice) {
	link := [2]int{c.a, c.b}
	switch c.kind {
	case "take", "lose", "double":
		m := s.links[link][0].m
		if c.kind != "double" { // a double is taken, and stays
			s.links[link] = s.links[link][1:]
		}
		if c.kind != "lose" {
			s.nodes[c.b].Step(s.now, m)
			s.flush(c.b)
		}
	case "pause":
		s.asleep[c.a] = s.now + 900*time.Millisecond
	case "cut":
		s.cut, s.cutTo = link, s.now+4*time.Second
	case "tick":
		s.now += tick
		parts := 0.0
		for i, n := range s.nodes {
			if s.awake(i) {
				n.Tick(s.now)
				s.flush(i)
				parts += n.BudgetShare()
			}
		}
		s.parts = max(s.parts, parts)
	}
	if c.kind != "take" && c.kind != "tick" {
		s.spent[c.kind] = true
	}
}

// round is a tick after which all messages arrive.
func (s *small) round() {
	s.step(choice{kind: "tick"})
	for more := true; more; {
		more = false
		for _, l := range pairs {
			if len(s.links[l]) > 0 && s.awake(l[1]) {
				s.step(choice{"take", l[0], l[1]})
				more = true
			}
		}
	}
}

// state sums up all that the future hangs on, but for the random choices to come, which the same past leaves alike.
func (s *small) state() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.spent, s.asleep, s.cut, s.cutTo)
	for _, n := range s.nodes {
		fmt.Fprint(&b, "|", n.seq, n.self.Heartbeat, n.heardAt, n.answerAt, n.nextAt, n.order, len(n.hot), n.pings, n.older, n.errands)
		for _, e := range n.sorted {
			fmt.Fprint(&b, ";", e.MemberState, e.heard, e.since, e.sends, e.relayed)
			if e.suspect != nil {
				fmt.Fprint(&b, *e.suspect)
			}
		}
	}
	for _, l := range pairs {
		for _, w := range s.links[l] {
			fmt.Fprint(&b, "/", l, w.at, w.m)
		}
	}
	return b.String()
}

// TestAllInterleavings plays every order of steps of three members up to a depth, in which one message is lost, one comes
// twice, one member stands still for 0.9 s and one link is cut in one direction for 4 s, each at any step or not at all. What
// follows runs its course for 6 s: nobody is held as failed, and parts of a budget are together at most 1.
func TestAllInterleavings(t *testing.T) {
	t.Parallel()
	depth := 4
	if d, err := strconv.Atoi(os.Getenv("MEMBERS_DEPTH")); err == nil {
		depth = d
	}
	x := interleave(depth, false)
	t.Logf("depth %d: %d states, %d runs to the end", depth, x.states, x.ends)
	for _, text := range x.wrong {
		t.Error(text)
	}
	if x.ends < 100 {
		t.Errorf("only %d runs: nothing was tried", x.ends)
	}
	if y := interleave(2, true); len(y.wrong) == 0 {
		t.Errorf("members that give verdicts after one trial are not found out in %d runs", y.ends)
	}
}

// explored is what all interleavings have come to.
type explored struct {
	states, ends int
	wrong        []string
}

func interleave(depth int, plain bool) (x explored) {
	seen := map[string]bool{}
	var walk func(path []choice)
	walk = func(path []choice) {
		s := newSmall(plain)
		for _, c := range path {
			s.step(c)
		}
		key := s.state()
		if seen[key] {
			return
		}
		seen[key] = true
		if len(path) < depth {
			for _, c := range s.choices() {
				walk(append(path[:len(path):len(path)], c))
			}
			return
		}
		x.ends++
		for end := s.now + 6*time.Second; s.now < end; {
			s.round()
		}
		if s.failed > 0 || s.parts > 1+1e-9 {
			x.wrong = append(x.wrong, fmt.Sprintf("after %v: %d verdicts, parts %.3f", path, s.failed, s.parts))
		}
	}
	walk(nil)
	x.states = len(seen)
	return x
}
