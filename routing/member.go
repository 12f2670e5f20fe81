package routing

import (
	"slices"
	"strings"
	"time"

	"cranegate/internal/zones"
)

// memberState is what the Router knows of one member.
type memberState struct {
	id            string
	group         *groupState
	zone          string
	zoneState     *zones.Zone // nil where zones are not judged
	capacity      float64     // in relation to other members
	usable        bool        // listed as serving, and not draining
	draining      bool
	listedPrimary bool // the endpoint list names it as the primary

	role         Role
	rolePosition int64         // the position that dates its role
	position     int64         // the highest that it has reported
	positionAt   time.Duration // when it reported that

	startedAt       time.Duration
	answeredAt      time.Duration // its last answer
	down            bool          // a health check could not connect: answering again it has restarted
	failures        int           // connects that failed and connections that broke since its last answer
	connectFailures int           // those of them that were connects
	endedSilence    float64       // longest silence of attempts that ended unanswered, in expected latencies
	nextTrialAt     time.Duration // when it may next be tried while unhealthy
	latencyWindow   []latencySample
	inFlight        []*attemptState // in the order in which they were sent
	score           float64         // for the read that is being placed

	healthCheckPending    bool
	healthCheckSentAt     time.Duration // the last one
	healthCheckAnsweredAt time.Duration // the last one
	unansweredCheckAt     time.Duration // the first that was sent since its last answer

	previousStartedAt      time.Duration // startedAt before it was lost with its zone
	answeredBeforeZoneLoss time.Duration // its last answer before it was lost with its zone; 0: it was not lost

	tokens   float64       // slow start: seconds of work that it may be sent, as of tokensAt
	tokensAt time.Duration // 0: no tokens were dealt since its start
}

// insertMember returns a copy of a list, which is sorted by id, with a member inserted. The list itself
// stays as it is: a caller may be iterating over it.
func insertMember(list []*memberState, member *memberState) []*memberState {
	byID := func(a, b *memberState) int { return strings.Compare(a.id, b.id) }
	i, _ := slices.BinarySearchFunc(list, member, byID)
	return slices.Insert(slices.Clone(list), i, member)
}

// removeMember returns a copy of a list without a member. The list itself stays as it is.
func removeMember(list []*memberState, member *memberState) []*memberState {
	return slices.DeleteFunc(slices.Clone(list), func(m *memberState) bool { return m == member })
}

// removeAttempt removes an attempt from those in flight.
func (m *memberState) removeAttempt(attempt *attemptState) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(a *attemptState) bool { return a == attempt })
}
