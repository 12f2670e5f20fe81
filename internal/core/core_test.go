package core

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/routing"
)

// runRequest runs one request through a core whose backend starts attempts with start. It returns the answers, the members
// to which attempts were sent, and the time until the last answer.
func runRequest(t *testing.T, request *Request, start func(*Attempt) bool) (answers []Answer, sent []string, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		config := routing.Config{Gateways: 1, MaxAttempts: 6, Positions: true, RoleSource: routing.RoleSourceDelayed,
			AllowHealthChecks: true, AllowCancel: true, AllowHedging: true, Classes: []routing.Class{
				{Name: "own", Consistency: routing.ConsistencySession, LatencyObjective: 500 * time.Millisecond,
					Deadline: time.Second, PriorityWeight: 1},
				{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: 500 * time.Millisecond,
					Deadline: time.Second, PriorityWeight: 1, LateShare: 0.5, Effect: routing.NonIdempotent}}}
		h := newHarness(t, testOptions(config, 1), start)
		h.setEndpoints(1, 1)
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		request.Arrived = began
		if request.MinPosition != 0 {
			request.MinPosition += began.UnixMilli()
		}
		var mu sync.Mutex
		request.Reply = func(a Answer) {
			mu.Lock()
			defer mu.Unlock()
			answers, took = append(answers, a), time.Since(began)
		}
		h.Submit(request)
		time.Sleep(5 * time.Second)
		h.stop()
		mu.Lock()
		defer mu.Unlock()
		sent = h.backend.sent
		timersLeft := 0
		for _, timer := range h.timers {
			if timer.fire != nil {
				timersLeft++
			}
		}
		if len(h.requests) > 0 || timersLeft > 1 { // the router's own timer stays
			t.Errorf("%d requests and %d timers are left", len(h.requests), timersLeft)
		}
	})
	return answers, sent, took
}

// TestMinPositionAheadOfClock guards the conversion of a position. The position of a commit is rounded up and may be a
// little ahead of the core's clock; it must not be treated as if the session had written nothing.
func TestMinPositionAheadOfClock(t *testing.T) {
	for after, want := range map[int64]string{3: "db-0", -100: "db-0", -5000: "db-1"} {
		answers, sent, _ := runRequest(t, &Request{Class: "own", MinPosition: after}, serve)
		if len(answers) != 1 || answers[0].Status != Served || fmt.Sprint(sent) != fmt.Sprint([]string{want}) {
			t.Errorf("after %d ms: %+v from %v, want %s", after, answers, sent, want)
		}
	}
}

// TestOneAnswerPerRequest checks that a request gets exactly one final answer, by its deadline and the slack, if hosts are
// silent, full, or break the connection.
func TestOneAnswerPerRequest(t *testing.T) {
	for name, c := range map[string]struct {
		start func(*Attempt) bool
		want  Status
	}{
		"serves":                  {serve, Served},
		"cannot take it":          {func(*Attempt) bool { return false }, Rejected},
		"never connects":          {func(*Attempt) bool { return true }, Rejected},
		"begins and stays silent": {func(a *Attempt) bool { return a.Begin() }, Failed},
		"breaks": {func(a *Attempt) bool {
			go func() {
				a.Begin()
				a.Done(Outcome{Result: routing.ResultReset})
			}()
			return true
		}, Failed},
	} {
		answers, sent, took := runRequest(t, &Request{Class: "put", Timeout: 800 * time.Millisecond}, c.start)
		if len(answers) != 1 || answers[0].Status != c.want || took > 820*time.Millisecond {
			t.Errorf("%s: %+v after %v, sent to %v", name, answers, took, sent)
		}
	}
}

// TestTablesDoNotGrow checks that the tables stay small over a long time: neither requests that end without an attempt nor
// attempts that waited for a replaced host may be left in them.
func TestTablesDoNotGrow(t *testing.T) {
	if answers, sent, _ := runRequest(t, &Request{Class: "own", Group: 9}, serve); len(answers) != 1 || len(sent) > 0 {
		t.Errorf("a group without members: %+v from %v", answers, sent)
	}
	synctest.Test(t, func(t *testing.T) {
		config := routing.Config{Gateways: 1, MaxAttempts: 6, AllowHealthChecks: true, Classes: []routing.Class{
			{Name: "any", LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}}}
		h := newHarness(t, Options{Routing: config, HealthCheckTimeout: 250 * time.Millisecond}, serve)
		for i := range 50 { // each round replaces the host by one with a new id
			h.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{
				{Endpoint: routing.Endpoint{Member: fmt.Sprint("db-", i), Capacity: 1}}}})
			time.Sleep(time.Second)
			h.Submit(&Request{Class: "any", Arrived: time.Now(), Reply: func(Answer) {}})
			time.Sleep(time.Second)
		}
		h.stop()
		if len(h.requests) > 0 || len(h.unwritten) > 1 {
			t.Errorf("%d requests and the attempts of %d hosts are left", len(h.requests), len(h.unwritten))
		}
	})
}
