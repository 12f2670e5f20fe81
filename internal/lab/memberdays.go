package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/members"
)

// memberDay is a day of gateways that know each other, on a network that loses and delays messages.
type memberDay struct {
	about  string
	losses []float64 // each is played
	faults []memberFault
	length time.Duration
	heal   time.Duration // from the last fault's end until all views have to be equal
	crash  bool          // claims how soon crashes are known
	rest   bool          // claims what messages cost at rest
}

// memberFault befalls some of the members. Who and To take a member's number and how many there are.
type memberFault struct {
	at, lasts time.Duration
	who       func(i, n int) bool
	to        func(i, n int) bool // cut: messages of who to these are lost, in that direction alone
	kind      memberKind
	// excuses says whom a member may hold as failed while it lasts: whom nobody on its side reaches, or who stands still for
	// longer than is promised to be borne. Nil: nobody. For some seconds after the end all are excused that anybody was.
	excuses func(by, accused, n int) bool
}

type memberKind int

const (
	cutOff memberKind = iota
	pause             // the process stands still; what comes waits
	kill              // it dies, and starts anew at the end under its name
)

// pauseBorne is the longest standstill of a process that the others are promised to bear.
const pauseBorne = time.Second

var (
	one      = func(k int) func(int, int) bool { return func(i, _ int) bool { return i == k } }
	others   = func(k int) func(int, int) bool { return func(i, _ int) bool { return i != k } }
	lower    = func(i, n int) bool { return i < n/2 }
	upper    = func(i, n int) bool { return i >= n/2 }
	fourIn10 = func(i, _ int) bool { return i%10 < 4 }
	sixIn10  = func(i, _ int) bool { return i%10 >= 4 }
	only     = func(k int) func(int, int, int) bool { return func(by, x, _ int) bool { return x == k && by != k } }
	across   = func(side func(int, int) bool) func(int, int, int) bool {
		return func(by, x, n int) bool { return side(by, n) != side(x, n) }
	}
	zone = func(z int) func(int, int) bool { return func(i, _ int) bool { return i%3 == z } }
)

// warmUp is the time in which the members find each other, before anything is judged.
const warmUp = 20 * time.Second

var memberDays = []struct {
	name string
	memberDay
}{
	{"members-calm", memberDay{about: "nothing goes wrong but lost messages", losses: []float64{0, 0.1, 0.3}, length: 30 * sec, rest: true}},
	{"members-crash", memberDay{about: "one dies", losses: []float64{0, 0.2}, length: 15 * sec, crash: true, faults: []memberFault{
		{kind: kill, at: 3 * sec, lasts: time.Hour, who: one(4)}}}},
	{"members-pair", memberDay{about: "one member's messages to another are lost, and all of one zone's to another zone", losses: []float64{0, 0.3},
		length: 25 * sec, heal: 5 * sec, faults: []memberFault{
			{kind: cutOff, at: 2 * sec, lasts: 8 * sec, who: one(1), to: one(2)},
			{kind: cutOff, at: 4 * sec, lasts: 10 * sec, who: zone(0), to: zone(1)}}}},
	{"members-deaf", memberDay{about: "one hears nobody, and later is heard by nobody", losses: []float64{0, 0.3}, length: 30 * sec, heal: 5 * sec,
		faults: []memberFault{
			{kind: cutOff, at: 2 * sec, lasts: 8 * sec, who: others(3), to: one(3), excuses: only(3)},
			{kind: cutOff, at: 15 * sec, lasts: 8 * sec, who: one(3), to: others(3), excuses: only(3)}}}},
	{"members-moving", memberDay{about: "a cut in one direction moves on every 2 s", losses: []float64{0, 0.3}, length: 25 * sec, heal: 5 * sec,
		faults: moving()}},
	{"members-halves", memberDay{about: "the fleet is cut in two for 60 s", losses: []float64{0, 0.1}, length: 75 * sec, heal: 10 * sec, faults: []memberFault{
		{kind: cutOff, at: 2 * sec, lasts: 60 * sec, who: lower, to: upper, excuses: across(lower)},
		{kind: cutOff, at: 2 * sec, lasts: 60 * sec, who: upper, to: lower, excuses: across(lower)}}}},
	{"members-uneven", memberDay{about: "four in ten are cut off from the others for 60 s", losses: []float64{0, 0.1}, length: 75 * sec, heal: 10 * sec, faults: []memberFault{
		{kind: cutOff, at: 2 * sec, lasts: 60 * sec, who: fourIn10, to: sixIn10, excuses: across(fourIn10)},
		{kind: cutOff, at: 2 * sec, lasts: 60 * sec, who: sixIn10, to: fourIn10, excuses: across(fourIn10)}}}},
	{"members-alone", memberDay{about: "one is cut off from all others for 60 s", losses: []float64{0}, length: 75 * sec, heal: 10 * sec, faults: []memberFault{
		{kind: cutOff, at: 2 * sec, lasts: 60 * sec, who: one(0), to: others(0), excuses: only(0)},
		{kind: cutOff, at: 2 * sec, lasts: 60 * sec, who: others(0), to: one(0), excuses: only(0)}}}},
	{"members-pause", memberDay{about: "a third stands still for half a second, one for 3 s, all but one for 10 s", losses: []float64{0, 0.1}, length: 40 * sec,
		heal: 5 * sec, faults: []memberFault{
			{kind: pause, at: 2 * sec, lasts: 500 * time.Millisecond, who: zone(1)},
			{kind: pause, at: 6 * sec, lasts: 3 * sec, who: one(2)},
			{kind: pause, at: 16 * sec, lasts: 10 * sec, who: others(5)}}}},
	{"members-release", memberDay{about: "seven in ten are killed at once and start anew 2 s later", losses: []float64{0, 0.1}, length: 25 * sec, heal: 10 * sec,
		faults: []memberFault{{kind: kill, at: 2 * sec, lasts: 2 * sec, who: func(i, n int) bool { return i%10 < 7 }}}}},
}

