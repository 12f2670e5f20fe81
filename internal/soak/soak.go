// Package soak plays real processes of the gateway on loopback under drawn troubles, and judges from outside what they do.
//
// A run has a fleet of gateway processes, fake database hosts, a proxy for each way from a gateway to a host, an agent of
// discovery for each gateway, and clients of several kinds. From its seed it draws knots: two or three troubles on related
// targets that begin within a moment of each other. What happened is judged by what the proxies heard, what clients were
// answered, how processes ended, and the violations that the gateways counted themselves. The draw is repeatable; the machine's
// timing is not, so that a finding names its seed as a place to look, not as a proof that it comes again.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"cranegate/internal/discovery"
)

// Options of a run.
type Options struct {
	Program  string // the gateway's binary
	Seed     uint64
	Gateways int
	Groups   int
	Replicas int // hosts of a group beside its primary
	Clients  int // patient clients of each gateway
	For      time.Duration
	Only     []string // the kinds of troubles that are drawn; none: all
	Keep     string   // a folder for the gateways' logs; empty: they are dropped
}

// Short is the form for CI, and Long the one for a command: a few dozen processes.
var (
	Short = Options{Gateways: 6, Groups: 2, Replicas: 2, Clients: 3, For: 8 * time.Second}
	Long  = Options{Gateways: 24, Groups: 3, Replicas: 2, Clients: 2, For: 30 * time.Second}
)

// Report is what came of a run.
type Report struct {
	Seed      uint64
	Processes int            // that were started
	Troubles  map[string]int // begun, by kind
	Outcomes  map[string]int // of requests, by answer
	Findings  []Finding
	Lag       time.Duration // the longest that this process was held up; bounds in time are widened by it
}

// site is everything of one run.
type site struct {
	opt       Options
	dir       string
	began     time.Time
	ctx       context.Context // of hosts, proxies, agents and clients
	directory *directory
	hosts     []*host
	gateways  []*gateway
	judge     *judge
	lag       lagMeter

	mu       sync.Mutex
	troubles map[string]int
	started  int // processes
}

const (
	settleFor = 2 * time.Second  // from the end of the last trouble till the fleet is asked to serve
	serveFor  = 15 * time.Second // in which each gateway then serves each group
)

// Run plays one run. An error says that it could not be played; what the gateways did wrong stands in the report.
func Run(ctx context.Context, opt Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("making a folder for the run: %w", err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &site{opt: opt, dir: dir, began: time.Now(), ctx: ctx, troubles: map[string]int{}, directory: &directory{}}
	s.judge = newJudge(s)
	go s.lag.run(ctx)
	defer s.killAll()
	if err := s.build(); err != nil {
		return nil, err
	}
	stopClients := s.startClients()
	s.play(rand.New(rand.NewPCG(opt.Seed, 40)))
	time.Sleep(settleFor)
	s.checkServes()
	stopClients()
	s.stopAll()
	s.judge.conclude()
	return &Report{Seed: opt.Seed, Processes: s.started, Troubles: s.troubles, Outcomes: s.judge.outcomes(), Findings: s.judge.findings(),
		Lag: s.lag.most()}, nil
}

// build makes the hosts, then the gateways with their surroundings, and waits until all of them serve.
func (s *site) build() error {
	for group := range s.opt.Groups {
		for n := range s.opt.Replicas + 1 {
			h, err := s.newHost(group, n)
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, h)
		}
	}
	s.directory.set(s.targets())
	for i := range s.opt.Gateways {
		g, err := s.newGateway(i)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if !g.current().ready(s.ctx) {
			return fmt.Errorf("gateway %s does not get ready: %s", g.name, g.current().tail())
		}
	}
	return nil
}

// targets is the list as the hosts stand.
func (s *site) targets() []discovery.Target {
	var all []discovery.Target
	for _, h := range s.hosts {
		if t, listed := h.target(); listed {
			all = append(all, t)
		}
	}
	return all
}

// count notes that a trouble has begun.
func (s *site) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles[kind]++
}

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d processes, requests %v, troubles %v, held up %v at most\n", r.Seed, r.Processes, r.Outcomes, r.Troubles,
		r.Lag.Round(time.Millisecond))
	for _, f := range r.Findings {
		fmt.Fprintf(w, "  FOUND %s\n", f)
	}
}
