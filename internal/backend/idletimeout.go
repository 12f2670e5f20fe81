package backend

import (
	"math"
	"sync"
	"time"
)

const (
	idleBuckets         = 9                      // of idle times: under 0.2 s, under 0.4 s, and so on; the last has no upper bound
	firstIdleBucket     = 200 * time.Millisecond // the first bucket's upper bound
	minBreaks           = 4.0                    // in a bucket; fewer are no evidence
	breakShareMargin    = 0.1                    // by which a bucket's share of breaks has to exceed the first bucket's
	breakDeviations     = 2.0                    // also on top of the first bucket's share: standard deviations of the breaks by chance
	breakCountsHalfLife = 30 * time.Second       // all counts are halved this often
	immediateBreak      = 50 * time.Millisecond  // a connection that breaks this soon after a write was presumably broken before it
)

// idleTimeoutEstimator estimates how long idle connections stay usable. A host, or a middlebox in front of it, may drop idle
// connections without a close. The next request on such a connection breaks, and the gateway can't know whether it has run.
type idleTimeoutEstimator struct {
	mu      sync.Mutex
	uses    [idleBuckets]float64
	breaks  [idleBuckets]float64
	decayed time.Time // when the counts were halved last
}

// idleBucket returns the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	bucket := 0
	for end := firstIdleBucket; idle >= end && bucket < idleBuckets-1; end *= 2 {
		bucket++
	}
	return bucket
}

// recordUse records the first use of a connection after some time idle, and whether it broke at once.
func (e *idleTimeoutEstimator) recordUse(idle time.Duration, broke bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(time.Now())
	bucket := idleBucket(idle)
	e.uses[bucket]++
	if broke {
		e.breaks[bucket]++
	}
}

// decay reduces the weight of old observations, so that longer idle times are tried again. The caller holds e.mu.
func (e *idleTimeoutEstimator) decay(now time.Time) {
	if e.decayed.IsZero() {
		e.decayed = now
	}
	for ; now.Sub(e.decayed) >= breakCountsHalfLife; e.decayed = e.decayed.Add(breakCountsHalfLife) {
		for bucket := range e.uses {
			e.uses[bucket] /= 2
			e.breaks[bucket] /= 2
		}
	}
}

// estimate returns how long a connection may be idle and still be reused: at most limit, and otherwise at least 0.2 s, the end of
// the first bucket.
func (e *idleTimeoutEstimator) estimate(limit time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(time.Now())
	baseline := e.breaks[0] / max(1, e.uses[0]) // share of breaks among connections that were hardly idle
	end := firstIdleBucket
	for bucket := 1; bucket < idleBuckets && end < limit; bucket++ {
		deviation := math.Sqrt(e.uses[bucket] * baseline * (1 - baseline))
		threshold := (baseline+breakShareMargin)*e.uses[bucket] + breakDeviations*deviation
		if e.breaks[bucket] >= minBreaks && e.breaks[bucket] > threshold {
			return end
		}
		end *= 2
	}
	return limit
}
