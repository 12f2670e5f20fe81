package statemachine

import (
	"encoding/binary"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
)

// world is the order with its holders, at one step of one interleaving. Time is reduced to what it allows: a lease may end at any step, and the
// council may call a lease ended only after it has; acts that a lease allowed end before it is called ended.
type world struct {
	texts   [][]byte // the order
	state   *State
	holders []hold
	mail    []Ack // under way; may stay for any time
	crashes int   // that may yet come
	lates   int   // messages that may yet be kept back
	kept    []Ack
	ending  []Ack // leases that a leader found ended, on their way into the order
	decided bool  // the narrowing and the widening are in the order
}

type hold struct {
	copy    *State
	round   uint64
	granted uint64
	over    uint64 // the round whose lease has ended in truth: no earlier one begins any more
	live    bool   // its lease runs, for all it knows
	up      bool
	acked   uint64
}

const old, narrow, wide = "old", "narrow", "wide"

// acts is the value a holder acts on now, "" for none.
func (h *hold) acts() string {
	if !h.up || !h.live {
		return ""
	}
	r, _, _ := h.copy.Get("r")
	return string(r.Value)
}

func (s *State) copied() *State {
	n := *s
	n.regs, n.holders, n.clients = make(map[string]*Register, len(s.regs)), make(map[uint64]*Ack, len(s.holders)), make(map[uint64]*client, len(s.clients))
	for k, v := range s.regs {
		x := *v
		n.regs[k] = &x
	}
	for k, v := range s.holders {
		x := *v
		n.holders[k] = &x
	}
	for k, v := range s.clients {
		x := *v
		n.clients[k] = &x
	}
	n.narrows = append([]Narrowing(nil), s.narrows...)
	return &n
}

func (w *world) clone() *world {
	c := *w
	c.texts, c.mail, c.kept, c.holders = append([][]byte(nil), w.texts...), append([]Ack(nil), w.mail...), append([]Ack(nil), w.kept...), append([]hold(nil), w.holders...)
	c.ending = append([]Ack(nil), w.ending...)
	c.state = w.state.copied()
	for i := range c.holders {
		c.holders[i].copy = c.holders[i].copy.copied()
	}
	return &c
}

func (w *world) propose(c Command) {
	text, err := c.Encode()
	if err != nil {
		panic(err)
	}
	w.texts = append(w.texts, text)
	w.state.Apply(uint64(len(w.texts)), text)
}

func (w *world) decide() {
	w.decided = true
	w.propose(Command{Key: Key{1, 2}, Op: Narrow, Name: "r", Value: []byte(narrow), Any: true})
	w.propose(Command{Key: Key{1, 3}, Op: Widen, Name: "r", Value: []byte(wide), Any: true})
}

// steps are all that may come next, each a name and a new world.
func (w *world) steps() (all []func() (string, *world)) {
	add := func(name string, f func(c *world)) {
		all = append(all, func() (string, *world) { c := w.clone(); f(c); return name, c })
	}
	for i, h := range w.holders {
		if !h.up {
			if h.live {
				add(fmt.Sprint("ends ", i), func(c *world) { c.holders[i].live = false })
			}
		} else {
			if int(h.copy.Index) < len(w.texts) {
				add(fmt.Sprint("pulls ", i), func(c *world) {
					p := &c.holders[i]
					p.copy.Apply(p.copy.Index+1, c.texts[p.copy.Index])
					if a, ok := p.copy.Holder(uint64(i + 1)); !ok {
						p.live = false
					} else if a.Round > max(p.granted, p.over) {
						p.live, p.granted = true, a.Round
					}
				})
			}
			if h.acked < h.copy.Index {
				add(fmt.Sprint("acks ", i), func(c *world) {
					p := &c.holders[i]
					p.round, p.acked = p.round+1, p.copy.Index
					c.mail = append(c.mail, Ack{uint64(i + 1), p.round, p.copy.Index})
				})
			}
			if w.crashes > 0 {
				add(fmt.Sprint("crashes ", i), func(c *world) { c.holders[i].up = false; c.crashes-- })
			}
			if h.live {
				add(fmt.Sprint("ends ", i), func(c *world) { c.holders[i].live = false })
			}
		}
		if a, ok := w.state.Holder(uint64(i + 1)); ok && !h.live && a.Round <= h.round && !slices.Contains(w.ending, a) {
			add(fmt.Sprint("is found ended ", i), func(c *world) { c.ending, c.holders[i].over = append(c.ending, a), a.Round })
		}
	}
	if len(w.ending) > 0 {
		add("is called ended", func(c *world) { c.propose(Command{Op: Renew, Ended: c.ending}); c.ending = nil })
	}
	if !w.decided {
		add("decides", (*world).decide)
	}
	if len(w.mail) > 0 {
		add("renews", func(c *world) { c.propose(Command{Op: Renew, Acks: c.mail}); c.mail = nil })
		if w.lates > 0 {
			add("keeps back", func(c *world) { c.kept, c.mail = append(c.kept, c.mail[0]), c.mail[1:]; c.lates-- })
		}
	}
	if len(w.kept) > 0 {
		add("renews late", func(c *world) { c.propose(Command{Op: Renew, Acks: c.kept}); c.kept = nil })
	}
	return all
}

