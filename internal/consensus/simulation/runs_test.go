package simulation

import (
	"flag"
	"sync"
	"testing"
	"time"

	"cranegate/internal/consensus/statemachine"
)

var seeds = flag.Int("seeds", 50, "fleets to run in TestSeeds")

// parallelRuns is the number of fleets that TestSeeds runs at a time.
const parallelRuns = 2

// newScenario returns the scenario for a seed: 3 voters if it is even, 5 if it is odd, and 5 to 20 replicas.
func newScenario(seed int) scenario {
	result := scenario{
		voters:       3,
		replicas:     5 + seed*7%16,
		seed:         uint64(seed),
		faultTime:    50 * time.Second,
		recoveryTime: 32 * time.Second,
	}
	if seed%2 == 1 {
		result.voters = 5
	}
	if raceDetectorEnabled {
		result.faultTime, result.recoveryTime = 14*time.Second, 11*time.Second
	}
	return result
}

// totals sums the counters of several runs.
type totals struct {
	operations, rejected, stalled, restrictions, replacements, commands, renewals int

	longestRestriction time.Duration
}

func (t *totals) add(f *fleet) {
	t.operations += f.checker.operations
	t.rejected += f.checker.rejectedOperations
	t.stalled += f.checker.stalledOperations
	t.restrictions += f.checker.completedRestrictions
	t.replacements += f.replacements
	t.commands += f.checker.commands
	t.renewals += f.checker.renewals
	t.longestRestriction = max(t.longestRestriction, f.checker.longestRestriction)
}

// TestSeeds runs fleets of 3 and 5 voters with 5 to 20 replicas through lost, delayed and duplicated messages, partitions,
// crashes with and without a disk, pauses, and clocks that are wrong by a third.
func TestSeeds(t *testing.T) {
	var mutex sync.Mutex
	var sum totals
	t.Run("seeds", func(t *testing.T) {
		for first := range parallelRuns {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for seed := first; seed < *seeds; seed += parallelRuns {
					fleet := newFleet(newScenario(seed))
					fleet.run()
					for _, failure := range fleet.checker.failures {
						t.Errorf("seed %d: %s", seed, failure)
					}
					mutex.Lock()
					sum.add(fleet)
					mutex.Unlock()
				}
			})
		}
	})
	t.Logf("%d fleets: %+v, the longest restriction took %v", *seeds, sum, sum.longestRestriction)
	if sum.operations == 0 || sum.rejected == 0 || sum.stalled == 0 && !raceDetectorEnabled || sum.replacements == 0 {
		t.Error("the runs together have no operation, no rejected or stalled operation, or no replacement of a voter")
	}
}

// TestRunsAreReproducible runs one seed twice. Both runs must end in the same state.
func TestRunsAreReproducible(t *testing.T) {
	a, b := newFleet(newScenario(3)), newFleet(newScenario(3))
	a.run()
	b.run()
	stateA, stateB := a.checker.state, b.checker.state
	if stateA.Checksum != stateB.Checksum || a.checker.operations != b.checker.operations || stateA.Index == 1 {
		t.Errorf("the runs differ or applied nothing; they end at index %d and %d", stateA.Index, stateB.Index)
	}
}

// TestFileStores runs a fleet whose stores are files. A file is reopened after each crash of its gateway.
func TestFileStores(t *testing.T) {
	s := newScenario(6)
	s.folder, s.faultTime, s.recoveryTime = t.TempDir(), 20*time.Second, 20*time.Second
	f := newFleet(s)
	f.run()
	for _, failure := range f.checker.failures {
		t.Error(failure)
	}
	for _, g := range f.gateways {
		g.store.Close()
	}
}

// TestInjectedFaultsAreFound breaks the consensus packages deliberately. The checker must detect each fault within 20 fleets.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, inject := range map[string]func(*scenario){
		"restrictions do not wait": func(s *scenario) {
			s.injectedFaults = statemachine.InjectedFaults{SkipRestrictionWait: true}
		},
		"retried requests are applied again": func(s *scenario) {
			s.injectedFaults = statemachine.InjectedFaults{SkipDeduplication: true}
		},
		"a voter without a disk keeps its identity": func(s *scenario) {
			s.reuseIdentity = true
		},
	} {
		failure := firstFailure(inject)
		t.Logf("%s: %s", name, failure)
		if failure == "" {
			t.Errorf("%s: the fault was not detected in 20 fleets", name)
		}
	}
}

// firstFailure returns the first failure of 20 fleets with an injected fault, "" if there is none.
func firstFailure(inject func(*scenario)) string {
	for seed := range 20 {
		s := newScenario(seed)
		inject(&s)
		f := newFleet(s)
		f.run()
		if len(f.checker.failures) > 0 {
			return f.checker.failures[0]
		}
	}
	return ""
}
