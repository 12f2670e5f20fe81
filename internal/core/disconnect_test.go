package core

import (
	"testing"
	"testing/synctest"
	"time"

	"cranegate/routing"
)

// disconnectedClients is how many clients TestNothingBeginsAfterDisconnect has for each of its two kinds of request.
const disconnectedClients = 100

// TestNothingBeginsAfterDisconnect stops attempts right before their first byte, keeps the actor busy and its mailbox full,
// and has a hundred clients disconnect at once. None of the attempts begins, nor any of a request that was still in the
// mailbox; each request ends once, as one whose client has disconnected, whatever the hosts' connections report.
func TestNothingBeginsAfterDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped []*Attempt // right before Begin
		h := newHarness(t, testOptions(hedgingConfig(readClass), 0), func(a *Attempt) bool {
			stopped = append(stopped, a)
			return true
		})
		h.list(0, 100)
		newRequest := func() *Request {
			return &Request{Class: "any", Arrived: time.Now(), Reply: func(a Answer) { t.Errorf("answered: %+v", a) }}
		}
		for range disconnectedClients {
			h.Submit(newRequest())
		}
		synctest.Wait()
		if len(stopped) != disconnectedClients {
			t.Fatalf("%d attempts wait for their connection, want %d", len(stopped), disconnectedClients)
		}
		resume := make(chan struct{})
		h.post(actorCall(func() { <-resume }))
		var queued []*Request // still in the mailbox
		for range disconnectedClients {
			queued = append(queued, newRequest())
			h.Submit(queued[len(queued)-1])
		}
		synctest.Wait()
		for len(h.mailbox) < cap(h.mailbox) {
			h.post(actorCall(func() {}))
		}
		for i, a := range stopped {
			h.checkDisconnectedAttempt(t, i, a)
		}
		for _, request := range queued {
			h.disconnect(request)
		}
		close(resume)
		synctest.Wait()
		if len(stopped) != disconnectedClients {
			t.Errorf("%d attempts were started for disconnected clients", len(stopped)-disconnectedClients)
		}
		time.Sleep(5 * time.Second)
		h.stop()
		h.checkNoRequests(t)
		h.checkAllDisconnected(t)
	})
}

// disconnect has a request's client disconnect while there is no room in the mailbox: the notice waits there.
func (h *harness) disconnect(request *Request) {
	go h.ClientDisconnected(request)
	synctest.Wait()
}

// checkDisconnectedAttempt disconnects the client of an attempt that is right before its first byte, by turns before the
// connection reports and after, and checks that it does not begin.
func (h *harness) checkDisconnectedAttempt(t *testing.T, i int, a *Attempt) {
	t.Helper()
	if i%2 == 0 {
		h.disconnect(a.Request)
	} else { // as it is when ClientDisconnected has been called but its event is behind that of Done
		a.Request.markDisconnected(h.Core)
	}
	if a.Waiting() {
		t.Errorf("attempt %d still wants a connection", i)
	}
	if a.Begin() {
		t.Errorf("attempt %d begins", i)
	}
	go a.Done(Outcome{}) // as a connection does whose attempt must not begin
	synctest.Wait()
	if i%2 == 1 {
		h.disconnect(a.Request)
	}
}

// checkAllDisconnected checks the counters of TestNothingBeginsAfterDisconnect.
func (h *harness) checkAllDisconnected(t *testing.T) {
	t.Helper()
	const clients = disconnectedClients
	for name, want := range map[string]int64{"requests": 2 * clients, "clients_gone": 2 * clients, "attempts": clients,
		"attempts_never_sent": clients, "attempts_error": 0, "served": 0, "refused": 0, "failed": 0} {
		if n := h.counters.Get(name); n != want {
			t.Errorf("%s: %d, want %d", name, n, want)
		}
	}
}

