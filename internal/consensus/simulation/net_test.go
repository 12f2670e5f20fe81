package simulation

import (
	"slices"
	"time"

	"cranegate/internal/consensus/raftlog"
)

func (f *fleet) at(id uint64) int {
	return slices.IndexFunc(f.all, func(g *gateway) bool { return g.id == id || g.follower != nil && g.up && id == f.holder(g) })
}

func (f *fleet) holder(g *gateway) uint64 { return g.follower.ID() }

// send gives a message to the network, every 16th as bytes and back.
func (f *fleet) send(m raftlog.Message) {
	f.judge.sent(m)
	if f.sent++; f.sent%16 == 0 {
		b, err := m.Encode()
		if err == nil {
			m, err = raftlog.Decode(b)
		}
		if err != nil {
			f.judge.fail("a message as bytes: %v", err)
			return
		}
	}
	troubled := f.now < f.trouble
	if troubled && f.rng.IntN(100) < 8 {
		return
	}
	copies := 1
	if troubled && f.rng.IntN(100) < 4 {
		copies = 2
	}
	for range copies {
		d := time.Duration(1+f.rng.IntN(30)) * time.Millisecond
		if troubled && f.rng.IntN(100) < 5 {
			d *= 100
		}
		f.flying = append(f.flying, flight{f.now + d, m})
	}
}

func (f *fleet) deliver() {
	rest := f.flying[:0]
	var due []flight
	for _, x := range f.flying {
		if x.at <= f.now {
			due = append(due, x)
		} else {
			rest = append(rest, x)
		}
	}
	f.flying = rest
	for _, x := range due {
		if i := slices.IndexFunc(f.clients, func(c *client) bool { return c.id == x.m.To }); i >= 0 {
			f.clients[i].answered(x.m)
			continue
		}
		to, from := f.at(x.m.To), f.at(x.m.From)
		if to < 0 || f.cuts[[2]int{from, to}] > f.now || !f.all[to].up {
			continue
		}
		if g := f.all[to]; len(g.mail) < 256 {
			g.mail = append(g.mail, x.m)
		}
	}
}
