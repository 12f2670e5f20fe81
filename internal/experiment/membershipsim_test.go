package experiment

import (
	"context"
	"testing"
)

// TestMembershipScenarios runs the short form of all membership scenarios. No reachable running member may be
// considered failed, and the shares of a budget must never exceed it.
func TestMembershipScenarios(t *testing.T) {
	t.Parallel()
	for _, scenario := range membershipScenarios {
		e, err := Find(scenario.name)
		if err != nil {
			t.Fatal(err)
		}
		r, err := e.Run(context.Background(), Options{Seed: 300, Seeds: 1, Short: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Claims {
			if !c.Holds {
				t.Errorf("%s: %s: %.3f, want %s %g %v", scenario.name, c.Name, c.Figure, c.Relation, c.Bound, r.Notes)
			}
		}
	}
}

// TestMembershipJudgeDetectsFalseVerdicts runs plain SWIM, which considers running members failed because it probes only
// once.
func TestMembershipJudgeDetectsFalseVerdicts(t *testing.T) {
	for _, d := range membershipScenarios {
		if d.name != "members-pair" {
			continue
		}
		if x := runMembershipSim(d, 20, 0.1, true, 1); x.falseVerdicts == 0 || len(x.notes) == 0 {
			t.Errorf("%s: no false verdict was detected", d.name)
		}
	}
}
