package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"

	"cranegate/internal/admin"
	"cranegate/internal/agentcheck"
	"cranegate/internal/config"
)

// Limits on concurrent callers at each address, not counting one that waits to be served. The callers at the operator's addresses and
// at the agent-check fit into checkDescriptors; the descriptors of the platform's admin address are counted separately.
const (
	maxAdminCallers         = 24 // at the platform's admin address; fewer under a low descriptor limit
	maxHealthCallers        = 12 // at the operator's [health]
	maxOperatorAdminCallers = 6  // at the operator's [admin]
)

// listenAdmin serves admin calls at the operator's [admin] and at the platform's admin address, where they are configured.
func (g *gateway) listenAdmin(platform *config.Platform, operator *config.Operator) error {
	if operator != nil && operator.Admin.Listen != "" {
		if err := g.serveAdmin("admin", operator.Admin.Listen, maxOperatorAdminCallers); err != nil {
			return err
		}
	}
	if hasAdmin(platform) {
		return g.serveAdmin("second", platform.Admin, g.maxAdminCalls)
	}
	return nil
}

// serveAdmin serves admin calls and the pages of counters and members at an address. name appears in logs and errors.
func (g *gateway) serveAdmin(name, address string, maxCallers int) error {
	pages := map[string]admin.Page{"/counters": g.countersPage, "/members": g.membersPage}
	server := admin.New((*control)(g), &g.serializer, pages, maxCallers)
	return g.listenAndServe(name, address, func(l net.Listener) error { return server.Run(g.lifetime, l) })
}

// serveChecks serves the operator's agent-check and [health], which balancers poll.
func (g *gateway) serveChecks(operator *config.Operator) error {
	if address := operator.AgentCheck.Listen; address != "" {
		serve := func(l net.Listener) error { return agentcheck.ServeAgent(g.lifetime, l, g.status) }
		if err := g.listenAndServe("agent_check", address, serve); err != nil {
			return err
		}
	}
	if address := operator.Health.Listen; address != "" {
		health := func(context.Context) (string, error) { return g.status.Health() }
		server := admin.NewHealth(health, g.countersPage, maxHealthCallers)
		return g.listenAndServe("health", address, func(l net.Listener) error { return server.Run(g.lifetime, l) })
	}
	return nil
}

// listenAndServe listens at an address and serves it until lifetime ends.
func (g *gateway) listenAndServe(name, address string, serve func(net.Listener) error) error {
	listener, err := listenTCP(address)
	if err != nil {
		return fmt.Errorf("listening for %s: %w", name, err)
	}
	slog.Info("listening", "front", name, "address", listener.Addr())
	g.actors.Go(func() error { return serve(listener) })
	return nil
}

// countersPage lists the counters, one per line.
func (g *gateway) countersPage(context.Context) (string, error) {
	return strings.ReplaceAll(g.counters.String(), " ", "\n") + "\n", nil
}

// membersPage is this gateway's view of the fleet's members, in JSON.
func (g *gateway) membersPage(ctx context.Context) (string, error) {
	if g.gossip == nil {
		return "", errors.New("this gateway knows no others: its file has no [fleet]")
	}
	view, err := g.gossip.View(ctx)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(view)
	return string(text) + "\n", err
}
