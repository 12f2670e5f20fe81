package routing

import (
	"math/rand/v2"
	"time"

	"cranegate/internal/zones"
)

// Router decides for one gateway.
type Router struct {
	cfg                           Config
	gw                            Gateway
	rng                           *rand.Rand
	zones                         *zones.Zones // nil: off
	members                       map[string]*member
	sorted                        []*member
	groups                        map[int]*group
	empty                         []*group // without members, in the order in which their last requests ended
	requests                      map[uint64]*request
	open                          []*request        // in order of arrival
	usual, work, workAt           []time.Duration   // by class: round trips in the mean, and the work in them
	pools                         map[bool][]sample // round trips at primaries (true), and at all others
	tokens, probes, worth, weight float64           // budgets of tries and probes; mean worth and usual
	asked                         []float64         // requests of each tenant, older ones counting less
	flow                          decaying          // work answered a second by a warm member
	marks                         marks             // remembered session commits
	listed, asking, followed      bool              // a list has come; a call to discovery is out; subscribed
	sweepAt, lookAt, tightUntil   time.Duration     // next sweep, and look at members; they lack room
	probeNext                     int

	now, awakeAt, startAt, askedAt, askAfter time.Duration
}

const firstUsual = 0.25 // usual before any answer, as a share of the aim

// New starts a gateway's decisions.
func New(now time.Duration, cfg Config, seed uint64, gw Gateway) (*Router, error) {
	judged, err := cfg.check(seed)
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, gw: gw, now: now, startAt: now, zones: judged, rng: rand.New(rand.NewPCG(seed, 0)),
		members: map[string]*member{}, pools: map[bool][]sample{}, asked: make([]float64, len(cfg.Tenants)),
		groups: map[int]*group{}, requests: map[uint64]*request{}, tokens: retryBurst / 2, askAfter: askAgain}
	for i, c := range cfg.Classes {
		r.usual = append(r.usual, time.Duration(float64(min(c.LatencyObjective, c.Deadline))*firstUsual))
		r.work, r.workAt = append(r.work, r.usual[i]), append(r.workAt, now)
	}
	r.setTimer()
	return r, nil
}

type member struct {
	id, zone                         string
	group                            *group
	at                               *zones.Zone
	usable, drained, leader, probing bool          // may be sent work; listed draining; listed primary
	size, value                      float64       // value: product for the read being placed
	startedAt, heardAt, trialAt      time.Duration // heardAt: last answer; trialAt: next trial while suspect
	role                             Role
	position, roleDate               int64   // highest told, in ms, at posAt; the one of its role
	failed, shut                     int     // connects and connections broken since it was heard; connects
	lost                             float64 // longest silence on attempts that have ended unanswered
	window                           []sample
	out                              []*attempt // in order of sends
	down                             bool       // a probe could not reach it; heard again it started anew
	posAt, creditAt                  time.Duration
	probedAt, seenAt, askedAt        time.Duration // last probe; last answer to one; first since
	was, awayAt                      time.Duration // startedAt before it went with its zone, heard at awayAt
	credit                           float64       // while cold: work that may be sent, in s, as of creditAt
}

// group is one primary and its replicas, sorted by id.
type group struct {
	number, open       int  // open: requests of it that the module holds
	empty              bool // it is among the router's empty groups
	members            []*member
	next               int             // where the search for the primary goes on
	seeking            *attempt        // a search attempt that is out
	searchAt, soughtAt time.Duration   // from when the next may go; when a request last wanted it in vain
	shedTo             []time.Duration // by class: an aim past the last first try refused for load
	vain               float64         // share of requests of late that ended unanswered
}

type attempt struct {
	q                   *request
	number              int
	m                   *member
	sentAt, usual, work time.Duration // usual and work of its class, as of the send
	cancelled           bool
}

type request struct {
	Request
	class                             *Class
	usual                             *time.Duration
	group                             *group
	deadline, aimAt, limit            time.Duration // an answer past aimAt earns less, past limit nothing
	reached                           bool          // a member has had it, though it may have turned it away
	need                              int64         // position that fresh and session reads need
	out                               []*attempt
	sent                              int
	mayRun, ran                       bool          // an attempt may have run; one that is over may have
	ranAt                             time.Duration // the earliest of them was sent then
	missed                            []*member     // turned this request away
	heldTo, pause                     time.Duration // unsent till then it is refused; nothing is sent before
	over, atPrimary, ended, streaming bool          // past its tenant's share; only the primary can serve it
}