func moving() (out []memberFault) {
	for k := range 5 {
		out = append(out, memberFault{kind: cutOff, at: time.Duration(2+2*k) * sec, lasts: 2 * sec, who: zone(k % 3), to: zone((k + 1) % 3)})
	}
	return out
}

func init() {
	for i := range memberDays {
		Experiments = append(Experiments, Experiment{Name: memberDays[i].name, About: memberDays[i].about, members: &memberDays[i].memberDay})
	}
}

// world is the running day.
type world struct {
	memberDay
	timeline
	loss    float64
	plain   bool
	rng     *rand.Rand
	procs   []*proc
	byAddr  map[string]*proc
	cuts    []memberFault // that hold now
	excuses []excuse
	spoilt  int // messages that could not be written or read
	lies    int // live members that were held as failed without an excuse
	notes   []string
	died    map[members.Start]time.Duration
	knew    map[members.Start][]time.Duration // after how long, by each
	bytes   int                               // sent by all, from restFrom on
	sent    int
	longest int // the longest datagram
}

// excuse is who may be held as failed by whom, and for how long.
type excuse struct {
	pair      func(by, accused, n int) bool
	until, to time.Duration // the end of the fault, and of its news
}

// newsTravel is how long after a fault its verdicts may still be on their way.
const newsTravel = 5 * time.Second

// excused says whether a member may hold another as failed now.
func (w *world) excused(by, accused int) bool {
	n := len(w.procs)
	return slices.ContainsFunc(w.excuses, func(x excuse) bool {
		return w.now < x.until && x.pair(by, accused, n) || w.now >= x.until && w.now < x.to &&
			slices.ContainsFunc(w.procs, func(p *proc) bool { return x.pair(p.i, accused, n) })
	})
}

// proc is one member's process.
type proc struct {
	w       *world
	i       int
	addr    string
	node    *members.Node
	life    int
	up      bool
	stopped bool
	mail    []members.Message
}

const (
	tickEvery = 100 * time.Millisecond
	mailMost  = 256 // messages that wait for a process that stands still, as in a socket's buffer
)

func newWorld(d memberDay, n int, loss float64, plain bool, seed uint64) *world {
	w := &world{memberDay: d, loss: loss, plain: plain, timeline: timeline{now: epoch}, rng: rand.New(rand.NewPCG(seed, 5)),
		byAddr: map[string]*proc{}, died: map[members.Start]time.Duration{}, knew: map[members.Start][]time.Duration{}}
	for i := range n {
		p := &proc{w: w, i: i, addr: fmt.Sprintf("127.0.%d.%d:7946", i/250, i%250+1)}
		w.procs, w.byAddr[p.addr] = append(w.procs, p), p
		w.after(time.Duration(w.rng.Int64N(int64(sec))), p.start)
	}
	for _, x := range d.faults {
		w.after(warmUp+x.at, func() { w.begin(x) })
		w.after(warmUp+x.at+x.lasts, func() { w.end(x) })
	}
	return w
}

