package experiment

import (
	"context"
	"strings"
	"testing"
)

// runShort runs the short form of an experiment.
func runShort(t *testing.T, name string, b Defect, seed uint64) *Result {
	t.Helper()
	e, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	r, err := e.Run(context.Background(), Options{Seed: seed, Seeds: 1, Short: true, Defect: b})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// failed are the claims on rules that do not hold.
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
			t.Errorf("%s: %.3f of the attempts found no room, %.3f before", name, now, before)
		}
	}
	if r := runShort(t, "fleet-soak", NoDefect, 40); !r.Holds() {
		t.Errorf("soak: %+v", r.Claims)
	}
}

// TestDefectsAreFound runs gateways with deliberate defects: each must break a claim.
func TestDefectsAreFound(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		defect, experiment, rule string
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
		for seed := uint64(40); seed < 43 && !strings.Contains(strings.Join(found, ";"), c.rule); seed++ { // not each seed has the case
			found = append(found, runShort(t, c.experiment, Defects[c.defect], seed).failed()...)
		}
		if !strings.Contains(strings.Join(found, ";"), c.rule) {
			t.Errorf("%s was not found by %s: %v", c.defect, c.experiment, found)
		}
	}
}
