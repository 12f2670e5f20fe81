package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"cranegate/routing"
)

// consistencyNames are the names of consistencies in the platform's settings.
var consistencyNames = map[routing.Consistency]string{
	routing.ConsistencyAny:     "any",
	routing.ConsistencyBounded: "bounded",
	routing.ConsistencySession: "session",
	routing.ConsistencyStrong:  "fresh",
	routing.ConsistencyWrite:   "write",
}

// settings returns a gateway's settings in the platform's format.
func (l *live) settings(zone string) map[string]any {
	var classSettings []map[string]any
	var consistencies []string
	var bounds []float64
	for _, c := range classes {
		repeat := "repeatable"
		if c.Effect == routing.NonIdempotent {
			repeat = "once"
		}
		classSettings = append(classSettings, map[string]any{
			"name":      c.Name,
			"aimS":      c.LatencyObjective.Seconds(),
			"deadlineS": c.Deadline.Seconds(),
			"points":    c.PriorityWeight,
			"lateWorth": c.LateShare,
			"repeat":    repeat,
		})
		consistencies = append(consistencies, consistencyNames[c.Consistency])
		bounds = append(bounds, c.StalenessBound.Seconds())
	}
	return map[string]any{
		"balancers": l.Gateways,
		"zone":      zone,
		"discovery": "automatic",
		"classes":   classSettings,
		"domain": map[string]any{
			"needsByClass": consistencies,
			"classBoundS":  bounds,
			"guards":       "wait",
			"catchUpWaitS": catchUpTimeout.Seconds(),
			"positions":    true,
			"roleInList":   "late",
			"writeMarks":   "carried",
		},
		"policyLimits": map[string]any{
			"maxAttempts":     6,
			"mayCancel":       true,
			"mayDuplicate":    true,
			"probes":          true,
			"retryAfter":      true,
			"maxRetryAfterS":  0.5,
			"connectTimeoutS": connectTimeout.Seconds(),
			"idleCloseS":      30.0,
		},
		"deductions": map[string]any{"crossZone": 0.01},
		"rules": map[string]any{
			"answerSlackS": 0.02,
			"coldFrom":     slowStartCapacity,
			"coldS":        slowStartDuration.Seconds(),
			"tipMultiple":  overloadFactor,
			"fallS":        overloadWindow.Seconds(),
		},
	}
}

// startGateway starts a real gateway and waits until both of its frontends listen.
func (l *live) startGateway(index int, dir string, o liveOptions) error {
	var frontend frontend
	var discovery [2]string
	for i := range frontend.addresses {
		var err error
		if frontend.addresses[i], err = freeAddress(); err != nil {
			return err
		}
		frontend.idle[i] = make(chan client, maxIdleClients)
		if discovery[i], err = l.serveDiscovery(i); err != nil {
			return err
		}
	}
	l.frontends = append(l.frontends, frontend)
	config := filepath.Join(dir, fmt.Sprintf("n%d.json", index))
	operator := filepath.Join(dir, fmt.Sprintf("n%d.toml", index))
	text, err := json.Marshal(map[string]any{
		"name":      fmt.Sprintf("n%d", index),
		"listen":    frontend.addresses[0],
		"discovery": discovery[0],
		"seed":      fmt.Sprintf("%016x", index+1),
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings":  l.settings(l.gateways[index].zone),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	toml := fmt.Sprintf("[mysql]\nlisten = %q\ndiscovery = %q\n%s", frontend.addresses[1], discovery[1], o.operatorTables(index))
	if err := os.WriteFile(operator, []byte(toml), 0o600); err != nil {
		return err
	}
	command := exec.Command(o.program, "-operator", operator)
	command.Env = append(os.Environ(), "PROXY_CONFIG="+config)
	command.Stdout, command.Stderr = o.logs(index), o.logs(index)
	command.SysProcAttr = killWithParent
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", o.program, err)
	}
	l.commands = append(l.commands, command)
	for _, address := range frontend.addresses {
		if err := waitListening(address); err != nil {
			return fmt.Errorf("gateway %d does not listen: %w", index, err)
		}
	}
	return nil
}

const (
	maxIdleClients       = 64 // idle client connections of each frontend
	gatewayStartTimeout  = 10 * time.Second
	gatewayStartInterval = 20 * time.Millisecond
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// serveDiscovery serves the endpoint list of a protocol until the run ends, and returns its address.
func (l *live) serveDiscovery(protocol int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: l.discovery[protocol]}
	go server.Serve(listener)
	context.AfterFunc(l.ctx, func() { server.Close() })
	return listener.Addr().String(), nil
}

// waitListening waits until an address accepts connections.
func waitListening(address string) error {
	for end := time.Now().Add(gatewayStartTimeout); ; time.Sleep(gatewayStartInterval) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
			return nil
		}
		if time.Now().After(end) {
			return err
		}
	}
}
