package frontend_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/backend"
	myservers "cranegate/internal/backend/mysql"
	pgservers "cranegate/internal/backend/postgres"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/mysql"
	"cranegate/internal/frontend/postgres"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
	"cranegate/internal/requestids"
	"cranegate/routing"
)

// init fixes rapid's seed, so that CI gets the same result each time. The command line's flags override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

var testRouting = routing.Config{Gateways: 1, MaxAttempts: 6, StaleReads: routing.StaleReadDelayed, Positions: true,
	RoleSource: routing.RoleSourceDelayed, AllowCancel: true, AllowHedging: true, MaxRetryAfter: 500 * time.Millisecond,
	SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
	Classes: []routing.Class{
		{Name: "look", LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
		{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 4,
			LateShare: 0.5, Effect: routing.NonIdempotent},
		{Name: mysql.PrepareClass, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
	}}

// pipeListener is a listener whose connections are pipes, which work with synctest's clock.
type pipeListener struct {
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const (
	harnessBudget   = 300 << 10 // bytes for what clients send
	harnessSlots    = 50
	harnessPassword = "geheim"
)

// testHarness is one frontend with its core and fake database hosts: db-0 is the primary of group 4.
type testHarness struct {
	mysql       bool
	hosts       []*fake.Host
	unreachable []atomic.Bool // by host: whether it refuses connections
	onDial      func()        // called before a connection to a host is dialled; may be nil
	core        *core.Core
	pool        *backend.Pool
	counters    *metrics.Counters
	listener    *pipeListener
	limiter     *connlimit.Limiter
	budget      *framebuf.Budget
	shutdown    context.CancelFunc // ends Server.Run's context, as SIGTERM does
	kill        context.CancelFunc // ends the core and the connection pool
	ended       chan error         // gets the result of Server.Run
}

func newHarness(mysqlFront bool, hosts ...*fake.Host) *testHarness {
	return newHarnessFor(harnessSlots, 1, mysqlFront, hosts...)
}

// newHarnessFor returns a harness with a number of client slots, whose gateway is configured as one of a number of gateways.
func newHarnessFor(slots, gateways int, mysqlFront bool, hosts ...*fake.Host) *testHarness {
	h := &testHarness{
		mysql:       mysqlFront,
		hosts:       hosts,
		unreachable: make([]atomic.Bool, len(hosts)),
		counters:    &metrics.Counters{},
		budget:      framebuf.NewBudget(harnessBudget),
		limiter:     connlimit.New(slots),
		listener:    newPipeListener(),
		ended:       make(chan error, 1),
	}
	work, kill := context.WithCancel(context.Background())
	serving, shutdown := context.WithCancel(context.Background())
	h.shutdown, h.kill = shutdown, kill
	h.startCore(work, gateways)
	server := h.newServer("test", h.limiter)
	server.Monitor = &invariant.Monitor{Counters: h.counters}
	<-h.core.Ready()
	go func() { h.ended <- server.Run(serving, h.listener) }()
	return h
}

// startCore starts the connection pool and the core, and sends the core a list of all hosts.
func (h *testHarness) startCore(ctx context.Context, gateways int) {
	var start backend.Starter = pgservers.Start
	if h.mysql {
		account := myservers.Account{User: "svc", HealthCheck: "SHOW pressure", PrepareTimeout: 250 * time.Millisecond}
		if h.hosts[0].Password != "" {
			account.Password = harnessPassword // wrong for hosts with another password
		}
		start = account.Start
	}
	h.pool = backend.New(ctx, backend.Options{Connect: h.dial, Start: start, ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout: 20 * time.Second, MaxOpen: 100, Gateways: gateways, Counters: h.counters})
	c, err := core.New(core.Options{Routing: testRouting, Seed: 1, AnswerSlack: 20 * time.Millisecond,
		HealthCheckTimeout: 250 * time.Millisecond, Counters: h.counters, Monitor: &invariant.Monitor{Counters: h.counters}}, h.pool)
	if err != nil {
		panic(err)
	}
	h.core = c
	go c.Run(ctx)
	h.updateEndpoints(routing.EndpointListComplete, routing.PhaseServing)
}

// newServer returns a server with the harness's protocol and core. It is not running yet.
func (h *testHarness) newServer(name string, limiter *connlimit.Limiter) *frontend.Server {
	var protocol frontend.Protocol = postgres.Protocol{}
	if h.mysql {
		protocol = mysql.Protocol{}
	}
	return &frontend.Server{Name: name, Protocol: protocol, Core: h.core, Limiter: limiter, Budget: h.budget, Counters: h.counters,
		RequestIDs: requestids.New()}
}

// updateEndpoints sends the core a list of all hosts, in which the last host has the given phase.
func (h *testHarness) updateEndpoints(kind routing.EndpointListKind, phase routing.Phase) {
	list := core.EndpointList{Kind: kind}
	for i, host := range h.hosts {
		e := routing.Endpoint{Member: fmt.Sprint("db-", i), Group: 4, Primary: host.Primary, Capacity: 1}
		if i == len(h.hosts)-1 {
			e.Phase = phase
		}
		list.Hosts = append(list.Hosts, core.Host{Address: e.Member, Endpoint: e})
	}
	h.core.UpdateEndpoints(list)
}

// dial connects the pool to a host through a pipe.
func (h *testHarness) dial(_ context.Context, address string) (net.Conn, error) {
	var i int
	fmt.Sscanf(address, "db-%d", &i)
	if h.onDial != nil {
		h.onDial()
	}
	if h.unreachable[i].Load() {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if h.mysql {
		go h.hosts[i].ServeMySQL(far)
	} else {
		go h.hosts[i].ServePostgres(far)
	}
	return near, nil
}

// connect returns the client's end of a new connection to the gateway.
func (h *testHarness) connect() net.Conn {
	near, far := net.Pipe()
	h.listener.conns <- far
	return near
}

// ran returns how often a request has run, at all hosts together.
func (h *testHarness) ran(id string) int {
	n := 0
	for _, host := range h.hosts {
		n += host.Ran(id)
	}
	return n
}

// awaitEnd waits until the server has ended after a shutdown. It may be called again.
func (h *testHarness) awaitEnd() error {
	err := <-h.ended
	h.ended <- err
	return err
}

// close ends the server as SIGTERM does, and then the core and the pool. It returns an error if an invariant was violated or memory
// was not released.
func (h *testHarness) close() error {
	h.shutdown()
	err := h.awaitEnd()
	time.Sleep(3 * time.Second) // for attempts that still run although their requests have been answered
	h.kill()
	h.pool.Wait()
	if n := h.counters.Get("violations"); err == nil && n > 0 {
		err = fmt.Errorf("%d violations: %v", n, h.counters)
	}
	if err == nil && !h.budget.Reserve(harnessBudget) {
		err = errors.New("memory was not released")
	}
	return err
}

// closeNow ends the server, the core and the pool without waiting for attempts. It is for tests that use the real clock.
func (h *testHarness) closeNow() {
	h.shutdown()
	<-h.ended
	h.kill()
	h.pool.Wait()
}

// waitFor waits until a condition holds. The limit of 10 s allows for a busy machine.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: timed out after 10 s", what)
		}
	}
}

// receive waits for a value. The limit of 10 s allows for a busy machine.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: timed out after 10 s", what)
	}
	return v
}

// inBubble runs a test in a synctest bubble, with a fake clock.
func inBubble(t *testing.T, f func() error) {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) { err = f() })
	if err != nil {
		t.Fatal(err)
	}
}

// checkPlans runs random plans and fails on the first error. Each plan is drawn outside the bubble in which it runs.
func checkPlans[P any](t *testing.T, plans *rapid.Generator[P], run func(P) error) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := plans.Draw(rt, "plan")
		var err error
		synctest.Test(t, func(*testing.T) { err = run(plan) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// chunks returns an iterator over parts of b, each of the given size but the last.
func chunks(b []byte, size int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(size, len(b))
			if !yield(b[:n]) {
				return
			}
			b = b[n:]
		}
	}
}
