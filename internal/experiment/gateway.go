package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegate/internal/poolsize"
	"cranegate/internal/zones"
	"cranegate/routing"
)

// gateway is one gateway: the real module with what internal/core and internal/backend do around it, and the
// clients that ask it.
type gateway struct {
	f        *fleet
	number   int
	zone     string
	part     float64 // of the mean traffic
	router   *routing.Router
	cfg      routing.Config
	keeper   *poolsize.Sizer
	down     bool // its process does not run, or takes no more clients
	life     int  // of its process
	arrivals *rand.Rand
	pools    map[*host]*pool
	hosts    map[string]*host
	requests map[uint64]*request
	lastID   uint64
	changes  []string       // zones and the states that they entered
	closed   bool           // the day is over
	submit   func(*request) // sends a try over sockets; nil: to the module here
}

// pool is the connections to one host.
type pool struct {
	idle   []open     // the one used last is at the end
	out    []*attempt // begun, on open connections
	asked  poolsize.Host
	trimAt time.Duration // the next look at the idle ones
}

// open is an idle connection.
type open struct{ up, freed time.Duration }

// noRoom stands for a connection that comes up and is ended with a refusal.
const noRoom = -1

// idleFor is two thirds of the time after which the hosts close idle connections.
const idleFor = 20 * time.Second

// ask is what a client wants; its tries are requests of their own.
type ask struct {
	class   *class
	number  int // of its class
	group   *group
	work    time.Duration
	arrived time.Duration
	token   time.Duration // the commit that a session's read must see, 0 for none
	gateway int
	tries   int
	earned  float64
	settled bool
}

// request is one try.
type request struct {
	*ask
	id       uint64
	taken    time.Duration
	deadline time.Duration
	sent     int
	answers  int
	ended    bool
	out      []*attempt
	by       *attempt // that served it, with data of at: sockets
	at       time.Duration
}

// attempt is one send.
type attempt struct {
	g           *gateway
	process     int // of the gateway
	q           *request
	h           *host
	number      int
	sentAt      time.Duration
	opened      time.Duration // its connection
	until       time.Duration
	latest      time.Duration // it has to begin before this; 0: whenever it can
	need        time.Duration // position that the data must have
	begun, over bool
	reply       func(routing.Outcome, time.Duration) // takes the outcome where the gateway is a real one
}

func newGateway(f *fleet, n int, arrivals *rand.Rand) *gateway {
	g := &gateway{f: f, number: n, part: 1, zone: f.Zones[n%len(f.Zones)], arrivals: arrivals, pools: map[*host]*pool{},
		hosts: map[string]*host{}, requests: map[uint64]*request{}}
	cfg := routing.Config{Gateways: f.Gateways, Zone: g.zone, StaleReads: f.Guards, CatchUpTimeout: catchUpWait, Positions: true,
		RoleSource: routing.RoleSourceDelayed, AllowCancel: true, AllowHedging: true, AllowHealthChecks: true, MaxAttempts: 6,
		MaxRetryAfter: 500 * time.Millisecond, CrossZoneCost: 0.01, SlowStartCapacity: coldFrom, SlowStartDuration: coldFor,
		OverloadFactor: tipMultiple, OverloadWindow: tipAfter}
	for _, c := range classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	if f.Join != nil {
		f.Join(&cfg)
	}
	f.Break.apply(&cfg)
	g.cfg = cfg
	for _, h := range f.hosts {
		g.hosts[h.id], g.pools[h] = h, &pool{}
	}
	f.after(0, g.arrive)
	if f.Sockets {
		return g
	}
	g.start()
	return g
}

// start begins a process of the gateway that knows nothing but the list.
func (g *gateway) start() {
	f := g.f
	size := f.Gateways
	if f.KeepAs > 0 {
		size = f.KeepAs
	}
	g.keeper = poolsize.New(size, idleFor, clock(f.now))
	var err error
	if g.router, err = routing.New(f.now, g.cfg, g.arrivals.Uint64(), g); err != nil {
		panic(err) // the configuration is this package's own
	}
	l := routing.EndpointList{Kind: routing.EndpointListComplete}
	for _, h := range f.hosts {
		if g.hosts[h.id] != nil && !h.removed {
			l.Endpoints = append(l.Endpoints, h.entry())
			f.judge.told(g, h.entry())
		}
	}
	g.router.UpdateEndpoints(f.now, l)
}

