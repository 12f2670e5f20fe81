// The decisions of cranegate. The types at the edge (Config, events, Gateway) stand in interface.go.
//
// Read top to bottom: constants, state, events, evidence, primary, read choice, attempts, admission, lists.
package rules

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranegate/internal/zones"
)

// `usual` is the learned round trip of a class, the unit of most measures below.
const (
	sweepEvery   = 20 * time.Millisecond  // how often open requests are looked at again; well under any aim
	lookEvery    = 100 * time.Millisecond // and members and the list: with hundreds of them a walk is dear
	windowLen    = 40                     // round trips kept a member: a share good to about 0.03
	windowAge    = 4 * time.Second        // older round trips say little of a member's load now
	prior        = 2.0                    // answers of its role count as a member's own: it may have none
	tieMargin    = 0.1                    // products this near to the best are a tie: noise of the window
	tierCrowd    = 1.0                    // attempts by which a preferred tier may be fuller than others
	silenceLimit = 5.0                    // times usual without any answer: a live member's chance is e^-5
	sureCores    = 2                      // attempts that any member works on at once; the rest may be queued
	failuresMax  = 2                      // failures in a row: one broken connection says little
	awayAtLeast  = time.Second            // no process that was heard since has died and started again
	heardLately  = 150 * time.Millisecond // and connections that break are no sign of its death for this long
	trialGap     = time.Second            // one trial read a suspect member: bounds what a hang can eat
	laggard      = 300                    // ms behind that neither shipping nor old reports explain
	hedgeAfter   = 3.0                    // times usual before a second copy: about the slowest twentieth
	tightFor     = 5 * time.Second        // idle connections are shut, after a sign that members lack them
	retryShare   = 0.1                    // further attempts for each first one: they must not feed a jam
	retryBurst   = 20.0                   // and so many saved up
	pauseFull    = 25 * time.Millisecond  // before a write or fresh read asks a full primary again
	pauseSearch  = 500 * time.Millisecond // after a round of misses: a switch takes at least that long
	probeUnheard = 300 * time.Millisecond // a member unheard for this is probed: reports age about as fast
	probeSearch  = 100 * time.Millisecond // the same while a group's primary is sought
	probeShare   = 0.25                   // probes for each request: quiet gateways need not know everyone
	doubtsMost   = 8                      // probes of doubtful zones at each look
	probeMembers = 12.0                   // past this each is met too seldom for as many to pay
	probeBurst   = 30.0                   // and this many saved up, for a start or a search
	heldAtMost   = 0.5                    // share of its time after which an unsent request is refused
	shedBelow    = 0.9                    // expected worth under which a growing share is refused,
	shedRamp     = 0.3                    // all but a trickle of them when it is lower by this
	trickle      = 0.05                   // keeps evidence coming while shedding, so that it ends
	pressedBelow = 0.8                    // expected worth under which work past a tenant's share is refused
	primaryRoom  = 1                      // attempts for which reads leave room at a primary
	primarySpare = 0.85                   // chance at the primary below which other reads keep off it
	usualGain    = 0.03                   // weight of one answer in a class's usual round trip
	workGain     = 0.25                   // the work of a class is near its shortest round trips,
	workOver     = time.Minute            // forgotten over this: in longer ones it waits in queues
	usualClip    = 4.0                    // one answer counts as at most this many times usual
	firstUsual   = 0.25                   // usual before any answer, as a share of the aim
	flowOver     = 10 * time.Second       // answered work is averaged over this: a quiet gateway has little
	coldSafety   = 0.85                   // share of the tipping budget used: gateways see unequal load
	sessionsKept = 100000                 // remembered session marks, the oldest dropped first: bounds memory
	goneKept     = 60 * time.Second       // an unlisted member is forgotten when silent this long
	askAgain     = 500 * time.Millisecond // first wait after a failed call to discovery, then doubled
	askedKept    = 200.0                  // requests over which tenants' parts are counted: good to 0.04
	adviceShare  = 0.05                   // advice to come back, of the deadline: while an answer still earns
)

// sample is one round trip over its class's usual; censored ones lasted at least so long.
type sample struct {
	at       time.Duration
	ratio    float64
	censored bool
}

// member is one server.
type member struct {
	id, zone                         string
	group                            *group
	at                               *zones.Zone
	size                             float64
	usable, drained, leader, probing bool          // may be sent work; listed draining; listed primary
	value                            float64       // product for the read being placed
	startedAt, heardAt, trialAt      time.Duration // heardAt: last answer; trialAt: next trial while suspect
	position                         int64         // highest told, in ms, at posAt
	role                             Role
	roleDate                         int64   // position at which the role was told: claims are ordered by it
	failed, shut                     int     // connects and connections broken since it was heard; connects
	lost                             float64 // longest silence on attempts that have ended unanswered
	window                           []sample
	out                              []*attempt // in order of sends
	down                             bool       // a probe could not reach it; heard again it started anew
	posAt, probedAt, creditAt        time.Duration
	seenAt, askedAt                  time.Duration // last answer to a probe; first probe since
	was, awayAt                      time.Duration // startedAt before it went with its zone, heard at awayAt
	credit                           float64       // while cold: work that may be sent, in s, as of creditAt
}

