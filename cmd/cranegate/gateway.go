package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/admin"
	"cranegate/internal/agentcheck"
	"cranegate/internal/backend"
	myservers "cranegate/internal/backend/mysql"
	pgservers "cranegate/internal/backend/postgres"
	"cranegate/internal/backoff"
	"cranegate/internal/config"
	"cranegate/internal/core"
	"cranegate/internal/discovery"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/frontend/mysql"
	"cranegate/internal/frontend/postgres"
	"cranegate/internal/gossip"
	"cranegate/internal/hotrestart/listenfd"
	"cranegate/internal/invariant"
	"cranegate/internal/logging"
	"cranegate/internal/metrics"
	"cranegate/routing"
)

const (
	mostMemory = 192                     // megabytes; no more is used where the platform allows more
	tellFor    = 500 * time.Millisecond  // at the start, for what discovery holds; one that is silent keeps no gateway out
	exitAfter  = 3550 * time.Millisecond // after a stop: past deadlines of up to 3 s, and before the platform kills,
	exitPast   = 550 * time.Millisecond  // or so long past a longer deadline: what was taken is not given up by ourselves;
	exitLast   = 100 * time.Millisecond  // and this is left for answers that came due at once with it, in a process that was held up
)

// gateway is the running program.
type gateway struct {
	counters *metrics.Counters
	monitor  *invariant.Monitor
	status   *agentcheck.Status
	room     *frontend.Limiter // descriptors for clients
	budget   *framebuf.Budget  // bytes for what clients send
	servers  int               // descriptors for the database hosts of each protocol
	staff    int               // callers at the second address at once
	stop     context.Context
	work     context.Context     // outlives stop: what was taken is still answered
	actors   *errgroup.Group     // live as long as work
	fronts   *errgroup.Group     // end some time after stop
	lists    map[string]followed // by fleet
	peers    *gossip.Transport   // nil: the other gateways are not known
	limits   config.Limits
	handed                    // what passes between processes of this gateway
	turns    admin.Serializer // of what staff ask, at whichever address
}

// followed is what a reload reaches of a fleet.
type followed struct {
	watch *discovery.Watcher
	core  *core.Core
	pool  *backend.Pool
	pace  *backoff.Backoff
	front *frontend.Server
	zone  string // the gateway's own
}

// fleet is the database hosts of one protocol with the front that serves them.
type fleet struct {
	name, listen, discovery string
	listener                func(address string) (net.Listener, error)
	settings                config.Settings
	seed                    uint64
	known                   discovery.Snapshot
	start                   backend.Starter
	front                   frontend.Protocol
}

