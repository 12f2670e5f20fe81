package core

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/routing"
)

// idempotencyWindow is how long hosts drop repeats of a write with an idempotency key in TestNoRetryBeginsPastItsWindow.
const idempotencyWindow = 300 * time.Millisecond

// windowCase describes when the connection of a retry is established, and whether the retry may then begin.
type windowCase struct {
	connectAfter time.Duration // from the start of the first attempt; 0: never
	wantBegin    bool
	actorBusy    time.Duration // how long the actor is busy from 50 ms before the window's end; it withdraws no attempt meanwhile
}

// TestNoRetryBeginsPastItsWindow resets the connection of the first attempt of a write with an idempotency key. The retry
// waits for a connection that is established just within the window, at its end, or later. The retry begins only within
// the window, and the client is served only then. The wait ends with the window, even if no connection is ever established.
// If the actor is busy at that time, only the last check before the first byte enforces the window.
func TestNoRetryBeginsPastItsWindow(t *testing.T) {
	const window = idempotencyWindow
	cases := []windowCase{
		{window - time.Millisecond, true, 0},
		{window, false, 0},
		{window + time.Millisecond, false, 0},
		{2 * window, false, 0},
		{0, false, 0},
	}
	for range 10 { // the timer and the connection's outcome both wait for the busy actor, which may handle either first
		cases = append(cases, windowCase{window, false, 100 * time.Millisecond},
			windowCase{window + time.Millisecond, false, 100 * time.Millisecond})
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) { c.run(t) })
	}
}

// windowRun runs a windowCase and records what happened to its attempts.
type windowRun struct {
	windowCase
	mu             sync.Mutex
	firstStartedAt time.Time // when the first attempt was started
	beginResults   []bool    // what Begin returned to retries
	lastEndedAt    time.Time // when the last retry was over
}

// start starts the first attempt, which is reset, or a retry, whose connection is established as the case specifies.
func (r *windowRun) start(a *Attempt) bool {
	if r.firstStartedAt.IsZero() {
		r.firstStartedAt = time.Now()
		r.startFirst(a)
		return true
	}
	go func() {
		<-a.Context().Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lastEndedAt = time.Now()
	}()
	if r.connectAfter > 0 {
		go r.connect(a)
	}
	return true
}

func (r *windowRun) startFirst(a *Attempt) {
	if r.actorBusy > 0 {
		go func() {
			time.Sleep(idempotencyWindow - 50*time.Millisecond)
			a.core.post(actorCall(func() { time.Sleep(r.actorBusy) }))
		}()
	}
	go func() {
		a.Begin()
		time.Sleep(20 * time.Millisecond)
		a.Done(Outcome{Result: routing.ResultReset})
	}()
}

// connect establishes the connection of a retry at the case's time, and begins the retry if it may.
func (r *windowRun) connect(a *Attempt) {
	time.Sleep(time.Until(r.firstStartedAt.Add(r.connectAfter)))
	ok := a.Begin()
	r.mu.Lock()
	r.beginResults = append(r.beginResults, ok)
	r.mu.Unlock()
	if ok {
		a.Done(Outcome{Result: routing.ResultOK, Value: "v"})
	} else {
		a.Done(Outcome{}) // what a connection reports if its attempt must not begin
	}
}

func (c windowCase) run(t *testing.T) {
	r := &windowRun{windowCase: c}
	config := routing.Config{Gateways: 1, MaxAttempts: 2, Positions: true, AllowHealthChecks: true, AllowCancel: true,
		Classes: []routing.Class{{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: time.Second,
			Deadline: 2 * time.Second, PriorityWeight: 1, Effect: routing.IdempotentByKey, IdempotencyTTL: idempotencyWindow}}}
	h := newHarness(t, testOptions(config, 1), r.start)
	h.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{
		{Endpoint: routing.Endpoint{Member: "db-0", Capacity: 1}}}})
	time.Sleep(50 * time.Millisecond)
	var answers []Answer
	h.Submit(&Request{Class: "put", Arrived: time.Now(), Reply: func(a Answer) { answers = append(answers, a) }})
	time.Sleep(5 * time.Second)
	h.stop()
	if slices.Contains(r.beginResults, true) != c.wantBegin || len(answers) != 1 || (answers[0].Status == Served) != c.wantBegin {
		t.Errorf("connection after %v: Begin returned %v to the retries, answers %+v", c.connectAfter, r.beginResults, answers)
	}
	unsent, failed := h.counters.Get("attempts_never_sent"), h.counters.Get("attempts_error")
	if !c.wantBegin && (unsent != 1 || failed != 0) {
		t.Errorf("connection after %v: %d attempts counted as never sent and %d as failed, want 1 and 0",
			c.connectAfter, unsent, failed)
	}
	if !c.wantBegin && r.lastEndedAt.Sub(r.firstStartedAt) > idempotencyWindow+c.actorBusy+time.Millisecond {
		t.Errorf("connection after %v: the wait ended %v after the first attempt, want %v",
			c.connectAfter, r.lastEndedAt.Sub(r.firstStartedAt), idempotencyWindow)
	}
}
