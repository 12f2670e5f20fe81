package membership

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

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

func (s *small) isRunning(i int) bool { return s.now >= s.asleep[i] }

// choices are the steps that are possible now.
func (s *small) choices() (out []choice) {
	late := false
	for _, l := range pairs {
		if q := s.links[l]; len(q) > 0 && s.isRunning(l[1]) {
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
			if s.isRunning(i) {
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
			if len(s.links[l]) > 0 && s.isRunning(l[1]) {
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
		fmt.Fprint(&b, "|", n.seq, n.self.Heartbeat, n.lastHeard, n.lastAnswer, n.nextProbe, n.probeOrder, len(n.disseminating), n.pendingProbes, n.previousProbes, n.relays)
		for _, e := range n.members {
			fmt.Fprint(&b, ";", e.MemberState, e.lastHeard, e.stateSince, e.transmitsLeft, e.indirect)
			if e.suspicion != nil {
				fmt.Fprint(&b, *e.suspicion)
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
