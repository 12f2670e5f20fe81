package routing

import "time"

const (
	healthCheckInterval = 300 * time.Millisecond // of a member that has not answered in between

	// searchHealthCheckInterval is the least interval of a member in doubt. The interval grows with the time
	// since the member's last answer, see healthCheckDue.
	searchHealthCheckInterval = 100 * time.Millisecond

	healthCheckTokensPerRequest = 0.25 // health checks earned by each request
	fullRateMembers             = 12.0 // with more members a request earns less, as each member matters less
	// maxHealthCheckTokens is the number of health checks that can be saved up, for a start or a search. The
	// debt from checks beyond the budget is at most twice that. It also limits the sum of members and
	// gateways up to which all initial checks are sent outside the budget.
	maxHealthCheckTokens = 30.0

	maxDoubtfulChecks = 8 // health checks of members in doubtful zones per call of sendHealthChecks

	silenceBackoffDivisor = 8 // the interval for a member in doubt is its time without an answer over this
)

// earnHealthChecks adds what a request earns to the health check budget.
func (r *Router) earnHealthChecks(class *Class) {
	earned := healthCheckTokensPerRequest * min(1, fullRateMembers/float64(1+len(r.sortedMembers)))
	if r.cfg.StaleReads == StaleReadServed && class.Consistency == ConsistencyBounded {
		earned = 1 // members do not check the read, so one may have to be health-checked before it
	}
	r.healthCheckTokens = min(maxHealthCheckTokens, r.healthCheckTokens+earned)
}

// sendHealthChecks sends a health check to each member for which one is due, in rotation. A member that has
// answered after an outage of its zone is checked on its oldest connection even if no check is due, because
// this shows whether its process has survived and needs no slow start.
func (r *Router) sendHealthChecks() {
	if !r.cfg.AllowHealthChecks {
		return
	}
	doubtful := 0
	first := r.nextHealthCheck
	for n := range r.sortedMembers {
		member := r.sortedMembers[(first+n)%len(r.sortedMembers)]
		if !member.usable || member.healthCheckPending {
			continue
		}
		initial := r.initialCheckDue(member)
		due := initial || r.healthCheckDue(member)
		if doubtful < maxDoubtfulChecks && r.zoneCheckDue(member) {
			doubtful++
			due = true
		}
		policy := member.healthCheckConn()
		if !due && policy != ConnOldest {
			continue
		}
		r.nextHealthCheck = first + n + 1
		member.healthCheckPending = true
		member.healthCheckSentAt = r.now
		member.healthCheckSent(r.now)
		r.gateway.CheckHealth(member.id, policy)
		if !initial {
			r.healthCheckTokens = max(-2*maxHealthCheckTokens, r.healthCheckTokens-1)
		}
	}
}

// initialCheckDue reports whether a member is health-checked outside the budget because nothing is known
// about it. That is so if members and gateways are few, or if members do not check reads, so that their
// positions are needed.
func (r *Router) initialCheckDue(member *memberState) bool {
	if member.healthCheckSentAt != 0 || member.positionReportedAt != 0 {
		return false
	}
	few := len(r.sortedMembers)+r.cfg.Gateways <= maxHealthCheckTokens
	return few || r.cfg.StaleReads == StaleReadServed
}

// healthCheckDue reports whether a member that has not answered recently is health-checked. Members in doubt
// (unhealthy, or in a group that needs health checks) are checked more often and on credit, lagging members
// while there is budget, and others only while at least half of the budget is left.
func (r *Router) healthCheckDue(member *memberState) bool {
	interval, minTokens := healthCheckInterval, maxHealthCheckTokens/2
	if r.unhealthy(member) || r.groupNeedsHealthChecks(member.group) {
		interval = max(searchHealthCheckInterval, (r.now-member.answeredAt)/silenceBackoffDivisor)
		minTokens = -maxHealthCheckTokens
	} else if r.positionAt(member.positionReportedAt)-member.position > maxReplicaLagMillis {
		minTokens = 1
	}
	return r.now-member.answeredAt >= interval && r.now-member.healthCheckSentAt >= interval &&
		r.healthCheckTokens >= minTokens
}

// groupNeedsHealthChecks reports whether a request recently found no member in a group, and health checks may
// find one.
func (r *Router) groupNeedsHealthChecks(group *groupState) bool {
	primary := group.primary()
	needed := primary == nil || r.unhealthy(primary) || r.cfg.StaleReads == StaleReadServed
	return needed && r.now-group.primaryWantedAt < healthCheckInterval
}

// zoneCheckDue reports whether a member is health-checked because its zone may be down. Such a check is sent
// even if a search has used up the budget.
func (r *Router) zoneCheckDue(member *memberState) bool {
	return member.zoneState.Doubtful() && r.now-member.healthCheckAnsweredAt >= requestSweepInterval
}