// run serves until stop ends and all that was taken is answered. At each signal of a changed configuration it is
// read again. The counters are logged every so often; 0: when asked for alone. Lines that logs drops are counted among them.
func run(stop context.Context, p *config.Platform, o *config.Operator, counters time.Duration, logs *logging.Sink, changed <-chan os.Signal, reread func() (*config.Platform, *config.Operator, error)) error {
	var fleets []fleet
	var limits config.Limits
	if p != nil {
		limits = p.Limits
		fleets = append(fleets, fleet{name: "postgres", listen: p.Listen, listener: inherited, discovery: p.Discovery, settings: p.Settings,
			seed: p.Seed, known: p.Endpoints, start: pgservers.Start, front: postgres.Protocol{}})
	} else {
		limits = o.Limits
	}
	if o != nil && o.MySQL != nil {
		fleets = append(fleets, mysqlFleet(o))
	}
	if limits.MemoryMB <= 0 || limits.MemoryMB > mostMemory {
		limits.MemoryMB = mostMemory
	}
	runtime.GOMAXPROCS(max(1, int(limits.Cores+0.5)))
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * 3 / 4) // the rest is for what the runtime does not count

	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := share(limits, openFiles(), len(fleets), p != nil && p.Admin != "", o != nil, o != nil && o.Fleet != nil)
	if err != nil {
		return err
	}
	g := &gateway{counters: &metrics.Counters{}, status: &agentcheck.Status{}, room: frontend.NewLimiter(d.clients),
		budget: framebuf.NewBudget(int64(limits.MemoryMB) << 20 / 4), servers: d.servers, staff: d.staff, stop: stop, work: work, fronts: &errgroup.Group{},
		lists: map[string]followed{}, limits: limits, handed: handed{places: d.clients}}
	logs.Count(g.counters)
	g.monitor = &invariant.Monitor{Counters: g.counters}
	g.actors, _ = errgroup.WithContext(work)
	g.status.Free = g.room.FreeShare
	g.actors.Go(func() error { g.logOnRequest(counters); return nil })
	defer g.counters.Log("counters")
	if o != nil {
		if err := g.checks(o); err != nil {
			return err
		}
	}
	if p != nil && p.Admin != "" {
		g.openHandover(os.Getenv("TMPDIR"))
		defer g.closeHandover()
	}
	for i := range fleets {
		f := &fleets[i]
		for _, k := range f.settings.Routing.Classes {
			g.room.ObserveDeadline(k.Deadline)
		}
		if o != nil {
			f.settings.Routing.Zones = o.Zones.Options(f.settings.Routing.Zone)
		}
		if err := g.prepare(f); err != nil {
			return fmt.Errorf("serving %s: %w", f.name, err)
		}
	}
	if err := g.takeOver(); err != nil {
		return err
	}
	since := time.Now()
	for _, f := range fleets {
		g.follow(f)
	}
	started := make(chan error, len(fleets)) // side by side: one whose list does not come keeps no other out
	for _, f := range fleets {
		go func() {
			err := g.serve(f, since)
			if err != nil {
				err = fmt.Errorf("serving %s: %w", f.name, err)
			}
			started <- err
		}()
	}
	for range fleets {
		if err := <-started; err != nil {
			return err
		}
	}
	if o != nil && o.Fleet != nil {
		if err := g.join(o); err != nil {
			return err
		}
		defer g.peers.Leave()
	}
	if o != nil && o.Admin.Listen != "" {
		if err := g.admin(o.Admin.Listen); err != nil {
			return err
		}
	}
	if p != nil && p.Admin != "" {
		if err := g.second(p.Admin); err != nil {
			return err
		}
	}
	g.actors.Go(func() error { g.reloads(changed, reread); return nil })
	if stop.Err() == nil { // else a front may not have begun, and what another process left to this one would end with it
		g.status.Set(agentcheck.Ready)
		g.passOn()
		slog.Info("serving", "fronts", len(fleets), "memory_mb", limits.MemoryMB, "sockets", d.limit, "clients", d.clients, "servers", d.servers)
	}
	<-stop.Done()
	g.status.Set(agentcheck.Draining)
	slog.Info("stopping")
	if g.peers != nil {
		g.peers.Drain()
	}
	ended := make(chan error, 1)
	go func() { ended <- g.fronts.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(max(exitAfter, g.room.MaxDeadline()+exitPast)):
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(exitLast):
		slog.Warn("stopped_with_clients")
		return nil
	}
}

// join makes this gateway and the others of the fleet known to each other. What each may do follows then from the number
// that are there.
func (g *gateway) join(o *config.Operator) error {
	opt := o.Fleet.Options(o.Seed)
	opt.Counters = g.counters
	opt.Counted = func(gateways int, _ float64) {
		for _, f := range g.lists {
			f.pool.SetGateways(gateways)
			f.pace.SetGateways(gateways)
		}
	}
	p, err := gossip.Listen(opt)
	if err != nil {
		return err
	}
	slog.Info("listening", "address", p.Addr(), "name", o.Fleet.Name, "sealed", len(o.Fleet.Keys) > 0)
	g.peers = p
	g.actors.Go(func() error { return p.Run(g.work) })
	return nil
}

// reloads reads the configuration again at each signal. It moves the watches on discovery, takes the hosts of a fleet that
// stand in the file itself, tiers of zones, and addresses and keys of the other gateways; all else holds from the start on. A
// configuration with a fault is logged and changes nothing.
func (g *gateway) reloads(changed <-chan os.Signal, reread func() (*config.Platform, *config.Operator, error)) {
	for {
		select {
		case <-changed:
		case <-g.work.Done():
			return
		}
		p, o, err := reread()
		if err != nil {
			g.counters.Add("reloads_failed", 1)
			slog.Warn("reload_failed", "error", err)
			continue
		}
		g.counters.Add("reloads", 1)
		slog.Info("reloaded")
		for _, f := range g.lists {
			if o != nil && o.Zones != nil {
				f.core.ConfigureZones(*o.Zones.Options(f.zone))
			}
		}
		if g.peers != nil && o != nil && o.Fleet != nil {
			if err := g.peers.Reload(g.work, o.Fleet.Join, o.Fleet.Keys); err != nil {
				slog.Warn("fleet_reload_failed", "error", err)
			}
		}
		if f, ok := g.lists["postgres"]; ok && p != nil && p.Discovery != "" {
			f.watch.SetAddress(p.Discovery)
		}
		if f, ok := g.lists["mysql"]; ok && o != nil && o.MySQL != nil {
			f.watch.SetAddress(o.MySQL.Discovery)
			if o.MySQL.Discovery == "" {
				f.core.UpdateEndpoints(discovery.Snapshot{All: true, Targets: o.MySQL.Hosts}.EndpointList(routing.EndpointListComplete))
			}
		}
	}
}

