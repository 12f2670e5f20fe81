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

// soon bounds what has to come about, on a busy machine too. Nothing is measured by it.
const soon = 20 * time.Second

// restsFor is longer than a connection rests before it is used again.
const restsFor = 150 * time.Millisecond

var forms = []string{"postgres", "mysql", "prepared"}

// rig is a core with one database host, the primary of group 4, on real sockets.
type rig struct {
	t        *testing.T
	form     string
	host     *fake.Host
	listener net.Listener
	core     *core.Core
	counters *metrics.Counters
	serve    func(net.Conn) // in place of the host

	mu    sync.Mutex
	conns []*net.TCPConn // the host's ends, in the order of their coming

	prepared map[string]*mysqlwire.Statement // by class
}

// newRig plays a host; change may alter the pool's options, among them the seams: how connections are opened and started.
func newRig(t *testing.T, form string, host *fake.Host, change func(*backend.Options), serve ...func(net.Conn)) *rig {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host.Primary = true
	r := &rig{t: t, form: form, host: host, listener: l, counters: &metrics.Counters{},
		prepared: map[string]*mysqlwire.Statement{}}
	opt := backend.Options{Start: postgres.Start, ConnectTimeout: soon, IdleTimeout: soon, MaxOpen: 50, Gateways: 1, Counters: r.counters}
	if form != "postgres" {
		opt.Start = mysql.Account{User: "svc", HealthCheck: "SHOW pressure", PrepareTimeout: soon}.Start
	}
	for _, f := range serve {
		r.serve = f
	}
	if change != nil {
		change(&opt)
	}
	ctx, cancel := context.WithCancel(context.Background())
	pool := backend.New(ctx, opt)
	// Deadlines are as long as a busy machine may need.
	c, err := core.New(core.Options{Routing: routing.Config{Gateways: 1, MaxAttempts: 6, StaleReads: routing.StaleReadDelayed, Positions: true,
		RoleSource: routing.RoleSourceDelayed, AllowCancel: true, Classes: []routing.Class{
			{Name: "put", Consistency: routing.ConsistencyWrite, LatencyObjective: soon / 2, Deadline: soon, PriorityWeight: 1, Effect: routing.NonIdempotent},
			{Name: "brief", Consistency: routing.ConsistencyWrite, LatencyObjective: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, PriorityWeight: 1, Effect: routing.NonIdempotent},
		}}, Seed: 1, AnswerSlack: 20 * time.Millisecond, HealthCheckTimeout: time.Second, Counters: r.counters,
		Monitor: &invariant.Monitor{Counters: r.counters}}, pool)
	if err != nil {
		t.Fatal(err)
	}
	r.core = c
	var all sync.WaitGroup
	all.Go(func() { c.Run(ctx) })
	all.Go(func() { r.accept(&all) })
	t.Cleanup(func() {
		if n := r.counters.Get("violations"); n > 0 {
			t.Errorf("%d violations: %v", n, r.counters)
		}
		cancel()
		l.Close()
		r.mu.Lock()
		for _, x := range r.conns {
			x.Close()
		}
		r.mu.Unlock()
		pool.Wait()
		all.Wait()
	})
	c.UpdateEndpoints(core.EndpointList{Kind: routing.EndpointListComplete, Hosts: []core.Host{{Address: l.Addr().String(),
		Endpoint: routing.Endpoint{Member: "db-0", Group: 4, Primary: true, Capacity: 1}}}})
	return r
}

func (r *rig) accept(all *sync.WaitGroup) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, c.(*net.TCPConn))
		r.mu.Unlock()
		all.Go(func() {
			if r.serve != nil {
				r.serve(c)
			} else if r.form == "postgres" {
				r.host.ServePostgres(c)
			} else {
				r.host.ServeMySQL(c)
			}
		})
	}
}

// conn is the host's end of a connection, by the order of their coming.
func (r *rig) conn(i int) *net.TCPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[i]
}

// opened is how many connections have come.
func (r *rig) opened() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns) }

