// Package experiment plays a fleet of gateways and database hosts in virtual time and judges what happens from the
// hosts' and the clients' side. The gateways run the real decision module; hosts, log, network, discovery and
// clients are models. It exists for what no bench shows: a zone that is lost as a whole and comes back.
//
// A day is drawn from its seed alone: two runs of one seed give the same day, whatever the gateways do, as far as
// arrivals, faults and drawn delays go.
package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegate/routing"
)

// epoch is the clock's reading at the start of a day: positions and starts are counted from 0, long ago.
const epoch = 1000 * time.Second

// Spec is what a day is drawn from.
type Spec struct {
	Zones    []string
	Hosts    int     // spread over the zones in turn
	Groups   int     // each has its hosts in turn; the first host of a group is its primary
	Gateways int     // spread over the zones in turn
	Rate     float64 // requests a second a gateway, first tries
	Load     float64 // work asked for, of what all hosts can do
	Length   time.Duration
	Faults   []Fault
	Guards   routing.StaleReadPolicy
	NoZone   bool     // hosts are listed without a zone
	Sockets  bool     // gateways are real: see live
	Layout   []string // the zone of each host; none: in turn
	Join     func(*routing.Config)
	Room     int                // connections that a host holds; 0: mostConns
	KeepAs   int                // the number of gateways by which idle connections are kept; 0: all that there are
	Break    Break              // what is broken on purpose
	Skew     map[string]float64 // factor on the rate of gateways of a zone
	Uneven   bool               // gateways have from a third to over three times of the mean traffic
	Bear     bool               // cold hosts bear all that they are sent: the judge counts it
}

// FaultKind is what befalls a zone or a host.
type FaultKind int

// The kinds of fault.
const (
	Silent  FaultKind = iota // packets vanish; nothing is reset
	Crash                    // processes die: connections are reset, new ones refused
	Slow                     // hosts work at a quarter of their speed
	Drain                    // hosts are listed as draining
	Deaf                     // discovery tells the gateways nothing
	Retune                   // the tiers of all gateways are replaced, as by SIGHUP
	Kill                     // a share of the gateways die at once, and start anew with nothing at the end
	Restart                  // all gateways are restarted, a tenth at a time: no new clients for 3 s, then a new process
	Replace                  // a share of the hosts are replaced, one after the other: a new one starts, cold, the old one drains
	Burst                    // half as much again is asked
)

// Fault is one thing that goes wrong and ends.
type Fault struct {
	Kind    FaultKind
	Zone    string // all hosts of a zone; empty: see Host
	Host    string
	Number  int // of the host, from 1 on, where it is not named; 0: see Share
	At, For time.Duration
	Cold    bool    // hosts start anew at the end, cold, their logs where they stood
	But     int     // this many hosts of the zone are spared
	Share   float64 // of the hosts, spread over all, where neither a zone nor a host is named; or of the gateways
	Retune  func(*routing.Router)
}

// What hosts and the network are made of. Ranges are drawn once a day.
const (
	cores       = 3
	waitingRoom = 60
	mostConns   = 400
	coldFrom    = 0.15
	coldFor     = 18 * time.Second
	tipMultiple = 2.5
	tipAfter    = time.Second
	catchUpWait = 20 * time.Millisecond
	connectFor  = 250 * time.Millisecond
	connectCost = 2 * time.Millisecond
	probeCost   = 300 * time.Microsecond
	logTick     = 10 * time.Millisecond
	drainGrace  = 250 * time.Millisecond
)

// class is one of the five classes of the operators' brief.
type class struct {
	routing.Class
	part     float64
	from, to time.Duration // of work, at a fleet's full load of 120 requests a second
}

var classes = []class{
	{routing.Class{Name: "platzsuche", Consistency: routing.ConsistencyBounded, StalenessBound: 3 * time.Second, LatencyObjective: 600 * time.Millisecond,
		Deadline: 2 * time.Second, PriorityWeight: 1}, 0.41, 87 * time.Millisecond, 150 * time.Millisecond},
	{routing.Class{Name: "eigener-antrag", Consistency: routing.ConsistencySession, LatencyObjective: 750 * time.Millisecond,
		Deadline: 2500 * time.Millisecond, PriorityWeight: 2, LateShare: 0.2}, 0.20, 130 * time.Millisecond, 230 * time.Millisecond},
	{routing.Class{Name: "statistik", Consistency: routing.ConsistencyAny, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
		0.20, 52 * time.Millisecond, 90 * time.Millisecond},
	{routing.Class{Name: "angebot-pruefen", Consistency: routing.ConsistencyStrong, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second,
		PriorityWeight: 3}, 0.05, 87 * time.Millisecond, 150 * time.Millisecond},
	{routing.Class{Name: "zusage", Consistency: routing.ConsistencyWrite, LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 6,
		LateShare: 0.5, Effect: routing.NonIdempotent}, 0.14, 87 * time.Millisecond, 150 * time.Millisecond},
}

// event is a call at a time; those of one time run in the order in which they were asked for.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// timeline is virtual time: what is to happen, in order.
type timeline struct {
	now   time.Duration
	queue events
	seq   int
}

// after has something happen after a time.
func (t *timeline) after(d time.Duration, do func()) {
	t.seq++
	heap.Push(&t.queue, event{t.now + max(0, d), t.seq, do})
}

// run lets all happen that is due by a time.
func (t *timeline) run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	t.now = until
}

