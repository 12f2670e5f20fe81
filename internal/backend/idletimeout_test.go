package backend

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestIdleTimeoutEstimate checks the estimate that protects requests against connections that were dropped without a close.
// If connections with a longer idle time break more often than those just used, the estimate must be shorter than that time.
// Breaks that are equally frequent at all idle times must not change it. Later, longer idle times must be tried again.
func TestIdleTimeoutEstimate(t *testing.T) {
	const limit = 20 * time.Second
	for name, c := range map[string]struct {
		breaks func(random float64, idle time.Duration) bool
		want   time.Duration
	}{
		"none":      {func(float64, time.Duration) bool { return false }, limit},
		"all alike": {func(random float64, _ time.Duration) bool { return random < 0.25 }, limit},
		"idle for over 0.5 s": {func(_ float64, idle time.Duration) bool { return idle > 500*time.Millisecond },
			400 * time.Millisecond},
		"often, and old always": {func(random float64, idle time.Duration) bool { return random < 0.25 || idle > 3*time.Second },
			3200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			var e idleTimeoutEstimator
			random := rand.New(rand.NewPCG(1, 1))
			if e.estimate(limit) != limit {
				t.Fatal("a timeout is estimated without an observation")
			}
			for i := range 400 {
				idle := time.Duration(1+i/4%20) * 250 * time.Millisecond
				if i%2 == 0 {
					idle = 10 * time.Millisecond
				}
				e.recordUse(idle, c.breaks(random.Float64(), idle))
			}
			if got := e.estimate(limit); got > c.want || got < c.want/2 {
				t.Errorf("%s: estimates %v, want %v", name, got, c.want)
			}
			time.Sleep(10 * time.Minute)
			if got := e.estimate(limit); got != limit {
				t.Errorf("%s: still estimates %v after ten minutes", name, got)
			}
		})
	}
}