// mysqlFleet sets up the second front. Its prepares are a class of their own, so that their short round trips
// are not taken for those of statements.
func mysqlFleet(o *config.Operator) fleet {
	m, s := o.MySQL, *o.Settings
	s.Routing.Classes = append(slices.Clone(s.Routing.Classes), routing.Class{Name: mysql.PrepareClass,
		Consistency: routing.ConsistencyAny, LatencyObjective: m.PrepareObjective(), Deadline: m.PrepareDeadline(), PriorityWeight: 1, Effect: routing.Idempotent})
	known := discovery.Snapshot{Rev: -1, All: true, Targets: m.Hosts}
	password := ""
	if m.PasswordEnv != "" {
		password = os.Getenv(m.PasswordEnv)
	}
	account := myservers.Account{Password: password, User: m.User, Database: m.Database, HealthCheck: m.HealthCheck, PrepareTimeout: s.ConnectTimeout}
	return fleet{name: "mysql", listen: m.Listen, listener: listenTCP, discovery: m.Discovery, settings: s, seed: o.Seed, known: known,
		start: account.Start, front: mysql.Protocol{}}
}

// prepare starts the actors of one fleet. Nothing is sent yet.
func (g *gateway) prepare(f *fleet) error {
	pool := backend.New(g.work, backend.Options{Start: f.start, ConnectTimeout: f.settings.ConnectTimeout,
		IdleTimeout: f.settings.HostIdleTimeout * 2 / 3, MaxOpen: g.servers, Gateways: f.settings.Routing.Gateways, Counters: g.counters})
	c, err := core.New(core.Options{Routing: f.settings.Routing, Seed: f.seed, AnswerSlack: f.settings.AnswerSlack,
		HealthCheckTimeout: f.settings.ConnectTimeout, Counters: g.counters, Monitor: g.monitor}, pool)
	if err != nil {
		return err
	}
	g.actors.Go(func() error { return c.Run(g.work) })
	if known, ok := g.inherited.Lists[f.name]; ok && known.Rev > f.known.Rev && len(known.Targets) > 0 {
		f.known = known
	}
	calls := backoff.New(f.settings.Routing.Gateways, f.seed)
	front := &frontend.Server{Name: f.name, Protocol: f.front, Core: c, Limiter: g.room, Budget: g.budget, Counters: g.counters, Monitor: g.monitor}
	if g.hand != nil {
		front.Pass = g.pass(f.name)
		front.SharedListener = f.name == "postgres" && os.Getenv(listenfd.Variable) != ""
	}
	g.lists[f.name] = followed{discovery.NewWatcher(f.discovery, f.known, c.UpdateEndpoints, calls, g.counters), c, pool, calls, front, f.settings.Routing.Zone}
	return nil
}

// follow follows the list of one fleet.
func (g *gateway) follow(f fleet) {
	x := g.lists[f.name]
	if len(f.known.Targets) > 0 {
		x.core.UpdateEndpoints(f.known.EndpointList(routing.EndpointListStale))
	}
	if l, ok := g.inherited.Learned[f.name]; ok {
		x.core.Learn(l)
	}
	g.actors.Go(func() error { return x.watch.Run(g.work) })
}

// serve starts the front of a fleet that is followed since a time, once the module can serve. Without any list it can't, and
// nobody comes: a gateway that refuses all would be taken in beside others that serve.
func (g *gateway) serve(f fleet, since time.Time) error {
	x := g.lists[f.name]
	select {
	case <-x.core.Ready():
	case <-g.stop.Done():
		return nil
	}
	select { // what discovery holds binds from the first moment of a process, whatever the file says is known
	case <-x.watch.FirstCallDone():
	case <-time.After(time.Until(since.Add(tellFor))):
	case <-g.stop.Done():
		return nil
	}
	l, err := f.listener(f.listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	slog.Info("listening", "front", f.name, "address", l.Addr(), "members", len(f.known.Targets))
	g.fronts.Go(func() error { return x.front.Run(g.stop, l) })
	return nil
}

// logOnRequest prints the counters at each SIGUSR1, and every so often; 0: never.
func (g *gateway) logOnRequest(every time.Duration) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	var due <-chan time.Time
	if every > 0 {
		t := time.NewTicker(every)
		defer t.Stop()
		due = t.C
	}
	for {
		select {
		case <-asked:
		case <-due:
		case <-g.work.Done():
			return
		}
		g.counters.Log("counters")
	}
}