// disconnectCase is when a client disconnects, and what its first attempt does before and after.
type disconnectCase struct {
	class  string
	before func(*Attempt) // what the first attempt does before; nil: nothing
	after  func(*Attempt) // what it does after; nil: nothing
	held   bool           // there is no host yet, and no attempt
}

// TestNothingFollowsADisconnect has a client disconnect while its request is held for want of a member, waits for a retry
// after a rejection, has an attempt out that ends in each way, or is about to be hedged, with the router's own decisions:
// nothing more is sent, and nothing is left in the table.
func TestNothingFollowsADisconnect(t *testing.T) {
	end := func(result routing.Result) func(*Attempt) {
		return func(a *Attempt) { a.Done(Outcome{Result: result}) }
	}
	for name, c := range map[string]disconnectCase{
		"held":          {class: "any", held: true},
		"retry delay":   {class: "put", before: end(routing.ResultOverCapacity)},
		"reset":         {class: "any", after: end(routing.ResultReset)},
		"over capacity": {class: "any", after: end(routing.ResultOverCapacity)},
		"missed":        {class: "any", after: end(routing.ResultMissed)},
		"not connected": {class: "any", after: end(routing.ResultConnectFailed)},
		"silent":        {class: "any", after: func(*Attempt) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t) })
		})
	}
}

func (c disconnectCase) run(t *testing.T) {
	started := make(chan *Attempt, 100)
	h := newHarness(t, testOptions(hedgingConfig(readClass, writeClass), 0), func(a *Attempt) bool {
		started <- a
		return true
	})
	wantAttempts := int64(0)
	if !c.held {
		h.list(1, 9)
		h.earnRetryTokens(c.class, started)
		wantAttempts = 31
	}
	time.Sleep(time.Second)
	request := &Request{Class: c.class, Arrived: time.Now(), Reply: func(a Answer) { t.Errorf("answered: %+v", a) }}
	h.Submit(request)
	synctest.Wait()
	var first *Attempt
	if !c.held {
		if first = <-started; !first.Begin() {
			t.Fatal("the first attempt does not begin")
		}
	}
	if c.before != nil {
		c.before(first)
		synctest.Wait()
	}
	if len(started) > 0 {
		t.Fatal("a second attempt comes too early")
	}
	h.ClientDisconnected(request)
	synctest.Wait()
	if c.after != nil {
		c.after(first)
	}
	h.list(1, 9)
	time.Sleep(5 * time.Second)
	h.stop()
	if n := h.counters.Get("attempts"); n != wantAttempts || len(started) > 0 || h.counters.Get("clients_gone") != 1 {
		t.Errorf("%d attempts: %s", n, h.counters)
	}
	h.checkNoRequests(t)
}

// TestNoHedgeBesideAStream has an answer begin to stream while a hedged request is right before its first byte: that does
// not begin, whether the client stays or disconnects while it receives the value.
func TestNoHedgeBesideAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := make(chan *Attempt, 100)
		h := newHarness(t, testOptions(hedgingConfig(readClass), 0), func(a *Attempt) bool {
			started <- a
			return true
		})
		h.list(1, 9)
		h.earnRetryTokens("any", started)
		answers := make(chan Answer, 2)
		h.Submit(&Request{Class: "any", Arrived: time.Now(), Reply: func(a Answer) { answers <- a }})
		first := <-started
		first.Begin()
		hedge := <-started
		if !first.Stream("v") || (<-answers).Value != "v" {
			t.Error("the answer does not stream")
		}
		if hedge.Begin() {
			t.Error("the hedged request begins beside it")
		}
		first.Done(Outcome{Result: routing.ResultCancelled}) // the client disconnected while it received the value
		time.Sleep(5 * time.Second)
		h.stop()
		if len(started) > 0 || len(answers) > 0 || len(h.requests) > 0 {
			t.Errorf("%d attempts and %d answers follow, %d requests are left", len(started), len(answers), len(h.requests))
		}
	})
}
