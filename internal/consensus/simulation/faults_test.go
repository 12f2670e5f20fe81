package simulation

import (
	"slices"
	"time"

	"cranegate/internal/consensus/quorum"
	"cranegate/internal/consensus/raftlog"
	"cranegate/internal/consensus/store"
)

// mayCrash says whether the council bears the end of a gateway: one without a disk is a vote that never comes back, so all others must
// be there. It is the same a fleet asks of its operator: no majority without disks at once.
func (f *fleet) mayCrash(g *gateway) bool {
	council := f.councilNow()
	if !slices.Contains(council, g.id) {
		return true
	}
	lost := 0
	for _, id := range council {
		if i := f.at(id); i < 0 || !f.all[i].up || f.all[i].voter.Status().Joint {
			lost++
		}
	}
	return lost == 0
}

func (f *fleet) crash(g *gateway) {
	g.up, g.backAt = false, f.now+time.Duration(500+f.rng.IntN(9000))*time.Millisecond
	if g.disk {
		if f.files != "" {
			g.kept.Close()
			g.kept = f.keep(g, raftlog.PersistedState{})
		}
		return
	}
	g.kept = store.NewMemory(raftlog.PersistedState{})
	if !f.reuse {
		f.dead[g.id] = true
		f.name(g)
	}
}

func (f *fleet) faults() {
	if f.now >= f.trouble {
		if f.now < f.trouble+step {
			clear(f.cuts)
			for _, g := range f.all {
				g.pausedTo, g.backAt = 0, min(g.backAt, f.now)
			}
		}
		return
	}
	if f.rng.IntN(20) != 0 {
		return
	}
	// Half of the faults hit voters.
	i := f.rng.IntN(len(f.all))
	if council := f.councilNow(); f.rng.IntN(2) == 0 {
		i = max(f.at(council[f.rng.IntN(len(council))]), 0)
	}
	g := f.all[i]
	long := time.Duration(200+f.rng.IntN(3000)) * time.Millisecond
	if f.rng.IntN(4) == 0 {
		long = time.Duration(5000+f.rng.IntN(20000)) * time.Millisecond
	}
	kind := f.rng.IntN(5)
	if j := slices.IndexFunc(f.all, func(g *gateway) bool { return g.act != nil }); j >= 0 && (kind == 1 || kind == 2) && f.rng.IntN(2) == 0 {
		i, g = j, f.all[j] // who acts: between check and send
	}
	switch kind {
	case 0: // one direction
		f.cuts[[2]int{i, f.rng.IntN(len(f.all))}] = f.now + long
	case 1: // from everybody
		for j := range f.all {
			if j != i {
				f.cuts[[2]int{i, j}], f.cuts[[2]int{j, i}] = f.now+long, f.now+long
			}
		}
	case 2:
		if g.up {
			g.pausedTo = f.now + long
		}
	case 3:
		if g.up && f.mayCrash(g) {
			f.crash(g)
		}
	case 4:
		g.rate = f.rate()
	}
}

// manage does what the shell will: it tells followers that know no living voter of the council, as the membership will, and
// hands the leader the next replacement of a voter that is gone for good.
func (f *fleet) manage() {
	for _, g := range f.all {
		if g.up && g.follower.Read(g.clock, "r").Age > 10*time.Second {
			g.follower.SetVoters(f.councilNow())
		}
	}
	for _, g := range f.all {
		if !g.up || f.now < g.pausedTo || !g.voter.IsLeader() {
			continue
		}
		var council, there []quorum.Gateway
		s := g.voter.Status()
		for _, id := range s.Voters {
			council = append(council, f.who[id])
		}
		for _, x := range f.all {
			if x.up {
				there = append(there, x.Gateway)
			}
		}
		if c, ok := quorum.NextReplacement(council, f.dead, there); ok {
			if i := slices.Index(s.Learners, c.Add.ID()); i >= 0 {
				f.replaced++
			}
			g.voter.ReplaceVoter(c.Add.ID(), c.Remove)
		}
	}
}

func (f *fleet) play() {
	for n := 0; f.now < f.trouble+f.calm && len(f.judge.failures) == 0; n++ {
		f.now += step
		f.faults()
		f.deliver()
		for _, g := range f.all {
			f.run(g)
		}
		for _, c := range f.clients {
			c.step()
		}
		if n%10 == 0 {
			f.manage()
		}
	}
	if len(f.judge.failures) == 0 {
		f.judge.end()
	}
}
