package main

import (
	"log/slog"
	"os"

	"cranegate/internal/config"
	"cranegate/internal/discovery"
	"cranegate/routing"
)

// handleReloads reads the configuration again at each signal, until lifetime ends. An invalid configuration is logged and changes nothing.
func (g *gateway) handleReloads(signals <-chan os.Signal, reload func() (*config.Platform, *config.Operator, error)) {
	for {
		select {
		case <-signals:
		case <-g.lifetime.Done():
			return
		}
		platform, operator, err := reload()
		if err != nil {
			g.counters.Add("reloads_failed", 1)
			slog.Warn("reload_failed", "error", err)
			continue
		}
		g.counters.Add("reloads", 1)
		slog.Info("reloaded")
		g.applyReload(platform, operator)
	}
}

// applyReload applies the settings that a running process can change: the addresses of discovery, MySQL hosts that the operator's file
// lists, the options of zones, and the addresses and keys of the other gateways. All other settings stay as they were at the start.
func (g *gateway) applyReload(platform *config.Platform, operator *config.Operator) {
	if operator != nil {
		g.reloadOperator(operator)
	}
	if f, ok := g.fleets[postgresName]; ok && platform != nil && platform.Discovery != "" {
		f.watcher.SetAddress(platform.Discovery)
	}
	if f, ok := g.fleets[mysqlName]; ok && operator != nil && operator.MySQL != nil {
		f.watcher.SetAddress(operator.MySQL.Discovery)
		if operator.MySQL.Discovery == "" {
			hosts := discovery.Snapshot{All: true, Targets: operator.MySQL.Hosts}
			f.core.UpdateEndpoints(hosts.EndpointList(routing.EndpointListComplete))
		}
	}
}

// reloadOperator applies the settings of the operator's file that concern all fleets.
func (g *gateway) reloadOperator(operator *config.Operator) {
	if operator.Zones != nil {
		for _, f := range g.fleets {
			f.core.ConfigureZones(*operator.Zones.Options(f.zone))
		}
	}
	if g.gossip != nil && operator.Fleet != nil {
		if err := g.gossip.Reload(g.lifetime, operator.Fleet.Join, operator.Fleet.Keys); err != nil {
			slog.Warn("fleet_reload_failed", "error", err)
		}
	}
}
