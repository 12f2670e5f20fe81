package routing

import (
	"math/rand/v2"
	"time"

	"cranegate/internal/zones"
)

// Router decides for one gateway.
type Router struct {
	cfg                                                                     Config
	gateway                                                                 Gateway
	rng                                                                     *rand.Rand
	zones                                                                   *zones.Zones // nil: off
	members                                                                 map[string]*memberState
	sortedMembers                                                           []*memberState
	groups                                                                  map[int]*groupState
	emptyGroups                                                             []*groupState // without members, in the order in which their last requests ended
	requests                                                                map[uint64]*requestState
	openRequests                                                            []*requestState          // in order of arrival
	expectedLatency, expectedWork, workUpdatedAt                            []time.Duration          // by class: round trips in the mean, and the work in them
	latencyPools                                                            map[bool][]latencySample // round trips at primaries (true), and at all others
	retryTokens, healthCheckTokens, meanPriorityWeight, meanExpectedLatency float64                  // budgets of tries and probes; mean worth and usual
	tenantRequests                                                          []float64                // requests of each tenant, older ones counting less
	warmThroughput                                                          decayingSum              // work answered a second by a warm member
	sessionMarks                                                            sessionMarks             // remembered session commits
	hasEndpoints, subscribing, subscribed                                   bool                     // a list has come; a call to discovery is out; subscribed
	nextSweepAt, nextMemberSweepAt, connectionShortageUntil                 time.Duration            // next sweep, and look at members; they lack room
	nextHealthCheck                                                         int

	now, resumedAt, startedAt, subscribeSentAt, subscribeBackoff time.Duration
}

const initialLatencyShare = 0.25 // usual before any answer, as a share of the aim

// New starts a gateway's decisions.
func New(now time.Duration, cfg Config, seed uint64, gw Gateway) (*Router, error) {
	judged, err := cfg.validate(seed)
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, gateway: gw, now: now, startedAt: now, zones: judged, rng: rand.New(rand.NewPCG(seed, 0)),
		members: map[string]*memberState{}, latencyPools: map[bool][]latencySample{}, tenantRequests: make([]float64, len(cfg.Tenants)),
		groups: map[int]*groupState{}, requests: map[uint64]*requestState{}, retryTokens: maxRetryTokens / 2, subscribeBackoff: minSubscribeBackoff}
	for i, c := range cfg.Classes {
		r.expectedLatency = append(r.expectedLatency, time.Duration(float64(min(c.LatencyObjective, c.Deadline))*initialLatencyShare))
		r.expectedWork, r.workUpdatedAt = append(r.expectedWork, r.expectedLatency[i]), append(r.workUpdatedAt, now)
	}
	r.scheduleSweep()
	return r, nil
}

type memberState struct {
	id, zone                                                    string
	group                                                       *groupState
	zoneState                                                   *zones.Zone
	usable, draining, listedPrimary, healthCheckPending         bool          // may be sent work; listed draining; listed primary
	capacity, score                                             float64       // value: product for the read being placed
	startedAt, answeredAt, nextTrialAt                          time.Duration // answeredAt: last answer; nextTrialAt: next trial while suspect
	role                                                        Role
	position, rolePosition                                      int64   // highest told, in ms, at positionAt; the one of its role
	failures, connectFailures                                   int     // connects and connections broken since it was heard; connects
	endedSilence                                                float64 // longest silence on attempts that have ended unanswered
	latencyWindow                                               []latencySample
	inFlight                                                    []*attemptState // in order of sends
	down                                                        bool            // a probe could not reach it; heard again it started anew
	positionAt, tokensAt                                        time.Duration
	healthCheckSentAt, healthCheckAnsweredAt, unansweredCheckAt time.Duration // last probe; last answer to one; first since
	previousStartedAt, answeredBeforeZoneLoss                   time.Duration // startedAt before it went with its zone, heard at answeredBeforeZoneLoss
	tokens                                                      float64       // while cold: work that may be sent, in s, as of tokensAt
}

// group is one primary and its replicas, sorted by id.
type groupState struct {
	number, openRequests          int  // open: requests of it that the module holds
	inEmptyGroups                 bool // it is among the router's empty groups
	members                       []*memberState
	searchIndex                   int             // where the search for the primary goes on
	searchAttempt                 *attemptState   // a search attempt that is out
	nextSearchAt, primaryWantedAt time.Duration   // from when the next may go; when a request last wanted it in vain
	shedUntil                     []time.Duration // by class: an aim past the last first try refused for load
	unansweredShare               float64         // share of requests of late that ended unanswered
}

type attemptState struct {
	request                       *requestState
	number                        int
	member                        *memberState
	sentAt, expectedLatency, work time.Duration // usual and work of its class, as of the send
	cancelled                     bool
}

type requestState struct {
	Request
	class                                     *Class
	expectedLatency                           *time.Duration
	group                                     *groupState
	deadline, latencyObjectiveAt, usefulUntil time.Duration // an answer past latencyObjectiveAt earns less, past limit nothing
	reachedMember                             bool          // a member has had it, though it may have turned it away
	minPosition                               int64         // position that fresh and session reads need
	inFlight                                  []*attemptState
	attempts                                  int
	mayHaveRun, endedMayHaveRun               bool           // an attempt may have run; one that is over may have
	firstRunAt                                time.Duration  // the earliest of them was sent then
	missedMembers                             []*memberState // turned this request away
	unsentDeadline, pausedUntil               time.Duration  // unsent till then it is refused; nothing is sent before
	overQuota, needsPrimary, ended, streaming bool           // past its tenant's share; only the primary can serve it
}
