package statemachine

import (
	"os"
	"slices"
	"strconv"
	"testing"
)

// exploration visits all interleavings up to a depth, each state of the model once.
type exploration struct {
	visited map[string]int // the remaining depth plus one, by fingerprint
	relaxed int            // states in which the relaxed value is in force
	trace   []string       // the steps to the first violation, and the violation
}

func explore(holders, depth int, faults InjectedFaults) *exploration {
	e := &exploration{visited: map[string]int{}}
	e.visit(newModel(holders, faults), depth, nil)
	return e
}

// visit visits a state and all states that follow from it in the remaining steps. It returns false after a violation.
func (e *exploration) visit(m *model, remaining int, path []string) bool {
	if violation := m.violation(); violation != "" {
		e.trace = append(slices.Clone(path), violation)
		return false
	}
	fingerprint := m.fingerprint()
	if register, _, _ := m.state.Get("r"); e.visited[fingerprint] == 0 && string(register.Value) == relaxedValue {
		e.relaxed++
	}
	if e.visited[fingerprint] > remaining || remaining == 0 {
		return true
	}
	e.visited[fingerprint] = remaining + 1
	for _, step := range m.nextSteps() {
		next := m.clone()
		step.apply(next)
		if !e.visit(next, remaining-1, append(path, step.name)) {
			return false
		}
	}
	return true
}

// TestAllInterleavings explores one to three lease holders with a Restrict followed by a Relax, one crash and one delayed
// acknowledgement, in every order up to a number of steps (COUNCIL_DEPTH adds to it). The injected faults must be detected.
func TestAllInterleavings(t *testing.T) {
	extraDepth, _ := strconv.Atoi(os.Getenv("COUNCIL_DEPTH"))
	for _, c := range []struct{ holders, depth int }{{1, 10}, {2, 8}, {3, 6}} {
		result := explore(c.holders, c.depth+extraDepth, InjectedFaults{})
		if result.trace != nil || result.relaxed == 0 && c.holders < 3 {
			t.Errorf("%d holders: %d states with the relaxed value in force, violation %q", c.holders, result.relaxed, result.trace)
		}
		t.Logf("%d holders, depth %d: %d states, %d with the relaxed value in force", c.holders, c.depth+extraDepth, len(result.visited), result.relaxed)
	}
	for name, faults := range map[string]InjectedFaults{
		"restrictions do not wait":   {SkipRestrictionWait: true},
		"renewed leases are expired": {ExpireAnyRound: true},
	} {
		result := explore(1, 8, faults)
		t.Logf("%s: %q", name, result.trace)
		if result.trace == nil {
			t.Errorf("%s: the injected fault was not detected", name)
		}
	}
}
