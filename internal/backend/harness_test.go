package backend_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/backend/mysql"
	"cranegate/internal/backend/postgres"
	"cranegate/internal/core"
	"cranegate/internal/fake"
	"cranegate/internal/invariant"
	"cranegate/internal/metrics"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
	"cranegate/routing"
)

// testTimeout limits the waits of the tests. It is long enough for a busy machine; nothing is measured by it.
const testTimeout = 20 * time.Second

// pastReuseDelay is longer than the time for which a connection stays idle before it is reused.
const pastReuseDelay = 150 * time.Millisecond

// protocols are the protocols of the tests: "prepared" is MySQL's with prepared statements.
var protocols = []string{"postgres", "mysql", "prepared"}

// harness is a core with one database host, the primary of group 4, on real sockets.
type harness struct {
	t        *testing.T
	protocol string
	host     *fake.Host
	listener net.Listener
	core     *core.Core
	counters *metrics.Counters
	serve    func(net.Conn) // serves the host's connections in place of host; nil: host serves them

	mu    sync.Mutex
	conns []*net.TCPConn // the host's ends of the connections, in the order in which they were opened

	prepared map[string]*mysqlwire.Statement // by class
}

// newHarness starts a core and a host. change, if not nil, may alter the pool's options, among them how connections are
// opened and started. serve, if given, serves the host's connections in the host's place.
func newHarness(t *testing.T, protocol string, host *fake.Host, change func(*backend.Options), serve ...func(net.Conn)) *harness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host.Primary = true
	h := &harness{t: t, protocol: protocol, host: host, listener: listener, counters: &metrics.Counters{},
		prepared: map[string]*mysqlwire.Statement{}}
	for _, f := range serve {
		h.serve = f
	}
	options := h.poolOptions()
	if change != nil {
		change(&options)
	}
	ctx, cancel := context.WithCancel(context.Background())
	pool := backend.New(ctx, options)
	if h.core, err = core.New(h.coreOptions(), pool); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { h.core.Run(ctx) })
	running.Go(func() { h.accept(&running) })
	t.Cleanup(func() {
		if n := h.counters.Get("violations"); n > 0 {
			t.Errorf("%d violations: %v", n, h.counters)
		}
		cancel()
		listener.Close()
		h.closeConns()
		pool.Wait()
		running.Wait()
	})
	h.core.UpdateEndpoints(h.endpointList(routing.EndpointListComplete, routing.PhaseServing))
	return h
}

func (h *harness) poolOptions() backend.Options {
	options := backend.Options{Start: postgres.Start, ConnectTimeout: testTimeout, IdleTimeout: testTimeout, MaxOpen: 50,
		Gateways: 1, Counters: h.counters}
	if h.protocol != "postgres" {
		options.Start = mysql.Account{User: "svc", HealthCheck: "SHOW pressure", PrepareTimeout: testTimeout}.Start
	}
	return options
}

// coreOptions returns options with deadlines that are long enough for a busy machine, except for the short deadline of class
// "brief".
func (h *harness) coreOptions() core.Options {
	classes := []routing.Class{
		{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: testTimeout / 2, Deadline: testTimeout,
			PriorityWeight: 1, Effect: routing.NonIdempotent},
		{Name: "brief", Consistency: routing.ConsistencyWrite, LatencyObjective: 300 * time.Millisecond,
			Deadline: 600 * time.Millisecond, PriorityWeight: 1, Effect: routing.NonIdempotent},
	}
	return core.Options{
		Routing: routing.Config{Gateways: 1, MaxAttempts: 6, StaleReads: routing.StaleReadDelayed, Positions: true,
			RoleSource: routing.RoleSourceDelayed, AllowCancel: true, Classes: classes},
		Seed:               1,
		AnswerSlack:        20 * time.Millisecond,
		HealthCheckTimeout: time.Second,
		Counters:           h.counters,
		Monitor:            &invariant.Monitor{Counters: h.counters},
	}
}

// endpointList returns an endpoint list with the host in a phase.
func (h *harness) endpointList(kind routing.EndpointListKind, phase routing.Phase) core.EndpointList {
	return core.EndpointList{Kind: kind, Hosts: []core.Host{{Address: h.listener.Addr().String(),
		Endpoint: routing.Endpoint{Member: "db-0", Group: 4, Primary: true, Capacity: 1, Phase: phase}}}}
}

func (h *harness) accept(running *sync.WaitGroup) {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns = append(h.conns, conn.(*net.TCPConn))
		h.mu.Unlock()
		running.Go(func() {
			if h.serve != nil {
				h.serve(conn)
			} else if h.protocol == "postgres" {
				h.host.ServePostgres(conn)
			} else {
				h.host.ServeMySQL(conn)
			}
		})
	}
}

func (h *harness) closeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		conn.Close()
	}
}

// hostConn returns the host's end of connection i, in the order in which they were opened.
func (h *harness) hostConn(i int) *net.TCPConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[i]
}

