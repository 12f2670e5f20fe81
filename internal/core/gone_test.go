package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/metrics"
	"cranegate/routing"
)

// TestNothingBeginsOnceTheClientHasGone stops attempts right before their first byte, keeps the module's actor busy and its
// mailbox full, and has a hundred clients leave at once. None of the attempts begins, nor any of a request that was still in
// the mailbox; each request ends once, as one whose client has gone, whatever the hosts' connections report.
func TestNothingBeginsOnceTheClientHasGone(t *testing.T) {
	const clients = 100
	synctest.Test(t, func(t *testing.T) {
		var stopped []*Attempt // right before Begin
		s := &fakeServers{take: func(a *Attempt) bool { stopped = append(stopped, a); return true }}
		counters := &metrics.Counters{}
		c, err := New(Options{Routing: routing.Config{Gateways: 1, MaxAttempts: 6, AllowCancel: true, AllowHedging: true,
			Classes: []routing.Class{{Name: "any", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}}},
			Counters: counters, HealthCheckTimeout: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond}, s)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		c.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{{Endpoint: routing.Endpoint{Member: "db-0", Primary: true, Capacity: 100}}}})
		request := func() *Request {
			return &Request{Class: "any", Arrived: time.Now(), Reply: func(a Answer) { t.Errorf("answered: %+v", a) }}
		}
		var late []*Request
		for range clients {
			c.Submit(request())
		}
		synctest.Wait()
		if len(stopped) != clients {
			t.Fatalf("%d attempts wait for their connection, want %d", len(stopped), clients)
		}
		hold := make(chan struct{})
		c.post(func() { <-hold })
		for range clients {
			late = append(late, request())
			c.Submit(late[len(late)-1])
		}
		synctest.Wait()
		for len(c.mailbox) < cap(c.mailbox) {
			c.post(func() {})
		}
		say := func(q *Request) {
			go c.ClientDisconnected(q) // no room in the mailbox: it waits there
			synctest.Wait()
		}
		for i, a := range stopped {
			if i%2 == 0 {
				say(a.Request)
			} else { // as it stands when Gone has been called but is behind Done
				a.Request.leave(c)
			}
			if a.Waiting() {
				t.Errorf("attempt %d still wants a connection", i)
			}
			if a.Begin() {
				t.Errorf("attempt %d begins", i)
			}
			go a.Done(Outcome{}) // as a connection does whose attempt says no
			synctest.Wait()
			if i%2 == 1 {
				say(a.Request)
			}
		}
		for _, q := range late {
			say(q)
		}
		close(hold)
		synctest.Wait()
		if len(stopped) != clients {
			t.Errorf("%d attempts were started for clients that had gone", len(stopped)-clients)
		}
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		if len(c.requests) > 0 {
			t.Errorf("%d requests are kept", len(c.requests))
		}
		for name, want := range map[string]int64{"requests": 2 * clients, "clients_gone": 2 * clients, "attempts": clients,
			"attempts_never_sent": clients, "attempts_error": 0, "served": 0, "refused": 0, "failed": 0} {
			if n := counters.Get(name); n != want {
				t.Errorf("%s: %d, want %d", name, n, want)
			}
		}
	})
}

// earn has requests of a class served, so that the module may spend further attempts.
func earn(c *Core, class string, started chan *Attempt) {
	for range 30 {
		c.Submit(&Request{Class: class, Arrived: time.Now(), Reply: func(Answer) {}})
		a := <-started
		a.Begin()
		time.Sleep(5 * time.Millisecond)
		a.Done(Outcome{Result: routing.ResultOK})
		synctest.Wait()
	}
}

