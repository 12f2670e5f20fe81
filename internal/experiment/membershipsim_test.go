package experiment

import (
	"context"
	"testing"
)

// TestMembershipScenarios plays the short form of all days of members. Nobody who lives and is reached may be held as failed, and
// what all use of a budget together is never more than it.
func TestMembershipScenarios(t *testing.T) {
	t.Parallel()
	for _, d := range membershipScenarios {
		e, err := Find(d.name)
		if err != nil {
			t.Fatal(err)
		}
		r, err := e.Run(context.Background(), Options{Seed: 300, Seeds: 1, Short: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Claims {
			if !c.Holds {
				t.Errorf("%s: %s: %.3f, want %s %g %v", d.name, c.Name, c.Figure, c.Relation, c.Bound, r.Notes)
			}
		}
	}
}

// TestMembershipJudgeDetectsFalseVerdicts lets the judge see members that give verdicts on one trial: they fail the living.
func TestMembershipJudgeDetectsFalseVerdicts(t *testing.T) {
	for _, d := range membershipScenarios {
		if d.name != "members-pair" {
			continue
		}
		if x := runMembershipSim(d, 20, 0.1, true, 1); x.falseVerdicts == 0 || len(x.notes) == 0 {
			t.Errorf("%s: no false verdict was found", d.name)
		}
	}
}
