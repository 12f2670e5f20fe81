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

// settings returns a gateway's settings in the form of the platform.
func (l *live) settings(zone string) map[string]any {
	var classSettings []map[string]any
	var consistencies []string
	var bounds []float64
	consistencyNames := map[routing.Consistency]string{routing.ConsistencyAny: "any", routing.ConsistencyBounded: "bounded", routing.ConsistencySession: "session", routing.ConsistencyStrong: "fresh", routing.ConsistencyWrite: "write"}
	for _, c := range classes {
		repeat := "repeatable"
		if c.Effect == routing.NonIdempotent {
			repeat = "once"
		}
		classSettings = append(classSettings, map[string]any{"name": c.Name, "aimS": c.LatencyObjective.Seconds(), "deadlineS": c.Deadline.Seconds(), "points": c.PriorityWeight,
			"lateWorth": c.LateShare, "repeat": repeat})
		consistencies, bounds = append(consistencies, consistencyNames[c.Consistency]), append(bounds, c.StalenessBound.Seconds())
	}
	return map[string]any{"balancers": l.Gateways, "zone": zone, "discovery": "automatic", "classes": classSettings,
		"domain": map[string]any{"needsByClass": consistencies, "classBoundS": bounds, "guards": "wait", "catchUpWaitS": catchUpTimeout.Seconds(),
			"positions": true, "roleInList": "late", "writeMarks": "carried"},
		"policyLimits": map[string]any{"maxAttempts": 6, "mayCancel": true, "mayDuplicate": true, "probes": true, "retryAfter": true,
			"maxRetryAfterS": 0.5, "connectTimeoutS": connectTimeout.Seconds(), "idleCloseS": 30.0},
		"deductions": map[string]any{"crossZone": 0.01},
		"rules": map[string]any{"answerSlackS": 0.02, "coldFrom": slowStartCapacity, "coldS": slowStartDuration.Seconds(), "tipMultiple": overloadFactor,
			"fallS": overloadWindow.Seconds()}}
}

// startGateway starts a real gateway and waits until both of its frontends listen.
func (l *live) startGateway(index int, dir string, o liveOptions) error {
	frontend, agents := frontend{}, [2]string{}
	for i := range frontend.addresses {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		frontend.addresses[i], frontend.idle[i] = x.Addr().String(), make(chan client, 64)
		x.Close()
		if x, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
		agents[i] = x.Addr().String()
		s := &http.Server{Handler: l.discovery[i]}
		go s.Serve(x)
		context.AfterFunc(l.ctx, func() { s.Close() })
	}
	l.frontends = append(l.frontends, frontend)
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", index), "listen": frontend.addresses[0], "discovery": agents[0],
		"seed": fmt.Sprintf("%016x", index+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": l.settings(l.gateways[index].zone)})
	if err != nil {
		return err
	}
	config, operator := filepath.Join(dir, fmt.Sprintf("n%d.json", index)), filepath.Join(dir, fmt.Sprintf("n%d.toml", index))
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	toml := fmt.Sprintf("[mysql]\nlisten = %q\ndiscovery = %q\n%s", frontend.addresses[1], agents[1], o.operatorTables(index))
	if err := os.WriteFile(operator, []byte(toml), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(o.program, "-operator", operator)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = o.logs(index), o.logs(index)
	cmd.SysProcAttr = killWithParent
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", o.program, err)
	}
	l.commands = append(l.commands, cmd)
	for _, address := range frontend.addresses {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("gateway %d does not listen: %w", index, err)
			}
		}
	}
	return nil
}