// fleet is the running day.
type fleet struct {
	Spec
	timeline
	rng      *rand.Rand // of what depends on the gateways' acts
	hosts    []*host
	groups   []*group
	gateways []*gateway
	judge    *Judge
	scale    float64 // of work, so that Load comes out
	ship     time.Duration
	busy     float64 // part of the time in which a replica applies at load 1
	between  time.Duration
	deaf     bool
	rush     float64 // added to the rate
	listed   func(*host, routing.Endpoint)
	changed  func(*host) // told of a host that has died, started, been cut or restored, or that the list names anew
}

func (f *fleet) tell(h *host) {
	if f.changed != nil {
		f.changed(h)
	}
}

// draw draws a time between two.
func draw(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Float64()*float64(b-a))
}

// newFleet draws a day.
func newFleet(s Spec, seed uint64) *fleet {
	f := &fleet{Spec: s, timeline: timeline{now: epoch}, rng: rand.New(rand.NewPCG(seed, 1))}
	d := rand.New(rand.NewPCG(seed, 2)) // what the day is made of
	f.ship, f.busy, f.between = draw(d, 2*time.Millisecond, 15*time.Millisecond), 0.33+0.18*d.Float64(),
		draw(d, 420*time.Microsecond, 780*time.Microsecond)
	for i := range s.Groups {
		f.groups = append(f.groups, &group{f: f, number: i, fate: rand.New(rand.NewPCG(seed, 1000+uint64(i)))})
	}
	for i := range s.Hosts {
		g := f.groups[i*s.Groups/s.Hosts]
		h := &host{f: f, id: fmt.Sprintf("h%03d-%s", i, string('a'+rune(d.IntN(26)))), group: g, up: true, position: f.now,
			zone: s.Zones[(g.number+len(g.members))%len(s.Zones)]} // primaries are spread over the zones
		if s.Layout != nil {
			h.zone = s.Layout[i]
		}
		g.members = append(g.members, h)
		f.hosts = append(f.hosts, h)
	}
	for _, g := range f.groups {
		g.primary = g.members[0]
	}
	mean := 0.0
	for _, c := range classes {
		mean += c.part * (c.from + c.to).Seconds() / 2
	}
	rate := 0.0
	for i := range s.Gateways {
		rate += s.Rate * f.skew(s.Zones[i%len(s.Zones)])
	}
	f.scale = s.Load * float64(s.Hosts*cores) / (rate * mean)
	f.judge = newJudge(f)
	for i := range s.Gateways {
		f.gateways = append(f.gateways, newGateway(f, i, rand.New(rand.NewPCG(seed, 100+uint64(i)))))
	}
	if s.Uneven {
		sum := 0.0
		for _, g := range f.gateways {
			g.part = 0.3 + 3*math.Pow(d.Float64(), 4)
			sum += g.part
		}
		for _, g := range f.gateways {
			g.part *= float64(s.Gateways) / sum
		}
	}
	for _, x := range s.Faults {
		f.after(x.At, func() { f.begin(x) })
		f.after(x.At+x.For, func() { f.finish(x) })
	}
	f.tick()
	return f
}

func (f *fleet) skew(zone string) float64 {
	if k, ok := f.Skew[zone]; ok {
		return k
	}
	return 1
}

// hit names the hosts that a fault befalls.
func (f *fleet) hit(x Fault) (out []*host) {
	spared := x.But
	for i, h := range f.hosts {
		if h.removed || i >= f.Hosts {
			continue
		}
		drawn := x.Host == "" && x.Zone == "" && x.Number == 0 && int(float64(i+1)*x.Share) > int(float64(i)*x.Share)
		if h.id == x.Host || x.Number == i+1 || x.Zone != "" && h.zone == x.Zone || drawn {
			if spared--; spared < 0 {
				out = append(out, h)
			}
		}
	}
	return out
}

func (f *fleet) begin(x Fault) {
	for _, h := range f.hit(x) {
		switch x.Kind {
		case Silent:
			h.cut++
			f.tell(h)
		case Crash:
			h.die()
		case Slow:
			h.slow = true
		case Drain:
			h.draining = true
			f.list(h, 0)
		}
	}
	switch x.Kind {
	case Kill, Restart, Replace:
		f.renew(x)
	case Burst:
		f.rush = 0.5
	case Deaf:
		f.deaf = true
	case Retune:
		for _, g := range f.gateways {
			x.Retune(g.router)
		}
	}
}

