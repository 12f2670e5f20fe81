package routing

import (
	"slices"
	"strings"
	"time"

	"cranegate/internal/zones"
)

// memberState is the state of one member.
type memberState struct {
	id            string
	group         *groupState
	zone          string
	zoneState     *zones.Zone // nil if the health of zones is not evaluated
	capacity      float64     // relative to other members
	usable        bool        // listed as serving, and not draining
	draining      bool
	listedPrimary bool // the endpoint list names it as the primary

	role               Role
	rolePosition       int64         // the position as of which the role is known
	position           int64         // the highest that it has reported
	positionReportedAt time.Duration // when it reported position

	startedAt       time.Duration
	answeredAt      time.Duration // its last answer
	down            bool          // a health check could not connect, so the next answer suggests a restart
	failures        int           // failed connects and broken connections since its last answer
	connectFailures int           // the failed connects among failures
	endedSilence    float64       // longest silence of attempts that ended unanswered, in expected latencies
	nextTrialAt     time.Duration // when it may next be sent a trial request while unhealthy
	latencyWindow   []latencySample
	inFlight        []*attemptState // in the order in which they were sent
	score           float64         // for the read whose member is being chosen

	healthCheckPending    bool
	healthCheckSentAt     time.Duration // when the last one was sent
	healthCheckAnsweredAt time.Duration // when one was last answered
	unansweredCheckAt     time.Duration // when the first one since its last answer was sent

	previousStartedAt      time.Duration // startedAt before its zone went down, or a later start on the list
	answeredBeforeZoneLoss time.Duration // its last answer before its zone went down; 0: no outage

	tokens   float64       // slow start: seconds of work that it may be sent, as of tokensAt
	tokensAt time.Duration // 0: its token bucket is not set up yet
}

// insertMember returns a copy of a list, which is sorted by id, with a member inserted. The list itself is
// not modified, as a caller may be iterating over it.
func insertMember(list []*memberState, member *memberState) []*memberState {
	byID := func(a, b *memberState) int { return strings.Compare(a.id, b.id) }
	i, _ := slices.BinarySearchFunc(list, member, byID)
	return slices.Insert(slices.Clone(list), i, member)
}

// removeMember returns a copy of a list without a member. The list itself is not modified.
func removeMember(list []*memberState, member *memberState) []*memberState {
	return slices.DeleteFunc(slices.Clone(list), func(m *memberState) bool { return m == member })
}

// removeAttempt removes an attempt from those in flight.
func (m *memberState) removeAttempt(attempt *attemptState) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(a *attemptState) bool { return a == attempt })
}