// group is one primary and its replicas, sorted by id.
type group struct {
	members            []*member
	next               int           // where the search for the primary goes on
	seeking            *attempt      // a search attempt that is out
	searchAt, soughtAt time.Duration // from when the next may go; when a request last wanted it in vain
}

// attempt is one send.
type attempt struct {
	q           *request
	number      int
	m           *member
	sentAt      time.Duration
	usual, work time.Duration // of its class, as of the send
	cancelled   bool
}

// request is one client request.
type request struct {
	Request
	class                             *Class
	usual                             *time.Duration
	group                             *group
	deadline, aimAt, limit            time.Duration // an answer past aimAt earns less, past limit nothing
	heldTo                            time.Duration // unsent till then it is refused
	reached                           bool          // a member has had it, though it may have turned it away
	need                              int64         // position that fresh and session reads need
	out                               []*attempt
	sent                              int
	mayRun, ran                       bool          // an attempt may have run; one that is over may have
	ranAt                             time.Duration // the earliest of them was sent then
	missed                            []*member     // turned this request away
	pause                             time.Duration // nothing is sent before
	over, atPrimary, ended, streaming bool          // past its tenant's share; only the primary can serve it
}

// Router decides for one gateway.
type Router struct {
	cfg                      Config
	gw                       Gateway
	rng                      *rand.Rand
	zones                    *zones.Zones // nil: off
	now                      time.Duration
	members                  map[string]*member
	sorted                   []*member
	groups                   map[int]*group
	requests                 map[uint64]*request
	open                     []*request        // in order of arrival
	usual, work, workAt      []time.Duration   // by class: round trips in the mean, and the work in them
	pools                    map[bool][]sample // round trips at primaries (true), and at all others
	tokens, probes           float64           // budgets of further attempts and of probes
	asked                    []float64         // requests of each tenant, older ones counting less
	flow                     float64           // work answered a second, as of flowAt
	marks                    marks             // remembered session commits
	listed, asking, followed bool              // a list has come; a call to discovery is out; subscribed
	worth, weight            float64           // worth and usual of a request in the mean of our traffic
	sweepAt, lookAt          time.Duration     // the next sweep, and the next look at members
	awakeAt, startAt, flowAt time.Duration
	askedAt, askAfter        time.Duration
	tightUntil               time.Duration // members are taken to be short of connections
	probeNext                int
}

// New starts a gateway's decisions.
func New(now time.Duration, cfg Config, seed uint64, gw Gateway) (*Router, error) {
	if len(cfg.Classes) == 0 || cfg.Gateways < 1 || cfg.MaxAttempts < 1 {
		return nil, errors.New("configuration: Classes, Gateways and MaxAttempts must be set")
	}
	r := &Router{cfg: cfg, gw: gw, now: now, startAt: now, flowAt: now, rng: rand.New(rand.NewPCG(seed, 0)),
		members: map[string]*member{}, groups: map[int]*group{}, requests: map[uint64]*request{},
		pools:  map[bool][]sample{},
		tokens: retryBurst / 2, asked: make([]float64, len(cfg.Tenants)), askAfter: askAgain}
	if cfg.Zones != nil {
		var err error
		if r.zones, err = zones.New(*cfg.Zones, seed); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}
	}
	for i, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return nil, fmt.Errorf("configuration: class %d (%s) needs Aim and Deadline", i, c.Name)
		}
		r.usual = append(r.usual, time.Duration(float64(c.Aim)*firstUsual))
		r.work, r.workAt = append(r.work, r.usual[i]), append(r.workAt, now)
	}
	r.setTimer()
	return r, nil
}

// ---- Events ----

// wake moves the clock. Where sweeps are long overdue this gateway stood still: members were not silent.
func (r *Router) wake(now time.Duration) {
	if now-r.now > 2*lookEvery {
		r.awakeAt = now
	}
	r.now = now
}

// Request takes a client's request.
func (r *Router) Request(now time.Duration, in Request) {
	r.wake(now)
	if r.requests[in.ID] != nil || in.Class < 0 || in.Class >= len(r.cfg.Classes) {
		return
	}
	c := &r.cfg.Classes[in.Class]
	q := &request{Request: in, class: c, usual: &r.usual[in.Class], group: r.groupOf(in.Group),
		deadline: now + in.Remaining, over: r.overShare(in.Tenant)}
	q.atPrimary = c.Need == NeedWrite || c.Need == NeedFresh
	q.aimAt = min(now+c.Aim+time.Duration(c.Stretch*float64(in.Work)), q.deadline)
	q.heldTo = now + time.Duration(heldAtMost*float64(in.Remaining)) - sweepEvery
	if q.limit = q.aimAt; c.LateWorth > 0 {
		q.limit = q.deadline
	}
	switch {
	case c.Need == NeedFresh:
		q.need = r.ms(now)
	case c.Need == NeedSession && r.cfg.Remembered:
		q.need = r.marks.positions[in.Session]
	case c.Need == NeedSession && in.SinceWrite > 0:
		q.need = r.ms(now - in.SinceWrite)
	}
	r.worth += (c.Worth - r.worth) / askedKept
	r.weight += (q.usual.Seconds() - r.weight) / askedKept
	r.requests[in.ID] = q
	r.probes = min(probeBurst, r.probes+probeShare*min(1, probeMembers/float64(1+len(r.sorted))))
	r.open = append(r.open, q)
	r.advance(q)
	r.setTimer()
}

