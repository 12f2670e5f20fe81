package core

import (
	"container/heap"
	"time"
)

// clock is the module's clock: Unix time, anchored once and monotonic from then on. Positions, starts of hosts
// and deadlines are all converted on it, so a step of the system's clock can't set them against each other.
type clock struct{ base time.Time }

func newClock() clock { return clock{time.Now()} }

func (k clock) now() time.Duration { return k.at(time.Now()) }

// at converts a time; time converts back.
func (k clock) at(t time.Time) time.Duration {
	return time.Duration(k.base.UnixNano()) + t.Sub(k.base)
}

func (k clock) time(d time.Duration) time.Time {
	return k.base.Add(d - time.Duration(k.base.UnixNano()))
}

// timer is a call that falls due, and the place of one that was cancelled until then.
type timer struct {
	at   time.Duration
	fire func()
}

// cancel drops the call and what it holds on to.
func (t *timer) cancel() { t.fire = nil }

// timers is a heap of timers, the earliest first.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(*timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return x
}

func (t *timers) add(at time.Duration, fire func()) *timer {
	x := &timer{at, fire}
	heap.Push(t, x)
	return x
}

// due takes the earliest timer that has run out.
func (t *timers) due(now time.Duration) (func(), bool) {
	for len(*t) > 0 && (*t)[0].at <= now {
		if fire := heap.Pop(t).(*timer).fire; fire != nil {
			return fire, true
		}
	}
	return nil, false
}

// next is the time until the earliest timer.
func (t *timers) next(now time.Duration) time.Duration {
	if len(*t) == 0 {
		return time.Hour
	}
	return max(0, (*t)[0].at-now)
}
