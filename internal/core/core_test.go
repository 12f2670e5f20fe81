package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/metrics"
	"cranegate/routing"
)

// fakeServers notes attempts and answers probes; what else it does is up to take.
type fakeServers struct {
	mu   sync.Mutex
	sent []string
	take func(*Attempt) bool
}

func (s *fakeServers) Update(EndpointList) {}
func (s *fakeServers) CloseIdle(string)    {}
func (s *fakeServers) Start(a *Attempt) bool {
	if a.Request == nil { // db-0 is the primary, db-1 trails by 400 ms
		r := routing.Report{HasPosition: true, Position: time.Now().UnixMilli(), Role: routing.RolePrimary}
		if a.Member == "db-1" {
			r.Position, r.Role = r.Position-400, routing.RoleReplica
		}
		go func() { a.Begin(); a.Done(Outcome{Result: routing.ResultOK, Report: r}) }()
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, a.Member)
	return s.take(a)
}

// play runs one request against a core whose attempts are taken as given.
func play(t *testing.T, q *Request, take func(*Attempt) bool) (answers []Answer, sent []string, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		cfg := routing.Config{Gateways: 1, MaxAttempts: 6, Positions: true, RoleSource: routing.RoleSourceDelayed, AllowHealthChecks: true,
			AllowCancel: true, AllowHedging: true, Classes: []routing.Class{
				{Name: "own", Consistency: routing.ConsistencySession, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
				{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1,
					LateShare: 0.5, Effect: routing.NonIdempotent}}}
		s := &fakeServers{take: take}
		c, err := New(Options{Routing: cfg, Seed: 1, AnswerSlack: 20 * time.Millisecond, HealthCheckTimeout: 250 * time.Millisecond,
			Counters: &metrics.Counters{}}, s)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		c.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{{Endpoint: routing.Endpoint{Member: "db-0", Primary: true, Capacity: 1}},
			{Endpoint: routing.Endpoint{Member: "db-1", Capacity: 1}}}})
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		q.Arrived = start
		if q.MinPosition != 0 {
			q.MinPosition += start.UnixMilli()
		}
		var mu sync.Mutex
		q.Reply = func(a Answer) {
			mu.Lock()
			defer mu.Unlock()
			answers, took = append(answers, a), time.Since(start)
		}
		c.Submit(q)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		sent = s.sent
		kept := 0
		for _, x := range c.timers {
			if x.fire != nil {
				kept++
			}
		}
		if len(c.requests) > 0 || kept > 1 { // the module's own timer
			t.Errorf("%d requests and %d timers are kept for ever", len(c.requests), kept)
		}
	})
	return answers, sent, took
}

func serve(a *Attempt) bool {
	go func() {
		if a.Begin() {
			a.Done(Outcome{Result: routing.ResultOK, Value: "v"})
			a.Done(Outcome{Result: routing.ResultError}) // a second outcome counts for nothing
		}
	}()
	return true
}

// TestAfterIsNeverTooLax guards the conversion of a position: one a little ahead of this clock, as a commit that was
// rounded up is, must not pass for no write at all.
func TestAfterIsNeverTooLax(t *testing.T) {
	for after, want := range map[int64]string{3: "db-0", -100: "db-0", -5000: "db-1"} {
		answers, sent, _ := play(t, &Request{Class: "own", MinPosition: after}, serve)
		if len(answers) != 1 || answers[0].Status != Served || fmt.Sprint(sent) != fmt.Sprint([]string{want}) {
			t.Errorf("after %d ms: %+v from %v, want %s", after, answers, sent, want)
		}
	}
}

// TestOneAnswerWhateverHostsDo guards the one final answer, in time, where hosts are deaf, full, or break.
func TestOneAnswerWhateverHostsDo(t *testing.T) {
	for name, c := range map[string]struct {
		take func(*Attempt) bool
		want Status
	}{
		"serves":                  {serve, Served},
		"cannot take it":          {func(*Attempt) bool { return false }, Rejected},
		"never connects":          {func(*Attempt) bool { return true }, Rejected},
		"begins and stays silent": {func(a *Attempt) bool { return a.Begin() }, Failed},
		"breaks": {func(a *Attempt) bool {
			go func() { a.Begin(); a.Done(Outcome{Result: routing.ResultReset}) }()
			return true
		}, Failed},
	} {
		answers, sent, took := play(t, &Request{Class: "put", Timeout: 800 * time.Millisecond}, c.take)
		if len(answers) != 1 || answers[0].Status != c.want || took > 820*time.Millisecond {
			t.Errorf("%s: %+v after %v, sent to %v", name, answers, took, sent)
		}
	}
}

// TestNothingIsKept guards the tables on days that go on: requests that end without an attempt were once kept for
// ever, and so was what waited at each host that had been replaced.
func TestNothingIsKept(t *testing.T) {
	if answers, sent, _ := play(t, &Request{Class: "own", Group: 9}, serve); len(answers) != 1 || len(sent) > 0 {
		t.Errorf("a group without members: %+v from %v", answers, sent)
	}
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Options{Routing: routing.Config{Gateways: 1, MaxAttempts: 6, AllowHealthChecks: true, Classes: []routing.Class{
			{Name: "any", LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}}}, HealthCheckTimeout: 250 * time.Millisecond},
			&fakeServers{take: serve})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		for i := range 50 { // hosts are replaced one after the other, under new ids
			c.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{{Endpoint: routing.Endpoint{Member: fmt.Sprint("db-", i), Capacity: 1}}}})
			time.Sleep(time.Second)
			c.Submit(&Request{Class: "any", Arrived: time.Now(), Reply: func(Answer) {}})
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		if len(c.requests) > 0 || len(c.waiting) > 1 {
			t.Errorf("%d requests and the attempts of %d hosts are kept", len(c.requests), len(c.waiting))
		}
	})
}