// TestNothingFollowsAClose has a client leave while its request is held for want of a member, pauses after a refusal, has an
// attempt out that ends in each way, or is about to get a second copy, with the module's own rules: nothing more is sent,
// and nothing is kept.
func TestNothingFollowsAClose(t *testing.T) {
	end := func(r routing.Result) func(*Attempt) { return func(a *Attempt) { a.Done(Outcome{Result: r}) } }
	for name, x := range map[string]struct {
		class  string
		before func(*Attempt) // what the first attempt does, then the client leaves; nil: there is none
		after  func(*Attempt) // what it does then
	}{
		"held":          {class: "any"},
		"paused":        {class: "put", before: end(routing.ResultOverCapacity)},
		"reset":         {class: "any", after: end(routing.ResultReset)},
		"turned away":   {class: "any", after: end(routing.ResultOverCapacity)},
		"missed":        {class: "any", after: end(routing.ResultMissed)},
		"not connected": {class: "any", after: end(routing.ResultConnectFailed)},
		"silent":        {class: "any", after: func(*Attempt) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := make(chan *Attempt, 100)
				s := &fakeServers{take: func(a *Attempt) bool { started <- a; return true }}
				counters := &metrics.Counters{}
				c, err := New(Options{Routing: routing.Config{Gateways: 1, MaxAttempts: 6, AllowCancel: true, AllowHedging: true,
					Classes: []routing.Class{{Name: "any", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
						{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, LateShare: 0.5}}},
					Counters: counters, HealthCheckTimeout: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond}, s)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				go c.Run(ctx)
				hosts := EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{{Endpoint: routing.Endpoint{Member: "db-0", Primary: true, Capacity: 9}},
					{Endpoint: routing.Endpoint{Member: "db-1", Capacity: 9}}}}
				if name != "held" {
					c.UpdateEndpoints(hosts)
					earn(c, x.class, started)
				}
				time.Sleep(time.Second)
				q := &Request{Class: x.class, Arrived: time.Now(), Reply: func(a Answer) { t.Errorf("%s: answered: %+v", name, a) }}
				c.Submit(q)
				synctest.Wait()
				var a *Attempt
				if name != "held" {
					if a = <-started; !a.Begin() {
						t.Fatal("the first attempt does not begin")
					}
				}
				if x.before != nil {
					x.before(a)
					synctest.Wait()
				}
				if len(started) > 0 {
					t.Fatalf("%s: a second attempt comes too early", name)
				}
				c.ClientDisconnected(q)
				synctest.Wait()
				if x.after != nil {
					x.after(a)
				}
				c.UpdateEndpoints(hosts)
				time.Sleep(5 * time.Second)
				cancel()
				synctest.Wait()
				want := int64(31)
				if name == "held" {
					want = 0
				}
				if n := counters.Get("attempts"); n != want || len(started) > 0 || counters.Get("clients_gone") != 1 {
					t.Errorf("%s: %d attempts: %s", name, n, counters)
				}
				if len(c.requests) > 0 {
					t.Errorf("%s: the request is kept", name)
				}
			})
		})
	}
}

// TestNoCopyBesideAStream has an answer begin to stream while a second copy of its request is right before its first byte:
// the copy does not begin, whether the client stays or leaves in mid-value.
func TestNoCopyBesideAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := make(chan *Attempt, 100)
		s := &fakeServers{take: func(a *Attempt) bool { started <- a; return true }}
		c, err := New(Options{Routing: routing.Config{Gateways: 1, MaxAttempts: 6, AllowCancel: true, AllowHedging: true,
			Classes: []routing.Class{{Name: "any", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}}},
			Counters: &metrics.Counters{}, HealthCheckTimeout: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond}, s)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		c.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: []Host{{Endpoint: routing.Endpoint{Member: "db-0", Primary: true, Capacity: 9}},
			{Endpoint: routing.Endpoint{Member: "db-1", Capacity: 9}}}})
		earn(c, "any", started)
		answers := make(chan Answer, 2)
		c.Submit(&Request{Class: "any", Arrived: time.Now(), Reply: func(a Answer) { answers <- a }})
		first := <-started
		first.Begin()
		second := <-started
		if !first.Stream("v") || (<-answers).Value != "v" {
			t.Error("the answer does not stream")
		}
		if second.Begin() {
			t.Error("a copy begins beside it")
		}
		first.Done(Outcome{Result: routing.ResultCancelled}) // the client left in mid-value
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		if len(started) > 0 || len(answers) > 0 || len(c.requests) > 0 {
			t.Errorf("%d attempts and %d answers follow, %d requests are kept", len(started), len(answers), len(c.requests))
		}
	})
}