// connCount returns how many connections were opened.
func (h *harness) connCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// updateHost gives the core an endpoint list with the host in a phase, and returns once it has been applied.
func (h *harness) updateHost(kind routing.EndpointListKind, phase routing.Phase) {
	h.t.Helper()
	h.core.UpdateEndpoints(h.endpointList(kind, phase))
	h.waitCore()
}

// waitCore returns once the core has handled all events that were posted before.
func (h *harness) waitCore() {
	h.t.Helper()
	if _, err := h.core.Known(h.t.Context(), "x"); err != nil {
		h.t.Error(err)
	}
}

// request submits a request and returns the channel of its answer.
func (h *harness) request(class, id string) <-chan core.Answer {
	h.t.Helper()
	answers := make(chan core.Answer, 10)
	h.send(class, id, func(a core.Answer) { answers <- a })
	return answers
}

// submit submits a request whose answer is ignored.
func (h *harness) submit(class, id string) *core.Request {
	h.t.Helper()
	return h.send(class, id, func(core.Answer) {})
}

// send submits a request with the given handler of its answer.
func (h *harness) send(class, id string, reply func(core.Answer)) *core.Request {
	h.t.Helper()
	text := "/* id=" + id + ",c=" + class + ",d=60000,cluster=4 */ SELECT v FROM records WHERE k = '" + id + "'"
	statement, err := sqlcomment.Parse([]byte(text))
	if err != nil {
		h.t.Fatal(err)
	}
	request := &core.Request{Class: class, Group: 4, Arrived: time.Now(), Payload: statement, Reply: reply}
	switch h.protocol {
	case "mysql":
		request.Payload = &mysqlwire.Command{Kind: mysqlwire.ComQuery, Meta: statement}
	case "prepared":
		if h.prepared[class] == nil {
			h.prepared[class] = mysqlwire.NewStatement("/* c="+class+",cluster=4 */ SELECT v FROM records WHERE k = ?", nil)
			h.prepared[class].Params = 1
		}
		request.Payload = &mysqlwire.Command{Kind: mysqlwire.ComStmtExecute, Meta: statement, Statement: h.prepared[class],
			Params:     []mysqlwire.Param{mysqlwire.Attribute("", id)},
			Attributes: []mysqlwire.Param{mysqlwire.Attribute("id", id)}}
	}
	if !h.core.Submit(request) {
		h.t.Fatal("the core has ended")
	}
	return request
}

// wait returns the answer of a request.
func (h *harness) wait(answers <-chan core.Answer) core.Answer {
	h.t.Helper()
	select {
	case a := <-answers:
		return a
	case <-time.After(2 * testTimeout):
		h.t.Fatal("no answer")
		return core.Answer{}
	}
}

// checkServes submits a request, and checks that it is served.
func (h *harness) checkServes(class, id string) {
	h.t.Helper()
	h.checkServed(h.wait(h.request(class, id)), id)
}

// checkServed checks that an answer has the value for a request's id, and that the request ran once.
func (h *harness) checkServed(a core.Answer, id string) {
	h.t.Helper()
	if n := h.host.Ran(id); a.Status != core.Served || !hasValue(a.Value, "value of "+id) || n != 1 {
		h.t.Errorf("%s: status %d, value %q, ran %d times", id, a.Status, a.Value, n)
	}
}

// hasValue reports whether an answer's value contains a text.
func hasValue(value any, text string) bool {
	switch v := value.(type) {
	case []byte:
		return bytes.Contains(v, []byte(text))
	case *mysqlwire.Result:
		return len(v.Rows) == 1 && bytes.Contains(v.Rows[0], []byte(text))
	}
	return false
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// splitMessages splits an answer into its messages (PostgreSQL) or packets (MySQL).
func splitMessages(protocol string, answer []byte) (messages [][]byte) {
	for len(answer) > 0 {
		n := 4 + int(answer[0]) + int(answer[1])<<8 + int(answer[2])<<16
		if protocol == "postgres" {
			n = 1 + int(binary.BigEndian.Uint32(answer[1:5]))
		}
		messages, answer = append(messages, answer[:n]), answer[n:]
	}
	return messages
}

// errorAfter returns an answer that a host's error cuts off after n messages. The code is a SQLSTATE code or a MySQL error
// code.
func errorAfter(protocol string, answer []byte, n int, code string) []byte {
	begun := bytes.Join(splitMessages(protocol, answer)[:n], nil)
	if protocol == "postgres" {
		return pgwire.AppendReady(pgwire.AppendError(begun, "ERROR", code, "no", ""))
	}
	var w mysqlwire.Writer
	w.Reset(byte(1 + n))
	e := mysqlwire.Error{State: "HY000", Text: "no"}
	fmt.Sscan(code, &e.Code)
	if code == "53300" || code == "25006" {
		e.Code, e.State = 1105, code
	}
	w.Err(e, mysqlwire.CapProtocol41)
	return append(begun, w.B...)
}
