package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// gateway is one gateway of the fleet: its processes, consecutive or concurrent, and what they use and share.
type gateway struct {
	reservation // of its processes
	scenario    *scenario
	name        string
	configPath  string // path of the configuration file
	stateDir    string // directory shared by its processes
	listener    *net.TCPListener
	agents      [2]*agent
	proxies     map[string]*proxy // by host UID

	mu                   sync.Mutex
	processes            []*process
	activeAgent          int            // index of the agent in the configuration
	bannedHosts          map[*host]bool // hosts with an active ban
	disruptions          []interval     // when processes ended abruptly or paused; requests are then checked less strictly
	drains               []interval     // when the gateway may close its clients' connections
	discoveryReachableAt time.Time      // start of the current process or end of the last discovery outage; in the future during an outage
}

// newGateway creates a gateway with its files, listener, agents and proxies; it starts no process.
func (s *scenario) newGateway(i int) (*gateway, error) {
	g := &gateway{scenario: s, name: fmt.Sprintf("g%02d", i), proxies: map[string]*proxy{}, discoveryReachableAt: time.Now()}
	g.stateDir = filepath.Join(s.dir, g.name)
	g.configPath = filepath.Join(s.dir, g.name+".json")
	if err := os.Mkdir(g.stateDir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the directory of %s: %w", g.name, err)
	}
	var err error
	if g.listener, err = listen(); err != nil {
		return nil, err
	}
	s.closeAtEnd(g.listener)
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

// start starts another process of the gateway; running processes continue.
func (g *gateway) start() error {
	p, err := g.launch()
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes = append(g.processes, p)
	g.discoveryReachableAt = time.Now()
	g.scenario.checker.forgetNotifications(g)
	return nil
}

// currentProcess returns the process that was started last.
func (g *gateway) currentProcess() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.processes[len(g.processes)-1]
}

// allProcesses returns all processes that were ever started.
func (g *gateway) allProcesses() []*process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*process(nil), g.processes...)
}

// reserveBan reserves a host for one ban at this gateway, unless it is reserved already.
func (g *gateway) reserveBan(h *host) (release func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bannedHosts[h] {
		return nil, false
	}
	if g.bannedHosts == nil {
		g.bannedHosts = map[*host]bool{}
	}
	g.bannedHosts[h] = true
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.bannedHosts, h)
	}, true
}