// Outcome takes the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.wake(now)
	q, i := r.requests[o.Request], -1
	if q != nil {
		i = slices.IndexFunc(q.out, func(x *attempt) bool { return x.number == o.Attempt })
	}
	if i < 0 {
		return
	}
	a := q.out[i]
	q.out = slices.Delete(q.out, i, i+1)
	a.m.out = slices.DeleteFunc(a.m.out, func(x *attempt) bool { return x == a })
	if q.group.seeking == a {
		q.group.seeking = nil
	}
	before := q.group.primary()
	r.learn(a, o)
	if r.now < r.tightUntil && len(a.m.out) == 0 {
		r.gw.Close(a.m.id) // idle connections of ours would keep other gateways out
	}
	if o.Closed || q.ended {
		r.end(q, false)
	} else {
		r.afterAttempt(q, a, o.Result)
	}
	r.release(q.group, before)
}

// Started tells that a streamed answer has begun: the attempt is the client's now, other copies are waste.
func (r *Router) Started(now time.Duration, id uint64, number int) {
	r.wake(now)
	q := r.requests[id]
	if q == nil || q.ended {
		return
	}
	q.streaming = true
	for _, a := range q.out {
		if a.number != number {
			r.cancel(a)
		}
	}
}

// ClientGone tells that the client has left: nothing is owed.
func (r *Router) ClientGone(now time.Duration, id uint64) {
	r.wake(now)
	if q := r.requests[id]; q != nil {
		r.end(q, false)
	}
}

// Probed takes the end of a probe. A probe shows that the process runs: it ends doubts of the connection, but
// those of silence only with a position that has moved on.
func (r *Router) Probed(now time.Duration, p ProbeResult) {
	r.wake(now)
	m := r.members[p.Member]
	if m == nil {
		return
	}
	before, moved := m.group.primary(), p.Report.Position > m.position
	m.probing = false
	r.learnReport(m, p.Report)
	r.seen(m, p)
	if p.Result == ResultOK && (m.down || moved || m.lived(p.Opened)) {
		r.hear(m, p.Opened)
	} else if p.Result == ResultOK {
		m.failed, m.shut = 0, 0
	} else if p.Result == ResultConnectFailed || p.Result == ResultReset {
		if m.failed++; p.Result == ResultConnectFailed {
			m.shut, m.down = m.shut+1, true
		}
	}
	r.release(m.group, before)
}

// Timer takes a timer.
func (r *Router) Timer(now time.Duration, name string) {
	if name != "sweep" || now+time.Millisecond < r.sweepAt {
		return
	}
	r.wake(now)
	r.sweepAt = 0
	if now >= r.lookAt {
		r.lookAt = now + lookEvery
		r.followList()
		r.lookZones()
		r.probeAll()
	}
	for _, q := range r.open {
		r.advance(q)
	}
	r.open = slices.DeleteFunc(r.open, func(q *request) bool { return q.ended })
	r.setTimer()
}

// setTimer asks for the next sweep: soon while requests are open. Timers that are overtaken are ignored.
func (r *Router) setTimer() {
	at := r.now + lookEvery
	if len(r.open) > 0 {
		at = r.now + sweepEvery
	}
	if r.sweepAt == 0 || at < r.sweepAt {
		r.sweepAt = at
		r.gw.SetTimer(at-r.now, "sweep")
	}
}

// release looks again at a group's open requests as soon as another primary is named.
func (r *Router) release(g *group, before *member) {
	p := g.primary()
	for _, q := range r.open {
		if q.group == g && len(q.out) == 0 && p != nil && p != before {
			q.pause = 0
			r.advance(q)
		}
	}
}

// ---- Evidence: the one place where positions, roles, latencies and health are learned ----

// learn takes what an attempt's end tells of its member.
func (r *Router) learn(a *attempt, o Outcome) {
	m, ratio := a.m, float64(o.Took)/float64(a.usual)
	r.learnReport(m, o.Report)
	if o.Position > m.position {
		m.position, m.posAt = o.Position, r.now
	}
	role, date := o.Role, cmp.Or(o.Position, r.ms(r.now))
	if o.Result == ResultMiss && a.q.class.Need == NeedWrite {
		role = RoleReplica // it turns writes away, whatever it says
	}
	if role != RoleUnknown {
		r.learnRole(m, role, max(date, m.roleDate))
	}
	if r.zones != nil && o.Result != ResultTimeout && o.Result != ResultCancelled && !away(o.Result) {
		r.zones.Spare(m.at, a.sentAt)
	}
	switch o.Result {
	case ResultOK:
		r.hear(m, o.Opened)
		r.flow, r.flowAt = r.flowNow()+a.work.Seconds()/flowOver.Seconds(), r.now
		r.addSample(m, sample{at: r.now, ratio: ratio})
		u := a.q.usual
		w, since := &r.work[a.q.Class], float64(r.now-r.workAt[a.q.Class])/float64(workOver)
		r.workAt[a.q.Class] = r.now
		*w = min(*w+time.Duration(since*float64(*w)), r.usual[a.q.Class])
		*w -= time.Duration(workGain * float64(max(0, *w-o.Took)))
		*u += time.Duration(usualGain * (min(ratio, usualClip)*float64(a.usual) - float64(*u)))
		if r.cfg.Remembered && a.q.class.Need == NeedWrite && a.q.Session != "" && o.Position > 0 {
			r.marks.put(a.q.Session, o.Position, sessionsKept)
		}
	case ResultMiss, ResultError, ResultRejected, ResultSpoilt: // the last are no sign of load
		if r.hear(m, o.Opened); o.Result == ResultError {
			r.addSample(m, sample{at: r.now, ratio: 1e9})
		}
	case ResultTimeout, ResultCancelled:
		m.lost, m.trialAt = max(m.lost, r.missing(a)), r.now+trialGap/2 // its next place is no trial here
		r.addSample(m, sample{at: r.now, ratio: ratio, censored: true})
	case ResultFull: // a jam, and no proof of service: a hung member fills up too
		r.addSample(m, sample{at: r.now, ratio: 1e9})
	case ResultConnectFailed, ResultReset: // no sign of load: must not feed admission
		m.failed, m.trialAt = m.failed+1, r.now+trialGap/2
		if o.Result == ResultConnectFailed {
			m.shut++
		}
	}
}

