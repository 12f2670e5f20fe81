package experiment

import (
	"context"
	"strings"
	"testing"
)

// runShort runs the short form of an experiment.
func runShort(t *testing.T, name string, defect Defect, seed uint64) *Result {
	t.Helper()
	e, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	r, err := e.Run(context.Background(), Options{Seed: seed, Seeds: 1, Short: true, Defect: defect})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// failed returns the names of the claims on invariants that do not hold.
func (r *Result) failed() (out []string) {
	for _, c := range r.Claims {
		if !c.Holds && c.Relation == "==" {
			out = append(out, c.Name)
		}
	}
	return out
}

// TestFleetScenarios checks that no invariant is violated, and that gateways that share the connection limit of a host
// earn at least as much as those that size their pools as if each were alone.
func TestFleetScenarios(t *testing.T) {
	t.Parallel()
	for name := range fleetScenarios {
		r := runShort(t, "fleet-"+name, NoDefect, 40)
		if len(r.failed()) > 0 {
			t.Errorf("%s: %v %v", name, r.failed(), r.Notes)
		}
		for _, c := range r.Claims {
			if strings.HasPrefix(c.Name, "worth from the trouble on") && c.Figure < 0.99 {
				t.Errorf("%s: %s: %.3f", name, c.Name, c.Figure)
			}
		}
		if now, before := r.Figures["no_room_an_attempt"], r.Figures["no_room_an_attempt_before"]; now > 0.02 || before <= now {
			t.Errorf("%s: hosts at their limit rejected connections for %.3f of the attempts, with the reference for %.3f", name, now, before)
		}
	}
	if r := runShort(t, "fleet-soak", NoDefect, 40); !r.Holds() {
		t.Errorf("fleet-soak: %+v", r.Claims)
	}
}

// TestDefectsAreFound runs gateways with deliberate defects, each of which must violate an invariant within three seeds.
func TestDefectsAreFound(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		defect, experiment, claim string
	}{
		{"cold-room", "fleet-join", "tipped over"},
		{"cold-room", "zone-return-most", "load 0.7: tipped over"},
		{"no-drains", "fleet-roll", "sends to drained"},
		{"old-reads", "fleet-split", "stale reads"},
		{"old-reads", "zone-return", "load 0.5: stale reads"},
		{"two-runs", "fleet-split", "wrong answers"},
		{"two-runs", "zone-loss-silent", "load 0.5: wrong answers"},
	} {
		var found []string
		// Not every seed triggers the defect.
		for seed := uint64(40); seed < 43 && !strings.Contains(strings.Join(found, ";"), c.claim); seed++ {
			found = append(found, runShort(t, c.experiment, Defects[c.defect], seed).failed()...)
		}
		if !strings.Contains(strings.Join(found, ";"), c.claim) {
			t.Errorf("defect %s was not detected by %s, which found only %v", c.defect, c.experiment, found)
		}
	}
}
