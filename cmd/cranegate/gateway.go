package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/admin"
	"cranegate/internal/agentcheck"
	"cranegate/internal/config"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/gossip"
	"cranegate/internal/invariant"
	"cranegate/internal/logging"
	"cranegate/internal/metrics"
	"cranegate/internal/requestids"
)

const (
	maxMemoryMB = 192 // upper bound, even if the platform allows more

	// minShutdownTimeout is how long a graceful shutdown waits for clients. It exceeds request deadlines of up to 3 s and
	// ends before the platform kills the process.
	minShutdownTimeout = 3550 * time.Millisecond
	// shutdownDeadlineGrace is added to the longest request deadline. A shutdown waits for the sum if that exceeds
	// minShutdownTimeout, so that the gateway itself abandons no accepted request.
	shutdownDeadlineGrace = 550 * time.Millisecond
	// finalAnswerGrace is a second wait after the shutdown timeout. A process that got no processor time uses it to send
	// the answers of requests whose deadline passed together with the timeout.
	finalAnswerGrace = 100 * time.Millisecond
	// answeringPollInterval is how often a shutdown past its timeout looks whether answers are still being written.
	answeringPollInterval = 20 * time.Millisecond
	// finalCloseGrace is the wait for connections to be closed once the last of these answers has been written. It exceeds
	// the time that a frontend gives clients to close their side.
	finalCloseGrace = 400 * time.Millisecond
)

// gateway is the state of the running program.
type gateway struct {
	limits          config.Limits
	counters        *metrics.Counters
	monitor         *invariant.Monitor
	status          *agentcheck.Status
	limiter         *connlimit.Limiter // descriptors for clients
	budget          *framebuf.Budget   // bytes buffered for clients
	maxBackendConns int                // connections to the database hosts of each protocol
	maxAdminCalls   int                // concurrent callers at the platform's admin address
	requestIDs      *requestids.Set    // of requests that may run once
	serializer      admin.Serializer   // orders the admin calls of all admin addresses

	stopping  context.Context         // ends when a graceful shutdown begins
	lifetime  context.Context         // ends after stopping, because accepted requests are still answered
	actors    *errgroup.Group         // goroutines that run until lifetime ends
	frontends *errgroup.Group         // listeners with their sessions; they end some time after stopping
	fleets    map[string]runningFleet // by the fleet's name
	gossip    *gossip.Transport       // nil without a fleet of gateways in the operator's file

	hotRestart
}

// runOptions are the inputs of run. At least one of platform and operator is set.
type runOptions struct {
	platform        *config.Platform
	operator        *config.Operator
	counterInterval time.Duration // between log lines with the counters; 0: only at SIGUSR1
	logs            *logging.Sink // its dropped lines are counted with the other counters
	reloadSignals   <-chan os.Signal
	reload          func() (*config.Platform, *config.Operator, error) // reads the configuration again
}

// run serves until the context stopping is done and every accepted request is answered.
func run(stopping context.Context, opt runOptions) error {
	platform, operator := opt.platform, opt.operator
	fleets, limits := configuredFleets(platform, operator)
	applyRuntimeLimits(limits)
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	allocation, err := allocateDescriptors(limits, openFilesLimit(), descriptorUsers{
		frontends: len(fleets),
		admin:     hasAdmin(platform),
		checks:    operator != nil,
		gossip:    hasGossip(operator),
	})
	if err != nil {
		return err
	}
	g := newGateway(stopping, lifetime, limits, allocation)
	opt.logs.Count(g.counters)
	g.actors.Go(func() error { g.logCounters(opt.counterInterval); return nil })
	defer g.counters.Log("counters")
	if operator != nil { // first, as balancers need answers before the frontends serve and until the program ends
		if err := g.serveChecks(operator); err != nil {
			return err
		}
	}
	if hasAdmin(platform) {
		g.openHotRestart(os.Getenv("TMPDIR"))
		defer g.closeHotRestart()
	}
	if g.requestIDs == nil {
		g.requestIDs = requestids.New()
	}
	if err := g.startFleets(fleets, operator); err != nil {
		return err
	}
	if err := g.serveFleets(fleets); err != nil {
		return err
	}
	if hasGossip(operator) {
		if err := g.startGossip(operator); err != nil {
			return err
		}
		defer g.gossip.Leave()
	}
	if err := g.listenAdmin(platform, operator); err != nil {
		return err
	}
	g.actors.Go(func() error { g.handleReloads(opt.reloadSignals, opt.reload); return nil })
	g.becomeReady(allocation)
	<-stopping.Done()
	return g.shutDown()
}

func hasAdmin(platform *config.Platform) bool { return platform != nil && platform.Admin != "" }

func hasGossip(operator *config.Operator) bool { return operator != nil && operator.Fleet != nil }

