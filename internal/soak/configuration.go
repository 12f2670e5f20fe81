package soak

import (
	"encoding/json"
	"fmt"
	"os"

	"cranegate/internal/discovery"
)

const (
	maxDescriptors        = 256
	memoryLimitMB         = 64
	idempotencyKeySeconds = 1.0
)

// configure writes the gateway's current configuration.
func (g *gateway) configure() error {
	rev, targets, _ := g.scenario.directory.current()
	text, err := json.Marshal(map[string]any{
		"name":      g.name,
		"listen":    g.listener.Addr().String(),
		"discovery": g.agents[g.activeAgent].address,
		"seed":      fmt.Sprintf("%016x", g.scenario.options.Seed),
		"limits":    map[string]any{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": maxDescriptors},
		"known":     discovery.Snapshot{Rev: rev, All: true, Targets: g.proxiedTargets(targets)},
		"settings":  settings(g.scenario.options.Gateways),
	})
	if err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", g.name, err)
	}
	next := g.configPath + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", g.name, err)
	}
	if err := os.Rename(next, g.configPath); err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", g.name, err)
	}
	return nil
}

// settings returns the gateways' settings with four classes: a read with a staleness bound, a session read, a
// non-idempotent write, and a write with an idempotency key.
func settings(gateways int) map[string]any {
	class := func(name string, latencyObjective, deadline, priorityWeight float64, idempotency string) map[string]any {
		return map[string]any{"name": name, "aimS": latencyObjective, "deadlineS": deadline, "points": priorityWeight, "lateWorth": 0.5,
			"repeat": idempotency, "stream": false}
	}
	idempotentByKey := class(classIdempotentByKey, 0.75, 2, 4, "by_key")
	idempotentByKey["keyTtlS"] = idempotencyKeySeconds
	return map[string]any{
		"balancers": gateways, "zone": "nuernberg", "discovery": "automatic",
		"classes": []any{class(classRead, 0.6, 2, 1, "repeatable"), class(classSession, 0.75, 2, 2, "repeatable"),
			class(classNonIdempotent, 0.75, 2, 6, "once"), idempotentByKey},
		"domain": map[string]any{"needsByClass": []string{"bounded", "session", "write", "write"}, "classBoundS": []float64{3, 0, 0, 0},
			"guards": "wait", "catchUpWaitS": 0.02, "positions": true, "roleInList": "late", "writeMarks": "carried"},
		"loadInfo": map[string]any{"source": "probe", "columns": []string{"x0", "x1", "load_share", "depth"}},
		"policyLimits": map[string]any{"maxAttempts": 6, "mayCancel": true, "mayDuplicate": true, "probes": true, "retryAfter": true,
			"maxRetryAfterS": 0.5, "connectTimeoutS": 0.25, "idleCloseS": 30.0},
		"deductions": map[string]any{"crossZone": 0.01},
		"rules":      map[string]any{"answerSlackS": 0.02, "coldFrom": 0.15, "coldS": 3.0, "tipMultiple": 2.5, "fallS": 1.0, "drainGraceS": 0.25},
	}
}

// proxiedTargets returns the endpoint list with the addresses of this gateway's own proxies.
func (g *gateway) proxiedTargets(targets []discovery.Target) []discovery.Target {
	proxied := make([]discovery.Target, len(targets))
	for i, t := range targets {
		proxied[i] = t
		proxied[i].Endpoint = g.proxies[t.UID].address
	}
	return proxied
}
