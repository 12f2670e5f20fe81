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
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

// CI's verdict never varies: the seed is fixed. The flags still override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

var testRules = routing.Config{Gateways: 1, MaxAttempts: 6, StaleReads: routing.StaleReadDelayed, Positions: true,
	RoleSource: routing.RoleSourceDelayed, AllowCancel: true, AllowHedging: true, MaxRetryAfter: 500 * time.Millisecond,
	SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
	Classes: []routing.Class{
		{Name: "look", LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
		{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 4,
			LateShare: 0.5, Effect: routing.NonIdempotent},
		{Name: mysql.PrepareClass, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
	}}

// pipes is a listener whose connections are pipes, so that a test's clock can stand in for time.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipes) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

const rigBudget = 300 << 10

// rig is one front with its core and stand-in hosts: db-0 is the primary of group 4.
type rig struct {
	mysql    bool
	hosts    []*fake.Host
	down     []atomic.Bool // refuses connections
	opening  func()        // called as a connection to a host is asked for; nil does nothing
	core     *core.Core
	pool     *backend.Pool
	counters *metrics.Counters
	pipes    *pipes
	room     *connlimit.Limiter
	budget   *framebuf.Budget
	stop     context.CancelFunc // as SIGTERM does
	kill     context.CancelFunc
	ended    chan error
}

func newRig(mysqlFront bool, hosts ...*fake.Host) *rig {
	return newRigFor(50, 1, mysqlFront, hosts...)
}

// newRigFor has places for a number of clients, and holds itself for one of so many gateways.
func newRigFor(places, gateways int, mysqlFront bool, hosts ...*fake.Host) *rig {
	r := &rig{mysql: mysqlFront, hosts: hosts, down: make([]atomic.Bool, len(hosts)), counters: &metrics.Counters{},
		budget: framebuf.NewBudget(rigBudget), room: connlimit.New(places),
		pipes: &pipes{conns: make(chan net.Conn), done: make(chan struct{})}, ended: make(chan error, 1)}
	work, kill := context.WithCancel(context.Background())
	stopped, stop := context.WithCancel(context.Background())
	r.stop, r.kill = stop, kill
	var start backend.Starter = pgservers.Start
	if mysqlFront {
		start = myservers.Account{User: "svc", Password: rigPassword(hosts), HealthCheck: "SHOW pressure", PrepareTimeout: 250 * time.Millisecond}.Start
	}
	r.pool = backend.New(work, backend.Options{Connect: r.dial, Start: start, ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout: 20 * time.Second, MaxOpen: 100, Gateways: gateways, Counters: r.counters})
	c, err := core.New(core.Options{Routing: testRules, Seed: 1, AnswerSlack: 20 * time.Millisecond,
		HealthCheckTimeout: 250 * time.Millisecond, Counters: r.counters, Monitor: &invariant.Monitor{Counters: r.counters}}, r.pool)
	if err != nil {
		panic(err)
	}
	r.core = c
	go c.Run(work)
	r.list(routing.EndpointListComplete, routing.PhaseServing)
	var front frontend.Protocol = postgres.Protocol{}
	if mysqlFront {
		front = mysql.Protocol{}
	}
	s := &frontend.Server{Name: "test", Protocol: front, Core: c, Limiter: r.room, Budget: r.budget,
		Counters: r.counters, Monitor: &invariant.Monitor{Counters: r.counters}}
	<-c.Ready()
	go func() { r.ended <- s.Run(stopped, r.pipes) }()
	return r
}

// rigPassword is the gateway's password, which is wrong at hosts that want another; none where none is wanted.
func rigPassword(hosts []*fake.Host) string {
	if hosts[0].Password == "" {
		return ""
	}
	return "geheim"
}

// list tells of all hosts; phase is that of the last one.
func (r *rig) list(kind routing.EndpointListKind, phase routing.Phase) {
	l := core.EndpointList{Kind: kind}
	for i, h := range r.hosts {
		e := routing.Endpoint{Member: fmt.Sprint("db-", i), Group: 4, Primary: h.Primary, Capacity: 1}
		if i == len(r.hosts)-1 {
			e.Phase = phase
		}
		l.Hosts = append(l.Hosts, core.Host{Address: e.Member, Endpoint: e})
	}
	r.core.UpdateEndpoints(l)
}

func (r *rig) dial(_ context.Context, address string) (net.Conn, error) {
	var i int
	fmt.Sscanf(address, "db-%d", &i)
	if r.opening != nil {
		r.opening()
	}
	if r.down[i].Load() {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if r.mysql {
		go r.hosts[i].ServeMySQL(far)
	} else {
		go r.hosts[i].ServePostgres(far)
	}
	return near, nil
}

// connect gives a client's end of a new connection.
func (r *rig) connect() net.Conn {
	near, far := net.Pipe()
	r.pipes.conns <- far
	return near
}

// close ends the front as SIGTERM does, and then the rest.
func (r *rig) close() error {
	r.stop()
	err := <-r.ended
	r.ended <- err
	time.Sleep(3 * time.Second) // attempts that nobody waits for run out
	r.kill()
	r.pool.Wait()
	if n := r.counters.Get("violations"); err == nil && n > 0 {
		err = fmt.Errorf("%d violations: %v", n, r.counters)
	}
	if err == nil && !r.budget.Reserve(rigBudget) {
		err = errors.New("memory was not given back")
	}
	return err
}

// asker is a client of either protocol. Form says how it asks.
type asker struct {
	form string // "postgres", "mysql" or "prepared"
	pg   *fake.PostgresClient
	my   *fake.MySQLClient
}

var forms = []string{"postgres", "mysql", "prepared"}

func (r *rig) asker(form string) (*asker, error) {
	a, err := &asker{form: form}, error(nil)
	if form == "postgres" {
		a.pg, err = fake.DialPostgres(r.connect(), "")
	} else {
		a.my, err = fake.DialMySQL(r.connect(), mysqlwire.CapQueryAttributes|mysqlwire.CapSessionTrack)
	}
	return a, err
}

var verbs = map[string]string{"look": "SELECT v FROM records WHERE k = ", "put": "INSERT INTO records (k) VALUES "}

// ask sends one request; its key is its id, so a value shows whom it was made for.
func (a *asker) ask(class, id string) (fake.Reply, error) {
	comment := "/* id=" + id + ",c=" + class + ",d=1000,cluster=4 */ "
	if a.form != "prepared" {
		return a.say(comment + verbs[class] + "'" + id + "'")
	}
	r, st, _, err := a.my.Prepare("/* c=" + class + ",cluster=4 */ " + verbs[class] + "?")
	if err != nil || r.Outcome != "served" {
		return r, err
	}
	r, err = a.my.Execute(st, []mysqlwire.Param{mysqlwire.Attribute("", id)}, mysqlwire.Attribute("id", id),
		mysqlwire.Attribute("d", "1000"))
	a.my.CloseStatement(st) // not answered: where the gateway has ended the connection it does not matter
	return r, err
}

// say sends a text query.
func (a *asker) say(text string) (fake.Reply, error) {
	if a.pg != nil {
		return a.pg.Ask(text)
	}
	return a.my.Query(text)
}

// conn is the client's connection.
func (a *asker) conn() *framebuf.Conn {
	if a.pg != nil {
		return a.pg.Conn
	}
	return a.my.Conn
}

func (a *asker) leave() {
	if a.pg != nil {
		a.pg.Close()
	} else {
		a.my.Close()
	}
}

// inBubble runs a test on a clock of its own.
func inBubble(t *testing.T, f func() error) {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) { err = f() })
	if err != nil {
		t.Fatal(err)
	}
}
