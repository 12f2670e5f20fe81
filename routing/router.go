package routing

import (
	"math/rand/v2"
	"time"

	"cranegate/internal/zones"
)

// Router decides for one gateway. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	gateway Gateway
	rng     *rand.Rand
	zones   *zones.Zones // nil: zones are not judged

	members       map[string]*memberState // by id
	sortedMembers []*memberState          // by id
	groups        map[int]*groupState     // by number
	emptyGroups   []*groupState           // without members, in the order in which their last requests ended
	requests      map[uint64]*requestState
	openRequests  []*requestState // in order of arrival

	expectedLatency []time.Duration          // by class: mean round trip
	expectedWork    []time.Duration          // by class: round trip without queueing
	workUpdatedAt   []time.Duration          // by class: when expectedWork was last updated
	latencyPools    map[bool][]latencySample // latest round trips at primaries (true), and at all others

	retryTokens         float64     // the retry budget
	healthCheckTokens   float64     // the health check budget
	meanPriorityWeight  float64     // of the latest requests
	meanExpectedLatency float64     // of the latest requests, in seconds
	tenantRequests      []float64   // by tenant: its share of the latest requests, as a count
	warmThroughput      decayingSum // work answered by one warm member, in seconds a second
	sessionMarks        sessionMarks

	hasEndpoints     bool // an endpoint list has come
	subscribing      bool // a call to subscribe is out
	subscribed       bool
	subscribeSentAt  time.Duration
	subscribeBackoff time.Duration

	now                     time.Duration
	startedAt               time.Duration
	resumedAt               time.Duration // when this gateway last went on after a standstill
	nextSweepAt             time.Duration // 0: none is scheduled
	nextMemberSweepAt       time.Duration
	nextHealthCheck         int           // index into sortedMembers
	connectionShortageUntil time.Duration // members are presumed to lack free connections until then
}

// initialLatencyShare is the expected latency before any answer, as a share of the latency objective.
const initialLatencyShare = 0.25

// New returns the Router of one gateway. The seed determines its random draws. It returns a *ConfigError
// where cfg can't serve, or an error of the zones' options.
func New(now time.Duration, cfg Config, seed uint64, gateway Gateway) (*Router, error) {
	judged, err := cfg.validate(seed)
	if err != nil {
		return nil, err
	}
	r := &Router{
		cfg:              cfg,
		gateway:          gateway,
		rng:              rand.New(rand.NewPCG(seed, 0)),
		zones:            judged,
		members:          map[string]*memberState{},
		groups:           map[int]*groupState{},
		requests:         map[uint64]*requestState{},
		latencyPools:     map[bool][]latencySample{},
		tenantRequests:   make([]float64, len(cfg.Tenants)),
		retryTokens:      maxRetryTokens / 2,
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
