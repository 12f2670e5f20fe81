package core

import (
	"testing"
	"testing/synctest"
	"time"

	"cranegate/routing"
)

// disconnectedClients is the number of clients of TestNothingBeginsAfterDisconnect for each of its two kinds of request.
const disconnectedClients = 100

// TestNothingBeginsAfterDisconnect stops attempts right before their first byte, keeps the actor busy and its mailbox full,
// and then has all clients disconnect: a hundred with such an attempt, and a hundred whose requests are still in the
// mailbox. No attempt begins, and no request from the mailbox gets an attempt. Each request ends once and is counted as one
// whose client has disconnected, whichever outcome the hosts' connections report.
func TestNothingBeginsAfterDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waiting []*Attempt // stopped right before Begin
		h := newHarness(t, testOptions(hedgingConfig(readClass), 0), func(a *Attempt) bool {
			waiting = append(waiting, a)
			return true
		})
		h.setEndpoints(0, 100)
		newRequest := func() *Request {
			return &Request{Class: "any", Arrived: time.Now(), Reply: func(a Answer) { t.Errorf("answered: %+v", a) }}
		}
		for range disconnectedClients {
			h.Submit(newRequest())
		}
		synctest.Wait()
		if len(waiting) != disconnectedClients {
			t.Fatalf("%d attempts wait for their connection, want %d", len(waiting), disconnectedClients)
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
		for i, a := range waiting {
			h.checkDisconnectedAttempt(t, i, a)
		}
		for _, request := range queued {
			h.disconnect(request)
		}
		close(resume)
		synctest.Wait()
		if len(waiting) != disconnectedClients {
			t.Errorf("%d attempts were started for disconnected clients", len(waiting)-disconnectedClients)
		}
		time.Sleep(5 * time.Second)
		h.stop()
		h.checkNoRequests(t)
		h.checkAllDisconnected(t)
	})
}

// disconnect has a request's client disconnect. If the mailbox is full, the event waits for room in it.
func (h *harness) disconnect(request *Request) {
	go h.ClientDisconnected(request)
	synctest.Wait()
}

// checkDisconnectedAttempt disconnects the client of an attempt that is about to write its first byte, and checks that the
// attempt does not begin. For even i the event of the disconnect precedes the outcome that the host's connection reports;
// for odd i it follows the outcome.
func (h *harness) checkDisconnectedAttempt(t *testing.T, i int, a *Attempt) {
	t.Helper()
	if i%2 == 0 {
		h.disconnect(a.Request)
	} else { // ClientDisconnected does this first; its event then follows the event of Done
		a.Request.markDisconnected(h.Core)
	}
	if a.Waiting() {
		t.Errorf("attempt %d still waits for a connection after its client disconnected", i)
	}
	if a.Begin() {
		t.Errorf("attempt %d begins after its client disconnected", i)
	}
	go a.Done(Outcome{}) // what a connection reports if its attempt must not begin
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

// disconnectCase describes what the first attempt of a request does before and after the request's client disconnects.
type disconnectCase struct {
	class  string
	before func(*Attempt) // what the attempt does before; nil: nothing
	after  func(*Attempt) // what the attempt does after; nil: nothing
	noHost bool           // no host is listed yet, so there is no attempt
}

// TestNothingSentAfterDisconnect has a client disconnect while its request waits for a host to be listed, waits for a retry
// after a rejection, has an attempt in flight that then ends in one of several ways, or is about to be hedged. The router
// makes its own decisions. Nothing more is sent, and no request is left in the table.
func TestNothingSentAfterDisconnect(t *testing.T) {
	end := func(result routing.Result) func(*Attempt) {
		return func(a *Attempt) { a.Done(Outcome{Result: result}) }
	}
	for name, c := range map[string]disconnectCase{
		"held":          {class: "any", noHost: true},
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
	if !c.noHost {
		h.setEndpoints(1, 9)
		h.earnRetryTokens(c.class, started)
		wantAttempts = 31
	}
	time.Sleep(time.Second)
	request := &Request{Class: c.class, Arrived: time.Now(), Reply: func(a Answer) { t.Errorf("answered: %+v", a) }}
	h.Submit(request)
	synctest.Wait()
	var first *Attempt
	if !c.noHost {
		if first = <-started; !first.Begin() {
			t.Fatal("the first attempt must begin")
		}
	}
	if c.before != nil {
		c.before(first)
		synctest.Wait()
	}
	if len(started) > 0 {
		t.Fatal("a second attempt was started before the client disconnected")
	}
	h.ClientDisconnected(request)
	synctest.Wait()
	if c.after != nil {
		c.after(first)
	}
	h.setEndpoints(1, 9)
	time.Sleep(5 * time.Second)
	h.stop()
	if n := h.counters.Get("attempts"); n != wantAttempts || len(started) > 0 || h.counters.Get("clients_gone") != 1 {
		t.Errorf("something was sent after the disconnect, or it was not counted once: %d attempts, counters %s", n, h.counters)
	}
	h.checkNoRequests(t)
}

// TestNoHedgedRequestDuringStream has an answer begin to stream while a hedged request is about to write its first byte. The
// hedged request must not begin, and nothing follows when the client disconnects while it receives the value.
func TestNoHedgedRequestDuringStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := make(chan *Attempt, 100)
		h := newHarness(t, testOptions(hedgingConfig(readClass), 0), func(a *Attempt) bool {
			started <- a
			return true
		})
		h.setEndpoints(1, 9)
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
			t.Error("the hedged request begins during the stream")
		}
		first.Done(Outcome{Result: routing.ResultCancelled}) // the client disconnected while it received the value
		time.Sleep(5 * time.Second)
		h.stop()
		if len(started) > 0 || len(answers) > 0 || len(h.requests) > 0 {
			t.Errorf("%d attempts and %d answers follow, %d requests are left", len(started), len(answers), len(h.requests))
		}
	})
}
