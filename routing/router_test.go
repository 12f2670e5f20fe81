package routing

import (
	"testing"
	"time"
)

// TestLatencyObjectivePastTheDeadline checks a class whose latency objective is far longer than its deadline.
// The initial expected latency must follow the shorter of the two. Otherwise each request would be rejected
// as hopeless, and the expected latency would never be learned.
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
