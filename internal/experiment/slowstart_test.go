package experiment

import (
	"strings"
	"testing"
)

// TestSlowStartBudget checks that all calls to a starting host (attempts, health checks, hedged and queued requests)
// stay within its budget, apart from chance, and that budgets seven times as large are detected.
func TestSlowStartBudget(t *testing.T) {
	t.Parallel()
	if r := runShort(t, "fleet-ramp", NoDefect, 40); !r.Holds() {
		t.Errorf("%+v %v", r.Claims, r.Notes)
	}
	if r := runShort(t, "fleet-ramp", DefectSlowStartBudget, 40); r.Holds() {
		t.Errorf("seven times the budget was not detected: %s", strings.Join(r.Notes, "; "))
	}
}
