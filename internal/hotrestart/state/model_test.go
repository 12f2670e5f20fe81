package state

import "slices"

// The model plays all interleavings of processes that start, are called and are killed, with messages that arrive in
// any order, late or never. It runs the registers and the orders of steps that the shell runs.

const host = "db1"

type proc struct {
	alive         bool
	joined        int // steps of Joining done
	sends         bool
	regs, holding Registers
	known         []bool      // has met
	gone          []bool      // is to learn that they died
	holds         []Registers // what others said they hold
}

type message struct {
	from, to int
	holding  bool
}

type call struct {
	at        int
	out       bool
	waits     bool // begins after the call before it has ended
	began     bool
	step, try int
	delta     Registers
	ended, ok bool
}

type world struct {
	procs []proc
	calls []call
	mail  map[message]Registers
	file  Registers
	kills int
}

func (w *world) clone() *world {
	c := &world{procs: slices.Clone(w.procs), calls: slices.Clone(w.calls), mail: map[message]Registers{}, file: w.file, kills: w.kills}
	for i := range c.procs {
		p := &c.procs[i]
		p.known, p.gone, p.holds = slices.Clone(p.known), slices.Clone(p.gone), slices.Clone(p.holds)
	}
	for m, r := range w.mail {
		c.mail[m] = r
	}
	return c
}

func (w *world) key() string {
	b := make([]byte, 0, 256)
	regs := func(r Registers) {
		e := r.hosts[host]
		b = append(b, byte(r.clock), byte(e.Seq), byte(e.Node), bit(e.On))
	}
	for i, p := range w.procs {
		b = append(b, bit(p.alive), byte(p.joined), bit(p.sends))
		regs(p.regs)
		regs(p.holding)
		for j := range w.procs {
			b = append(b, bit(p.known[j]), bit(p.gone[j]))
			regs(p.holds[j])
			for _, holding := range []bool{false, true} {
				r, ok := w.mail[message{i, j, holding}]
				b = append(b, bit(ok))
				regs(r)
			}
		}
	}
	for _, c := range w.calls {
		b = append(b, bit(c.began), byte(c.step), byte(c.try), bit(c.ended), bit(c.ok))
		regs(c.delta)
	}
	regs(w.file)
	return string(append(b, byte(w.kills)))
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (w *world) send(from, to int, holding bool) {
	r := w.procs[from].regs
	if holding {
		r = w.procs[from].holding
	}
	w.mail[message{from, to, holding}] = r // a later one takes the place of one not yet sent, as with links
}

func (w *world) meet(i, j int) {
	if p := &w.procs[i]; i != j && !p.known[j] && w.procs[j].alive {
		p.known[j] = true
		w.send(i, j, false)
	}
}

func (w *world) adopt(i int, r Registers) {
	p := &w.procs[i]
	m, err := p.regs.Merge(r)
	if err != nil {
		panic(err)
	}
	if m.Equal(p.regs) {
		return
	}
	p.regs = m
	if !p.sends {
		p.holding = m
	}
	for j := range w.procs {
		if p.known[j] {
			w.send(i, j, false)
		}
	}
}

func (w *world) hold(i int) {
	p := &w.procs[i]
	p.holding = p.regs
	for j := range w.procs {
		if p.known[j] {
			w.send(i, j, true)
		}
	}
}

func (w *world) deliver(m message, r Registers) {
	delete(w.mail, m)
	w.meet(m.to, m.from)
	w.adopt(m.to, r)
	p := &w.procs[m.to]
	if m.holding {
		p.holds[m.from], _ = p.holds[m.from].Merge(r)
	} else if p.holding.Covers(p.regs) {
		w.send(m.to, m.from, true)
	}
}

func (w *world) join(i int, steps []Join) {
	p := &w.procs[i]
	step := steps[p.joined]
	p.joined++
	p.alive = true
	switch step {
	case Read:
		w.adopt(i, w.file)
	case Ask:
		for j, q := range w.procs {
			if q.joined > slices.Index(steps, Show) {
				w.meet(i, j)
			}
		}
	case Hold:
		p.sends = true
		w.hold(i)
	}
}

// advance makes one step of a call; false if it has to wait.
func (w *world) advance(k int, steps []Step, joining []Join) bool {
	c := &w.calls[k]
	p := &w.procs[c.at]
	change := Change{Host: host, Out: c.out}
	if !c.began {
		var err error
		if c.delta, p.regs, err = p.regs.Reserve(change, uint64(c.at+1), 0); err != nil {
			panic(err)
		}
		c.began, c.step = true, 0
		return true
	}
	switch steps[c.step] {
	case Persist:
		w.file, _ = w.file.Merge(p.regs)
		w.file, _ = w.file.Merge(c.delta)
		w.adopt(c.at, w.file)
	case Adopt:
		w.adopt(c.at, c.delta)
	case Look:
		for j, q := range w.procs {
			if q.joined > slices.Index(joining, Show) {
				w.meet(c.at, j)
			}
		}
	case Tell:
		for j := range w.procs {
			if w.procs[j].alive && p.known[j] && !p.holds[j].Covers(c.delta) {
				return false
			}
		}
		if !p.holding.Covers(c.delta) {
			return false
		}
	}
	if c.step++; c.step < len(steps) {
		return true
	}
	if p.regs.Get(change).On != c.out && c.try < 3 {
		c.try, c.began = c.try+1, false
		return true
	}
	c.ended, c.ok = true, p.regs.Get(change).On == c.out
	return true
}

type orders struct {
	ban, back []Step
	joining   []Join
}

var real = orders{Steps(true), Steps(false), Joining()}

// next gives every world that one event makes of w.
func (w *world) next(o orders) (all []*world) {
	do := func(f func(*world)) {
		c := w.clone()
		f(c)
		all = append(all, c)
	}
	for i, p := range w.procs {
		if p.joined < len(o.joining) && (p.alive || p.joined == 0) {
			do(func(c *world) { c.join(i, o.joining) })
		}
		if !p.alive {
			continue
		}
		if p.sends && !p.holding.Covers(p.regs) {
			do(func(c *world) { c.hold(i) })
		}
		for j := range p.gone {
			if p.gone[j] {
				do(func(c *world) { c.procs[i].gone[j] = false; c.adopt(i, c.file) })
			}
		}
		if w.kills > 0 {
			do(func(c *world) {
				c.kills--
				c.procs[i].alive = false
				for j := range c.procs {
					c.procs[j].gone[i] = c.procs[j].known[i] && c.procs[j].alive
				}
				for m := range c.mail {
					if m.to == i {
						delete(c.mail, m)
					}
				}
			})
		}
	}
	for m, r := range w.mail {
		if w.procs[m.to].alive {
			do(func(c *world) { c.deliver(m, r) })
		}
		if !w.procs[m.from].alive { // or it never left
			do(func(c *world) { delete(c.mail, m) })
		}
	}
	for k, c := range w.calls {
		p := w.procs[c.at]
		if c.ended || p.joined <= slices.Index(o.joining, Ask) || c.waits && !w.calls[k-1].ended {
			continue
		}
		if !p.alive {
			do(func(w *world) { w.calls[k].ended = true })
			continue
		}
		steps := o.back
		if c.out {
			steps = o.ban
		}
		n := w.clone()
		if n.advance(k, steps, o.joining) {
			all = append(all, n)
		}
		if c.began && steps[c.step] == Tell { // nobody answers in time
			do(func(w *world) { w.calls[k].ended = true })
		}
	}
	return all
}