// broken says what must never be: once the narrowing is done nobody acts on the old value, and nobody acts on the widened one
// while another acts on the old.
func (w *world) broken() string {
	r, settled, _ := w.state.Get("r")
	for i := range w.holders {
		v := w.holders[i].acts()
		if v == old && (string(r.Value) == wide || string(r.Value) == narrow && settled) {
			return fmt.Sprintf("holder %d acts on %q, in force is %q", i, v, r.Value)
		}
		for j := range w.holders {
			if v == old && w.holders[j].acts() == wide {
				return fmt.Sprintf("holder %d acts on the old value while %d acts on the widened one", i, j)
			}
		}
	}
	return ""
}

// mark tells one world from another.
func (w *world) mark() string {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 256), w.state.Chain)
	add := func(x ...uint64) {
		for _, n := range x {
			b = binary.AppendUvarint(b, n)
		}
	}
	add(uint64(w.crashes), uint64(w.lates), uint64(len(w.mail)), uint64(len(w.kept)))
	for _, a := range slices.Concat(w.mail, w.kept, w.ending) {
		add(a.Holder, a.Round, a.Acked)
	}
	for _, h := range w.holders {
		add(h.copy.Chain, h.round, h.acked, h.granted, h.over)
		b = fmt.Append(b, h.live, h.up)
	}
	return string(b)
}

// explore runs all interleavings to a depth, each state once, and returns how many states there were, in how many the widening was
// in force, and the first broken one.
func explore(holders, depth int, flaws Flaws) (states, widened int, trace []string) {
	w := &world{state: New(), crashes: 1, lates: 1}
	w.state.Flaws = flaws
	w.propose(Command{Key: Key{1, 1}, Op: Set, Name: "r", Value: []byte(old)})
	first := Command{Op: Renew}
	for i := range holders {
		first.Acks = append(first.Acks, Ack{uint64(i + 1), 1, 1})
	}
	w.propose(first)
	for range holders {
		s := New()
		s.Flaws = flaws
		for i, text := range w.texts {
			s.Apply(uint64(i+1), text)
		}
		w.holders = append(w.holders, hold{copy: s, round: 1, granted: 1, live: true, up: true, acked: 1})
	}
	done := map[string]int{}
	var walk func(w *world, left int, path []string) bool
	walk = func(w *world, left int, path []string) bool {
		if why := w.broken(); why != "" {
			trace = append(append([]string(nil), path...), why)
			return false
		}
		mark := w.mark()
		if r, _, _ := w.state.Get("r"); done[mark] == 0 && string(r.Value) == wide {
			widened++
		}
		if done[mark] > left || left == 0 {
			return true
		}
		done[mark] = left + 1
		for _, step := range w.steps() {
			name, next := step()
			if !walk(next, left-1, append(path, name)) {
				return false
			}
		}
		return true
	}
	walk(w, depth, nil)
	return len(done), widened, trace
}

// TestAllInterleavings: two and three holders, a narrowing and a widening after it, one crash and one late message, in every
// order up to a depth (COUNCIL_DEPTH adds to it).
func TestAllInterleavings(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("COUNCIL_DEPTH"))
	for _, c := range []struct{ holders, depth int }{{1, 10}, {2, 8}, {3, 6}} {
		states, widened, trace := explore(c.holders, c.depth+more, Flaws{})
		if trace != nil || widened == 0 && c.holders < 3 {
			t.Errorf("%d holders: %d widened, %q", c.holders, widened, trace)
		}
		t.Logf("%d holders, depth %d: %d states, the widening in force %d times", c.holders, c.depth+more, states, widened)
	}
	for name, flaws := range map[string]Flaws{"waits for nobody": {NoWait: true}, "ends what was renewed": {AnyRound: true}} {
		_, _, trace := explore(1, 8, flaws)
		if t.Logf("%s: %q", name, trace); trace == nil {
			t.Errorf("%s: not found", name)
		}
	}
}
