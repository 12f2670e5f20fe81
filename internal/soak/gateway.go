package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cranegate/internal/discovery"
)

// gateway is one gateway of the fleet: its processes, which follow each other or live side by side, and what surrounds them.
type gateway struct {
	site    *site
	name    string
	config  string // the file that the platform hands a process
	state   string // the folder that its processes share
	socket  *net.TCPListener
	agents  [2]*agent
	proxies map[string]*proxy // by host

	mu        sync.Mutex
	processes []*process
	watched   int            // which agent the configuration names
	busy      bool           // a trouble has its processes
	banned    map[*host]bool // by a trouble
	excused   []interval     // when what crosses its processes' lives or pauses is judged less strictly
	draining  []interval     // when its clients may be sent away
	reachable time.Time      // since when discovery could be reached
}

// interval is a time in which something held; a zero end: it holds still.
type interval struct{ from, to time.Time }

// overlaps says whether an interval has a part of a time.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}

const (
	descriptorsFor = 256
	memoryFor      = 64 // MB
	keyWindow      = 1.0
)

// newGateway makes a gateway's surroundings.
func (s *site) newGateway(i int) (*gateway, error) {
	g := &gateway{site: s, name: fmt.Sprintf("g%02d", i), proxies: map[string]*proxy{}, reachable: time.Now()}
	g.state = filepath.Join(s.dir, g.name)
	g.config = filepath.Join(s.dir, g.name+".json")
	if err := os.Mkdir(g.state, 0o700); err != nil {
		return nil, fmt.Errorf("making the folder of %s: %w", g.name, err)
	}
	var err error
	if g.socket, err = listen(); err != nil {
		return nil, err
	}
	s.closeWith(g.socket)
	for n := range g.agents {
		if g.agents[n], err = s.newAgent(g); err != nil {
			return nil, err
		}
	}
	for _, h := range s.hosts {
		if g.proxies[h.uid], err = s.newProxy(g, h); err != nil {
			return nil, err
		}
	}
	return g, g.configure()
}

// configure writes the configuration as the gateway stands.
func (g *gateway) configure() error {
	rev, targets, _ := g.site.directory.now()
	text, err := json.Marshal(map[string]any{
		"name": g.name, "listen": g.socket.Addr().String(), "discovery": g.agents[g.watched].address, "seed": fmt.Sprintf("%016x", g.site.opt.Seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryFor, "sockets": descriptorsFor},
		"known":    discovery.Snapshot{Rev: rev, All: true, Targets: g.behindProxies(targets)},
		"settings": settings(g.site.opt.Gateways),
	})
	if err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", g.name, err)
	}
	next := g.config + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", g.name, err)
	}
	if err := os.Rename(next, g.config); err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", g.name, err)
	}
	return nil
}

// settings are those of the site: a bounded and a session's read, a write that may run once, and one with a key.
func settings(gateways int) map[string]any {
	class := func(name string, aim, deadline, worth float64, repeat string) map[string]any {
		return map[string]any{"name": name, "aimS": aim, "deadlineS": deadline, "points": worth, "lateWorth": 0.5, "repeat": repeat, "stream": false}
	}
	keyed := class(classKeyed, 0.75, 2, 4, "by_key")
	keyed["keyTtlS"] = keyWindow
	return map[string]any{
		"balancers": gateways, "zone": "nuernberg", "discovery": "automatic",
		"classes": []any{class(classRead, 0.6, 2, 1, "repeatable"), class(classSession, 0.75, 2, 2, "repeatable"),
			class(classOnce, 0.75, 2, 6, "once"), keyed},
		"domain": map[string]any{"needsByClass": []string{"bounded", "session", "write", "write"}, "classBoundS": []float64{3, 0, 0, 0},
			"guards": "wait", "catchUpWaitS": 0.02, "positions": true, "roleInList": "late", "writeMarks": "carried"},
		"loadInfo": map[string]any{"source": "probe", "columns": []string{"x0", "x1", "load_share", "depth"}},
		"policyLimits": map[string]any{"maxAttempts": 6, "mayCancel": true, "mayDuplicate": true, "probes": true, "retryAfter": true,
			"maxRetryAfterS": 0.5, "connectTimeoutS": 0.25, "idleCloseS": 30.0},
		"deductions": map[string]any{"crossZone": 0.01},
		"rules":      map[string]any{"answerSlackS": 0.02, "coldFrom": 0.15, "coldS": 3.0, "tipMultiple": 2.5, "fallS": 1.0, "drainGraceS": 0.25},
	}
}

// behindProxies is the list as this gateway is told of it: each host at the end of the gateway's own way there.
func (g *gateway) behindProxies(targets []discovery.Target) []discovery.Target {
	seen := make([]discovery.Target, len(targets))
	for i, t := range targets {
		seen[i] = t
		seen[i].Endpoint = g.proxies[t.UID].address
	}
	return seen
}

// start starts a process beside those that live.
func (g *gateway) start() error {
	p, err := g.launch()
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes = append(g.processes, p)
	g.reachable = time.Now()
	g.site.judge.forget(g)
	return nil
}

// current is the process that was started last.
func (g *gateway) current() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.processes[len(g.processes)-1]
}

// all are the processes of all times.
func (g *gateway) all() []*process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*process(nil), g.processes...)
}

// take reserves the gateway's processes for one trouble, if none has them.
func (g *gateway) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy {
		return false
	}
	g.busy = true
	return true
}

func (g *gateway) release() { g.mu.Lock(); defer g.mu.Unlock(); g.busy = false }

// ban reserves a host for one ban at this gateway, if none has it; the call releases it.
func (g *gateway) ban(h *host) (release func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.banned[h] {
		return nil, false
	}
	if g.banned == nil {
		g.banned = map[*host]bool{}
	}
	g.banned[h] = true
	return func() { g.mu.Lock(); defer g.mu.Unlock(); delete(g.banned, h) }, true
}

// excuse notes that processes die or stand still from now on, and sendsAway that clients may be; the call ends it.
func (g *gateway) excuse() (end func()) { return g.during(&g.excused, time.Now()) }

func (g *gateway) sendsAway() (end func()) { return g.during(&g.draining, time.Now()) }

func (g *gateway) during(all *[]interval, from time.Time) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(*all)
	*all = append(*all, interval{from: from})
	return func() { g.mu.Lock(); defer g.mu.Unlock(); (*all)[n].to = time.Now() }
}

// excusedIn says whether a time may have crossed a process's death or pause, and drainedIn whether clients were sent away in it.
func (g *gateway) excusedIn(from, to time.Time) bool { return g.in(&g.excused, from, to) }

func (g *gateway) drainedIn(from, to time.Time) bool { return g.in(&g.draining, from, to) }

func (g *gateway) in(all *[]interval, from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range *all {
		if i.overlaps(from, to) {
			return true
		}
	}
	return false
}

// unreachable notes that discovery can't be reached from now on; the call ends it.
func (g *gateway) unreachable() (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reachable = time.Now().Add(time.Hour)
	return func() { g.mu.Lock(); defer g.mu.Unlock(); g.reachable = time.Now() }
}

// reachableSince is when discovery could be reached again.
func (g *gateway) reachableSince() time.Time { g.mu.Lock(); defer g.mu.Unlock(); return g.reachable }
