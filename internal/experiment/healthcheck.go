package experiment

import (
	"time"

	"cranegate/routing"
)

// healthCheck is a pending health check.
type healthCheck struct {
	gateway            *gateway
	gatewayIncarnation int // at the time of the send
	host               *host
	sentAt             time.Duration
	connectedAt        time.Duration // when its connection was established
	finished           bool
}

// CheckHealth sends a health check to a host and passes the result to the decision module.
func (g *gateway) CheckHealth(member string, policy routing.ConnPolicy) {
	check := &healthCheck{gateway: g, gatewayIncarnation: g.incarnation, host: g.hosts[member], sentAt: g.fleet.now}
	g.fleet.judge.healthChecks++
	g.fleet.after(connectTimeout, func() { check.finish(routing.ResultTimeout, routing.Report{}) })
	g.dial(check.host, policy, check.write)
}

// write sends the health check over a connection.
func (c *healthCheck) write(connectedAt time.Duration) {
	g, h, f := c.gateway, c.host, c.gateway.fleet
	c.connectedAt = connectedAt
	if connectedAt <= 0 {
		c.finish(routing.ResultConnectFailed, routing.Report{})
		return
	}
	incarnation := h.incarnation
	f.judge.recordSlowStartCall(h, g, healthCheckDuration.Seconds()/f.meanWork())
	f.after(2*g.networkDelay(h)+healthCheckDuration, func() {
		switch {
		case h.partitions > 0 || c.gatewayIncarnation != g.incarnation:
		case h.incarnation != incarnation || !h.up:
			c.finish(routing.ResultReset, routing.Report{})
		default:
			g.release(h, connectedAt)
			c.finish(routing.ResultOK, h.routingReport())
		}
	})
}

// finish passes the first result to the decision module, if the gateway's process still runs.
func (c *healthCheck) finish(result routing.Result, report routing.Report) {
	g := c.gateway
	if c.finished || c.gatewayIncarnation != g.incarnation {
		return
	}
	c.finished = true
	outcome := routing.HealthCheckResult{Member: c.host.id, Result: result, Latency: g.fleet.now - c.sentAt, Report: report}
	if result == routing.ResultOK {
		outcome.ConnectedAt = c.connectedAt
	}
	g.router.HealthChecked(g.fleet.now, outcome)
}

// routingReport returns the current health report in the form of the decision module.
func (h *host) routingReport() routing.Report {
	current := h.currentReport()
	report := routing.Report{HasPosition: true, Position: current.position.Milliseconds(), Role: routing.RoleReplica}
	if current.primary {
		report.Role = routing.RolePrimary
	}
	return report
}
