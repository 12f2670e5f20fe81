package experiment

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
	"cranegate/routing"
)

// On sockets a response that arrives lateResponseSlack after its deadline counts as late, and one that has not arrived
// after missingResponseSlack, which allows for a busy machine, as missing.
const (
	lateResponseSlack    = 250 * time.Millisecond
	missingResponseSlack = 3 * time.Second
)

// live runs a fleet in real time: the model behind real listeners, and real gateways in front of it. One goroutine owns
// the model; connections and clients post their events to it.
type live struct {
	*fleet
	startedAt    time.Time
	calls        chan func()
	ctx          context.Context
	sockets      map[*host]*hostSockets
	discovery    [2]*fake.Discovery // for PostgreSQL and MySQL
	targets      [2]map[*host]discovery.Target
	frontends    []frontend          // by gateway
	openRequests map[string]*request // by ID in the SQL comment
	work         sync.WaitGroup
	commands     []*exec.Cmd
}

// post passes an event to the goroutine that owns the model.
func (l *live) post(event func()) {
	select {
	case l.calls <- event:
	case <-l.ctx.Done():
	}
}

// unixMillis converts model time into Unix milliseconds, rounded down.
func (l *live) unixMillis(at time.Duration) int64 { return l.startedAt.Add(at - epoch).UnixMilli() }