// learnReport takes a report. Its position dates it: a role that it tells counts only if the position is past
// that of what is known. That guards against reports that come seconds late.
func (r *Router) learnReport(m *member, p Report) {
	if !p.HasPosition {
		return
	}
	if p.Role != RoleUnknown && p.Position > m.roleDate {
		r.learnRole(m, p.Role, p.Position)
	}
	if p.Position > m.position {
		m.position, m.posAt = p.Position, r.now
	}
}

// learnRole takes a dated claim; a newer primary unmakes the older one.
func (r *Router) learnRole(m *member, role Role, date int64) {
	if role == RolePrimary {
		for _, x := range m.group.members {
			if x != m && x.role == RolePrimary {
				if x.roleDate > date {
					return
				}
				x.role = RoleUnknown
			}
		}
	}
	m.role, m.roleDate = role, date
}

// hear ends all doubts of a member: it has answered. One that was down is cold from now: that guards against
// pushing over a member whose restart the list tells late or never.
func (r *Router) hear(m *member, opened time.Duration) {
	kept := m.role == RoleReplica && r.ms(r.now)-m.position < laggard
	away := r.now-m.heardAt >= awayAtLeast
	died := m.down || m.at.Condemned(m.heardAt) // what went with its zone may have started anew
	listed := m.startedAt > m.heardAt           // and this is the start that the list has told
	if m.lived(opened) {
		if died = false; m.awayAt > 0 {
			m.startedAt, m.awayAt = m.was, 0
		}
	} else if away && m.at.Condemned(m.heardAt) {
		m.was, m.awayAt = m.startedAt, m.heardAt
	}
	if away && !listed && (died || m.failed >= failuresMax && !kept && r.now >= r.tightUntil) {
		m.startedAt, m.window, m.creditAt = r.now, nil, 0
	} else if m.shut > 0 && kept && !away { // else it may have been cut off
		r.tightUntil = r.now + tightFor // it ran all the time, so it was short of connections
	}
	m.heardAt, m.failed, m.shut, m.lost, m.down = r.now, 0, 0, 0, false
}

// addSample keeps a round trip as if the member had had none but its sure share of our work.
func (r *Router) addSample(m *member, s sample) {
	s.ratio /= crowding(len(m.out) + 1)
	m.window = append(m.window[max(0, len(m.window)-windowLen+1):], s)
	pool := r.pools[m.role == RolePrimary]
	r.pools[m.role == RolePrimary] = append(pool[max(0, len(pool)-windowLen+1):], s)
}

// crowding is how much longer answers take when so many attempts of ours are at a member: those past what it
// surely works on at once wait in line. It lets the chance follow the load at once, up and down.
func crowding(out int) float64 { return float64(max(out, sureCores)) / sureCores }

// missing is how long an attempt has been out with its member silent, in times usual.
func (r *Router) missing(a *attempt) float64 {
	return float64(r.now-max(a.sentAt, a.m.heardAt, r.awakeAt)) / float64(a.usual)
}

// suspect says that a member is silent or out of reach. Silence is measured on the attempts that it
// surely works on: one rule covers a hang, a cut and a crawl, at any load; it ends with the first answer.
func (r *Router) suspect(m *member) bool {
	broken := m.failed >= failuresMax && r.now-m.heardAt >= heardLately
	return m.at.Condemned(m.heardAt) || broken || m.shut >= failuresMax || r.silence(m) > silenceLimit
}

// silence is the longest of a member's attempts without an answer, in times usual.
func (r *Router) silence(m *member) float64 {
	lost := m.lost
	for _, a := range m.out[:min(len(m.out), sureCores)] {
		lost = max(lost, r.missing(a))
	}
	return lost
}

// ---- Primary finding ----

// primary is the usable member last told to be primary.
func (g *group) primary() *member {
	for _, m := range g.members {
		if m.role == RolePrimary && m.usable {
			return m
		}
	}
	return nil
}

