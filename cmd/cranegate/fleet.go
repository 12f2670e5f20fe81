package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"cranegate/internal/backend"
	mysqlbackend "cranegate/internal/backend/mysql"
	postgresbackend "cranegate/internal/backend/postgres"
	"cranegate/internal/backoff"
	"cranegate/internal/config"
	"cranegate/internal/core"
	"cranegate/internal/discovery"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/frontend/mysql"
	"cranegate/internal/frontend/postgres"
	"cranegate/internal/hotrestart/listenfd"
	"cranegate/routing"
)

// Names of the fleets in logs, counters and the state that is handed to a newer process.
const (
	postgresName = "postgres"
	mysqlName    = "mysql"
)

// resultsShare is the share of the memory limit, as a divisor, for long results of MySQL hosts.
const resultsShare = 8

// firstPollTimeout is how long a starting process waits for discovery's endpoint list if it already has one from the configuration
// or from an older process.
const firstPollTimeout = 500 * time.Millisecond

// fleet is the configuration of the database hosts of one protocol and of the frontend that serves them.
type fleet struct {
	name             string
	address          string // of the frontend's listener
	discoveryAddress string
	listen           func(address string) (net.Listener, error)
	settings         config.Settings
	seed             uint64
	initial          discovery.Snapshot // endpoints that are known before discovery answers
	starter          backend.Starter
	protocol         frontend.Protocol
}

// runningFleet holds the actors of one fleet.
type runningFleet struct {
	watcher  *discovery.Watcher
	core     *core.Core
	pool     *backend.Pool
	backoff  *backoff.Backoff
	frontend *frontend.Server
	zone     string // the gateway's own
}

// postgresFleet is the fleet of the platform's configuration.
func postgresFleet(platform *config.Platform) fleet {
	return fleet{
		name:             postgresName,
		address:          platform.Listen,
		discoveryAddress: platform.Discovery,
		listen:           listenInherited,
		settings:         platform.Settings,
		seed:             platform.Seed,
		initial:          platform.Endpoints,
		starter:          postgresbackend.Start,
		protocol:         postgres.Protocol{},
	}
}

