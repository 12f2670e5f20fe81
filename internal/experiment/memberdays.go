package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/membership"
)

// warmUp is the time in which the members find each other, before anything is judged.
const warmUp = 20 * time.Second

func init() {
	for _, d := range memberDays {
		Experiments = append(Experiments, Experiment{Name: d.name, About: d.About, members: d})
	}
}

// world is the running day.
type world struct {
	*memberDay
	timeline
	links
	plain   bool
	rng     *rand.Rand
	procs   []*proc
	byAddr  map[string]*proc
	excuses []excuse
	held    map[*memberFault][]func() // messages that a stall holds
	spoilt  int                       // messages that could not be written or read
	lies    int                       // live members that were held as failed without an excuse
	notes   []string
	died    map[membership.Incarnation]time.Duration
	knew    map[membership.Incarnation][]time.Duration // after how long, by each
	bytes   int                                        // sent by all, from restFrom on
	sent    int
	longest int // the longest datagram
}

// proc is one member's process.
type proc struct {
	w       *world
	i       int
	addr    string
	node    *membership.Node
	life    int
	up      bool
	stopped bool
	mail    []membership.Message
}

const (
	tickEvery = 100 * time.Millisecond
	mailMost  = 256 // messages that wait for a process that stands still, as in a socket's buffer
)

func newWorld(d *memberDay, n int, loss float64, plain bool, seed uint64) *world {
	w := &world{memberDay: d, plain: plain, timeline: timeline{now: epoch}, rng: rand.New(rand.NewPCG(seed, 5)),
		links:  links{n: n, loss: loss, rng: rand.New(rand.NewPCG(seed, 6)), free: map[[2]int]time.Duration{}},
		byAddr: map[string]*proc{}, held: map[*memberFault][]func(){}, died: map[membership.Incarnation]time.Duration{}, knew: map[membership.Incarnation][]time.Duration{}}
	for i := range n {
		p := &proc{w: w, i: i, addr: fmt.Sprintf("127.0.%d.%d:7946", i/250, i%250+1)}
		w.procs, w.byAddr[p.addr] = append(w.procs, p), p
		w.after(time.Duration(w.rng.Int64N(int64(sec))), p.start)
	}
	for _, x := range d.Faults {
		w.after(warmUp+x.at(), func() { w.begin(x) })
		w.after(warmUp+x.end(d), func() { w.end(x) })
	}
	return w
}

