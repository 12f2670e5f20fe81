package core

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/metrics"
	"cranegate/routing"
)

// TestNoRepeatBeginsPastItsWindow has the first attempt of a keyed write reset, and its repeat wait for a connection that
// comes up just within the window, at its end, and later: it begins only within, and the client hears what became of it.
// The wait is ended at the window's end, also where no connection ever comes up; where the module's actor is busy then, the
// last check before the first byte alone holds the window.
func TestNoRepeatBeginsPastItsWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	type play struct {
		up     time.Duration // after the first attempt; 0: never
		begins bool
		busy   time.Duration // the actor's, from shortly before the window's end on: it ends no wait
	}
	plays := []play{{window - time.Millisecond, true, 0}, {window, false, 0}, {window + time.Millisecond, false, 0}, {2 * window, false, 0}, {0, false, 0}}
	for range 10 { // then both the timer and the connection's word wait for the actor, which takes either first
		plays = append(plays, play{window, false, 100 * time.Millisecond}, play{window + time.Millisecond, false, 100 * time.Millisecond})
	}
	for _, c := range plays {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var begun []bool
			var first, ended time.Time
			var answers []Answer
			s := &fakeServers{take: func(a *Attempt) bool {
				if first.IsZero() {
					first = time.Now()
					if c.busy > 0 {
						go func() {
							time.Sleep(window - 50*time.Millisecond)
							a.core.post(func() { time.Sleep(c.busy) })
						}()
					}
					go func() { a.Begin(); time.Sleep(20 * time.Millisecond); a.Done(Outcome{Result: routing.ResultReset}) }()
					return true
				}
				go func() {
					<-a.Context().Done()
					mu.Lock()
					defer mu.Unlock()
					ended = time.Now()
				}()
				go func() {
					if c.up == 0 {
						return
					}
					time.Sleep(time.Until(first.Add(c.up)))
					ok := a.Begin()
					mu.Lock()
					begun = append(begun, ok)
					mu.Unlock()
					if ok {
						a.Done(Outcome{Result: routing.ResultOK, Value: "v"})
					} else {
						a.Done(Outcome{}) // as a connection does whose attempt says no
					}
				}()
				return true
			}}
			cfg := routing.Config{Gateways: 1, MaxAttempts: 2, Positions: true, AllowHealthChecks: true, AllowCancel: true, Classes: []routing.Class{
				{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: routing.IdempotentByKey, IdempotencyTTL: window}}}
			counters := &metrics.Counters{}
			k, err := New(Options{Routing: cfg, Seed: 1, AnswerSlack: 20 * time.Millisecond, HealthCheckTimeout: 250 * time.Millisecond,
				Counters: counters}, s)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			go k.Run(ctx)
			k.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{{Endpoint: routing.Endpoint{Member: "db-0", Capacity: 1}}}})
			time.Sleep(50 * time.Millisecond)
			k.Submit(&Request{Class: "put", Arrived: time.Now(), Reply: func(a Answer) { answers = append(answers, a) }})
			time.Sleep(5 * time.Second)
			cancel()
			synctest.Wait()
			if slices.Contains(begun, true) != c.begins || len(answers) != 1 || (answers[0].Status == Served) != c.begins {
				t.Errorf("connection after %v: begun %v, answers %+v", c.up, begun, answers)
			}
			if never, failed := counters.Get("attempts_never_sent"), counters.Get("attempts_error"); !c.begins && (never != 1 || failed != 0) {
				t.Errorf("connection after %v: %d attempts held as never sent and %d as failed, want one and none", c.up, never, failed)
			}
			if !c.begins && ended.Sub(first) > window+c.busy+time.Millisecond {
				t.Errorf("connection after %v: the wait ended %v after the first attempt, want %v", c.up, ended.Sub(first), window)
			}
		})
	}
}
