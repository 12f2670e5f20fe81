package backend

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestIdleTimeIsLearnt guards requests against connections that were let go without a word: where those idle for
// longer break more often than those just used, the shorter time is trusted; breaks that hit all alike change nothing;
// and what was learnt is tried again later.
func TestIdleTimeIsLearnt(t *testing.T) {
	const most = 20 * time.Second
	for name, c := range map[string]struct {
		breaks func(dice float64, idle time.Duration) bool
		want   time.Duration
	}{
		"none":                  {func(float64, time.Duration) bool { return false }, most},
		"all alike":             {func(dice float64, _ time.Duration) bool { return dice < 0.25 }, most},
		"idle for over 0.5 s":   {func(_ float64, idle time.Duration) bool { return idle > 500*time.Millisecond }, 400 * time.Millisecond},
		"often, and old always": {func(dice float64, idle time.Duration) bool { return dice < 0.25 || idle > 3*time.Second }, 3200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			var s staleness
			dice := rand.New(rand.NewPCG(1, 1))
			if s.trusted(most) != most {
				t.Fatal("nothing seen yet is no reason")
			}
			for i := range 400 {
				idle := time.Duration(1+i/4%20) * 250 * time.Millisecond
				if i%2 == 0 {
					idle = 10 * time.Millisecond
				}
				s.saw(idle, c.breaks(dice.Float64(), idle))
			}
			if got := s.trusted(most); got > c.want || got < c.want/2 {
				t.Errorf("%s: trusts %v, want %v", name, got, c.want)
			}
			time.Sleep(10 * time.Minute)
			if got := s.trusted(most); got != most {
				t.Errorf("%s: trusts %v long after", name, got)
			}
		})
	}
}