// choosePrimary finds the place for a write or a fresh read; nil holds it. Without a primary a write tries
// members in order of ids, with a pause after each round, one at a time: many would fall into one hole.
func (r *Router) choosePrimary(q *request) *member {
	g, p := q.group, q.group.primary()
	if p != nil && r.legal(q, p) && (!r.suspect(p) || r.trial(q, p)) {
		return p
	}
	g.soughtAt = r.now
	if q.class.Need != NeedWrite || p != nil && !r.suspect(p) || g.seeking != nil || r.now < g.searchAt {
		return nil
	}
	for g.next < len(g.members) {
		m := g.members[g.next]
		if g.next++; m != p && !r.suspect(m) && r.legal(q, m) {
			return m
		}
	}
	g.next, g.searchAt = 0, r.now+pauseSearch
	return nil
}

// trial lets one request through to a suspect member now and then, so that it can come back: one that may
// be repeated, or any where connections fail, as it hardly gets written then.
func (r *Router) trial(q *request, m *member) bool {
	if q.class.Effect != Repeatable && m.shut < failuresMax ||
		r.now < m.trialAt || r.now+4**q.usual > q.limit ||
		r.cfg.MayProbe && m.at.Condemned(m.seenAt) { // probes cost clients nothing
		return false
	}
	m.trialAt = r.now + trialGap
	return true
}

// ---- Read choice: row utility x freshness x chance of answering in time ----

// minimum is the position that a read needs when sent now.
func (r *Router) minimum(q *request) int64 {
	if q.class.Need == NeedBounded {
		return r.ms(r.now - q.class.Bound)
	}
	return q.need
}

// reached is the position that a member has. Where members check reads, its lag is presumed to be what it was
// when last heard, as long as a primary lives: that guards against reads piling onto the primary and the
// few members heard just now, as a quiet gateway hears most too seldom; a miss corrects a wrong guess.
func (r *Router) reached(m *member) int64 {
	p := m.group.primary()
	if r.cfg.Guards == GuardNone || p == nil || r.suspect(p) {
		return m.position
	} else if m.position == 0 {
		return r.ms(r.now) // unheard: no worse than one not heard for long
	}
	return m.position + int64((r.now-m.posAt)/time.Millisecond)
}

// fresh says whether a member may serve a read: its position suffices, or it was last told to be primary.
func (r *Router) fresh(q *request, m *member) bool {
	need := r.minimum(q)
	return need <= 0 || r.reached(m) >= need || m == q.group.primary()
}

// chance is the share of a member's recent round trips within a time. Attempts out for longer count as too
// late at once, so a member that falls silent stops winning before any time-out.
func (r *Router) chance(m *member, left, usual time.Duration, extra int) float64 {
	target := float64(left) / float64(usual)
	each := target / crowding(len(m.out)+1+extra)
	hits, n := r.share(r.pools[m.role == RolePrimary], each, prior, prior)
	hits, n = r.share(m.window, each, prior*hits/n, prior)
	for _, a := range m.out {
		if float64(r.now-a.sentAt)/float64(a.usual) > target {
			n++
		}
	}
	return hits / n
}

// share adds to hits and n what a window says of round trips within a target.
func (r *Router) share(window []sample, target, hits, n float64) (float64, float64) {
	for _, s := range window {
		w := 2 * (1 - float64(r.now-s.at)/float64(windowAge)) // the newest say most
		if late := s.ratio > target; w > 0 && late {
			n += w
		} else if w > 0 && !s.censored {
			hits, n = hits+w, n+w
		}
	}
	return hits, n
}

// product is the best row's utility times the chance of its time.
func (r *Router) product(q *request, m *member) float64 {
	extra := 0
	if m == q.group.primary() && !q.atPrimary {
		extra = primaryRoom
	}
	aim := r.chance(m, q.aimAt-r.now, *q.usual, extra)
	return max(aim, q.class.LateWorth*r.chance(m, q.deadline-r.now, *q.usual, extra))
}

