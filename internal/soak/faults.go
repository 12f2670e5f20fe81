package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// fault is one kind of fault, injected at a gateway, a host or both. inject draws its random values before it acts,
// or before each of its steps, so that a seed always yields the same values.
type fault struct {
	kind   string
	inject func(s *scenario, g *gateway, h *host, rng *rand.Rand)
}

// faults lists all kinds of faults. A seed draws indices into it, so another order changes what a seed draws.
var faults = []fault{
	{"rolling_restart", rollingRestart},
	{"kill", killAndRestart},
	{"pause", pauseProcess},
	{"upgrade", upgradeProcess},
	{"reload", reloadConfiguration},
	{"discovery", failDiscovery},
	{"drain", drainHost},
	{"hang", hangHost},
	{"host_dies", crashHost},
	{"late_connects", delayConnects},
	{"stall", stallProxies},
	{"resets", resetConnections},
	{"bad_answers", returnBadAnswers},
	{"ban", banHost},
	{"lameduck", toggleLameduck},
	{"descriptors", exhaustDescriptors},
	{"log_stops", stopLogCollector},
	{"log_ends", closeLogPipe},
	{"file_size", limitFileSize},
	{"leavers", disconnectClients},
	{"half_messages", sendPartialMessages},
	{"babble", sendGarbage},
	{"pipelines", pipelineRequests},
}

const (
	faultGroupInterval  = 1500 * time.Millisecond // mean time between two fault groups of one injector
	faultGroupSpread    = 400 * time.Millisecond  // the faults of a group begin within this time
	gatewaysPerInjector = 3
)

// injectFaults injects groups of faults for the duration of the run and waits until the last fault has ended. Several
// injectors run concurrently, each with its own random source.
func (s *scenario) injectFaults(rng *rand.Rand) {
	var group sync.WaitGroup
	for range max(1, s.options.Gateways/gatewaysPerInjector) {
		injectorRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		group.Go(func() {
			for at := time.Duration(0); at < s.options.Duration; {
				wait := time.Duration((0.5 + injectorRNG.Float64()) * float64(faultGroupInterval))
				time.Sleep(wait)
				at += wait
				s.injectFaultGroup(injectorRNG, &group)
			}
		})
	}
	group.Wait()
}

// injectFaultGroup begins two or three faults at one gateway and one host, within faultGroupSpread of each other.
func (s *scenario) injectFaultGroup(rng *rand.Rand, group *sync.WaitGroup) {
	g, h := s.gateways[rng.IntN(len(s.gateways))], s.hosts[rng.IntN(len(s.hosts))]
	enabled := s.enabledFaults()
	for _, i := range rng.Perm(len(enabled))[:min(len(enabled), 2+rng.IntN(2))] {
		delay := time.Duration(rng.Int64N(int64(faultGroupSpread)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		group.Go(func() {
			time.Sleep(delay)
			s.countFault(enabled[i].kind)
			enabled[i].inject(s, g, h, faultRNG)
		})
	}
}

// enabledFaults returns the kinds of faults that the run draws from.
func (s *scenario) enabledFaults() []fault {
	if len(s.options.Only) == 0 {
		return faults
	}
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(s.options.Only, f.kind) })
}

// randomDuration draws a duration from [low, high).
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
