package soak

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"
)

// runShort performs one run of the short form and returns its findings.
func runShort(t *testing.T, seed uint64, duration time.Duration, defect *Defect) []Finding {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	options := Short
	options.Seed, options.Duration = seed, duration
	if defect != nil {
		options.Only = defect.Only
	}
	var err error
	if options.Program, err = Build(ctx, t.TempDir(), defect); err != nil {
		t.Fatal(err)
	}
	report, err := Run(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	report.Print(os.Stdout)
	return report.Findings
}

// TestSoak runs the short form with one seed; cranelab soak runs more seeds, and the long form.
func TestSoak(t *testing.T) {
	for _, f := range runShort(t, 14, Short.Duration, nil) {
		t.Error(f)
	}
}

// TestSoakFindsDefect runs a gateway with a deliberate defect: both the checks from outside and the gateway's own invariants
// must detect it.
func TestSoakFindsDefect(t *testing.T) {
	defect, err := FindDefect("sends-to-draining")
	if err != nil {
		t.Fatal(err)
	}
	rules := Rules(runShort(t, 21, Short.Duration/2, defect))
	if !slices.Contains(rules, ruleViolation) || !slices.Contains(rules, ruleDrain) && !slices.Contains(rules, ruleUnnoticedDrain) {
		t.Errorf("the defect was not found by the checks from outside and by the gateways: %v", rules)
	}
}

// TestDefectsApply checks that the edits of each defect still match the source.
func TestDefectsApply(t *testing.T) {
	for i := range Defects {
		if _, err := Defects[i].overlay(context.Background(), t.TempDir()); err != nil {
			t.Error(err)
		}
	}
}