// configuredFleets returns the fleets of both configuration files, and the limits with the memory bounded by maxMemoryMB.
func configuredFleets(platform *config.Platform, operator *config.Operator) ([]fleet, config.Limits) {
	var fleets []fleet
	var limits config.Limits
	if platform != nil {
		limits = platform.Limits
		fleets = append(fleets, postgresFleet(platform))
	} else {
		limits = operator.Limits
	}
	if limits.MemoryMB <= 0 || limits.MemoryMB > maxMemoryMB {
		limits.MemoryMB = maxMemoryMB
	}
	if operator != nil && operator.MySQL != nil {
		fleets = append(fleets, mysqlFleet(operator, limits))
	}
	return fleets, limits
}

// applyRuntimeLimits sets the Go runtime's processors and memory limit.
func applyRuntimeLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.Cores+0.5)))
	debug.SetMemoryLimit(runtimeMemoryBytes(limits))
}

// runtimeMemoryBytes is the part of the memory limit that the Go runtime may use. The rest is for memory that it does not count.
func runtimeMemoryBytes(limits config.Limits) int64 { return int64(limits.MemoryMB) << 20 * 3 / 4 }

// newGateway sets up the state that all parts of the program share. It starts nothing.
func newGateway(stopping, lifetime context.Context, limits config.Limits, allocation descriptorAllocation) *gateway {
	g := &gateway{
		limits:          limits,
		counters:        &metrics.Counters{},
		status:          &agentcheck.Status{},
		limiter:         connlimit.New(allocation.clients),
		budget:          framebuf.NewBudget(int64(limits.MemoryMB) << 20 / 4),
		maxBackendConns: allocation.backendConns,
		maxAdminCalls:   allocation.adminCallers,
		stopping:        stopping,
		lifetime:        lifetime,
		frontends:       &errgroup.Group{},
		fleets:          map[string]runningFleet{},
		hotRestart:      hotRestart{maxClients: allocation.clients},
	}
	g.monitor = &invariant.Monitor{Counters: g.counters}
	g.actors, _ = errgroup.WithContext(lifetime)
	g.status.Free = g.limiter.FreeShare
	return g
}

// becomeReady announces that this process serves. It does nothing if the process is already stopping: a frontend may not have
// started then, and an older process must not hand its clients over to this one.
func (g *gateway) becomeReady(allocation descriptorAllocation) {
	if g.stopping.Err() != nil {
		return
	}
	g.status.Set(agentcheck.Ready)
	g.announceReady()
	slog.Info("serving", "fronts", len(g.fleets), "memory_mb", g.limits.MemoryMB, "sockets", allocation.limit,
		"clients", allocation.clients, "servers", allocation.backendConns)
}

// shutDown waits until the frontends have ended, or until awaitClients gives up.
func (g *gateway) shutDown() error {
	g.status.Set(agentcheck.Draining)
	slog.Info("stopping")
	if g.gossip != nil {
		g.gossip.Drain()
	}
	ended := make(chan error, 1)
	go func() { ended <- g.frontends.Wait() }()
	gaveUp := make(chan struct{})
	go func() {
		g.awaitClients()
		close(gaveUp)
	}()
	select {
	case err := <-ended:
		return err
	case <-gaveUp:
		slog.Warn("stopped_with_clients")
		return nil
	}
}

// awaitClients returns when a shutdown no longer waits for clients: after the shutdown timeout and finalAnswerGrace, and not while a
// message that came before is being answered. An answer may take longer than that, such as a long value from a slow host. It has no
// deadline, and ends when its host or its client stops; the platform may kill the process before, but the program itself does not cut it
// off.
func (g *gateway) awaitClients() {
	time.Sleep(max(minShutdownTimeout, g.limiter.MaxDeadline()+shutdownDeadlineGrace))
	for _, f := range g.fleets {
		f.frontend.FinishAnswers()
	}
	time.Sleep(finalAnswerGrace)
	if n := g.answering(); n > 0 {
		slog.Info("stopping_after_answers", "clients", n)
	}
	for g.answering() > 0 {
		for g.answering() > 0 {
			time.Sleep(answeringPollInterval)
		}
		time.Sleep(finalCloseGrace) // meanwhile a session may go on to a message that has waited for this answer
	}
}

// answering returns the number of clients for whom frontend.Server.Answering waits.
func (g *gateway) answering() (clients int) {
	for _, f := range g.fleets {
		clients += f.frontend.Answering()
	}
	return clients
}

// logCounters logs the counters at each SIGUSR1 and, unless interval is 0, once per interval.
func (g *gateway) logCounters(interval time.Duration) {
	requested := make(chan os.Signal, 1)
	signal.Notify(requested, syscall.SIGUSR1)
	defer signal.Stop(requested)
	var tick <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case <-requested:
		case <-tick:
		case <-g.lifetime.Done():
			return
		}
		g.counters.Log("counters")
	}
}
