// Package simulation plays whole fleets of council in virtual time, with faults that follow from a seed, before a judge that
// knows the true time and all that was said.
package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"cranegate/internal/consensus/lease"
	"cranegate/internal/consensus/quorum"
	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/statemachine"
	"cranegate/internal/consensus/store"
)

const step = 100 * time.Millisecond

// plan is what a run is made of.
type plan struct {
	voters, followers int
	seed              uint64
	calm, trouble     time.Duration // trouble comes first, and all is healed for calm
	flaws             statemachine.InjectedFaults
	files             string // a folder for the files of those with a disk; else memory stands for the disk
	reuse             bool   // a voter without disk comes back under its old identity
}

// gateway is one process, with the clock that it has and the truth about it.
type gateway struct {
	quorum.Gateway
	id       uint64
	disk     bool
	kept     store.Store
	voter    *raftlog.Voter
	follower *raftlog.Replica
	clock    time.Duration
	rate     float64
	ticked   time.Duration
	up       bool
	backAt   time.Duration // of one that is down
	pausedTo time.Duration
	mail     []raftlog.Message
	act      *act
}

// act is a write of a gateway: allowed by a check, sent later.
type act struct {
	lease.Operation
	index uint64 // where the fact was decided
	value string
	at    time.Duration // on its own clock
}

type flight struct {
	at time.Duration
	m  raftlog.Message
}

type fleet struct {
	plan
	rng      *rand.Rand
	now      time.Duration
	all      []*gateway
	council  uint64
	founded  raftlog.PersistedState
	flying   []flight
	cuts     map[[2]int]time.Duration // directed, until when
	dead     map[uint64]bool          // identities that never come back
	who      map[uint64]quorum.Gateway
	clients  []*client
	judge    *judge
	starts   uint64
	replaced int
	sent     int
}

func newFleet(p plan) *fleet {
	f := &fleet{plan: p, rng: rand.New(rand.NewPCG(p.seed, 77)), cuts: map[[2]int]time.Duration{}, dead: map[uint64]bool{}, who: map[uint64]quorum.Gateway{}}
	f.judge = newJudge(f)
	var there []quorum.Gateway
	for i := range p.voters + p.followers {
		g := &gateway{Gateway: quorum.Gateway{Name: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i%3)}, disk: i%2 == 0}
		f.all = append(f.all, g)
		f.name(g)
		there = append(there, g.Gateway)
	}
	var ids []uint64
	for _, g := range quorum.Choose(there, p.voters) {
		ids = append(ids, g.ID())
	}
	var err error
	if f.council, f.founded, err = raftlog.Bootstrap(ids); err != nil {
		panic(err)
	}
	for _, g := range f.all {
		img := raftlog.PersistedState{}
		if slices.Contains(ids, g.id) {
			img = f.founded
		}
		g.kept = f.keep(g, img)
		f.start(g)
	}
	for i := range 4 {
		f.clients = append(f.clients, newClient(f, uint64(1000+i), i == 0))
	}
	return f
}

// keep opens what a gateway keeps its votes in.
func (f *fleet) keep(g *gateway, img raftlog.PersistedState) store.Store {
	if f.files == "" || !g.disk {
		return store.NewMemory(img)
	}
	dir := filepath.Join(f.files, g.Name)
	os.MkdirAll(dir, 0o700)
	file, err := store.Open(dir, store.Owner{Name: g.Name, ClusterID: f.council, Start: g.Start})
	if err == nil && img.Snapshot != nil {
		err = file.Save(raftlog.Update{HardState: img.HardState, Snapshot: img.Snapshot, MustSync: true})
	}
	if err != nil {
		panic(err)
	}
	return file
}

// name gives a gateway a new identity.
func (f *fleet) name(g *gateway) {
	f.starts++
	g.Start = f.starts
	g.id = g.ID()
	f.who[g.id] = g.Gateway
}