// choose finds the place for a request; nil holds it. Where none is fresh and the primary has no room but
// members check, it is the most advanced that can have caught up since it was heard, at twice time's pace.
func (r *Router) choose(q *request) *member {
	if q.atPrimary {
		return r.choosePrimary(q)
	}
	p, top := q.group.primary(), 0.0
	if r.zones != nil {
		r.zones.Forget()
	}
	var fit, tied []*member
	var tried, hope *member
	for _, m := range q.group.members {
		switch suspect := r.suspect(m); {
		case !r.legal(q, m):
		case !r.fresh(q, m):
			caught := r.reached(m) + int64((r.now-m.posAt+r.cfg.CatchUpWait)/time.Millisecond)
			may := r.cfg.Guards != GuardNone && caught >= r.minimum(q) && !suspect
			if may && (hope == nil || m.position > hope.position) {
				hope = m
			}
		case suspect:
			tried = m
		default:
			if m.value = r.product(q, m); m != p || m.value >= primarySpare {
				fit, top = append(fit, m), max(top, m.value)
			}
		}
	}
	if len(fit) == 0 {
		q.group.soughtAt = r.now
		return hope
	}
	if tried != nil && r.trial(q, tried) {
		return tried
	}
	for _, m := range fit {
		if m != p && m.value >= top*(1-tieMargin) {
			tied = append(tied, m)
		}
	}
	if len(tied) == 0 {
		return p
	}
	tied = r.prefer(q.group, p, tied)
	m := slices.MinFunc(tied, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
	if q.class.Need != NeedAny || r.ms(m.posAt)-m.position <= laggard { // those serve only such reads
		m = tied[r.rng.IntN(len(tied))]
		if b := tied[r.rng.IntN(len(tied))]; r.crowd(b) < r.crowd(m) { // of two the less crowded
			m = b
		}
	}
	return m
}

// prefer keeps of near-ties those in the tier that the stated shares draw. Usable in a tier is what is tied:
// fresh, not suspect, as good as any. So a tier that is full spills over, and none makes a stale member fit.
func (r *Router) prefer(g *group, p *member, tied []*member) []*member {
	if r.zones == nil || !r.zones.Tiered() {
		return tied
	}
	crowds := func(a, b *member) int { return cmp.Compare(r.crowd(a), r.crowd(b)) }
	least := r.crowd(slices.MinFunc(tied, crowds))
	tied = slices.DeleteFunc(tied, func(m *member) bool { return r.crowd(m) > least+tierCrowd })
	var plan zones.Plan
	for _, m := range g.members {
		if able := 0.0; m != p {
			if slices.Contains(tied, m) {
				able = m.size * r.warmth(m) * r.zones.Ramp(m.at)
			}
			plan.Add(m.at.Tier(), m.size, able)
		}
	}
	t := r.zones.Draw(&plan, r.rng)
	kept := slices.DeleteFunc(slices.Clone(tied), func(m *member) bool { return m.at.Tier() != t })
	if len(kept) == 0 {
		return tied
	}
	return kept
}

// crowd is our work out at a member, with a little for distance where crossing zones costs.
func (r *Router) crowd(m *member) float64 {
	n := float64(len(m.out)) / max(m.size, 0.1)
	if r.cfg.CrossZoneCost > 0 && m.zone != r.cfg.Zone {
		n += 0.5
	}
	return n
}

// ---- Attempts ----

// legal is the gate that every send passes; each line keeps one rule.
func (r *Router) legal(q *request, m *member) bool {
	switch {
	case q.ended, q.streaming, r.now < q.pause, r.now >= q.limit, q.sent >= r.cfg.MaxAttempts,
		!m.usable, m.group != q.group, // drains, and groups
		len(q.out) > 0 && (!r.cfg.MayDuplicate || q.class.Effect == Once), // copies out together
		slices.ContainsFunc(q.out, func(a *attempt) bool { return a.m == m }),
		!q.repeatAllowed(r.now), // duplicate effects
		slices.Contains(q.missed, m) && m.position < r.minimum(q) && m != q.group.primary(), // a sure miss
		r.cfg.Guards == GuardNone && q.class.Need != NeedWrite && !r.fresh(q, m):            // stale reads
		return false
	}
	return r.coldRoom(m, r.work[q.Class])
}

// repeatAllowed says whether what may have run allows another attempt.
func (q *request) repeatAllowed(now time.Duration) bool {
	k := q.class
	return k.Effect == Repeatable || !q.mayRun || k.Effect == Keyed && now < q.ranAt+k.KeyTTL
}

// send is the only way to a server.
func (r *Router) send(q *request, m *member) *attempt {
	if !r.legal(q, m) {
		return nil
	}
	a := &attempt{q: q, number: q.sent, m: m, sentAt: r.now, usual: *q.usual, work: r.work[q.Class]}
	if q.sent == 0 {
		r.tokens = min(retryBurst, r.tokens+retryShare)
	}
	if !q.mayRun {
		q.mayRun, q.ranAt = true, r.now
	}
	q.sent++
	q.out, m.out = append(q.out, a), append(m.out, a)
	m.credit -= a.work.Seconds() // as flow counts it, however long queues are
	r.gw.Send(q.ID, m.id, q.limit)
	return a
}

func (r *Router) cancel(a *attempt) {
	if r.cfg.MayCancel && !a.cancelled {
		a.cancelled = true
		r.gw.Cancel(a.q.ID, a.number)
	}
}

// end is the only way to end a request. Where an answer is owed it is given at once: a refusal where that is
// true, else a failure. Copies still out are cancelled where they may be.
func (r *Router) end(q *request, owed bool) {
	harmless := !q.mayRun || q.class.Effect == Keyed && q.class.KeyAll
	if !q.ended && owed && (harmless || q.class.Effect == Repeatable) {
		r.gw.Refuse(q.ID, min(time.Duration(adviceShare*float64(q.class.Deadline)), r.cfg.MaxComeBack))
	} else if !q.ended && owed {
		r.gw.Fail(q.ID)
	}
	q.ended = true
	for _, a := range q.out {
		if q.class.Effect == Repeatable {
			r.cancel(a)
		}
	}
	if len(q.out) == 0 {
		delete(r.requests, q.ID)
	}
}

// afterAttempt decides what follows an attempt that did not answer.
func (r *Router) afterAttempt(q *request, a *attempt, result Result) {
	switch result {
	case ResultMiss:
		q.missed = append(q.missed, a.m)
	case ResultFull:
		if q.atPrimary {
			q.pause = r.now + pauseFull
		}
	case ResultConnectFailed, ResultMoot:
	case ResultRejected: // the client's fault: no other member would do better
		r.gw.Fail(q.ID)
		r.end(q, false)
		return
	default:
		q.ran = true
	}
	q.reached = q.reached || result != ResultConnectFailed && result != ResultMoot
	q.mayRun = q.ran || len(q.out) > 0
	if again := q.ran && !a.cancelled && len(q.out) == 0; again && r.tokens < 1 {
		r.end(q, true)
		return
	} else if again {
		r.tokens--
	}
	r.advance(q)
}

// advance decides what to do next for a request: on arrival, after an outcome, and at each sweep.
func (r *Router) advance(q *request) {
	if q.ended || q.streaming {
		return
	}
	if len(q.out) > 0 {
		r.reconsider(q)
		return
	}
	p := q.group.primary()
	if r.now+*q.usual/2 > q.limit || q.sent >= r.cfg.MaxAttempts || !q.repeatAllowed(r.now) || // hopeless
		r.now >= q.heldTo && !q.reached {
		r.end(q, true)
	} else if m := r.choose(q); m != nil && q.sent == 0 && (m == p || !q.atPrimary) && !r.admit(q, m) {
		r.end(q, true)
	} else if m != nil {
		a := r.send(q, m)
		if m != p && q.atPrimary {
			q.group.seeking = a
		} else if r.zones != nil && a != nil {
			r.zones.Placed(m.at.Tier())
		}
	}
}

// reconsider moves a request off a silent member, or sends a second copy of a slow one.
func (r *Router) reconsider(q *request) {
	a := q.out[len(q.out)-1]
	slow := r.cfg.MayDuplicate && float64(r.now-a.sentAt) > hedgeAfter*float64(a.usual)
	if len(q.out) > 1 || q.class.Effect == Once || a.cancelled || r.tokens < 1 || r.now+*q.usual > q.limit ||
		!slow && !r.suspect(a.m) {
		return
	}
	p := q.group.primary()
	if r.cfg.MayDuplicate {
		if m := r.choose(q); m != nil && (m == p || !q.atPrimary) {
			r.tokens--
			r.send(q, m)
		}
	} else if r.cfg.MayCancel && slices.ContainsFunc(q.group.members, func(m *member) bool {
		return m != a.m && m.usable && !r.suspect(m) && (m == p || !q.atPrimary && r.fresh(q, m))
	}) {
		r.tokens--
		r.cancel(a)
	}
}

// ---- Admission and refusals ----

// admit refuses a share of what would likely come too late, less of what is worth more for its work. The
// share falls as answers get better, and some always go, so a shed group comes back by itself. Work past a
// tenant's share goes first.
func (r *Router) admit(q *request, m *member) bool {
	v := 1 - (1-r.product(q, m))*min(1, r.worth/r.weight*q.usual.Seconds()/max(q.class.Worth, 1e-9))
	if q.over && v < pressedBelow {
		v *= r.cfg.OverShareWorth
	}
	return v >= shedBelow-shedRamp*r.rng.Float64() || r.rng.Float64() < trickle
}

// overShare says, with the odds of it, that a request is past its tenant's share: by the part of our
// traffic against its part of all quotas. How much of all traffic comes here no gateway can know.
func (r *Router) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(r.asked) || r.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	asked, quotas := 0.0, 0.0
	for i, t := range r.cfg.Tenants {
		r.asked[i] *= 1 - 1.0/askedKept
		asked, quotas = asked+r.asked[i], quotas+t.Quota
	}
	r.asked[tenant]++
	return r.rng.Float64()*r.asked[tenant]/(asked+1) > r.cfg.Tenants[tenant].Quota/quotas
}

