package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/stats"
	"cranegate/rules"
)

// TestNothingBeginsOnceTheClientHasGone stops attempts right before their first byte, keeps the module's actor busy and its
// mailbox full, and has a hundred clients leave at once. None of the attempts begins, nor any of a request that was still in
// the mailbox; each request ends once, as one whose client has gone, whatever the hosts' connections report.
func TestNothingBeginsOnceTheClientHasGone(t *testing.T) {
	const clients = 100
	synctest.Test(t, func(t *testing.T) {
		var stopped []*Attempt // right before Begin
		s := &fakeServers{take: func(a *Attempt) bool { stopped = append(stopped, a); return true }}
		counters := &stats.Counters{}
		c, err := New(Options{Rules: rules.Config{Gateways: 1, MaxAttempts: 6, MayCancel: true, MayDuplicate: true,
			Classes: []rules.Class{{Name: "any", Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 1}}},
			Counters: counters, ProbeTimeout: 250 * time.Millisecond, AnswerSlack: 20 * time.Millisecond}, s)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		c.Members(List{Kind: rules.ListWhole, Hosts: []Host{{Entry: rules.Entry{Member: "db-0", Leader: true, Size: 100}}}})
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
			go c.Gone(q) // no room in the mailbox: it waits there
			synctest.Wait()
		}
		for i, a := range stopped {
			if i%2 == 0 {
				say(a.Request)
			} else { // as it stands when Gone has been called but is behind Done
				a.Request.left.Store(true)
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
