package core

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/routing"
)

// idempotencyWindow is how long hosts drop repeats of a keyed write in TestNoRetryBeginsPastItsWindow.
const idempotencyWindow = 300 * time.Millisecond

// windowCase is when the connection of a retry comes up.
type windowCase struct {
	connected time.Duration // after the first attempt; 0: never
	begins    bool
	busy      time.Duration // the actor is, from shortly before the window's end on: it withdraws no attempt
}

// TestNoRetryBeginsPastItsWindow has the first attempt of a write with an idempotency key reset, and its retry wait for a
// connection that comes up just within the window, at its end, and later: it begins only within, and the client gets an
// answer to match. The wait is ended at the window's end, also where no connection ever comes up; where the actor is busy
// then, the last check before the first byte alone enforces the window.
func TestNoRetryBeginsPastItsWindow(t *testing.T) {
	const window = idempotencyWindow
	cases := []windowCase{
		{window - time.Millisecond, true, 0},
		{window, false, 0},
		{window + time.Millisecond, false, 0},
		{2 * window, false, 0},
		{0, false, 0},
	}
	for range 10 { // then both the timer and the connection's outcome wait for the actor, which takes either first
		cases = append(cases, windowCase{window, false, 100 * time.Millisecond},
			windowCase{window + time.Millisecond, false, 100 * time.Millisecond})
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) { c.run(t) })
	}
}

// windowRun records what became of the attempts of a windowCase.
type windowRun struct {
	windowCase
	mu    sync.Mutex
	first time.Time // when the first attempt was started
	begun []bool    // what Begin returned to retries
	ended time.Time // when the last retry was over
}

// start resets the first attempt, and has a retry's connection come up as the case says.
func (r *windowRun) start(a *Attempt) bool {
	if r.first.IsZero() {
		r.first = time.Now()
		r.startFirst(a)
		return true
	}
	go func() {
		<-a.Context().Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ended = time.Now()
	}()
	if r.connected > 0 {
		go r.connect(a)
	}
	return true
}

func (r *windowRun) startFirst(a *Attempt) {
	if r.busy > 0 {
		go func() {
			time.Sleep(idempotencyWindow - 50*time.Millisecond)
			a.core.post(actorCall(func() { time.Sleep(r.busy) }))
		}()
	}
	go func() {
		a.Begin()
		time.Sleep(20 * time.Millisecond)
		a.Done(Outcome{Result: routing.ResultReset})
	}()
}

// connect begins a retry, if it may begin, as soon as its connection is up.
func (r *windowRun) connect(a *Attempt) {
	time.Sleep(time.Until(r.first.Add(r.connected)))
	ok := a.Begin()
	r.mu.Lock()
	r.begun = append(r.begun, ok)
	r.mu.Unlock()
	if ok {
		a.Done(Outcome{Result: routing.ResultOK, Value: "v"})
	} else {
		a.Done(Outcome{}) // as a connection does whose attempt must not begin
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
	if slices.Contains(r.begun, true) != c.begins || len(answers) != 1 || (answers[0].Status == Served) != c.begins {
		t.Errorf("connection after %v: begun %v, answers %+v", c.connected, r.begun, answers)
	}
	unsent, failed := h.counters.Get("attempts_never_sent"), h.counters.Get("attempts_error")
	if !c.begins && (unsent != 1 || failed != 0) {
		t.Errorf("connection after %v: %d attempts counted as never sent and %d as failed, want one and none",
			c.connected, unsent, failed)
	}
	if !c.begins && r.ended.Sub(r.first) > idempotencyWindow+c.busy+time.Millisecond {
		t.Errorf("connection after %v: the wait ended %v after the first attempt, want %v",
			c.connected, r.ended.Sub(r.first), idempotencyWindow)
	}
}
