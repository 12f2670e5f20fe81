package core

import (
	"container/heap"
	"time"
)

// clock is the core's clock. It reads the Unix time once and is monotonic from then on. Positions, start times of hosts
// and deadlines are all converted with it, so that a step of the system's clock can't make them inconsistent.
type clock struct{ base time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

// at converts a time to this clock.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.base.UnixNano()) + t.Sub(c.base)
}

// time converts a reading of this clock to a time.
func (c clock) time(d time.Duration) time.Time {
	return c.base.Add(d - time.Duration(c.base.UnixNano()))
}

// timer is a scheduled function call. A cancelled timer stays in the heap until its time, without its function.
type timer struct {
	at   time.Duration
	fire func()
}

// cancel drops the function and what it refers to.
func (t *timer) cancel() { t.fire = nil }

// timers is a heap of timers, the earliest first.
type timers []*timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(*timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return x
}

// add schedules a function call.
func (t *timers) add(at time.Duration, fire func()) *timer {
	added := &timer{at, fire}
	heap.Push(t, added)
	return added
}

// popExpired removes the earliest timer that has expired and returns its function, or false if there is none. It also
// removes the cancelled timers that expired before.
func (t *timers) popExpired(now time.Duration) (func(), bool) {
	for len(*t) > 0 && (*t)[0].at <= now {
		if fire := heap.Pop(t).(*timer).fire; fire != nil {
			return fire, true
		}
	}
	return nil, false
}

// idleWake is how long the actor sleeps at most when no timer is set.
const idleWake = time.Hour

// next returns the time until the earliest timer, or idleWake if there is none.
func (t *timers) next(now time.Duration) time.Duration {
	if len(*t) == 0 {
		return idleWake
	}
	return max(0, (*t)[0].at-now)
}