// clock is the model's time as the pure parts take it.
func clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// told hands one entry of the list over.
func (g *gateway) told(e routing.Endpoint) {
	if g.router == nil {
		if g.f.Sockets {
			g.f.judge.told(g, e)
		}
		return
	}
	g.f.judge.told(g, e)
	if g.f.Break == NoDrains && e.Phase == routing.PhaseDraining {
		e.Phase = routing.PhaseServing
	}
	g.router.UpdateEndpoints(g.f.now, routing.EndpointList{Kind: routing.EndpointListPatch, Endpoints: []routing.Endpoint{e}})
}

// arrive draws the next client's request, whatever has become of those before.
func (g *gateway) arrive() {
	f, r := g.f, g.arrivals
	if g.closed {
		return
	}
	rate := f.Rate * f.skew(g.zone) * g.part * (1 + f.rush)
	f.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), g.arrive)
	pick, n := r.Float64(), 0
	for ; n < len(classes)-1 && pick >= classes[n].part; n++ {
		pick -= classes[n].part
	}
	c := &classes[n]
	a := &ask{class: c, number: n, gateway: g.number, group: f.hosts[r.IntN(len(f.hosts))].group, arrived: f.now,
		work: time.Duration(float64(draw(r, c.from, c.to)) * f.scale)}
	follows, gap := r.Float64() < 0.78, time.Duration(r.ExpFloat64()*float64(400*time.Millisecond))
	if p := a.group.primary; c.Consistency == routing.ConsistencySession && follows && p != nil {
		a.token = min(f.now-gap, p.position) // there was no commit while no primary ran
	}
	f.judge.asked(a)
	g.try(a)
}

// try sends one try of a client in.
func (g *gateway) try(a *ask) {
	f := g.f
	a.tries++
	for range f.gateways {
		if g.down { // the front takes another: how long it takes to notice is not played
			g = f.gateways[(g.number+1)%len(f.gateways)]
		}
	}
	if g.down {
		return
	}
	g.lastID++
	q := &request{ask: a, id: g.lastID, taken: f.now}
	q.deadline = f.now + time.Duration((0.42+0.58*f.rng.Float64())*float64(a.class.Deadline))
	g.requests[q.id] = q
	in := routing.Request{ID: q.id, Class: a.number, Tenant: -1, Group: a.group.number, Remaining: q.deadline - f.now}
	if a.token > 0 {
		in.SinceWrite = max(1, f.now-a.token)
	}
	if g.submit != nil {
		f.after(q.deadline-f.now+socketSlack, func() { g.overdue(q) })
		g.submit(q)
		return
	}
	f.after(q.deadline-f.now+10*time.Millisecond, func() { g.overdue(q) })
	g.router.Request(f.now, in)
}

// overdue is a client's time running out.
func (g *gateway) overdue(q *request) {
	if !q.ended && !g.closed {
		q.ended = true
		g.f.judge.unanswered++
		g.f.judge.note("%s at gateway %d got no answer %v after it was sent", q.class.Name, g.number, g.f.now-q.taken)
		if g.router != nil {
			g.router.ClientDisconnected(g.f.now, q.id)
		}
	}
	delete(g.requests, q.id)
}

// answer takes a final answer to the client, who may ask again: after advice, at once, or after a short wait.
func (g *gateway) answer(q *request, served bool, harmless bool, comeBack time.Duration, a *attempt, position time.Duration) {
	f := g.f
	if q.answers++; g.submit != nil && f.now > q.deadline+lateSlack {
		f.judge.late++
	}
	if g.closed {
		return
	} else if q.ended {
		if q.answers > 1 { // else it came too late, which overdue has counted
			f.judge.extra++
		}
		return
	}
	q.ended = true
	if served {
		f.judge.served(q, a, position)
		return
	}
	f.judge.turnedDown(q, harmless)
	g.again(q, harmless, comeBack)
}

// again has the client ask once more, if it may and still wants to.
func (g *gateway) again(q *request, harmless bool, comeBack time.Duration) {
	f := g.f
	if q.settled || q.tries > 3 || !harmless && q.class.Effect == routing.NonIdempotent {
		return
	}
	wait := comeBack
	if wait == 0 && f.rng.IntN(2) == 0 {
		wait = 50 * time.Millisecond
	}
	if f.now+wait < q.arrived+q.class.Deadline {
		f.after(wait, func() { g.try(q.ask) })
	}
}

// distance is the way to a host.
func (g *gateway) distance(h *host) time.Duration {
	if h.zone == g.zone {
		return 100 * time.Microsecond
	}
	return g.f.between
}

