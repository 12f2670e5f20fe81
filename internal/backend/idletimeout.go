package backend

import (
	"math"
	"sync"
	"time"
)

const (
	idleClasses         = 9                      // of idle times: under 0.2 s, under 0.4 s, and so on
	firstIdleClass      = 200 * time.Millisecond // the first class's upper bound
	minBreaks           = 4.0                    // fewer breaks are no evidence
	breakShareMargin    = 0.1                    // share of breaks over that of the first class that is significant
	breakDeviations     = 2.0                    // standard deviations of the breaks by chance, on top of that
	breakCountsHalfLife = 30 * time.Second       // older observations count half
	immediateBreak      = 50 * time.Millisecond  // a break within this after the write was there before it
)

// idleTimeoutEstimator learns how long idle connections stay usable. Hosts, or middleboxes before them, may drop idle
// connections without a close, so that the next request on one breaks, and may have run for all that the gateway knows.
type idleTimeoutEstimator struct {
	mu      sync.Mutex
	uses    [idleClasses]float64
	breaks  [idleClasses]float64
	decayed time.Time // when the counts were halved last
}

// idleClass returns the class of an idle time.
func idleClass(idle time.Duration) int {
	class := 0
	for end := firstIdleClass; idle >= end && class < idleClasses-1; end *= 2 {
		class++
	}
	return class
}

// recordUse records the first use of a connection after some time idle, and whether it broke at once.
func (e *idleTimeoutEstimator) recordUse(idle time.Duration, broke bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(time.Now())
	class := idleClass(idle)
	e.uses[class]++
	if broke {
		e.breaks[class]++
	}
}

// decay reduces the weight of old observations, so that a limit is tried again. The caller holds e.mu.
func (e *idleTimeoutEstimator) decay(now time.Time) {
	if e.decayed.IsZero() {
		e.decayed = now
	}
	for ; now.Sub(e.decayed) >= breakCountsHalfLife; e.decayed = e.decayed.Add(breakCountsHalfLife) {
		for class := range e.uses {
			e.uses[class] /= 2
			e.breaks[class] /= 2
		}
	}
}

// estimate returns how long a connection may be idle and be used again, and limit at most.
func (e *idleTimeoutEstimator) estimate(limit time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(time.Now())
	baseline := e.breaks[0] / max(1, e.uses[0]) // share of breaks among connections that were hardly idle
	end := firstIdleClass
	for class := 1; class < idleClasses && end < limit; class++ {
		deviation := math.Sqrt(e.uses[class] * baseline * (1 - baseline))
		significant := (baseline+breakShareMargin)*e.uses[class] + breakDeviations*deviation
		if e.breaks[class] >= minBreaks && e.breaks[class] > significant {
			return end
		}
		end *= 2
	}
	return limit
}
