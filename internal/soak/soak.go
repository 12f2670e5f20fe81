// Package soak runs real gateway processes on loopback under randomised faults and checks their behaviour from outside.
//
// A run has a fleet of gateway processes, fake database hosts, a proxy for each pair of gateway and host, discovery agents for each
// gateway, and clients of several kinds. From its seed it draws fault groups: two or three faults on related targets that begin
// almost at the same time. The checks use the attempts that the proxies recorded, the answers that the clients received, how
// processes ended, and the violations that the gateways counted themselves. The random draws are repeatable but the machine's timing
// is not, so another run with the seed of a finding may not show it again.
package soak

import (
	"context"
	"cranegate/internal/discovery"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Program  string // the gateway's binary
	Seed     uint64
	Gateways int
	Groups   int
	Replicas int // hosts of a group in addition to its primary
	Clients  int // regular clients of each gateway
	Duration time.Duration
	Only     []string // the kinds of faults to draw from; empty means all
	LogDir   string   // folder for the gateways' logs; empty means that they are discarded
}

// Short is the size of runs in CI. Long, with a few dozen processes, is the default size on the command line.
var (
	Short = Options{Gateways: 6, Groups: 2, Replicas: 2, Clients: 3, Duration: 8 * time.Second}
	Long  = Options{Gateways: 24, Groups: 3, Replicas: 2, Clients: 2, Duration: 30 * time.Second}
)

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Processes int            // number of processes started
	Faults    map[string]int // number of faults begun, by kind
	Outcomes  map[string]int // number of requests, by outcome
	Findings  []Finding
	MaxLag    time.Duration // longest delay of this process by a busy machine; time bounds are widened by a multiple of it
}

// scenario holds everything that belongs to one run.
type scenario struct {
	options   Options
	dir       string
	startedAt time.Time
	ctx       context.Context // ends hosts, proxies, agents and clients
	directory *directory
	hosts     []*host
	gateways  []*gateway
	checker   *checker
	lag       lagMeter

	mu           sync.Mutex
	faultCounts  map[string]int
	processCount int
}

const (
	settleDelay  = 2 * time.Second  // between the end of the last fault and the final check
	serveTimeout = 15 * time.Second // for each gateway to serve each group in the final check
)

// Run performs one run. An error means that the run could not be set up; the findings about the gateways are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("creating a directory for the run: %w", err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &scenario{
		options:     options,
		dir:         dir,
		startedAt:   time.Now(),
		ctx:         ctx,
		directory:   &directory{},
		faultCounts: map[string]int{},
	}
	s.checker = newChecker(s)
	go s.lag.run(ctx)
	defer s.killAll()
	if err := s.startAll(); err != nil {
		return nil, err
	}
	stopClients := s.startClients()
	s.injectFaults(rand.New(rand.NewPCG(options.Seed, 40)))
	time.Sleep(settleDelay)
	s.checkServing()
	stopClients()
	s.stopAll()
	s.checker.checkAll()
	return &Report{
		Seed:      options.Seed,
		Processes: s.processCount,
		Faults:    s.faultCounts,
		Outcomes:  s.checker.outcomes(),
		Findings:  s.checker.findings(),
		MaxLag:    s.lag.max(),
	}, nil
}

// startAll starts the hosts, then the gateways with their surroundings, and waits until every gateway is ready.
func (s *scenario) startAll() error {
	for group := range s.options.Groups {
		for n := range s.options.Replicas + 1 {
			h, err := s.newHost(group, n)
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, h)
		}
	}
	s.directory.set(s.targets())
	for i := range s.options.Gateways {
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
		if !g.currentProcess().waitReady(s.ctx) {
			return fmt.Errorf("gateway %s did not become ready: %s", g.name, g.currentProcess().tail())
		}
	}
	return nil
}

// targets returns the current endpoint list.
func (s *scenario) targets() []discovery.Target {
	var listed []discovery.Target
	for _, h := range s.hosts {
		if target, ok := h.target(); ok {
			listed = append(listed, target)
		}
	}
	return listed
}

// countFault counts a fault that has begun.
func (s *scenario) countFault(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCounts[kind]++
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d processes, requests %v, faults %v, maximum lag %v\n", r.Seed, r.Processes, r.Outcomes, r.Faults,
		r.MaxLag.Round(time.Millisecond))
	for _, f := range r.Findings {
		fmt.Fprintf(w, "  FOUND %s\n", f)
	}
}