func (w *world) note(format string, args ...any) {
	if len(w.notes) < 10 {
		w.notes = append(w.notes, fmt.Sprintf("%7.3fs ", (w.now-epoch-warmUp).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) begin(x memberFault) {
	switch x.kind {
	case cutOff:
		w.cuts = append(w.cuts, x)
	}
	for _, p := range w.procs {
		if !x.who(p.i, len(w.procs)) {
			continue
		}
		switch x.kind {
		case pause:
			p.stopped = true
		case kill:
			p.up = false
			w.died[p.node.Self().Start] = w.now
		}
	}
	if x.kind == pause && x.lasts > pauseBorne {
		x.excuses = func(_, accused, n int) bool { return x.who(accused, n) }
	}
	if x.excuses != nil {
		w.excuses = append(w.excuses, excuse{x.excuses, w.now + x.lasts, w.now + x.lasts + newsTravel})
	}
}

func (w *world) end(x memberFault) {
	if x.kind == cutOff {
		w.cuts = w.cuts[1:] // faults of one day end in the order in which they began, or are alike
	}
	for _, p := range w.procs {
		if !x.who(p.i, len(w.procs)) {
			continue
		}
		switch x.kind {
		case pause:
			p.stopped = false
			mail := p.mail
			p.mail = nil
			for _, m := range mail {
				p.take(m)
			}
		case kill:
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
	p.node, err = members.New(w.now, members.Options{Fleet: "f", Name: fmt.Sprint("g", p.i), Zone: threeZones[p.i%3], Addr: p.addr,
		Join: join, Seed: w.rng.Uint64(), Gateways: len(w.procs), Plain: w.plain})
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

func (p *proc) take(m members.Message) {
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

func (w *world) send(p *proc, m members.Message) {
	b, err := members.Encode(m)
	if err != nil {
		w.spoilt++
		w.note("%d: %v", p.i, err)
		return
	}
	stream := m.Kind == members.Sync || m.Kind == members.Synced
	if w.sent++; !stream {
		w.longest = max(w.longest, len(b))
	}
	w.bytes += len(b)
	to := w.byAddr[m.To]
	if to == nil || slices.ContainsFunc(w.cuts, func(x memberFault) bool { return x.who(p.i, len(w.procs)) && x.to(to.i, len(w.procs)) }) {
		return
	}
	delay := draw(w.rng, 200*time.Microsecond, 5*time.Millisecond)
	if stream { // it is sent again until it arrives, with the delay that this brings
		delay += time.Duration(w.loss * w.rng.Float64() * float64(sec))
	} else if w.rng.Float64() < w.loss {
		return
	}
	got, err := members.Decode(b)
	if err != nil {
		w.spoilt++
		w.note("%d: %v", p.i, err)
		return
	}
	w.after(delay, func() { to.take(got) })
}

// judge holds a member's verdict against what has become of the accused.
func (w *world) judge(p *proc, c members.Change) {
	if c.Row.State != members.Failed || c.New {
		return
	}
	if at, dead := w.died[c.Row.Start]; dead {
		w.knew[c.Row.Start] = append(w.knew[c.Row.Start], w.now-at)
		return
	}
	for _, x := range w.procs {
		if x.up && x.node.Self().Start == c.Row.Start && !w.excused(p.i, x.i) && w.now >= epoch+warmUp {
			w.lies++
			w.note("%d holds %d as failed, by %q (%s)", p.i, x.i, c.By, c.Why)
		}
	}
}

// equal counts the members whose view is not just the living.
func (w *world) unequal() (bad int) {
	living := map[members.Start]bool{}
	for _, p := range w.procs {
		if p.up {
			living[p.node.Self().Start] = true
		}
	}
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		seen := 1
		wrong := false
		for _, r := range p.node.Members() {
			if r.State < members.Failed {
				if seen++; !living[r.Start] {
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
func playMembers(d memberDay, n int, loss float64, plain bool, seed uint64) memberFigures {
	w := newWorld(d, n, loss, plain, seed)
	end := epoch + warmUp + d.length
	x := memberFigures{partsLeast: 1}
	// What all may use of a budget together is never more than the budget, cut or not.
	for at := epoch + warmUp; at <= end; at += sec / 2 {
		if w.run(at); at == end-10*sec {
			w.bytes, w.sent = 0, 0
		}
		parts := 0.0
		for _, p := range w.procs {
			if p.up && !p.stopped {
				parts += p.node.Part()
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
		if need := (n - 1) * 99 / 100; d.crash && len(took) >= need {
			x.detect = max(x.detect, took[need-1].Seconds())
		} else if d.crash {
			x.detect = d.length.Seconds()
		}
	}
	return x
}

// runMembers plays a day at each size, with each loss and seed, by trials alone, and by one trial and hearsay as in SWIM.
func (e *Experiment) runMembers(ctx context.Context, o Options) (*Result, error) {
	d := *e.members
	sizes := []int{10, 80, 300, 1000}
	if len(o.Members) > 0 {
		sizes = o.Members
	} else if o.Short {
		sizes = []int{8, 20}
	}
	r := &Result{Experiment: e.Name, About: e.About, Seed: o.Seed, Seeds: o.Seeds, Driver: "virtual", Version: o.Version,
		Size: fmt.Sprintf("%v members", sizes), Machine: fmt.Sprintf("%d cores", runtime.NumCPU()),
		Figures: map[string]float64{}, Series: map[string][]float64{}}
	least := 0.0
	for _, n := range sizes {
		for _, loss := range d.losses {
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
			if d.heal > 0 {
				r.claim(p+"views that are not the living at the end", float64(unequal), "==", 0)
			}
			if d.crash {
				r.Figures[key("known_by_99_of_100_s")] = detect
				if n <= 80 {
					r.Figures[key("known_by_99_of_100_s_one_trial")] = plainDetect
				}
				r.claim(p+"s until 99 of 100 know of a crash, worst day", detect, "<=", map[bool]float64{true: 5, false: 8}[loss == 0])
			}
			if d.rest && loss == 0 {
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
