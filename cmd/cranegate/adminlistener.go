package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"

	"cranegate/internal/admin"
	"cranegate/internal/agentcheck"
	"cranegate/internal/config"
	"cranegate/internal/core"
	"cranegate/internal/hotrestart/listenfd"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/override"
)

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// inherited takes the listening socket that the platform has handed over, or makes one where it has not.
func inherited(address string) (net.Listener, error) { return listenfd.Listener(os.Getenv, address) }

// Callers at once of each address beside one that waits for its place: with the agent-check's they fit into forChecks
// descriptors, and the second address, which has as many to itself, fits too.
const (
	mostAtSecond = 24
	mostAtHealth = 12
	mostAtAdmin  = 6
)

// second starts the second address, where staff ask and act.
func (g *gateway) second(address string) error { return g.calls("second", address, g.staff) }

// admin starts the operator's own second address, for the command line.
func (g *gateway) admin(address string) error { return g.calls("admin", address, mostAtAdmin) }

// calls starts an address for staff and the command line.
func (g *gateway) calls(name, address string, most int) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for %s: %w", name, err)
	}
	slog.Info("listening", "front", name, "address", l.Addr())
	s := admin.New((*control)(g), &g.turns, map[string]admin.Page{"/counters": g.shownCounters, "/members": g.shownMembers}, most)
	g.actors.Go(func() error { return s.Run(g.work, l) })
	return nil
}

// shownCounters is the page of the counters, one a line.
func (g *gateway) shownCounters(context.Context) (string, error) {
	return strings.ReplaceAll(g.counters.String(), " ", "\n") + "\n", nil
}

// shownMembers is the page of the other gateways, in JSON.
func (g *gateway) shownMembers(ctx context.Context) (string, error) {
	if g.peers == nil {
		return "", errors.New("this gateway knows no others: its file has no [fleet]")
	}
	v, err := g.peers.View(ctx)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(v)
	return string(text) + "\n", err
}

// checks starts what balancers ask. It answers before the fronts can, and until the program ends.
func (g *gateway) checks(o *config.Operator) error {
	for _, x := range []struct {
		name, listen string
		serve        func(net.Listener) error
	}{
		{"agent_check", o.AgentCheck.Listen, func(l net.Listener) error {
			return agentcheck.ServeAgent(g.work, l, g.status)
		}},
		{"health", o.Health.Listen, func(l net.Listener) error {
			health := func(context.Context) (string, error) { return g.status.Health() }
			return admin.NewHealth(health, g.shownCounters, mostAtHealth).Run(g.work, l)
		}},
	} {
		if x.listen == "" {
			continue
		}
		l, err := net.Listen("tcp", x.listen)
		if err != nil {
			return fmt.Errorf("listening for %s: %w", x.name, err)
		}
		slog.Info("listening", "front", x.name, "address", l.Addr())
		g.actors.Go(func() error { return x.serve(l) })
	}
	return nil
}

// control is what the second address acts on.
type control gateway

// Ready says whether the gateway can serve.
func (c *control) Ready() error {
	switch c.status.State() {
	case agentcheck.Ready:
		return nil
	case agentcheck.Draining:
		return errors.New("stopping: ask the process that takes its place")
	}
	return errors.New("starting: ask again")
}

// Detach leaves a database host out of all fleets, if any knows it.
func (c *control) Detach(ctx context.Context, id string) error { return c.set(ctx, id, true) }

// Attach lets a database host serve again.
func (c *control) Attach(ctx context.Context, id string) error { return c.set(ctx, id, false) }

// set takes a host that some fleet knows out or calls it back, in all processes of this gateway.
func (c *control) set(ctx context.Context, id string, out bool) error {
	known := false
	for _, f := range c.lists {
		k, err := f.core.Known(ctx, id)
		if err != nil {
			return err
		}
		known = known || k
	}
	if !known {
		return override.UnknownHostError{ID: id}
	}
	if c.hand != nil {
		return c.hand.Apply(ctx, state.Change{Host: id, Out: out})
	}
	way := core.Attach
	if out {
		way = core.DetachUnlisted
	}
	for _, f := range c.lists {
		if err := f.core.SetOverride(ctx, id, way); err != nil && !unknown(err) {
			return err
		}
	}
	return nil
}

// unknown says that it was a host that nobody has.
func unknown(err error) bool {
	var u override.UnknownHostError
	return errors.As(err, &u)
}

// Lameduck sends the clients away, or takes clients again, in all processes of this gateway.
func (c *control) Lameduck(ctx context.Context, on bool) error {
	if !on && c.stop.Err() != nil {
		return errors.New("stopping: clients are not taken again; start the gateway anew")
	}
	if c.hand != nil {
		return c.hand.Apply(ctx, state.Change{Lameduck: on})
	}
	if on {
		c.room.Drain()
	} else if !c.room.Undrain() {
		return errors.New("stopping: clients are not taken again; start the gateway anew")
	}
	return nil
}
