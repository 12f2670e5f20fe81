package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["moved"] = discoveryMoves }

// agentLag is how much later than the old agent the new one has a change.
const agentLag = 2900 * time.Millisecond

// discoveryMoves tells a gateway that a host drains and is gone, and then moves discovery to an agent that has not heard of it yet.
// Without trouble the new agent has.
func discoveryMoves(rec *record) bool {
	const gone = "s-2"
	type run struct {
		host string
		at   time.Time
	}
	var mu sync.Mutex
	var runs []run
	l := &ledger{requests: map[string]*request{}}
	_, before := group(rec, func(h *host) {
		h.work = func(string, string) time.Duration { return 87 * time.Millisecond }
		h.onRun = func(string) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, run{h.uid, time.Now()})
		}
	})
	after := newAgent(before.now.Targets, rec)
	g := startGateway(gatewayOptions{name: "n0", agent: before, settings: settings(), log: "info"}, rec)
	g.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		c := &pipeliner{number: i, depth: 1, ledger: l, record: rec, stop: stop}
		clients.Go(func() { c.run(g.listen) })
	}
	time.Sleep(2 * time.Second)
	draining := time.Now()
	before.set(gone, func(t *target) { t.State = "DRAINING" })
	time.Sleep(500 * time.Millisecond)
	before.remove(gone)
	told := time.Now()
	time.Sleep(500 * time.Millisecond)
	if !trouble {
		after.set(gone, func(t *target) { t.State = "DRAINING" })
		after.remove(gone)
	}
	g.moveDiscovery(after, rec)
	time.Sleep(time.Until(draining.Add(agentLag)))
	if trouble {
		after.set(gone, func(t *target) { t.State = "DRAINING" })
		after.remove(gone)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	seen, late := 0, 0
	for _, r := range runs {
		if r.host != gone {
			continue
		}
		if seen++; r.at.Sub(told) > 300*time.Millisecond { // 250 ms, and 50 ms on sockets
			late++
			rec.line("late", "host=%s after_told_gone=%.4f", r.host, r.at.Sub(told).Seconds())
		}
	}
	rec.line("total", "requests=%d at_the_host=%d after_it_was_gone=%d", len(runs), seen, late)
	fmt.Printf("requests %d, at the host that was removed %d, of them over 0.3 s after the gateway was told: %d\n", len(runs), seen, late)
	if seen == 0 {
		cannotRun(fmt.Errorf("the host got nothing before it was removed"))
	}
	return late > 0
}

// remove removes one entry from the list, in a version of its own.
func (a *agent) remove(uid string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var targets []target
	for _, t := range a.now.Targets {
		if t.UID != uid {
			targets = append(targets, t)
		}
	}
	a.now.Targets = targets
	a.now.Rev++
	a.record.line("list", "rev=%d uid=%s removed", a.now.Rev, uid)
	close(a.changed)
	a.changed = make(chan struct{})
}

// moveDiscovery replaces the configuration, which then names another agent, and sends SIGHUP.
func (g *gateway) moveDiscovery(to *agent, rec *record) {
	text, err := os.ReadFile(g.config)
	if err != nil {
		cannotRun(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		cannotRun(err)
	}
	config["discovery"] = to.listener.Addr().String()
	if text, err = json.Marshal(config); err != nil {
		cannotRun(err)
	}
	if err := os.WriteFile(g.config+".new", text, 0o600); err != nil {
		cannotRun(err)
	}
	if err := os.Rename(g.config+".new", g.config); err != nil {
		cannotRun(err)
	}
	rec.line("signal", "SIGHUP discovery=%s", config["discovery"])
	g.cmd.Process.Signal(syscall.SIGHUP)
}