// ---- Discovery, probes, cold starts ----

// Members takes news of the list. A drain stops sends at once.
func (r *Router) Members(now time.Duration, l MemberList) {
	r.wake(now)
	if l.Kind == ListBroken {
		r.asking, r.followed = false, false
		r.askAfter = min(2*r.askAfter, max(r.cfg.AskWithin/2, askAgain))
		return
	}
	if r.listed {
		r.followed, r.askAfter = true, askAgain
	}
	r.asking = false
	seen := map[string]bool{}
	for _, e := range l.Entries {
		seen[e.Member] = true
		r.entry(e, l.Kind)
	}
	if l.Kind != ListPatch {
		for _, m := range r.sorted {
			if !seen[m.id] {
				r.gone(m)
			}
		}
	}
	if !r.listed {
		r.listed = true
		r.followList()
		r.probeAll()
	}
}

// entry takes one line of the list.
func (r *Router) entry(e Entry, kind ListKind) {
	m := r.members[e.Member]
	if e.Phase == PhaseOff {
		r.gone(m)
		return
	}
	if m == nil {
		m = &member{id: e.Member, group: r.groupOf(e.Group), heardAt: r.now}
		r.members[m.id] = m
		r.sorted = insert(r.sorted, m)
		m.group.members = insert(m.group.members, m)
	}
	if m.was = max(m.was, e.StartedAt); e.StartedAt > m.startedAt {
		m.failed, m.lost, m.window, m.creditAt, m.down = 0, 0, nil, 0, false // a new process
	}
	drained := e.Phase == PhaseDraining || m.drained && e.StartedAt <= m.startedAt // no old list undoes it
	if r.zones != nil {
		m.at = r.zones.Zone(e.Zone)
	}
	m.zone, m.size, m.startedAt = e.Zone, e.Size, max(e.StartedAt, m.startedAt)
	m.usable, m.drained = e.Phase == PhaseOn && !drained, drained
	r.hint(m, e.Leader, kind)
}

