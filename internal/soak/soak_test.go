package soak

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"
)

// play plays the short form once, and returns what was found.
func play(t *testing.T, seed uint64, lasts time.Duration, defect *Defect) []Finding {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	o := Short
	o.Seed, o.For = seed, lasts
	if defect != nil {
		o.Only = defect.Only
	}
	var err error
	if o.Program, err = Build(ctx, t.TempDir(), defect); err != nil {
		t.Fatal(err)
	}
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	r.Print(os.Stdout)
	return r.Findings
}

// TestSoak plays the short form with one seed; cranelab soak plays more, and the long form.
func TestSoak(t *testing.T) {
	for _, f := range play(t, 14, Short.For, nil) {
		t.Error(f)
	}
}

// TestSoakFindsDefect puts a defect into the gateway, which the run has to find, from outside and by the gateway's own count.
func TestSoakFindsDefect(t *testing.T) {
	defect, err := FindDefect("sends-to-draining")
	if err != nil {
		t.Fatal(err)
	}
	rules := Rules(play(t, 21, Short.For/2, defect))
	if !slices.Contains(rules, ruleViolation) || !slices.Contains(rules, ruleDrain) && !slices.Contains(rules, ruleDeaf) {
		t.Errorf("the defect was not found from outside and by the gateways: %v", rules)
	}
}

// TestDefectsApply holds that each defect still changes what it means to change.
func TestDefectsApply(t *testing.T) {
	for i := range Defects {
		if _, err := Defects[i].overlay(context.Background(), t.TempDir()); err != nil {
			t.Error(err)
		}
	}
}
