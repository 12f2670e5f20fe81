package routing

import (
	"slices"
	"time"
)

const (
	requestSweepInterval = 20 * time.Millisecond  // between two sweeps of the open requests
	memberSweepInterval  = 100 * time.Millisecond // between two sweeps of the members
)

// sweepTimer is the name of the Router's only timer.
const sweepTimer = "sweep"

// timerTolerance is how much earlier than requested a timer may fire.
const timerTolerance = time.Millisecond

// advanceClock sets the time of the event that is being handled. If sweeps are long overdue, this gateway has
// stalled, and the time of the stall does not count as silence of members.
func (r *Router) advanceClock(now time.Duration) {
	if now-r.now > 2*memberSweepInterval {
		r.resumedAt = now
	}
	r.now = now
}

// Timer handles a timer that Gateway.SetTimer has requested.
func (r *Router) Timer(now time.Duration, name string) {
	if name != sweepTimer || now+timerTolerance < r.nextSweepAt {
		return
	}
	r.advanceClock(now)
	r.nextSweepAt = 0
	if now >= r.nextMemberSweepAt {
		r.nextMemberSweepAt = now + memberSweepInterval
		r.keepSubscribed()
		r.evaluateZones()
		r.sendHealthChecks()
	}
	for _, req := range r.openRequests {
		r.advanceRequest(req)
	}
	r.openRequests = slices.DeleteFunc(r.openRequests, func(req *requestState) bool { return req.ended })
	r.scheduleSweep()
}

// scheduleSweep requests a timer for the next sweep, which is sooner while requests are open. A timer that is
// superseded by an earlier one still fires, and Timer ignores it.
func (r *Router) scheduleSweep() {
	at := r.now + memberSweepInterval
	if len(r.openRequests) > 0 {
		at = r.now + requestSweepInterval
	}
	if r.nextSweepAt == 0 || at < r.nextSweepAt {
		r.nextSweepAt = at
		r.gateway.SetTimer(at-r.now, sweepTimer)
	}
}