// ask sends a request on, whose answer comes by the channel.
func (r *rig) ask(class, id string) <-chan core.Answer {
	r.t.Helper()
	answers := make(chan core.Answer, 10)
	r.send(class, id, func(a core.Answer) { answers <- a })
	return answers
}

// submit sends a request on whose answer nobody waits for.
func (r *rig) submit(class, id string) *core.Request {
	r.t.Helper()
	return r.send(class, id, func(core.Answer) {})
}

func (r *rig) send(class, id string, reply func(core.Answer)) *core.Request {
	r.t.Helper()
	text := "/* id=" + id + ",c=" + class + ",d=60000,cluster=4 */ SELECT v FROM records WHERE k = '" + id + "'"
	s, err := sqlcomment.Parse([]byte(text))
	if err != nil {
		r.t.Fatal(err)
	}
	q := &core.Request{Class: class, Group: 4, Arrived: time.Now(), Payload: s, Reply: reply}
	switch r.form {
	case "mysql":
		q.Payload = &mysqlwire.Command{Kind: mysqlwire.ComQuery, Meta: s}
	case "prepared":
		if r.prepared[class] == nil {
			r.prepared[class] = &mysqlwire.Statement{Text: "/* c=" + class + ",cluster=4 */ SELECT v FROM records WHERE k = ?", Params: 1}
		}
		q.Payload = &mysqlwire.Command{Kind: mysqlwire.ComStmtExecute, Meta: s, Statement: r.prepared[class],
			Params: []mysqlwire.Param{mysqlwire.Attribute("", id)}, Attributes: []mysqlwire.Param{mysqlwire.Attribute("id", id)}}
	}
	if !r.core.Submit(q) {
		r.t.Fatal("the core has ended")
	}
	return q
}

// wait takes an answer.
func (r *rig) wait(answers <-chan core.Answer) core.Answer {
	r.t.Helper()
	select {
	case a := <-answers:
		return a
	case <-time.After(2 * soon):
		r.t.Fatal("no answer")
		return core.Answer{}
	}
}

// served asks and wants the value that was made for this request, which ran once.
func (r *rig) served(class, id string) {
	r.t.Helper()
	r.isServed(r.wait(r.ask(class, id)), id)
}

func (r *rig) isServed(a core.Answer, id string) {
	r.t.Helper()
	if n := r.host.Ran(id); a.Status != core.Served || !holds(a.Value, "value of "+id) || n != 1 {
		r.t.Errorf("%s: status %d, value %q, ran %d times", id, a.Status, a.Value, n)
	}
}

// holds says whether an answer's value has a text.
func holds(v any, text string) bool {
	switch v := v.(type) {
	case []byte:
		return bytes.Contains(v, []byte(text))
	case *mysqlwire.Result:
		return len(v.Rows) == 1 && bytes.Contains(v.Rows[0], []byte(text))
	}
	return false
}

// messages cuts an answer into its messages, or packets.
func messages(form string, b []byte) (out [][]byte) {
	for len(b) > 0 {
		n := 1 + int(binary.BigEndian.Uint32(append(bytes.Clone(b[1:5]), 0)))
		if form != "postgres" {
			n = 4 + int(b[0]) + int(b[1])<<8 + int(b[2])<<16
		}
		out, b = append(out, b[:n]), b[n:]
	}
	return out
}

// failAfter is an answer cut off behind so many messages by a host's error.
func failAfter(form string, answer []byte, n int, code string) []byte {
	b := bytes.Join(messages(form, answer)[:n], nil)
	if form == "postgres" {
		return pgwire.AppendReady(pgwire.AppendError(b, "ERROR", code, "no", ""))
	}
	var w mysqlwire.Writer
	w.Reset(byte(1 + n))
	e := mysqlwire.Error{State: "HY000", Text: "no"}
	fmt.Sscan(code, &e.Code)
	if code == "53300" || code == "25006" {
		e.Code, e.State = 1105, code
	}
	w.Err(e, mysqlwire.CapProtocol41)
	return append(b, w.B...)
}
