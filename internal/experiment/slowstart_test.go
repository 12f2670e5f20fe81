package experiment

import (
	"strings"
	"testing"
)

// TestSlowStartBudget plays days with cold hosts: what all gateways send one, probes, second copies and held writes
// among it, stays within chance of its budget. Budgets seven times as large are found.
func TestSlowStartBudget(t *testing.T) {
	t.Parallel()
	if r := runShort(t, "fleet-ramp", NoDefect, 40); !r.Holds() {
		t.Errorf("%+v %v", r.Claims, r.Notes)
	}
	if r := runShort(t, "fleet-ramp", DefectSlowStartBudget, 40); r.Holds() {
		t.Errorf("seven times the budget is not found: %s", strings.Join(r.Notes, "; "))
	}
}