// dial comes by a connection: an idle one at once, or a new one if the host can be reached.
func (g *gateway) dial(h *host, by routing.ConnPolicy, then func(opened time.Duration)) {
	p, f := g.pools[h], g.f
	g.keeper.RecordAttempt(clock(f.now), &p.asked, len(g.hosts))
	switch n := len(p.idle) - 1; {
	case n >= 0 && by == routing.ConnOldest:
		i := slices.IndexFunc(p.idle, func(c open) bool {
			return c.up == slices.MinFunc(p.idle, func(a, b open) int { return cmp.Compare(a.up, b.up) }).up
		})
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		then(c.up)
	case n >= 0 && by == routing.ConnAny:
		c := p.idle[n]
		p.idle = p.idle[:n]
		then(c.up)
	case h.cut > 0:
		f.after(connectFor, func() { then(0) })
	default:
		f.after(3*g.distance(h)+connectCost, func() {
			if room := cmp.Or(f.Room, mostConns); h.ok() && h.conns < room {
				h.conns++
				f.judge.connects++
				g.keeper.RecordConnect()
				f.judge.fullest = max(f.judge.fullest, h.conns)
				then(f.now)
			} else if h.ok() {
				f.judge.noRoom++
				if g.keeper.RecordRejection(clock(f.now)) {
					for _, x := range f.hosts {
						g.trim(x)
					}
				}
				then(noRoom)
			} else if h.cut > 0 {
				f.after(connectFor, func() { then(0) })
			} else {
				then(0)
			}
		})
	}
}

// Send starts an attempt.
func (g *gateway) Send(id uint64, member string, abandonAt, beginBy time.Duration) {
	f, q, h := g.f, g.requests[id], g.hosts[member]
	if abandonAt <= 0 || abandonAt > q.deadline {
		abandonAt = q.deadline
	}
	a := g.attempt(q, h, abandonAt)
	a.latest = beginBy
	q.out = append(q.out, a)
	f.after(abandonAt-f.now, func() { a.abandon(routing.ResultTimeout) })
	g.dial(h, routing.ConnAny, a.begin)
}

// attempt makes the next attempt of a request, with the position that its data must have when it is sent now.
func (g *gateway) attempt(q *request, h *host, until time.Duration) *attempt {
	a := &attempt{g: g, process: g.life, q: q, h: h, number: q.sent, sentAt: g.f.now, until: until, need: q.token}
	switch q.class.Consistency {
	case routing.ConsistencyBounded:
		a.need = g.f.now - q.class.StalenessBound
	case routing.ConsistencyStrong:
		a.need = q.taken
	}
	q.sent++
	g.f.judge.sent(a)
	return a
}

// begin writes the attempt, if it is still wanted.
func (a *attempt) begin(opened time.Duration) {
	g, h, f := a.g, a.h, a.g.f
	if a.over {
		if opened > 0 && a.process == g.life {
			g.free(h, opened)
		} else if opened > 0 {
			h.conns--
		}
		return
	}
	if a.opened = opened; opened == 0 {
		a.done(routing.Outcome{Result: routing.ResultConnectFailed}, 0)
		return
	} else if opened == noRoom {
		f.after(2*g.distance(h), func() { a.done(routing.Outcome{Result: routing.ResultOverCapacity}, 0) })
		return
	}
	if a.latest > 0 && f.now >= a.latest {
		g.free(h, opened)
		a.done(routing.Outcome{Result: routing.ResultNotSent}, 0)
		return
	}
	a.begun = true
	g.pools[h].out = append(g.pools[h].out, a)
	life := h.life
	f.judge.begun(a)
	f.after(g.distance(h), func() {
		if h.cut == 0 && h.life == life {
			h.arrive(a, a.q.work)
		}
	})
}

// abandon gives an attempt up; its connection closes. One without a byte written has never run.
func (a *attempt) abandon(r routing.Result) {
	if !a.begun {
		r = routing.ResultNotSent
	}
	a.done(routing.Outcome{Result: r}, 0)
}

// done settles an attempt; the module hears of it after the event in hand.
func (a *attempt) done(o routing.Outcome, position time.Duration) {
	if a.over {
		return
	}
	a.over = true
	if a.reply != nil {
		a.reply(o, position)
		return
	}
	g, f := a.g, a.g.f
	if p := g.pools[a.h]; a.begun {
		p.out = slices.DeleteFunc(p.out, func(x *attempt) bool { return x == a })
		if o.Result == routing.ResultTimeout || o.Result == routing.ResultCancelled {
			a.h.conns--
		} else if o.Result != routing.ResultReset {
			g.free(a.h, a.opened)
			o.ConnectedAt = a.opened
		}
	}
	f.after(0, func() {
		q := a.q
		q.out = slices.DeleteFunc(q.out, func(x *attempt) bool { return x == a })
		if o.Result == routing.ResultOK && !q.ended {
			g.answer(q, true, false, 0, a, position)
		}
		o.Request, o.Attempt, o.Member, o.Latency, o.Closed = q.id, a.number, a.h.id, f.now-a.sentAt, q.ended
		if a.process == g.life {
			g.router.Outcome(f.now, o)
		}
	})
}