// hint takes the list's word on the primary: only news of it counts, only where the role follows, and only
// while no primary is known that answers; answers and reports are newer.
func (r *Router) hint(m *member, leader bool, kind ListKind) {
	told := r.cfg.ListRole == ListRoleLate || r.cfg.ListRole == ListRoleStart && kind == ListStale
	news := told && leader && !m.leader
	m.leader = leader
	if p := m.group.primary(); news && p == nil && m.role == RoleUnknown {
		m.role = RolePrimary
	} else if news && p != nil && p != m && r.suspect(p) {
		r.learnRole(m, RolePrimary, p.roleDate+1)
	}
}

// gone takes a member off the list. Where only draining binds, one that was never drained may still be used.
func (r *Router) gone(m *member) {
	if m == nil || r.cfg.OnlyDrainingBinds && !m.drained && (r.now-m.heardAt < goneKept || !r.suspect(m)) {
		return
	}
	m.usable = false
	delete(r.members, m.id)
	r.sorted = remove(r.sorted, m)
	m.group.members = remove(m.group.members, m)
}

// followList keeps a subscription where the list comes only to those who ask.
func (r *Router) followList() {
	due := r.askedAt == 0 || r.now-r.askedAt >= r.askAfter
	if r.cfg.Subscribe && r.listed && due && !r.asking && !r.followed {
		r.asking, r.askedAt = true, r.now
		r.gw.Subscribe(true)
	}
}

// probeAll probes members unheard lately, in turn: where there is doubt (silence, lag, a primary sought) and
// from the upper half of the budget elsewhere; and all at the start if they are few or do not check reads.
func (r *Router) probeAll() {
	doubts := 0
	for i, n := r.probeNext, len(r.sorted); n > 0; i, n = i+1, n-1 {
		m := r.sorted[i%len(r.sorted)]
		after, least, p := probeUnheard, probeBurst/2, m.group.primary()
		if r.suspect(m) || (p == nil || r.suspect(p)) && r.now-m.group.soughtAt < probeUnheard {
			after, least = max(probeSearch, (r.now-m.heardAt)/8), -probeBurst
		} else if r.ms(m.posAt)-m.position > laggard {
			least = 1
		}
		first := m.probedAt+m.posAt == 0 && (r.cfg.Guards == GuardNone || len(r.sorted) <= probeBurst)
		due := first || r.now-m.heardAt >= after && r.now-m.probedAt >= after && r.probes >= least
		if m.usable && !m.probing && m.at.Doubtful() && doubts < doubtsMost && r.now-m.seenAt >= sweepEvery {
			doubts++ // its zone may be gone, and a search may have used up the budget
			due = true
		}
		due = due || m.probeBy() == ConnOldest
		if r.cfg.MayProbe && m.usable && !m.probing && due {
			by := m.probeBy()
			m.probing, m.probedAt, r.probeNext = true, r.now, i+1
			m.ask(r.now)
			if r.gw.Probe(m.id, by); !first {
				r.probes = max(-2*probeBurst, r.probes-1)
			}
		}
	}
}

// warmth is the share of its capacity that a member has at the least.
func (r *Router) warmth(m *member) float64 {
	if m.startedAt <= 0 || r.now >= m.startedAt+r.cfg.ColdFor {
		return 1
	}
	return r.cfg.ColdFrom + (1-r.cfg.ColdFrom)*float64(max(0, r.now-m.startedAt))/float64(r.cfg.ColdFor)
}

// flowNow is the work a second that members have answered us lately.
func (r *Router) flowNow() float64 {
	return r.flow * math.Exp(-float64(r.now-r.flowAt)/float64(flowOver))
}

// coldRoom keeps cold members from being pushed over: all gateways may together send a multiple of present
// capacity in a window. What warm members answer us is our part of theirs; the same multiple of it, scaled to
// the warmth, is our part of the budget. It is saved up from a random debt of up to one request: with one
// request free to each, hundreds of gateways would push the member over together.
func (r *Router) coldRoom(m *member, work time.Duration) bool {
	share := r.warmth(m)
	if share >= 1 {
		return true
	}
	if m.creditAt == 0 {
		m.credit, m.creditAt = -r.rng.Float64()*work.Seconds(), r.now
	}
	known := min(1, max(r.now-r.startAt, r.cfg.TipAfter).Seconds()/flowOver.Seconds()) // a new gateway's flow
	warm := 0.0
	for _, x := range r.sorted {
		if r.warmth(x) >= 1 && !r.suspect(x) {
			warm++
		}
	}
	if warm == 0 {
		warm = float64(len(r.sorted))
	}
	flow := max(r.flowNow()/known, work.Seconds()/r.cfg.TipAfter.Seconds()) / warm
	m.credit = min(0, m.credit+r.cfg.TipMultiple*coldSafety*share*flow*(r.now-m.creditAt).Seconds())
	m.creditAt = r.now
	return m.credit >= 0
}
