package routing

import (
	"testing"
	"time"
)

// TestLatencyObjectivePastTheDeadline has a class whose latency objective lies far past its deadline: the initial
// expected latency follows the shorter of them, or each request would be hopeless and nothing ever learned.
func TestLatencyObjectivePastTheDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[anyRead].LatencyObjective = 10 * time.Second
	cfg.Classes[anyRead].Deadline = 200 * ms
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	if id := h.request(anyRead); len(h.membersTried(id)) != 1 {
		t.Errorf("sent to %v, rejected %d times", h.membersTried(id), h.rejected[id])
	}
}
