package frontend_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/routing"
)

// eventKind is a kind of event.
type eventKind string

const (
	eventRequest     eventKind = "request"
	eventDisconnect  eventKind = "disconnect"  // a request whose client may disconnect before its answer
	eventHostCrashes eventKind = "host dies"   // a host drops its connections, as in a crash
	eventHostDrains  eventKind = "host drains" // the last host begins to drain; happens at most once
	eventHostRefuses eventKind = "host refuses connections, or accepts them again"
)

// event is a request to the gateway or a change at a host.
type event struct {
	After time.Duration // delay after the previous event
	Kind  eventKind
	Form  string        // of a request
	Class string        // of a request
	Acts  []fake.Act    // the hosts' acts for the request's attempts in order; the last act repeats
	Stays time.Duration // how long the client of an eventDisconnect stays connected
}

// events generates sequences of events.
var events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
	}
	kinds := []eventKind{eventRequest, eventRequest, eventRequest, eventRequest, eventDisconnect,
		eventHostCrashes, eventHostDrains, eventHostRefuses}
	return event{After: ms("after", 300),
		Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		Form:  rapid.SampledFrom(mysqlForms).Draw(t, "form"),
		Class: rapid.SampledFrom([]string{"look", "put"}).Draw(t, "class"),
		Acts:  rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fake.Act { return fake.Act(rapid.IntRange(0, 6).Draw(t, "act")) }), 1, 4).Draw(t, "acts"),
		Stays: ms("stays", 900)}
}), 1, 25)

// TestRandomFleets sends random requests during random faults of clients and hosts. It checks that each request gets one answer, with
// its own value; that no write runs twice, and none is rejected after it has run; that a drained host gets no new request; and that no
// connections and prepared statements are left at the end.
func TestRandomFleets(t *testing.T) {
	for _, mysqlFront := range []bool{false, true} {
		checkPlans(t, events, func(plan []event) error { return runFleet(mysqlFront, plan) })
	}
}

// fleet is a harness with three hosts that runs a sequence of events.
type fleet struct {
	*testHarness
	requests  sync.WaitGroup
	errors    chan error
	drainedAt time.Time // when the last host began to drain; zero: it has not

	mu       sync.Mutex
	attempts map[string]int   // number of attempts by request id
	events   map[string]event // requests by id
}

// runFleet runs a sequence of events in a new harness.
func runFleet(mysqlFront bool, plan []event) error {
	f := &fleet{errors: make(chan error, 2*len(plan)), attempts: map[string]int{}, events: map[string]event{}}
	f.testHarness = newHarness(mysqlFront, &fake.Host{Primary: true, Act: f.act}, &fake.Host{Act: f.act}, &fake.Host{Act: f.act})
	for i, e := range plan {
		time.Sleep(e.After)
		f.start(i, e)
	}
	f.requests.Wait()
	if err := f.close(); err != nil {
		return err
	}
	synctest.Wait()
	close(f.errors)
	for err := range f.errors {
		return err
	}
	return f.checkEnd()
}

// act returns how a host handles an attempt.
func (f *fleet) act(id, _ string, prepare bool) fake.Act {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.events[id]
	if prepare || len(e.Acts) == 0 {
		return fake.Serve
	}
	f.attempts[id]++
	return e.Acts[min(f.attempts[id], len(e.Acts))-1]
}

// start starts event number i. It does not wait for the answer to a request.
func (f *fleet) start(i int, e event) {
	host := i % len(f.hosts)
	switch e.Kind {
	case eventHostCrashes:
		f.hosts[host].DropConnections()
	case eventHostRefuses:
		f.unreachable[host].Store(!f.unreachable[host].Load())
	case eventHostDrains:
		if f.drainedAt.IsZero() {
			f.drainedAt = time.Now()
			f.updateEndpoints(routing.EndpointListComplete, routing.PhaseDraining)
		}
	default:
		if !f.mysql {
			e.Form = formPostgres
		}
		id := fmt.Sprint("q", i)
		f.mu.Lock()
		f.events[id] = e
		f.mu.Unlock()
		afterDrain := !f.drainedAt.IsZero() && time.Since(f.drainedAt) > 250*time.Millisecond
		f.requests.Go(func() {
			if err := f.request(id, e, afterDrain); err != nil {
				f.errors <- err
			}
		})
	}
}

// request sends a request from a new client and checks the answer.
func (f *fleet) request(id string, e event, afterDrain bool) error {
	c, err := f.newClient(e.Form)
	if err != nil {
		return err
	}
	defer c.disconnect()
	if e.Kind == eventDisconnect {
		time.AfterFunc(e.Stays, c.disconnect)
	}
	sent := time.Now()
	got, err := c.request(e.Class, id)
	ran := f.ran(id)
	switch {
	case e.Kind == eventDisconnect && err != nil: // the client disconnected before its answer
		return nil
	case err != nil:
		return fmt.Errorf("%s: %w", id, err)
	case time.Since(sent) > 2100*time.Millisecond: // a prepare and an execute with a deadline of 1 s each, and slack
		return fmt.Errorf("%s answered after %v", id, time.Since(sent))
	case got.Outcome == "served" && (ran == 0 || e.Class == "look" && got.Value != "value of "+id),
		got.Outcome == "refused" && e.Class == "put" && ran > 0:
		return fmt.Errorf("%s got %+v, ran %d times", id, got, ran)
	case afterDrain && f.hosts[len(f.hosts)-1].Ran(id) > 0:
		return fmt.Errorf("%s ran at a drained host", id)
	}
	return nil
}

// checkEnd checks the hosts and the counters after the harness has closed.
func (f *fleet) checkEnd() error {
	for id, e := range f.events {
		if ran := f.ran(id); e.Class == "put" && ran > 1 {
			return fmt.Errorf("%s ran %d times", id, ran)
		}
	}
	for i, host := range f.hosts {
		if open, _ := host.Statements(); open != 0 || host.Conns() != 0 {
			return fmt.Errorf("host %d still has %d statements and %d connections", i, open, host.Conns())
		}
	}
	c := f.counters
	in, out := c.Get("requests"), c.Get("served")+c.Get("refused")+c.Get("failed")+c.Get("clients_gone")
	if in != out {
		return fmt.Errorf("%d requests began and %d ended: %s", in, out, c)
	}
	return nil
}