// free keeps a connection idle, for as long as the fleet's rule says.
func (g *gateway) free(h *host, up time.Duration) {
	p := g.pools[h]
	p.idle = append(p.idle, open{up, g.f.now})
	g.trim(h)
}

// trim closes the idle connections to a host whose time is up, and looks again when the next one's will be.
func (g *gateway) trim(h *host) {
	p, f := g.pools[h], g.f
	left := func(i int) time.Duration {
		return g.keeper.IdleTimeout(clock(f.now), &p.asked, len(p.idle)-1-i) - (f.now - p.idle[i].freed)
	}
	for len(p.idle) > 0 && left(0) <= 0 {
		p.idle = p.idle[1:]
		h.conns--
	}
	next := time.Duration(math.MaxInt64)
	for i := range p.idle {
		next = min(next, left(i))
	}
	if life, process := h.life, g.life; len(p.idle) > 0 && (p.trimAt <= f.now || f.now+next < p.trimAt) {
		p.trimAt = f.now + next
		f.after(next, func() {
			if h.life == life && g.life == process {
				g.trim(h)
			}
		})
	}
}

// broken resets what is open to a host.
func (g *gateway) broken(h *host) {
	p := g.pools[h]
	out := p.out
	p.idle, p.out = nil, nil
	g.f.after(g.distance(h), func() {
		for _, a := range out {
			a.done(routing.Outcome{Result: routing.ResultReset}, 0)
		}
	})
}

// Cancel abandons one attempt.
func (g *gateway) Cancel(id uint64, number int) {
	if q := g.requests[id]; q != nil {
		for _, a := range q.out {
			if a.number == number {
				a.abandon(routing.ResultCancelled)
				return
			}
		}
	}
}

// Refuse is a final answer that promises that nothing ran.
func (g *gateway) Reject(id uint64, comeBack time.Duration, _ routing.Reason) {
	if q := g.requests[id]; q != nil {
		g.answer(q, false, true, comeBack, nil, 0)
	}
}

// Fail is a final answer that promises nothing.
func (g *gateway) Fail(id uint64, _ routing.Reason) {
	if q := g.requests[id]; q != nil {
		g.answer(q, false, false, 0, nil, 0)
	}
}

// Close shuts idle connections.
func (g *gateway) CloseIdle(member string) {
	h := g.hosts[member]
	h.conns, g.pools[h].idle = h.conns-len(g.pools[h].idle), nil
}

// Probe asks a host for its report.
func (g *gateway) CheckHealth(member string, by routing.ConnPolicy) {
	h, f := g.hosts[member], g.f
	at := f.now
	f.judge.probes++
	over, process := false, g.life
	up := time.Duration(0)
	end := func(r routing.Result, p routing.Report) {
		if !over && process == g.life {
			over = true
			x := routing.HealthCheckResult{Member: member, Result: r, Latency: f.now - at, Report: p}
			if r == routing.ResultOK {
				x.ConnectedAt = up
			}
			g.router.HealthChecked(f.now, x)
		}
	}
	f.after(connectFor, func() { end(routing.ResultTimeout, routing.Report{}) })
	g.dial(h, by, func(opened time.Duration) {
		if up = opened; opened <= 0 {
			end(routing.ResultConnectFailed, routing.Report{})
			return
		}
		life := h.life
		f.judge.cold(h, g, probeCost.Seconds()/f.meanWork())
		f.after(2*g.distance(h)+probeCost, func() {
			if h.cut > 0 || process != g.life {
				return
			} else if h.life != life || !h.up {
				end(routing.ResultReset, routing.Report{})
				return
			}
			g.free(h, opened)
			x := h.pressure()
			p := routing.Report{HasPosition: true, Position: x.position.Milliseconds(), Role: routing.RoleReplica}
			if x.primary {
				p.Role = routing.RolePrimary
			}
			end(routing.ResultOK, p)
		})
	})
}

// SetTimer asks for a timer event.
func (g *gateway) SetTimer(after time.Duration, name string) {
	process := g.life
	g.f.after(after, func() {
		if process == g.life {
			g.router.Timer(g.f.now, name)
		}
	})
}

// Subscribe and FetchEndpoints have nothing to do.
func (g *gateway) Subscribe(bool)  {}
func (g *gateway) FetchEndpoints() {}
func (g *gateway) Log(string)      {}

// ZoneChanged notes what the module has come to hold of a zone.
func (g *gateway) ZoneChanged(c zones.Change) {
	g.changes = append(g.changes, c.Zone+" "+c.To.String())
}
