// Package simulation runs fleets of gateways with the consensus packages in virtual time, with faults that follow from a seed.
// A checker that knows the true time and every message verifies the invariants.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cranegate/internal/consensus/quorum"
	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/statemachine"
)

// stepInterval is the virtual time of one step of the fleet.
const stepInterval = 100 * time.Millisecond

// reconfigureSteps is the number of steps between two reconfigurations.
const reconfigureSteps = 10

// clientCount is the number of clients. The first one changes the value of ownerRegister.
const clientCount = 4

// ownerRegister is the register whose value is the name of the owner, the gateway that may send operations.
const ownerRegister = "r"

// scenario describes a run.
type scenario struct {
	voters, replicas int
	seed             uint64
	faultTime        time.Duration // how long faults are injected, from the start on
	recoveryTime     time.Duration // how long the fleet then runs without faults
	injectedFaults   statemachine.InjectedFaults
	folder           string // for the files of gateways with a disk; if empty, the stores are in memory
	reuseIdentity    bool   // a voter without a disk restarts under its old identity
}

// fleet consists of all gateways and clients, and the network between them.
type fleet struct {
	scenario
	rng          *rand.Rand
	now          time.Duration
	gateways     []*gateway
	clusterID    uint64
	bootstrap    raftlog.PersistedState
	inFlight     []delivery
	partitions   map[[2]int]time.Duration // end of each partition, by the indexes of sender and receiver
	retired      map[uint64]bool          // identities of voters that have failed permanently
	identities   map[uint64]quorum.Gateway
	clients      []*client
	checker      *checker
	lastStartID  uint64 // the latest that was given to a gateway or a lease holder
	replacements int    // steps of a replacement whose new voter was already a learner
	sentCount    int
}

func newFleet(scenario scenario) *fleet {
	f := &fleet{
		scenario:   scenario,
		rng:        rand.New(rand.NewPCG(scenario.seed, 77)),
		partitions: map[[2]int]time.Duration{},
		retired:    map[uint64]bool{},
		identities: map[uint64]quorum.Gateway{},
	}
	f.checker = newChecker(f)
	for i := range scenario.voters + scenario.replicas {
		g := &gateway{Gateway: quorum.Gateway{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i%3)}, hasDisk: i%2 == 0}
		f.gateways = append(f.gateways, g)
		f.assignIdentity(g)
	}
	f.startCluster()
	for i := range clientCount {
		f.clients = append(f.clients, newClient(f, uint64(firstClientID+i), i == 0))
	}
	return f
}

// startCluster bootstraps the cluster and starts all gateways.
func (f *fleet) startCluster() {
	var candidates []quorum.Gateway
	for _, g := range f.gateways {
		candidates = append(candidates, g.Gateway)
	}
	var ids []uint64
	for _, voter := range quorum.Choose(candidates, f.voters) {
		ids = append(ids, voter.ID())
	}
	var err error
	if f.clusterID, f.bootstrap, err = raftlog.Bootstrap(ids); err != nil {
		panic(err)
	}
	for _, g := range f.gateways {
		initial := raftlog.PersistedState{}
		if slices.Contains(ids, g.id) {
			initial = f.bootstrap
		}
		g.store = f.openStore(g, initial)
		f.startGateway(g)
	}
}

// assignIdentity gives a gateway a new StartID, and so a new identity.
func (f *fleet) assignIdentity(g *gateway) {
	f.lastStartID++
	g.StartID = f.lastStartID
	g.id = g.ID()
	f.identities[g.id] = g.Gateway
}

// currentVoters returns the voters as seen by the voter that has applied the most entries.
func (f *fleet) currentVoters() []uint64 {
	var latest raftlog.Status
	for _, g := range f.gateways {
		if g.voter == nil {
			continue
		}
		status := g.voter.Status()
		if status.Applied >= latest.Applied && len(status.Voters) > 0 {
			latest = status
		}
	}
	if latest.Voters == nil {
		return f.bootstrap.Snapshot.GetMetadata().GetConfState().GetVoters()
	}
	return latest.Voters
}

// run runs the scenario until its end or the first violation.
func (f *fleet) run() {
	end := f.faultTime + f.recoveryTime
	for stepCount := 0; f.now < end && len(f.checker.failures) == 0; stepCount++ {
		f.now += stepInterval
		f.injectFaults()
		f.deliver()
		for _, g := range f.gateways {
			f.stepGateway(g)
		}
		for _, c := range f.clients {
			c.step()
		}
		if stepCount%reconfigureSteps == 0 {
			f.reconfigure()
		}
	}
	if len(f.checker.failures) == 0 {
		f.checker.checkRecovery()
	}
}

// reconfigure does what the caller of the consensus packages will do: it gives the current voters to replicas that reach no
// voter, as the membership will, and gives the leader the next replacement of a permanently failed voter.
func (f *fleet) reconfigure() {
	for _, g := range f.gateways {
		if g.running && g.replica.Read(g.clock, ownerRegister).Age > 10*time.Second {
			g.replica.SetVoters(f.currentVoters())
		}
	}
	for _, g := range f.gateways {
		if g.running && f.now >= g.pausedUntil && g.voter.IsLeader() {
			f.replaceFailedVoter(g)
		}
	}
}

// replaceFailedVoter makes the leader take the next step of a replacement, if a voter has failed permanently.
func (f *fleet) replaceFailedVoter(leader *gateway) {
	status := leader.voter.Status()
	var voters, candidates []quorum.Gateway
	for _, id := range status.Voters {
		voters = append(voters, f.identities[id])
	}
	for _, g := range f.gateways {
		if g.running {
			candidates = append(candidates, g.Gateway)
		}
	}
	replacement, ok := quorum.NextReplacement(voters, f.retired, candidates)
	if !ok {
		return
	}
	if slices.Contains(status.Learners, replacement.Add.ID()) {
		f.replacements++
	}
	leader.voter.ReplaceVoter(replacement.Add.ID(), replacement.Remove)
}
