package main

import (
	"log/slog"

	"cranegate/internal/config"
	"cranegate/internal/gossip"
)

// startGossip starts the exchange of heartbeats with the other gateways of the fleet. The fleet's size sets this gateway's share of the
// fleet-wide connection and polling budgets.
func (g *gateway) startGossip(operator *config.Operator) error {
	opt := operator.Fleet.Options(operator.Seed)
	opt.Counters = g.counters
	opt.OnSizeChange = func(gateways int, _ float64) {
		for _, f := range g.fleets {
			f.pool.SetGateways(gateways)
			f.backoff.SetGateways(gateways)
		}
	}
	transport, err := gossip.Listen(opt)
	if err != nil {
		return err
	}
	slog.Info("listening", "address", transport.Addr(), "name", operator.Fleet.Name, "sealed", len(operator.Fleet.Keys) > 0)
	g.gossip = transport
	g.actors.Go(func() error { return transport.Run(g.lifetime) })
	return nil
}
