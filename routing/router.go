package routing

import (
	"math/rand/v2"
	"time"

	"cranegate/internal/zones"
)

// Router makes the routing decisions of one gateway. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	gateway Gateway
	rng     *rand.Rand
	zones   *zones.Zones // nil: the health of zones is not evaluated

	members       map[string]*memberState // by id
	sortedMembers []*memberState          // by id
	groups        map[int]*groupState     // by number
	emptyGroups   []*groupState           // groups without members, in the order in which they became idle
	requests      map[uint64]*requestState
	openRequests  []*requestState // in order of arrival

	expectedLatency []time.Duration          // by class: mean round trip
	expectedWork    []time.Duration          // by class: round trip without queueing
	workUpdatedAt   []time.Duration          // by class: when expectedWork was last updated
	latencyPools    map[bool][]latencySample // latest round trips at primaries (true) and at others (false)

	retryTokens         float64     // the retry budget
	healthCheckTokens   float64     // the health check budget
	meanPriorityWeight  float64     // of the latest requests
	meanExpectedLatency float64     // of the latest requests, in seconds
	tenantRequests      []float64   // by tenant: decaying count of its requests
	warmThroughput      decayingSum // work answered by one warm member, in seconds per second
	sessionMarks        sessionMarks

	hasEndpoints     bool // an endpoint list has been received
	subscribing      bool // a call to subscribe is in progress
	subscribed       bool
	subscribeSentAt  time.Duration
	subscribeBackoff time.Duration

	now                     time.Duration
	startedAt               time.Duration
	resumedAt               time.Duration // when this gateway last resumed after a stall
	nextSweepAt             time.Duration // 0: none is scheduled
	nextMemberSweepAt       time.Duration
	nextHealthCheck         int           // index into sortedMembers
	connectionShortageUntil time.Duration // until then members are presumed to lack free connections
}

// initialLatencyShare is the expected latency before any answer, as a share of the latency objective or of
// the deadline, whichever is shorter.
const initialLatencyShare = 0.25

// New returns the Router of one gateway. The seed determines its random draws. It returns a *ConfigError
// if cfg is invalid, or an error of package zones if Config.Zones is.
func New(now time.Duration, cfg Config, seed uint64, gateway Gateway) (*Router, error) {
	configuredZones, err := cfg.validate(seed)
	if err != nil {
		return nil, err
	}
	r := &Router{
		cfg:              cfg,
		gateway:          gateway,
		rng:              rand.New(rand.NewPCG(seed, 0)),
		zones:            configuredZones,
		members:          map[string]*memberState{},
		groups:           map[int]*groupState{},
		requests:         map[uint64]*requestState{},
		latencyPools:     map[bool][]latencySample{},
		tenantRequests:   make([]float64, len(cfg.Tenants)),
		retryTokens:      maxRetryTokens / 2,
		sessionMarks:     newSessionMarks(),
		subscribeBackoff: minSubscribeBackoff,
		now:              now,
		startedAt:        now,
	}
	for _, class := range cfg.Classes {
		expected := time.Duration(float64(min(class.LatencyObjective, class.Deadline)) * initialLatencyShare)
		r.expectedLatency = append(r.expectedLatency, expected)
		r.expectedWork = append(r.expectedWork, expected)
		r.workUpdatedAt = append(r.workUpdatedAt, now)
	}
	r.scheduleSweep()
	return r, nil
}