func (f *fleet) finish(x Fault) {
	for _, h := range f.hit(x) {
		switch x.Kind {
		case Silent:
			if h.cut--; x.Cold && h.cut == 0 && !h.fallen {
				h.die()
				h.start()
			}
			f.tell(h)
		case Crash:
			h.start()
		case Slow:
			h.slow = false
		}
	}
	if x.Kind == Burst {
		f.rush = 0
	}
	if x.Kind == Deaf {
		f.deaf = false
		for _, h := range f.hosts {
			f.list(h, 0)
		}
	}
}

// meanWork is the work of a request in the mean, in seconds.
func (f *fleet) meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.part * f.scale * (c.from + c.to).Seconds() / 2
	}
	return mean
}

// tick moves the logs and looks after failovers.
func (f *fleet) tick() {
	for _, g := range f.groups {
		g.tick()
	}
	f.judge.tick()
	f.after(logTick, f.tick)
}

// group is one primary with its replicas.
type group struct {
	f       *fleet
	number  int
	fate    *rand.Rand // how long its failovers take, whatever the gateways do
	members []*host
	primary *host
	gone    bool // the primary is out of reach and an election is on its way
}

// tick moves positions on: a primary stands at the present, a replica that it reaches follows by one thread.
func (g *group) tick() {
	p := g.primary
	if p != nil && !g.gone && (!p.ok() || p.draining) {
		g.gone = true
		wait := draw(g.fate, 1400*time.Millisecond, 2700*time.Millisecond) + draw(g.fate, 1200*time.Millisecond, 4*time.Second)
		if p.draining && p.ok() {
			wait = draw(g.fate, 360*time.Millisecond, 730*time.Millisecond)
		}
		g.f.after(wait, g.elect)
	}
	for _, h := range g.members {
		if !h.ok() {
			continue
		}
		if h == p && p.ok() {
			h.position = g.f.now
		} else if p != nil && p.ok() && h.up {
			h.position = min(g.f.now-g.f.ship, h.position+time.Duration(float64(logTick)/g.f.busy))
		}
	}
}

// elect makes the member with most of the log primary.
func (g *group) elect() {
	old := g.primary
	if old != nil && old.ok() && !old.draining { // back in time
		g.gone = false
		return
	}
	var best *host
	for _, h := range g.members {
		if h.ok() && !h.draining && (best == nil || h.position > best.position) {
			best = h
		}
	}
	if best == nil {
		g.f.after(200*time.Millisecond, g.elect)
		return
	}
	// Nothing was written meanwhile, so there is nothing to apply: who had all of the log has it still.
	last := best.position
	for _, h := range g.members {
		if h.ok() {
			h.position = g.f.now - max(0, last-h.position)
		}
	}
	g.primary, g.gone = best, false
	for _, h := range []*host{old, best} {
		g.f.list(h, draw(g.f.rng, 2300*time.Millisecond, 4400*time.Millisecond))
	}
}

// list tells every gateway of a host after a time. It tells the state as of then, so that news never overtake.
func (f *fleet) list(h *host, after time.Duration) {
	if h == nil {
		return
	}
	f.after(after, func() {
		if f.deaf {
			return
		}
		e := h.entry()
		if f.listed != nil {
			f.listed(h, e)
		}
		for _, g := range f.gateways {
			g.told(e)
		}
	})
}

// host is one database host.
type host struct {
	f        *fleet
	id, zone string
	group    *group
	up       bool // its process runs
	cut      int  // faults that keep packets from it
	slow     bool
	draining bool
	removed  bool // replaced by another
	fallen   bool // tipped over: it stays down
	started  time.Duration
	position time.Duration
	life     int // of its process
	conns    int
	running  int
	waiting  []*job
	heap     []sent
	report   reported
	reportAt time.Duration
}

// sent is work that reached a cold host.
type sent struct {
	at   time.Duration
	work float64
}

// reported is what a probe shows.
type reported struct {
	position time.Duration
	primary  bool
}

// job is one attempt at a host.
type job struct {
	a    *attempt
	work time.Duration
	life int
}

// ok says that a host runs and can be reached.
func (h *host) ok() bool { return h.up && h.cut == 0 }

func (h *host) entry() routing.Endpoint {
	e := routing.Endpoint{Member: h.id, Group: h.group.number, Zone: h.zone, Capacity: 1, Primary: h.group.primary == h, StartedAt: h.started}
	if h.f.NoZone {
		e.Zone = ""
	}
	switch {
	case !h.up:
		e.Phase = routing.PhaseRemoved
	case h.draining:
		e.Phase = routing.PhaseDraining
	}
	return e
}

