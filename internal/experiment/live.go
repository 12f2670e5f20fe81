package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
	"cranegate/routing"
)

// An answer that comes lateSlack after its client's time is counted as late, and one that has not come by socketSlack, which a
// busy machine keeps, as missing.
const (
	lateSlack   = 250 * time.Millisecond
	socketSlack = 3 * time.Second
)

// live plays a fleet in real time: the model of fleet.go behind real listeners, and real gateways before it. One
// goroutine owns the model; connections and clients post their events to it.
type live struct {
	*fleet
	began     time.Time
	calls     chan func()
	ctx       context.Context
	doors     map[*host]*door
	discovery [2]*fake.Discovery // of the PostgreSQL and the MySQL hosts
	targets   [2]map[*host]discovery.Target
	fronts    []front // of each gateway
	open      map[string]*request
	work      sync.WaitGroup
	programs  []*exec.Cmd
}

// front is where a gateway listens, with idle connections of clients.
type front struct {
	address [2]string
	idle    [2]chan client
}

// client is a client's connection of either protocol.
type client interface {
	io.Closer
	ask(text string) (fake.Reply, error)
}

type pgClient struct{ *fake.PostgresClient }

func (c pgClient) ask(text string) (fake.Reply, error) { return c.Ask(text) }

type myClient struct{ *fake.MySQLClient }

func (c myClient) ask(text string) (fake.Reply, error) { return c.Query(text) }

// door is a host's side of the network. While it is shut nothing passes: bytes wait, as on a link that comes back, and
// are lost with their connection if the process has died meanwhile.
type door struct {
	l       *live
	h       *host
	address [2]string
	server  *fake.Host

	mu     sync.Mutex
	shut   chan struct{} // closed when the door opens; nil while it is open
	life   context.Context
	die    context.CancelFunc
	listen [2]net.Listener
	conns  map[net.Conn]bool
}

// wait waits while the door is shut.
func (d *door) wait() bool {
	d.mu.Lock()
	shut, life := d.shut, d.life
	d.mu.Unlock()
	if shut == nil {
		return true
	}
	select {
	case <-shut:
		return life.Err() == nil
	case <-life.Done():
		return false
	}
}

// doorConn is a connection through a door.
type doorConn struct {
	net.Conn
	d *door
}

