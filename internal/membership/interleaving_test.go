package membership

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// fleetStep is one step of a steppedFleet: the delivery of a message, a fault, or a tick.
type fleetStep struct {
	// kind is "take" (a message is delivered), "lose", "double" (it is delivered and stays queued), "pause" (of a member),
	// "cut" (of a link) or "tick".
	kind string
	a, b int // the link from a to b; of a pause: member a
}

// steppedFleet is a fleet of three members in which the test chooses every step. Messages of one link keep their order. No
// message to a running member is delayed by more than two ticks, the assumed maximum.
type steppedFleet struct {
	nodes          []*Node
	now            time.Duration
	links          map[[2]int][]queuedMessage
	usedFaults     map[string]bool // kinds of faults that have occurred; each occurs at most once
	pausedUntil    [3]time.Duration
	cutLink        [2]int
	cutUntil       time.Duration
	declaredFailed int
	maxBudgetSum   float64
}

func newSteppedFleet(plainSWIM bool) *steppedFleet {
	s := &steppedFleet{links: map[[2]int][]queuedMessage{}, usedFaults: map[string]bool{}}
	for i := range 3 {
		n, err := New(0, Options{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Addr: fmt.Sprint("a", i), Join: []string{"a0", "a1"}, Gateways: 3, Seed: uint64(i + 11), PlainSWIM: plainSWIM})
		if err != nil {
			panic(err)
		}
		s.nodes = append(s.nodes, n)
	}
	for s.now < 8*time.Second {
		s.round()
	}
	s.maxBudgetSum = 0
	return s
}

func (s *steppedFleet) collect(i int) {
	out, changes := s.nodes[i].Ready()
	for _, c := range changes {
		if c.Member.State == Failed {
			s.declaredFailed++
		}
	}
	for _, m := range out {
		link := [2]int{i, int(m.To[1] - '0')}
		if s.now < s.cutUntil && link == s.cutLink {
			continue
		}
		s.links[link] = append(s.links[link], queuedMessage{s.now, m})
	}
}

func (s *steppedFleet) isRunning(i int) bool { return s.now >= s.pausedUntil[i] }

// possibleSteps returns the steps that are possible now.
func (s *steppedFleet) possibleSteps() (out []fleetStep) {
	deliveryOverdue := false
	for _, link := range allLinks {
		if queue := s.links[link]; len(queue) > 0 && s.isRunning(link[1]) {
			out = append(out, fleetStep{"take", link[0], link[1]})
			deliveryOverdue = deliveryOverdue || s.now-queue[0].at >= 2*tick
			for _, kind := range []string{"lose", "double"} {
				if !s.usedFaults[kind] {
					out = append(out, fleetStep{kind, link[0], link[1]})
				}
			}
		}
		if !s.usedFaults["cut"] {
			out = append(out, fleetStep{"cut", link[0], link[1]})
		}
	}
	for i := range s.nodes {
		if !s.usedFaults["pause"] {
			out = append(out, fleetStep{"pause", i, 0})
		}
	}
	if !deliveryOverdue {
		out = append(out, fleetStep{"tick", 0, 0})
	}
	return out
}

func (s *steppedFleet) apply(c fleetStep) {
	link := [2]int{c.a, c.b}
	switch c.kind {
	case "take", "lose", "double":
		m := s.links[link][0].message
		if c.kind != "double" { // a duplicated message stays queued
			s.links[link] = s.links[link][1:]
		}
		if c.kind != "lose" {
			s.nodes[c.b].Step(s.now, m)
			s.collect(c.b)
		}
	case "pause":
		s.pausedUntil[c.a] = s.now + 900*time.Millisecond
	case "cut":
		s.cutLink, s.cutUntil = link, s.now+4*time.Second
	case "tick":
		s.now += tick
		budgetSum := 0.0
		for i, n := range s.nodes {
			if s.isRunning(i) {
				n.Tick(s.now)
				s.collect(i)
				budgetSum += n.BudgetShare()
			}
		}
		s.maxBudgetSum = max(s.maxBudgetSum, budgetSum)
	}
	if c.kind != "take" && c.kind != "tick" {
		s.usedFaults[c.kind] = true
	}
}

// round applies a tick and then delivers all messages to running members.
func (s *steppedFleet) round() {
	s.apply(fleetStep{kind: "tick"})
	for delivered := true; delivered; {
		delivered = false
		for _, link := range allLinks {
			if len(s.links[link]) > 0 && s.isRunning(link[1]) {
				s.apply(fleetStep{"take", link[0], link[1]})
				delivered = true
			}
		}
	}
}

// fingerprint returns everything that determines the further run, except the state of the random generators, which is the
// same after the same steps.
func (s *steppedFleet) fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, s.now, s.usedFaults, s.pausedUntil, s.cutLink, s.cutUntil)
	for _, n := range s.nodes {
		fmt.Fprint(&b, "|", n.seq, n.self.Heartbeat, n.lastHeard, n.lastAnswer, n.nextProbe, n.probeOrder, len(n.disseminating), n.pendingProbes, n.previousProbes, n.relays)
		for _, e := range n.members {
			fmt.Fprint(&b, ";", e.MemberState, e.lastHeard, e.stateSince, e.transmitsLeft, e.indirect)
			if e.suspicion != nil {
				fmt.Fprint(&b, *e.suspicion)
			}
		}
	}
	for _, link := range allLinks {
		for _, w := range s.links[link] {
			fmt.Fprint(&b, "/", link, w.at, w.message)
		}
	}
	return b.String()
}

// TestAllInterleavings applies every sequence of steps of three members up to a depth. In a sequence, one message may be
// lost, one message duplicated, one member paused for 0.9 s and one link cut in one direction for 4 s, each at any step or
// not at all. The fleet then runs for 6 s without further faults. No member may be declared failed, and the shares of a
// budget may never sum to more than 1.
func TestAllInterleavings(t *testing.T) {
	t.Parallel()
	depth := 4
	if d, err := strconv.Atoi(os.Getenv("MEMBERS_DEPTH")); err == nil {
		depth = d
	}
	result := exploreInterleavings(depth, false)
	t.Logf("depth %d: %d states, %d complete runs", depth, result.states, result.runs)
	for _, text := range result.violations {
		t.Error(text)
	}
	if result.runs < 100 {
		t.Errorf("only %d complete runs, want at least 100", result.runs)
	}
	if plainResult := exploreInterleavings(2, true); len(plainResult.violations) == 0 {
		t.Errorf("no run of %d found a fault in members that declare failures after one attempt", plainResult.runs)
	}
}

// exploration is the result of running all interleavings.
type exploration struct {
	states, runs int
	violations   []string
}

func exploreInterleavings(depth int, plainSWIM bool) (result exploration) {
	seen := map[string]bool{}
	var explore func(path []fleetStep)
	explore = func(path []fleetStep) {
		s := newSteppedFleet(plainSWIM)
		for _, c := range path {
			s.apply(c)
		}
		key := s.fingerprint()
		if seen[key] {
			return
		}
		seen[key] = true
		if len(path) < depth {
			for _, c := range s.possibleSteps() {
				explore(append(path[:len(path):len(path)], c))
			}
			return
		}
		result.runs++
		for end := s.now + 6*time.Second; s.now < end; {
			s.round()
		}
		if s.declaredFailed > 0 || s.maxBudgetSum > 1+1e-9 {
			result.violations = append(result.violations, fmt.Sprintf("after %v: %d members declared failed, budget shares sum to %.3f", path, s.declaredFailed, s.maxBudgetSum))
		}
	}
	explore(nil)
	result.states = len(seen)
	return result
}