// speed is how much of its full capacity a host has.
func (h *host) speed() float64 {
	s := 1.0
	if h.started > 0 && h.f.now < h.started+coldFor {
		s = coldFrom + (1-coldFrom)*float64(h.f.now-h.started)/float64(coldFor)
	}
	if h.slow {
		s /= 4
	}
	return s
}

// die ends the process: connections are reset, work is gone.
func (h *host) die() {
	h.up, h.life, h.running, h.waiting, h.conns, h.heap = false, h.life+1, 0, nil, 0, nil
	h.f.tell(h)
	for _, g := range h.f.gateways {
		g.broken(h)
	}
	h.f.list(h, draw(h.f.rng, time.Second, 3*time.Second))
}

// start begins a new process, cold, with the log where it stood.
func (h *host) start() {
	if h.fallen {
		return
	}
	h.up, h.started = true, h.f.now
	h.f.tell(h)
	h.f.list(h, draw(h.f.rng, time.Second, 3*time.Second))
}

// takes adds work to what a cold host was sent and says whether it tips over.
func (h *host) takes(work time.Duration) {
	if h.speed() >= 1 || h.slow || h.f.Bear {
		return
	}
	h.heap = slices.DeleteFunc(h.heap, func(s sent) bool { return s.at < h.f.now-tipAfter })
	h.heap = append(h.heap, sent{h.f.now, work.Seconds()})
	sum := 0.0
	for _, s := range h.heap {
		sum += s.work
	}
	if sum > tipMultiple*h.speed()*cores*tipAfter.Seconds() && len(h.heap) > 1 {
		h.f.judge.tipped(h)
		h.fallen = true
		h.die()
	}
}

// arrive takes an attempt whose last byte has come.
func (h *host) arrive(a *attempt, work time.Duration) {
	h.f.judge.cold(h, a.g, 1)
	h.takes(work)
	if !h.up {
		return
	}
	c := a.q.class
	switch {
	case c.Consistency == routing.ConsistencyWrite && h.group.primary != h, c.Consistency == routing.ConsistencyStrong && h.group.primary != h && h.f.Guards != routing.StaleReadServed:
		h.answer(a, routing.ResultMissed, 0)
	case len(h.waiting) >= waitingRoom:
		h.answer(a, routing.ResultOverCapacity, 0)
	case h.f.Guards != routing.StaleReadServed && h.position < a.need:
		life := h.life
		h.f.after(catchUpWait, func() {
			if h.life != life {
				return
			} else if h.position < a.need {
				h.answer(a, routing.ResultMissed, 0)
			} else {
				h.enqueue(a, work)
			}
		})
	default:
		h.enqueue(a, work)
	}
}

func (h *host) enqueue(a *attempt, work time.Duration) {
	h.waiting = append(h.waiting, &job{a, work, h.life})
	h.next()
}

// next begins what waits, as long as a core is free. What was given up meanwhile is not begun.
func (h *host) next() {
	for h.up && h.running < cores && len(h.waiting) > 0 {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		if j.a.over || h.f.now >= j.a.until {
			if j.a.reply != nil {
				j.a.done(routing.Outcome{Result: routing.ResultTimeout}, 0)
			}
			continue
		}
		h.running++
		h.f.judge.ran(j.a, h)
		h.f.after(time.Duration(float64(j.work)/h.speed()), func() {
			if h.life != j.life {
				return
			}
			h.running--
			at := h.position
			if h.group.primary == h {
				at = h.f.now
			}
			if j.a.q.class.Consistency == routing.ConsistencyWrite {
				if h.group.primary != h { // it lost its role while it held the write
					h.answer(j.a, routing.ResultError, 0)
					h.next()
					return
				}
				at = h.f.now
			}
			h.answer(j.a, routing.ResultOK, at)
			h.next()
		})
	}
}

// answer sends an outcome back, unless the network eats it.
func (h *host) answer(a *attempt, r routing.Result, position time.Duration) {
	o := routing.Outcome{Result: r, Role: routing.RoleReplica, Position: h.position.Milliseconds()}
	if h.group.primary == h {
		o.Role = routing.RolePrimary
	}
	if r == routing.ResultOK && a.q.class.Consistency == routing.ConsistencyWrite {
		o.Position = position.Milliseconds() + 1
	}
	life := h.life
	h.f.after(a.g.distance(h), func() {
		if h.cut == 0 && h.life == life {
			a.done(o, position)
		}
	})
}

// pressure is what a probe shows: refreshed every now and then.
func (h *host) pressure() reported {
	if h.reportAt == 0 || h.f.now >= h.reportAt {
		h.report = reported{h.position, h.group.primary == h}
		h.reportAt = h.f.now + draw(h.f.rng, 110*time.Millisecond, 240*time.Millisecond)
	}
	return h.report
}
