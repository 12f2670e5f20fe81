package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// checker records the history of a run and checks it against the rules.
type checker struct {
	scenario *scenario

	mu            sync.Mutex
	requests      map[string]*request
	arrivals      []arrival
	executions    map[string][]execution
	withdrawals   []*withdrawal
	notifications map[*gateway][]notification
	recorded      []Finding
	countByRule   map[string]int
}

// Time bounds of the checks and their tolerances. Unless noted, a bound is widened by minSlack and slackPerLag times the
// measured lag.
const (
	minSlack              = 150 * time.Millisecond
	slackPerLag           = 2
	maxCheckedLag         = 500 * time.Millisecond // from this lag on, time bounds are not checked
	clientCloseGrace      = 100 * time.Millisecond
	drainGrace            = 250 * time.Millisecond
	remainingTimeGrace    = 150 * time.Millisecond
	answerGrace           = 500 * time.Millisecond
	notificationTimeout   = 6 * time.Second
	banGrace              = 300 * time.Millisecond
	partialMessageTimeout = 3 * time.Second
	drainDisconnectWindow = 5 * time.Second // how long after a drain of the gateway it may close connections; not widened
	maxFindingsPerRule    = 5               // number of recorded findings; further ones are only counted
)

func newChecker(s *scenario) *checker {
	return &checker{
		scenario:      s,
		requests:      map[string]*request{},
		executions:    map[string][]execution{},
		notifications: map[*gateway][]notification{},
		countByRule:   map[string]int{},
	}
}

// slack returns by how much time bounds are widened, and false if the machine is too busy to check them.
func (c *checker) slack() (time.Duration, bool) {
	lag := c.scenario.lag.max()
	return minSlack + slackPerLag*lag, lag < maxCheckedLag
}

// checkAll checks the recorded history after all processes have ended.
func (c *checker) checkAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	slack, checkTimes := c.slack()
	byID := map[string][]arrival{}
	for _, a := range c.arrivals {
		byID[a.id] = append(byID[a.id], a)
	}
	for id, r := range c.requests {
		c.checkExecutions(r, c.executions[id], slack)
		c.checkConnectionLoss(r, byID[id])
		for _, a := range byID[id] {
			if checkTimes {
				c.checkAttempt(r, a, slack)
			}
		}
	}
	for _, a := range c.arrivals {
		for _, w := range c.withdrawals {
			if checkTimes && w.host == a.host && a.at.After(w.from) && (w.to.IsZero() || a.at.Before(w.to)) {
				c.checkWithdrawnHost(a, w, slack)
			}
		}
	}
	for _, g := range c.scenario.gateways {
		for _, p := range g.allProcesses() {
			for _, line := range p.loggedViolations() {
				c.reportLocked(ruleViolation, p.String(), "%s", line)
			}
		}
	}
}

// checkExecutions checks how often a write was executed.
func (c *checker) checkExecutions(r *request, executions []execution, slack time.Duration) {
	if r.class != classNonIdempotent && r.class != classIdempotentByKey {
		return
	}
	slices.SortFunc(executions, func(a, b execution) int { return a.at.Compare(b.at) })
	if r.class == classNonIdempotent && len(executions) > 1 {
		c.reportLocked(ruleRanTwice, r.where(), "it ran %d times", len(executions))
	}
	if r.class == classIdempotentByKey && len(executions) > 1 {
		if late := executions[len(executions)-1].at.Sub(executions[0].at); late > seconds(idempotencyKeySeconds)+remainingTimeGrace+slack {
			c.reportLocked(ruleRanTwice, r.where(), "it ran again %v after the first time", late)
		}
	}
	if r.outcome == "refused" && len(executions) > 0 {
		c.reportLocked(ruleRejectedRan, r.where(), "it ran %d times", len(executions))
	}
	if r.outcome == "served" && len(executions) == 0 {
		c.reportLocked(ruleNotExecuted, r.where(), "%s", "it was served")
	}
}

// checkConnectionLoss checks a request whose connection ended without an answer.
func (c *checker) checkConnectionLoss(r *request, arrivals []arrival) {
	if r.outcome != "" || r.connectionLostAt.IsZero() || r.gateway.disruptedDuring(r.sentAt, r.connectionLostAt) {
		return
	}
	if len(arrivals) > 0 {
		c.reportLocked(ruleLost, r.where(), "sent to %s, closed after %v", arrivals[0].host.uid, r.connectionLostAt.Sub(r.sentAt))
	} else if !r.gateway.drainedDuring(r.sentAt.Add(-drainDisconnectWindow), r.connectionLostAt) {
		c.reportLocked(ruleNotForwarded, r.where(), "closed after %v", r.connectionLostAt.Sub(r.sentAt))
	}
}

// checkAttempt checks that an attempt neither began after its client had disconnected nor has a longer deadline than the
// client's.
func (c *checker) checkAttempt(r *request, a arrival, slack time.Duration) {
	if a.gateway.disruptedDuring(r.sentAt, a.at) {
		return
	}
	if late := a.at.Sub(r.clientClosedAt); !r.clientClosedAt.IsZero() && late > clientCloseGrace+slack {
		c.reportLocked(ruleClientGone, r.where(), "an attempt at %s %v after its client's close", a.host.uid, late)
	}
	if over := a.remaining - r.sentAt.Add(r.clientTimeout).Sub(a.at); r.precedingRequests == 0 && over > remainingTimeGrace+slack {
		c.reportLocked(ruleDeadline, r.where(), "%s received a deadline of %v, %v more than the client has left", a.host.uid, a.remaining, over)
	}
}

// checkWithdrawnHost checks an attempt at a host that is draining, removed from the list or banned.
func (c *checker) checkWithdrawnHost(a arrival, w *withdrawal, slack time.Duration) {
	where := fmt.Sprintf("%s %s", a.gateway.name, a.id)
	if w.gateway != nil {
		if late := a.at.Sub(w.from); w.gateway == a.gateway && late > banGrace+slack {
			c.reportLocked(ruleBan, where, "sent to %s %v after the confirmation", a.host.uid, late)
		}
		return
	}
	at, notified := c.notifiedAt(a.gateway, w.rev)
	late := notified && a.at.Sub(at) > drainGrace+slack
	if late && !a.gateway.disruptedDuring(at, a.at) && !a.gateway.drainedDuring(at, a.at) {
		c.reportLocked(ruleDrain, where, "sent to %s %v after the notification", a.host.uid, a.at.Sub(at))
	}
	since := w.from
	if a.discoveryReachableAt.After(since) {
		since = a.discoveryReachableAt
	}
	if a.at.Sub(since) > notificationTimeout+slack && !a.gateway.disruptedDuring(since, a.at) {
		c.reportLocked(ruleUnnoticedDrain, where, "sent to %s %v after discovery listed it", a.host.uid, a.at.Sub(since))
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
