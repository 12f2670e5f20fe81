package experiment

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cranegate/routing"
)

// Break is a defect of the gateways made on purpose: it shows whether an experiment would find it.
type Break int

// The defects.
const (
	Nothing  Break = iota
	ColdRoom       // cold hosts are taken to bear seven times what they do
	NoDrains       // drains are not heard
	OldReads       // data may be ten seconds older than it may, and hosts do not check
	TwoRuns        // writes are repeated like reads
)

// Breaks names the defects.
var Breaks = map[string]Break{"": Nothing, "cold-room": ColdRoom, "no-drains": NoDrains, "old-reads": OldReads, "two-runs": TwoRuns}

// apply breaks what the module is told.
func (b Break) apply(c *routing.Config) {
	switch b {
	case ColdRoom:
		c.OverloadFactor *= 7
	case OldReads:
		for i := range c.Classes {
			c.Classes[i].StalenessBound += 10 * time.Second
		}
	case TwoRuns:
		for i := range c.Classes {
			c.Classes[i].Effect = routing.Idempotent
		}
	}
}

const (
	lastAnswers = 3 * time.Second        // from SIGTERM to the end of a process
	upAgain     = 500 * time.Millisecond // from its end to the next
	drainedFor  = 3 * time.Second        // a replaced host ends after this
)

// renew replaces processes: of gateways, or of hosts by new ones.
func (f *fleet) renew(x Fault) {
	switch x.Kind {
	case Kill:
		for i, g := range f.gateways {
			if int(float64(i+1)*x.Share) > int(float64(i)*x.Share) {
				g.die()
				f.after(x.For, g.revive)
			}
		}
	case Restart:
		for i, g := range f.gateways {
			f.after(x.For/10*time.Duration(i*10/len(f.gateways)), func() {
				g.down = true
				f.after(lastAnswers, g.die)
				f.after(lastAnswers+upAgain, g.revive)
			})
		}
	case Replace:
		hosts := f.hit(x)
		for i, h := range hosts {
			f.after(x.For*time.Duration(i)/time.Duration(len(hosts)), func() { f.replace(h) })
		}
	}
}

// die ends the gateway's process. What it had taken ends with it: clients see their connections break.
func (g *gateway) die() {
	f := g.f
	g.down, g.router = true, nil
	g.life++
	requests := g.requests
	g.requests = map[uint64]*request{}
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		q := requests[id]
		for _, a := range q.out {
			a.over = true
		}
		if !q.ended {
			q.ended = true
			f.judge.broken++
			g.again(q, false, 0)
		}
	}
	for _, h := range f.hosts {
		if p := g.pools[h]; p != nil {
			if h.up {
				h.conns -= len(p.idle) + len(p.out)
			}
			g.pools[h] = &pool{}
		}
	}
}

// revive starts the gateway anew.
func (g *gateway) revive() {
	g.down = false
	g.start()
}

// replace starts a new host in place of another, which drains and ends.
func (f *fleet) replace(old *host) {
	if !old.up || old.removed {
		return
	}
	g := old.group
	h := &host{f: f, id: fmt.Sprintf("%s-%d", old.id, len(f.hosts)), group: g, zone: old.zone, up: true, started: f.now, position: old.position}
	g.members = append(g.members, h)
	f.hosts = append(f.hosts, h)
	for _, x := range f.gateways {
		x.hosts[h.id], x.pools[h] = h, &pool{}
	}
	f.tell(h)
	f.list(h, draw(f.rng, 450*time.Millisecond, 2300*time.Millisecond))
	old.draining = true
	f.list(old, draw(f.rng, 0, 400*time.Millisecond))
	f.after(drainedFor, func() {
		old.removed = true
		g.members = slices.DeleteFunc(g.members, func(x *host) bool { return x == old })
		old.die()
	})
}
