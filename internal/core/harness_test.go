package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/metrics"
	"cranegate/routing"
)

// fakeBackend records attempts and answers health checks. The function start runs the attempts of requests.
type fakeBackend struct {
	mu    sync.Mutex
	sent  []string // members, in the order of the attempts
	start func(*Attempt) bool
}

func (b *fakeBackend) Update(EndpointList) {}
func (b *fakeBackend) CloseIdle(string)    {}
func (b *fakeBackend) Start(a *Attempt) bool {
	if a.Request == nil { // db-0 is the primary, db-1 trails by 400 ms
		report := routing.Report{HasPosition: true, Position: time.Now().UnixMilli(), Role: routing.RolePrimary}
		if a.Member == "db-1" {
			report.Position, report.Role = report.Position-400, routing.RoleReplica
		}
		go func() {
			a.Begin()
			a.Done(Outcome{Result: routing.ResultOK, Report: report})
		}()
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, a.Member)
	return b.start(a)
}

// harness is a running core with a fake backend, in a synctest bubble.
type harness struct {
	*Core
	backend  *fakeBackend
	counters *metrics.Counters
	cancel   context.CancelFunc
}

func newHarness(t *testing.T, options Options, start func(*Attempt) bool) *harness {
	t.Helper()
	h := &harness{backend: &fakeBackend{start: start}, counters: options.Counters}
	var err error
	if h.Core, err = New(options, h.backend); err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go h.Run(ctx)
	return h
}

// testOptions returns options with counters and a short answer slack.
func testOptions(config routing.Config, seed uint64) Options {
	return Options{Routing: config, Seed: seed, AnswerSlack: 20 * time.Millisecond, HealthCheckTimeout: 250 * time.Millisecond,
		Counters: &metrics.Counters{}}
}

// hedgingConfig returns a configuration that lets the router cancel attempts and hedge requests.
func hedgingConfig(classes ...routing.Class) routing.Config {
	return routing.Config{Gateways: 1, MaxAttempts: 6, AllowCancel: true, AllowHedging: true, Classes: classes}
}

// The classes of most tests: reads, and writes.
var (
	readClass  = routing.Class{Name: "any", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}
	writeClass = routing.Class{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: 2 * time.Second,
		Deadline: 4 * time.Second, PriorityWeight: 1, LateShare: 0.5}
)

// setEndpoints gives the core a complete endpoint list: db-0 as the primary, and the given number of entries for the replica
// db-1, each with the same capacity.
func (h *harness) setEndpoints(replicas int, capacity float64) {
	hosts := []Host{{Endpoint: routing.Endpoint{Member: "db-0", Primary: true, Capacity: capacity}}}
	for range replicas {
		hosts = append(hosts, Host{Endpoint: routing.Endpoint{Member: "db-1", Capacity: capacity}})
	}
	h.UpdateEndpoints(EndpointList{Kind: routing.EndpointListComplete, Hosts: hosts})
}

// stop ends the actor and waits for it.
func (h *harness) stop() {
	h.cancel()
	synctest.Wait()
}

// checkNoRequests reports requests that are still in the table.
func (h *harness) checkNoRequests(t *testing.T) {
	t.Helper()
	if len(h.requests) > 0 {
		t.Errorf("%d requests are left in the table", len(h.requests))
	}
}

// earnRetryTokens has requests of a class served, so that the retry budget allows retries and hedged requests.
func (h *harness) earnRetryTokens(class string, started chan *Attempt) {
	for range 30 {
		h.Submit(&Request{Class: class, Arrived: time.Now(), Reply: func(Answer) {}})
		a := <-started
		a.Begin()
		time.Sleep(5 * time.Millisecond)
		a.Done(Outcome{Result: routing.ResultOK})
		synctest.Wait()
	}
}

// serve begins an attempt and reports that the host has answered it.
func serve(a *Attempt) bool {
	go func() {
		if a.Begin() {
			a.Done(Outcome{Result: routing.ResultOK, Value: "v"})
			a.Done(Outcome{Result: routing.ResultError}) // a second outcome is ignored
		}
	}()
	return true
}
