package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestWriteTriesAPrimaryThatRefusesConnections(t *testing.T) {
	for shut, want := range map[int]bool{0: false, maxFailures: true} {
		h := newHarness(t, testConfig())
		h.reportAll("a", 10*ms)
		h.router.members["a"].failures, h.router.members["a"].connectFailures = maxFailures, shut
		h.advance(time.Second)
		to := h.membersTried(h.request(nonIdempotentWrite))
		h.want(fmt.Sprint("sent to the primary after ", shut, " connects in vain"), slices.Contains(to, "a"), want)
	}
}
