package routing

import (
	"slices"
	"time"
)

// requestState is the state of a request that is open or has attempts in flight.
type requestState struct {
	Request
	class           *Class
	expectedLatency *time.Duration // of its class
	group           *groupState
	overQuota       bool // it counts as over its tenant's quota
	needsPrimary    bool // only the primary can serve it

	deadline           time.Duration
	latencyObjectiveAt time.Duration // an answer after it earns less
	usefulUntil        time.Duration // an answer after it earns nothing
	unsentDeadline     time.Duration // it is rejected if no member has received it by then
	pausedUntil        time.Duration // no attempt is sent before this time
	minPosition        int64         // the position that a strong or session read requires

	inFlight      []*attemptState
	attempts      int            // sent so far
	missedMembers []*memberState // answered it with ResultMissed
	reachedMember bool           // a member has received it, or has rejected it or a connection for it

	mayHaveRun      bool          // an attempt that is in flight or has ended may have run
	endedMayHaveRun bool          // an attempt that has ended may have run
	firstRunAt      time.Duration // when the first attempt that may have run was sent, or earlier

	ended     bool // it has its final answer, or needs none any more
	streaming bool // its answer is being streamed
}

// attemptState is an attempt that is in flight.
type attemptState struct {
	request         *requestState
	number          int
	member          *memberState
	sentAt          time.Duration
	expectedLatency time.Duration // of its class, when it was sent
	work            time.Duration // expected work of its class, when it was sent
	cancelled       bool
}

// attemptIndex returns the index of an attempt in inFlight, or -1 if no such attempt is in flight or the
// request is nil.
func (r *requestState) attemptIndex(number int) int {
	if r == nil {
		return -1
	}
	return slices.IndexFunc(r.inFlight, func(a *attemptState) bool { return a.number == number })
}