// mysqlFleet is the fleet of the operator's [mysql]. Prepares form a separate class, so that their short round trips
// are not mistaken for the latency of statements.
func mysqlFleet(operator *config.Operator, limits config.Limits) fleet {
	settings, configured := *operator.Settings, operator.MySQL
	settings.Routing.Classes = append(slices.Clone(settings.Routing.Classes), routing.Class{
		Name:             mysql.PrepareClass,
		Consistency:      routing.ConsistencyAny,
		LatencyObjective: configured.PrepareObjective(),
		Deadline:         configured.PrepareDeadline(),
		PriorityWeight:   1,
		Effect:           routing.Idempotent,
	})
	account := mysqlbackend.Account{
		User:           configured.User,
		Database:       configured.Database,
		HealthCheck:    configured.HealthCheck,
		PrepareTimeout: settings.ConnectTimeout,
		Results:        framebuf.NewBudget(int64(limits.MemoryMB) << 20 / resultsShare),
	}
	if configured.PasswordEnv != "" {
		account.Password = os.Getenv(configured.PasswordEnv)
	}
	return fleet{
		name:             mysqlName,
		address:          configured.Listen,
		discoveryAddress: configured.Discovery,
		listen:           listenTCP,
		settings:         settings,
		seed:             operator.Seed,
		initial:          discovery.Snapshot{Rev: -1, All: true, Targets: configured.Hosts},
		starter:          account.Start,
		protocol:         mysql.Protocol{},
	}
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listenInherited takes over the listening socket that the platform passed to this process. Without one it opens a new listener.
func listenInherited(address string) (net.Listener, error) {
	return listenfd.Listener(os.Getenv, address)
}

// startFleets starts the actors of all fleets and applies the state that an older process handed over. Nothing is sent to a host
// before it returns.
func (g *gateway) startFleets(fleets []fleet, operator *config.Operator) error {
	for i := range fleets {
		f := &fleets[i]
		for _, class := range f.settings.Routing.Classes {
			g.limiter.ObserveDeadline(class.Deadline)
		}
		if operator != nil {
			f.settings.Routing.Zones = operator.Zones.Options(f.settings.Routing.Zone)
		}
		if err := g.startFleet(f); err != nil {
			return fmt.Errorf("serving %s: %w", f.name, err)
		}
	}
	g.applyInherited()
	return nil
}

// startFleet starts the actors of one fleet. They send nothing before they know endpoints.
func (g *gateway) startFleet(f *fleet) error {
	pool := backend.New(g.lifetime, backend.Options{
		Start:          f.starter,
		ConnectTimeout: f.settings.ConnectTimeout,
		IdleTimeout:    f.settings.HostIdleTimeout * 2 / 3,
		MaxOpen:        g.maxBackendConns,
		Gateways:       f.settings.Routing.Gateways,
		Counters:       g.counters,
	})
	c, err := core.New(core.Options{
		Routing:            f.settings.Routing,
		Seed:               f.seed,
		AnswerSlack:        f.settings.AnswerSlack,
		HealthCheckTimeout: f.settings.ConnectTimeout,
		Counters:           g.counters,
		Monitor:            g.monitor,
	}, pool)
	if err != nil {
		return err
	}
	g.actors.Go(func() error { return c.Run(g.lifetime) })
	if inherited, ok := g.inherited.EndpointLists[f.name]; ok && inherited.Rev > f.initial.Rev && len(inherited.Targets) > 0 {
		f.initial = inherited
	}
	polls := backoff.New(f.settings.Routing.Gateways, f.seed)
	g.fleets[f.name] = runningFleet{
		watcher:  discovery.NewWatcher(f.discoveryAddress, f.initial, c.UpdateEndpoints, polls, g.counters),
		core:     c,
		pool:     pool,
		backoff:  polls,
		frontend: g.newFrontend(f, c),
		zone:     f.settings.Routing.Zone,
	}
	return nil
}

// newFrontend sets up the server for a fleet's clients. It does not listen yet.
func (g *gateway) newFrontend(f *fleet, c *core.Core) *frontend.Server {
	server := &frontend.Server{
		Name:     f.name,
		Protocol: f.protocol,
		Core:     c,
		Limiter:  g.limiter,
		Budget:   g.budget,
		Counters: g.counters,
		Monitor:  g.monitor,

		RequestIDs: g.requestIDs,
	}
	if g.coordinator != nil {
		server.Transfer = g.connectionSender(f.name)
		server.SharedListener = f.name == postgresName && os.Getenv(listenfd.Variable) != ""
	}
	return server
}

// serveFleets watches the endpoint lists of all fleets and returns once each frontend listens. Fleets start concurrently, so
// that a fleet without an endpoint list does not delay the others.
func (g *gateway) serveFleets(fleets []fleet) error {
	watchingSince := time.Now()
	for _, f := range fleets {
		g.watchEndpoints(f)
	}
	results := make(chan error, len(fleets))
	for _, f := range fleets {
		go func() {
			err := g.serveFleet(f, watchingSince)
			if err != nil {
				err = fmt.Errorf("serving %s: %w", f.name, err)
			}
			results <- err
		}()
	}
	for range fleets {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// watchEndpoints gives a fleet's core the endpoints and observations that are known at the start, and watches discovery from then on.
func (g *gateway) watchEndpoints(f fleet) {
	running := g.fleets[f.name]
	if len(f.initial.Targets) > 0 {
		running.core.UpdateEndpoints(f.initial.EndpointList(routing.EndpointListStale))
	}
	if learned, ok := g.inherited.Learned[f.name]; ok {
		running.core.Learn(learned)
	}
	g.actors.Go(func() error { return running.watcher.Run(g.lifetime) })
}

// serveFleet starts a fleet's frontend once routing has endpoints. Until then it does not listen: clients would connect to a gateway
// that rejects all requests although other gateways serve. Before it listens it also waits for discovery's first endpoint list, which
// replaces the configured one, but not longer than firstPollTimeout after watchingSince.
func (g *gateway) serveFleet(f fleet, watchingSince time.Time) error {
	running := g.fleets[f.name]
	select {
	case <-running.core.Ready():
	case <-g.stopping.Done():
		return nil
	}
	select {
	case <-running.watcher.FirstCallDone():
	case <-time.After(time.Until(watchingSince.Add(firstPollTimeout))):
	case <-g.stopping.Done():
		return nil
	}
	listener, err := f.listen(f.address)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	slog.Info("listening", "front", f.name, "address", listener.Addr(), "hosts", len(f.initial.Targets))
	g.frontends.Go(func() error { return running.frontend.Run(g.stopping, listener) })
	return nil
}

// knowsHost reports whether a host is in the endpoint list of any fleet.
func (g *gateway) knowsHost(ctx context.Context, id string) (bool, error) {
	known := false
	for _, f := range g.fleets {
		inFleet, err := f.core.Known(ctx, id)
		if err != nil {
			return false, err
		}
		known = known || inFleet
	}
	return known, nil
}