// runRealTime runs the model in real time until a model time, or until stop is closed.
func (l *live) runRealTime(until time.Duration, stop <-chan struct{}) {
	for l.now < until {
		now := epoch + time.Since(l.startedAt)
		l.runUntil(min(now, until))
		wait := until - now
		if len(l.queue) > 0 {
			wait = min(wait, l.queue[0].at-now)
		}
		timer := time.NewTimer(max(0, wait))
		select {
		case call := <-l.calls:
			l.runUntil(min(epoch+time.Since(l.startedAt), until))
			call()
		case <-timer.C:
		case <-stop:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// newAttempt creates an attempt of an open request, as a host sees it. It returns nil for a request that has ended.
func (l *live) newAttempt(h *host, id string) *attempt {
	q := l.openRequests[id]
	if q == nil {
		return nil
	}
	a := l.gateways[q.gateway].newAttempt(q, h, q.deadline)
	a.written = true
	return a
}

// recordLost records an attempt at a host that can't be reached.
func (l *live) recordLost(h *host, id string) { l.newAttempt(h, id) }

// receive passes a request that arrived at a host to the model, and its result to out.
func (l *live) receive(h *host, id string, out chan<- routing.Result) {
	a := l.newAttempt(h, id)
	if a == nil {
		out <- routing.ResultError
		return
	}
	a.onOutcome = func(o routing.Outcome, position time.Duration) {
		if o.Result == routing.ResultOK && a.request.servedBy == nil {
			a.request.servedBy, a.request.servedPosition = a, position
		}
		out <- o.Result
	}
	h.receive(a, a.request.work)
}

// publish writes a host's endpoint to the lists of both protocols.
func (l *live) publish(h *host, e routing.Endpoint) {
	for i := range l.targets {
		t := discovery.Target{UID: h.id, Endpoint: l.sockets[h].addresses[i], Zone: e.Zone, Group: e.Group, Capacity: 1, Replication: "standby",
			State: map[routing.Phase]string{routing.PhaseServing: "SERVING", routing.PhaseDraining: "DRAINING", routing.PhaseRemoved: "DELETED"}[e.Phase]}
		if e.Primary {
			t.Replication = "primary"
		}
		if h.started > 0 {
			t.BootMS = l.unixMillis(h.started)
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

// liveOptions configure a run on sockets.
type liveOptions struct {
	program        string
	operatorTables func(gateway int) string    // returns additional tables of the gateway's operator's file
	logs           func(gateway int) io.Writer // returns the writer that receives the gateway's output
	everySecond    func(*live)                 // called every second, if set
	onStart        func(*live)                 // called when all gateways listen, if set
}

// runSockets runs a scenario on sockets, with the program as gateways. The text zones is the operator's table for
// zones, or empty.
func runSockets(ctx context.Context, s Spec, seed uint64, program, zones string, logs io.Writer, each func(*live)) (*Judge, error) {
	return runLive(ctx, s, seed, liveOptions{program: program, operatorTables: func(int) string { return zones },
		logs: func(int) io.Writer { return logs }, everySecond: each})
}

// runLive runs a scenario on sockets and returns its judge, or the error of ctx. It waits until all processes and
// goroutines have ended.
func runLive(ctx context.Context, spec Spec, seed uint64, o liveOptions) (*Judge, error) {
	dir, err := os.MkdirTemp("", "cranelab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	spec.Sockets = true
	l := &live{fleet: newFleet(spec, seed), calls: make(chan func(), 1024), ctx: ctx, sockets: map[*host]*hostSockets{}, openRequests: map[string]*request{}}
	defer l.shutdown(cancel)
	l.startHosts()
	if err := l.startGateways(ctx, dir, o); err != nil {
		return nil, err
	}
	l.startedAt = time.Now()
	if o.onStart != nil {
		o.onStart(l)
	}
	if o.everySecond != nil {
		l.callEverySecond(o.everySecond)
	}
	l.runRealTime(epoch+spec.Length, ctx.Done())
	for _, g := range l.gateways { // requests that are open at the end, and later requests, are not checked
		g.finished = true
	}
	return l.judge, ctx.Err()
}

// startHosts opens the sockets of all hosts and publishes their endpoints.
func (l *live) startHosts() {
	for i := range l.discovery {
		l.discovery[i], l.targets[i] = &fake.Discovery{}, map[*host]discovery.Target{}
	}
	l.startedAt = time.Now()
	for _, h := range l.hosts {
		s := &hostSockets{live: l, host: h, addresses: [2]string{"127.0.0.1:0", "127.0.0.1:0"}, conns: map[net.Conn]bool{}}
		s.server = &fake.Host{Act: s.handleStatement, RoleAndPosition: s.report}
		l.sockets[h] = s
		s.setState(true, false)
		l.publish(h, h.endpoint())
	}
	l.onHostChanged = func(h *host) { l.sockets[h].setState(h.up, h.partitions > 0) }
	l.onListed = l.publish
}

// startGateways starts all gateways. Meanwhile hosts answer, but model time stands still: the run begins when all
// gateways listen.
func (l *live) startGateways(ctx context.Context, dir string, o liveOptions) error {
	for _, g := range l.gateways {
		g.submit = l.submit
	}
	ready := make(chan error, 1)
	starting, stop := context.WithCancel(ctx)
	go func() {
		defer stop()
		var err error
		for i := range l.gateways {
			if err == nil {
				err = l.startGateway(i, dir, o)
			}
		}
		ready <- err
	}()
	for starting.Err() == nil {
		select {
		case call := <-l.calls:
			call()
		case <-starting.Done():
		}
	}
	return <-ready
}

// callEverySecond calls a function every second until the end of the run.
func (l *live) callEverySecond(call func(*live)) {
	var tick func()
	tick = func() {
		if l.now < epoch+l.Length {
			call(l)
		}
		l.after(time.Second, tick)
	}
	l.after(time.Second, tick)
}

// shutdown terminates the gateways, then the hosts, and waits for all of them. Hosts answer until the gateways have
// ended.
func (l *live) shutdown(cancel context.CancelFunc) {
	for _, command := range l.commands {
		command.Process.Signal(syscall.SIGTERM)
		command.Process.Signal(syscall.SIGCONT)
	}
	ended := make(chan struct{})
	go func() {
		for _, command := range l.commands {
			command.Wait()
		}
		close(ended)
	}()
	l.runRealTime(1<<62, ended)
	cancel()
	for _, s := range l.sockets {
		s.setState(false, false)
	}
	l.work.Wait()
}
