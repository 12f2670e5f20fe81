package experiment

import (
	"container/heap"
	"time"
)

// event is a call scheduled for a time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events, the earliest first; see container/heap.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// timeline is a discrete-event scheduler in virtual time.
type timeline struct {
	now   time.Duration
	queue eventQueue
	seq   int
}

// after schedules a call after a delay. A negative delay counts as 0.
func (t *timeline) after(d time.Duration, do func()) {
	t.seq++
	heap.Push(&t.queue, event{t.now + max(0, d), t.seq, do})
}

// runUntil runs all events that are scheduled up to the given time, and advances the clock to it.
func (t *timeline) runUntil(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	t.now = until
}