// Read takes bytes as they pass the door. Those of a request that come while it is shut are the gateway's attempts at a
// host that it can't reach.
func (c doorConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.d.mu.Lock()
	shut := c.d.shut != nil
	c.d.mu.Unlock()
	if text := b[:n]; shut && !bytes.Contains(text, []byte("SHOW pressure")) {
		if _, rest, ok := bytes.Cut(text, []byte("id=")); ok {
			id, _, _ := bytes.Cut(rest, []byte(","))
			c.d.l.post(func() { c.d.l.lostAt(c.d.h, string(id)) })
		}
	}
	if !c.d.wait() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c doorConn) Write(b []byte) (int, error) {
	if !c.d.wait() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// post hands an event to the model.
func (l *live) post(event func()) {
	select {
	case l.calls <- event:
	case <-l.ctx.Done():
	}
}

// unix turns a time of the model into Unix milliseconds, rounded down.
func (l *live) unix(at time.Duration) int64 { return l.began.Add(at - epoch).UnixMilli() }

// serve plays the model until a time, as fast as time passes, or until it is stopped.
func (l *live) serve(until time.Duration, stop <-chan struct{}) {
	for l.now < until {
		now := epoch + time.Since(l.began)
		l.run(min(now, until))
		wait := until - now
		if len(l.queue) > 0 {
			wait = min(wait, l.queue[0].at-now)
		}
		timer := time.NewTimer(max(0, wait))
		select {
		case call := <-l.calls:
			l.run(min(epoch+time.Since(l.began), until))
			call()
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// act is a host's part in a statement: the model's, in its time.
func (d *door) act(id, text string, prepare bool) fake.Act {
	if prepare {
		return fake.Serve
	}
	d.mu.Lock()
	life := d.life
	d.mu.Unlock()
	out := make(chan routing.Result, 1)
	d.l.post(func() { d.l.arrived(d.h, id, out) })
	select {
	case r := <-out:
		return map[routing.Result]fake.Act{routing.ResultOK: fake.Serve, routing.ResultMissed: fake.Miss,
			routing.ResultOverCapacity: fake.Reject, routing.ResultTimeout: fake.Silent, routing.ResultError: fake.Error}[r]
	case <-life.Done():
	case <-d.l.ctx.Done():
	}
	return fake.Reset
}

// attempt makes an attempt of a request at a host, as the host sees it.
func (l *live) attempt(h *host, id string) *attempt {
	q := l.open[id]
	if q == nil {
		return nil
	}
	a := l.gateways[q.gateway].attempt(q, h, q.deadline)
	a.begun = true
	return a
}

func (l *live) lostAt(h *host, id string) { l.attempt(h, id) }

func (l *live) arrived(h *host, id string, out chan<- routing.Result) {
	a := l.attempt(h, id)
	if a == nil {
		out <- routing.ResultError
		return
	}
	a.reply = func(o routing.Outcome, position time.Duration) {
		if o.Result == routing.ResultOK && a.q.by == nil {
			a.q.by, a.q.at = a, position
		}
		out <- o.Result
	}
	h.arrive(a, a.q.work)
}

// tells is what a host says of itself.
func (d *door) tells(report bool) (primary bool, position int64) {
	type told struct {
		primary  bool
		position int64
	}
	out := make(chan told, 1)
	d.l.post(func() {
		x := reported{d.h.position, d.h.group.primary == d.h}
		if report {
			x = d.h.pressure()
		}
		out <- told{x.primary, d.l.unix(x.position)}
	})
	select {
	case x := <-out:
		return x.primary, x.position
	case <-d.l.ctx.Done():
		return false, 0
	}
}

// follow does to a host's sockets what befell the host. It runs in the model's goroutine.
func (d *door) follow(up, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cut && d.shut == nil {
		d.shut = make(chan struct{})
	} else if !cut && d.shut != nil {
		close(d.shut)
		d.shut = nil
	}
	running := d.life != nil && d.life.Err() == nil
	switch {
	case running && !up:
		d.die()
		for i, x := range d.listen {
			x.Close()
			d.listen[i] = nil
		}
		for c := range d.conns {
			c.(*net.TCPConn).SetLinger(0) // a reset, as of a process that has died
			c.Close()
		}
		d.conns = map[net.Conn]bool{}
	case !running && up:
		d.life, d.die = context.WithCancel(d.l.ctx)
		for i := range d.listen {
			x, err := net.Listen("tcp", d.address[i])
			if err != nil {
				d.l.judge.note("%s can't listen again: %v", d.h.id, err)
				continue
			}
			d.listen[i], d.address[i] = x, x.Addr().String()
			go fake.Accept(x, func(c net.Conn) { d.greet(c, i) })
		}
	}
}

func (d *door) greet(c net.Conn, protocol int) {
	d.mu.Lock()
	d.conns[c] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	if protocol == 0 {
		d.server.ServePostgres(doorConn{c, d})
	} else {
		d.server.ServeMySQL(doorConn{c, d})
	}
}

// publish puts a host's entry into both lists.
func (l *live) publish(h *host, e routing.Endpoint) {
	for i := range l.targets {
		t := discovery.Target{UID: h.id, Endpoint: l.doors[h].address[i], Zone: e.Zone, Group: e.Group, Capacity: 1, Replication: "standby",
			State: map[routing.Phase]string{routing.PhaseServing: "SERVING", routing.PhaseDraining: "DRAINING", routing.PhaseRemoved: "DELETED"}[e.Phase]}
		if e.Primary {
			t.Replication = "primary"
		}
		if h.started > 0 {
			t.BootMS = l.unix(h.started)
		}
		delete(l.targets[i], h)
		if e.Phase != routing.PhaseRemoved {
			l.targets[i][h] = t
		}
		var all []discovery.Target
		for _, x := range l.hosts {
			if t, ok := l.targets[i][x]; ok {
				all = append(all, t)
			}
		}
		l.discovery[i].Set(all)
	}
}

// submit sends a client's try over a connection of either protocol, and the answer back to the model.
func (l *live) submit(q *request) {
	id := fmt.Sprintf("%02x%014x", q.gateway, q.id)
	l.open[id] = q
	key, protocol := fmt.Sprintf("k%d", q.id), int(q.id%2)
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d", id, q.class.Name, (q.deadline-l.now)/time.Millisecond, q.group.number)
	if q.token > 0 {
		text += fmt.Sprintf(",after=%d", l.unix(q.token)+1)
	}
	if q.class.Consistency == routing.ConsistencyWrite {
		text += " */ INSERT INTO records (k, v) VALUES ('" + key + "', 'x') RETURNING v"
	} else {
		text += " */ SELECT v FROM records WHERE k = '" + key + "'"
	}
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		r, err := l.ask(q.gateway, protocol, text)
		l.post(func() {
			delete(l.open, id)
			switch {
			case err != nil:
				l.judge.note("%s got no answer: %v", q.class.Name, err)
				return // overdue counts it
			case r.Outcome == "served" && (q.by == nil || q.class.Consistency != routing.ConsistencyWrite && r.Value != "value of "+key):
				l.judge.wrongAnswer++
				l.judge.note("%s was served %q", q.class.Name, r.Value)
				return
			}
			l.gateways[q.gateway].answer(q, r.Outcome == "served", r.Outcome == "refused", 0, q.by, q.at)
		})
	}()
}

// ask uses an idle connection or a new one. A connection that ends before an answer is taken for one that the gateway
// closed between requests, once.
func (l *live) ask(gateway, protocol int, text string) (r fake.Reply, err error) {
	for try := range 2 {
		var c client
		if c, err = l.dial(gateway, protocol, try > 0); err != nil {
			return r, err
		}
		if r, err = c.ask(text); err == nil {
			select {
			case l.fronts[gateway].idle[protocol] <- c:
			default:
				c.Close()
			}
			return r, nil
		}
		c.Close()
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return r, err
		}
	}
	return r, err
}

func (l *live) dial(gateway, protocol int, fresh bool) (client, error) {
	f := l.fronts[gateway]
	if !fresh {
		select {
		case c := <-f.idle[protocol]:
			return c, nil
		default:
		}
	}
	raw, err := net.DialTimeout("tcp", f.address[protocol], 2*time.Second)
	if err != nil {
		return nil, err
	}
	raw.SetDeadline(time.Now().Add(time.Minute)) // bounds a day, not an answer
	if protocol == 0 {
		c, err := fake.DialPostgres(raw, "")
		return pgClient{c}, err
	}
	c, err := fake.DialMySQL(raw, 0)
	return myClient{c}, err
}

// settings are a gateway's, named as the platform's.
func (l *live) settings(zone string) map[string]any {
	var all []map[string]any
	var needs []string
	var bounds []float64
	words := map[routing.Consistency]string{routing.ConsistencyAny: "any", routing.ConsistencyBounded: "bounded", routing.ConsistencySession: "session", routing.ConsistencyStrong: "fresh", routing.ConsistencyWrite: "write"}
	for _, c := range classes {
		repeat := "repeatable"
		if c.Effect == routing.NonIdempotent {
			repeat = "once"
		}
		all = append(all, map[string]any{"name": c.Name, "aimS": c.LatencyObjective.Seconds(), "deadlineS": c.Deadline.Seconds(), "points": c.PriorityWeight,
			"lateWorth": c.LateShare, "repeat": repeat})
		needs, bounds = append(needs, words[c.Consistency]), append(bounds, c.StalenessBound.Seconds())
	}
	return map[string]any{"balancers": l.Gateways, "zone": zone, "discovery": "automatic", "classes": all,
		"domain": map[string]any{"needsByClass": needs, "classBoundS": bounds, "guards": "wait", "catchUpWaitS": catchUpWait.Seconds(),
			"positions": true, "roleInList": "late", "writeMarks": "carried"},
		"policyLimits": map[string]any{"maxAttempts": 6, "mayCancel": true, "mayDuplicate": true, "probes": true, "retryAfter": true,
			"maxRetryAfterS": 0.5, "connectTimeoutS": connectFor.Seconds(), "idleCloseS": 30.0},
		"deductions": map[string]any{"crossZone": 0.01},
		"rules": map[string]any{"answerSlackS": 0.02, "coldFrom": coldFrom, "coldS": coldFor.Seconds(), "tipMultiple": tipMultiple,
			"fallS": tipAfter.Seconds()}}
}

// startGateway starts one real gateway and waits until both its fronts listen.
func (l *live) startGateway(n int, dir string, o liveOptions) error {
	f, agents := front{}, [2]string{}
	for i := range f.address {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.address[i], f.idle[i] = x.Addr().String(), make(chan client, 64)
		x.Close()
		if x, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
		agents[i] = x.Addr().String()
		s := &http.Server{Handler: l.discovery[i]}
		go s.Serve(x)
		context.AfterFunc(l.ctx, func() { s.Close() })
	}
	l.fronts = append(l.fronts, f)
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", n), "listen": f.address[0], "discovery": agents[0],
		"seed": fmt.Sprintf("%016x", n+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": l.settings(l.gateways[n].zone)})
	if err != nil {
		return err
	}
	config, operator := filepath.Join(dir, fmt.Sprintf("n%d.json", n)), filepath.Join(dir, fmt.Sprintf("n%d.toml", n))
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	toml := fmt.Sprintf("[mysql]\nlisten = %q\ndiscovery = %q\n%s", f.address[1], agents[1], o.operator(n))
	if err := os.WriteFile(operator, []byte(toml), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(o.program, "-operator", operator)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = o.logs(n), o.logs(n)
	cmd.SysProcAttr = diesWithUs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", o.program, err)
	}
	l.programs = append(l.programs, cmd)
	for _, address := range f.address {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("gateway %d does not listen: %w", n, err)
			}
		}
	}
	return nil
}

// liveOptions are those of a day on sockets.
type liveOptions struct {
	program  string
	operator func(gateway int) string    // what its operator's file has beside the second front
	logs     func(gateway int) io.Writer // what it writes
	each     func(*live)                 // is called every second; nil: nothing
	begins   func(*live)                 // is called when all gateways listen; nil: nothing
}

// playLive plays a day on sockets, with a program as gateways. Zones is the operator's table for them, or empty.
func playLive(ctx context.Context, s Spec, seed uint64, program, zones string, logs io.Writer, each func(*live)) (*Judge, error) {
	return playLiveWith(ctx, s, seed, liveOptions{program: program, operator: func(int) string { return zones },
		logs: func(int) io.Writer { return logs }, each: each})
}

func playLiveWith(ctx context.Context, s Spec, seed uint64, o liveOptions) (*Judge, error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	s.Sockets = true
	l := &live{fleet: newFleet(s, seed), calls: make(chan func(), 1024), ctx: ctx, doors: map[*host]*door{}, open: map[string]*request{}}
	defer func() {
		gone := make(chan struct{})
		for _, p := range l.programs {
			p.Process.Signal(syscall.SIGTERM)
			p.Process.Signal(syscall.SIGCONT)
		}
		go func() {
			for _, p := range l.programs {
				p.Wait()
			}
			close(gone)
		}()
		l.serve(1<<62, gone) // hosts go on meanwhile
		cancel()
		for _, d := range l.doors {
			d.follow(false, false)
		}
		l.work.Wait()
	}()
	for i := range l.discovery {
		l.discovery[i], l.targets[i] = &fake.Discovery{}, map[*host]discovery.Target{}
	}
	l.began = time.Now()
	for _, h := range l.hosts {
		d := &door{l: l, h: h, address: [2]string{"127.0.0.1:0", "127.0.0.1:0"}, conns: map[net.Conn]bool{}}
		d.server = &fake.Host{Act: d.act, Tell: d.tells}
		l.doors[h] = d
		d.follow(true, false)
		l.publish(h, h.entry())
	}
	l.changed = func(h *host) { l.doors[h].follow(h.up, h.cut > 0) }
	l.listed = l.publish
	// Hosts answer while the gateways start; the day begins when all listen.
	start, ready := l.fleet, make(chan error, 1)
	for _, g := range start.gateways {
		g.submit = l.submit
	}
	idle, stop := context.WithCancel(ctx)
	go func() {
		var err error
		for i := range l.gateways {
			if err == nil {
				err = l.startGateway(i, dir, o)
			}
		}
		ready <- err
		stop()
	}()
	for idle.Err() == nil { // the model stands still but for what is asked of it
		select {
		case call := <-l.calls:
			call()
		case <-idle.Done():
		}
	}
	if err := <-ready; err != nil {
		return nil, err
	}
	l.began = time.Now()
	if o.begins != nil {
		o.begins(l)
	}
	if o.each != nil {
		var second func()
		second = func() {
			if l.now < epoch+s.Length {
				o.each(l)
			}
			l.after(time.Second, second)
		}
		l.after(time.Second, second)
	}
	l.serve(epoch+s.Length, ctx.Done())
	for _, g := range l.gateways { // what is open at the end, and what comes later, is not judged
		g.closed = true
	}
	return l.judge, ctx.Err()
}