func (w *world) note(format string, args ...any) {
	if len(w.notes) < 10 {
		w.notes = append(w.notes, fmt.Sprintf("%7.3fs ", (w.now-epoch-warmUp).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) begin(x *memberFault) {
	if x.To.has != nil {
		w.links.begin(x)
	}
	for _, p := range w.procs {
		switch hit := x.Who.has(p.i, len(w.procs)); {
		case hit && x.Kind == pause:
			p.stopped = true
		case hit && x.Kind == kill:
			p.up = false
			w.died[p.node.Self().Incarnation] = w.now
		case hit && x.Kind == leave:
			p.node.Leave()
			p.flush()
			p.up = false
			w.died[p.node.Self().Incarnation] = w.now
		}
	}
	w.excuses = append(w.excuses, x.excusesOf(w.now, w.now+x.end(w.memberDay)-x.at())...)
}

func (w *world) end(x *memberFault) {
	if x.To.has != nil {
		w.links.end(x)
		for _, send := range w.held[x] {
			send()
		}
		delete(w.held, x)
	}
	for _, p := range w.procs {
		switch hit := x.Who.has(p.i, len(w.procs)); {
		case hit && x.Kind == pause:
			p.stopped = false
			mail := p.mail
			p.mail = nil
			for _, m := range mail {
				p.take(m)
			}
		case hit && (x.Kind == kill || x.Kind == leave):
			p.start()
		}
	}
}

// start begins a process that knows nothing but three addresses.
func (p *proc) start() {
	w := p.w
	p.life++
	p.up, p.mail = true, nil
	var join []string
	for k := range min(3, len(w.procs)) {
		join = append(join, w.procs[k*len(w.procs)/3].addr)
	}
	var err error
	p.node, err = membership.New(w.now, membership.Options{Fleet: "f", Name: fmt.Sprint("g", p.i), Zone: threeZones[p.i%3], Addr: p.addr,
		Join: join, Seed: w.rng.Uint64(), Gateways: len(w.procs), PlainSWIM: w.plain})
	if err != nil {
		panic(err) // the options above are this package's own
	}
	p.tick(p.life)
}

func (p *proc) tick(life int) {
	if !p.up || p.life != life {
		return
	}
	if !p.stopped {
		p.node.Tick(p.w.now)
		p.flush()
	}
	p.w.after(tickEvery, func() { p.tick(life) })
}

func (p *proc) take(m membership.Message) {
	switch {
	case !p.up:
	case p.stopped && len(p.mail) < mailMost:
		p.mail = append(p.mail, m)
	case !p.stopped:
		p.node.Step(p.w.now, m)
		p.flush()
	}
}

// flush sends what the node wants sent, and judges what it has come to hold.
func (p *proc) flush() {
	w := p.w
	out, changes := p.node.Ready()
	for _, c := range changes {
		w.judge(p, c)
	}
	for _, m := range out {
		w.send(p, m)
	}
}

func (w *world) send(p *proc, m membership.Message) {
	b, err := membership.Encode(m)
	if err != nil {
		w.spoilt++
		w.note("%d: %v", p.i, err)
		return
	}
	stream := m.Kind == membership.StateRequest || m.Kind == membership.StateResponse
	if w.sent++; !stream {
		w.longest = max(w.longest, len(b))
	}
	w.bytes += len(b)
	to := w.byAddr[m.To]
	if to == nil {
		return
	}
	x := w.fate(w.now, p.i, to.i, len(b), stream)
	if x.lost || x.spoilt { // whatever is spoilt does not open
		return
	}
	got, err := membership.Decode(b)
	if err != nil {
		w.spoilt++
		w.note("%d: %v", p.i, err)
		return
	}
	for range x.copies {
		delay := draw(w.rng, 200*time.Microsecond, 5*time.Millisecond) + x.late
		arrive := func() { w.after(delay, func() { to.take(got) }) }
		if held := w.held[x.waits]; x.waits != nil && len(held) < mailMost {
			w.held[x.waits] = append(held, arrive)
		} else if x.waits == nil {
			arrive()
		}
	}
}

// judge holds a member's verdict against what has become of the accused.
func (w *world) judge(p *proc, c membership.Change) {
	if c.Member.State != membership.Failed || c.New {
		return
	}
	if at, dead := w.died[c.Member.Incarnation]; dead {
		w.knew[c.Member.Incarnation] = append(w.knew[c.Member.Incarnation], w.now-at)
		return
	}
	for _, x := range w.procs {
		if x.up && x.node.Self().Incarnation == c.Member.Incarnation && !excused(w.excuses, w.now, p.i, x.i, len(w.procs)) && w.now >= epoch+warmUp {
			w.lies++
			w.note("%d holds %d as failed, by %q (%s)", p.i, x.i, c.Reporter, c.Reason)
		}
	}
}

// equal counts the members whose view is not just the living.
func (w *world) unequal() (bad int) {
	living := map[membership.Incarnation]bool{}
	for _, p := range w.procs {
		if p.up {
			living[p.node.Self().Incarnation] = true
		}
	}
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		seen := 1
		wrong := false
		for _, r := range p.node.Members() {
			if r.State < membership.Failed {
				if seen++; !living[r.Incarnation] {
					wrong = true
				}
			}
		}
		if wrong || seen != len(living) {
			bad++
		}
	}
	return bad
}

// memberFigures are those of one day.
type memberFigures struct {
	lies, unequal     int
	spoilt            int
	parts, partsLeast float64 // of a budget that all may use together, at most and at least
	detect            float64 // s until 99 of 100 know of a crash
	bytes, messages   float64 // a second and member, in the last ten seconds
	longest           int
	notes             []string
}

// playMembers plays one day.
func playMembers(d *memberDay, n int, loss float64, plain bool, seed uint64) memberFigures {
	w := newWorld(d, n, loss, plain, seed)
	end := epoch + warmUp + time.Duration(d.Length)
	x := memberFigures{partsLeast: 1}
	// What all may use of a budget together is never more than the budget, cut or not.
	for at := epoch + warmUp; at <= end; at += sec / 2 {
		if w.run(at); at == end-10*sec {
			w.bytes, w.sent = 0, 0
		}
		parts := 0.0
		for _, p := range w.procs {
			if p.up && !p.stopped {
				parts += p.node.BudgetShare()
			}
		}
		x.parts = max(x.parts, parts)
		x.partsLeast = min(x.partsLeast, parts)
	}
	x.spoilt, x.lies, x.notes, x.longest = w.spoilt, w.lies, w.notes, w.longest
	x.bytes, x.messages = float64(w.bytes)/10/float64(n), float64(w.sent)/10/float64(n)
	x.unequal = w.unequal()
	for s := range w.died {
		took := w.knew[s]
		slices.Sort(took)
		if need := (n - 1) * 99 / 100; d.Crash && len(took) >= need {
			x.detect = max(x.detect, took[need-1].Seconds())
		} else if d.Crash {
			x.detect = time.Duration(d.Length).Seconds()
		}
	}
	return x
}

// runMembers plays a day at each size, with each loss and seed, by trials alone, and by one trial and hearsay as in SWIM.
func (e *Experiment) runMembers(ctx context.Context, o Options) (*Result, error) {
	d := e.members
	sizes := []int{10, 80, 300, 1000}
	if len(o.Members) > 0 {
		sizes = o.Members
	} else if o.Short {
		sizes = []int{12}
	}
	losses := d.Losses
	if o.Short { // the worst alone
		losses = losses[len(losses)-1:]
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "virtual", Version: o.Version,
		Size: fmt.Sprintf("%v members", sizes), Machine: fmt.Sprintf("%d cores", runtime.NumCPU()),
		Figures: map[string]float64{}, Series: map[string][]float64{}}
	least := 0.0
	for _, n := range sizes {
		for _, loss := range losses {
			days := make([][2]memberFigures, o.Seeds)
			work, ctx := errgroup.WithContext(ctx)
			work.SetLimit(runtime.GOMAXPROCS(0))
			var done atomic.Int32
			for i := range days {
				work.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					days[i][0] = playMembers(d, n, loss, false, o.Seed+uint64(i))
					if n <= 80 && !o.Short { // for comparison, where it is cheap
						days[i][1] = playMembers(d, n, loss, true, o.Seed+uint64(i))
					}
					if k := int(done.Add(1)); o.Progress != nil {
						o.Progress(k, len(days))
					}
					return nil
				})
			}
			if err := work.Wait(); err != nil {
				return nil, err
			}
			var lies, plainLies, unequal, longest, spoilt int
			parts, partsLeast := 0.0, 1.0
			var detect, plainDetect, bytes, messages float64
			for _, x := range days {
				lies, plainLies, unequal = lies+x[0].lies, plainLies+x[1].lies, unequal+x[0].unequal
				spoilt += x[0].spoilt
				parts, partsLeast = max(parts, x[0].parts), min(partsLeast, x[0].partsLeast)
				detect, plainDetect, longest = max(detect, x[0].detect), max(plainDetect, x[1].detect), max(longest, x[0].longest)
				bytes, messages = bytes+x[0].bytes/float64(len(days)), messages+x[0].messages/float64(len(days))
				r.Notes = append(r.Notes, x[0].notes...)
			}
			p := fmt.Sprintf("%d members, loss %.0f%%: ", n, loss*100)
			key := func(name string) string { return fmt.Sprintf("%s_%d_loss_%.0f", name, n, loss*100) }
			r.claim(p+"live members held as failed", float64(lies), "==", 0)
			r.claim(p+"of a budget that all may use together, at most", parts, "<=", 1+1e-9)
			r.Figures[key("parts_at_most")], r.Figures[key("parts_at_least")] = parts, partsLeast
			r.claim(p+"messages that could not be written or read", float64(spoilt), "==", 0)
			r.Figures[key("longest_datagram")] = float64(longest)
			r.Figures[key("false_verdicts")], r.Figures[key("bytes_a_second")], r.Figures[key("messages_a_second")] = float64(lies), bytes, messages
			if n <= 80 {
				r.Figures[key("false_verdicts_one_trial")] = float64(plainLies)
			}
			if d.Heal > 0 {
				r.claim(p+"views that are not the living at the end", float64(unequal), "==", 0)
			}
			if d.Crash {
				r.Figures[key("known_by_99_of_100_s")] = detect
				if n <= 80 {
					r.Figures[key("known_by_99_of_100_s_one_trial")] = plainDetect
				}
				r.claim(p+"s until 99 of 100 know of a crash, worst day", detect, "<=", map[bool]float64{true: 5, false: 8}[loss == 0])
			}
			if d.Rest && loss == 0 {
				if least == 0 {
					least = bytes
				}
				r.claim(p+"bytes a second that one sends at rest", bytes, "<=", 2000)
				r.claim(p+"the same, over the smallest fleet's", bytes/least, "<=", 1.2)
			}
		}
	}
	r.Notes = r.Notes[:min(len(r.Notes), 20)]
	return r, nil
}