// start starts a process. Every gateway runs a voter, which does nothing until it is taken in.
func (f *fleet) start(g *gateway) {
	img, err := g.kept.Load()
	if err != nil {
		f.judge.fail("%s loads: %v", g.Name, err)
	}
	id := g.id
	v, err := raftlog.NewVoter(raftlog.Options{ClusterID: f.council, ID: id, Seed: f.rng.Uint64(), CompactionEntries: 40, InjectedFaults: f.flaws, OnApply: func(i uint64, text []byte) { f.judge.applied(id, i, text) }}, img)
	if err != nil {
		f.judge.fail("%s starts: %v", g.Name, err)
		return
	}
	g.voter, g.up, g.mail, g.act = v, true, nil, nil
	g.rate = f.rate()
	g.clock, g.ticked = time.Duration(f.rng.Int64N(int64(time.Hour))), 0
	g.ticked = g.clock
	f.starts++ // the holder's identity is always new
	h := quorum.Gateway{Name: g.Name + " holds", Start: f.starts}
	g.follower = raftlog.NewReplica(f.council, h.ID(), f.rng.Uint64(), f.councilNow())
	g.follower.State().InjectedFaults = f.flaws
}

// rate is of a clock: as far off as it may be, or anything between.
func (f *fleet) rate() float64 {
	return []float64{2.0 / 3, 4.0 / 3, 2.0/3 + f.rng.Float64()*2/3}[f.rng.IntN(3)]
}

// councilNow is who votes, after the furthest voter.
func (f *fleet) councilNow() []uint64 {
	var best raftlog.Status
	for _, g := range f.all {
		if g.voter != nil {
			if s := g.voter.Status(); s.Applied >= best.Applied && len(s.Voters) > 0 {
				best = s
			}
		}
	}
	if best.Voters == nil {
		return f.founded.Snapshot.GetMetadata().GetConfState().GetVoters()
	}
	return best.Voters
}

// run lets a gateway live through one step.
func (f *fleet) run(g *gateway) {
	if !g.up {
		if f.now >= g.backAt {
			f.start(g)
		}
		return
	}
	g.clock += time.Duration(float64(step) * g.rate)
	if f.now < g.pausedTo {
		return
	}
	mail := g.mail
	g.mail = nil
	for _, m := range mail {
		if m.To == g.id {
			if err := g.voter.Step(m); errors.Is(err, raftlog.ErrInconsistentLog) {
				f.judge.fail("%s: %v", g.Name, err)
			}
		} else {
			g.follower.Step(g.clock, m)
		}
	}
	if g.clock-g.ticked > time.Second {
		g.ticked = g.clock - raftlog.TickInterval // it stood still: lost ticks stay lost
	}
	for g.clock-g.ticked >= raftlog.TickInterval {
		g.ticked += raftlog.TickInterval
		g.voter.Tick()
	}
	for range 50 {
		s, ok := g.voter.Ready()
		if !ok {
			break
		}
		if err := g.kept.Save(s); err != nil {
			f.judge.fail("%s saves: %v", g.Name, err)
		}
		if f.now < f.trouble && f.rng.IntN(4000) == 0 && f.mayCrash(g) {
			f.crash(g) // between keeping and sending
			return
		}
		out, err := g.voter.Advance()
		if err != nil {
			f.judge.fail("%s: %v", g.Name, err)
		}
		for _, m := range out {
			f.send(m)
		}
	}
	for _, m := range g.follower.Tick(g.clock) {
		f.send(m)
	}
	f.judge.reads(g)
	f.acts(g)
}

// acts lets a gateway act on register "r" while it holds that it is its owner: check, stand a while, send.
func (f *fleet) acts(g *gateway) {
	if g.act != nil {
		if g.clock < g.act.at {
			return
		}
		f.judge.act(g, g.act, g.follower.Lease().End(g.clock, g.act.Operation))
		g.act = nil
	}
	r, _, ok := g.follower.State().Get("r")
	if !ok || string(r.Value) != g.Name {
		return
	}
	a, err := g.follower.Begin(g.clock)
	if err != nil {
		f.judge.refused++
		return
	}
	stop := time.Duration(0)
	if f.rng.IntN(3) == 0 {
		stop = time.Duration(f.rng.Int64N(int64(lease.MaxStall - step*2)))
	}
	g.act = &act{a, r.Index, g.Name, g.clock + stop}
}
