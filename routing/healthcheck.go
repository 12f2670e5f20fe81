package routing

import "time"

const (
	healthCheckInterval       = 300 * time.Millisecond // of a member that has not answered meanwhile
	searchHealthCheckInterval = 100 * time.Millisecond // of a member in doubt

	healthCheckTokensPerRequest = 0.25 // health checks earned by each request
	fullRateMembers             = 12.0 // with more members a request earns less, as each member matters less
	maxHealthCheckTokens        = 30.0 // health checks that can be saved up, for a start or a search

	maxDoubtfulChecks = 8 // health checks of members in doubtful zones at each sweep

	silenceBackoffDivisor = 8 // members in doubt are checked at this part of their silence
)

// earnHealthChecks adds a request's part to the health check budget.
func (r *Router) earnHealthChecks(class *Class) {
	earned := healthCheckTokensPerRequest * min(1, fullRateMembers/float64(1+len(r.sortedMembers)))
	if r.cfg.StaleReads == StaleReadServed && class.Consistency == ConsistencyBounded {
		earned = 1 // members do not check the read: one may have to be checked before it is sent
	}
	r.healthCheckTokens = min(maxHealthCheckTokens, r.healthCheckTokens+earned)
}

// sendHealthChecks checks the members that are due, in turn.
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

// initialCheckDue reports whether a member is checked for free, as nothing is known of it: where members
// and gateways are few, or where members do not check reads and their positions are needed.
func (r *Router) initialCheckDue(member *memberState) bool {
	if member.healthCheckSentAt != 0 || member.positionAt != 0 {
		return false
	}
	few := len(r.sortedMembers)+r.cfg.Gateways <= maxHealthCheckTokens
	return few || r.cfg.StaleReads == StaleReadServed
}

// healthCheckDue reports whether a member that has not answered lately is checked. Members in doubt
// (unhealthy, or of a group whose primary is sought) are checked more often and on credit, lagging ones
// while there is budget, and others from the upper half of the budget.
func (r *Router) healthCheckDue(member *memberState) bool {
	interval, minTokens := healthCheckInterval, maxHealthCheckTokens/2
	if r.unhealthy(member) || r.isPrimarySought(member.group) {
		interval = max(searchHealthCheckInterval, (r.now-member.answeredAt)/silenceBackoffDivisor)
		minTokens = -maxHealthCheckTokens
	} else if r.positionAt(member.positionAt)-member.position > maxReplicaLagMillis {
		minTokens = 1
	}
	return r.now-member.answeredAt >= interval && r.now-member.healthCheckSentAt >= interval &&
		r.healthCheckTokens >= minTokens
}

// isPrimarySought reports whether a request lately found no member in a group, and health checks may help.
func (r *Router) isPrimarySought(group *groupState) bool {
	primary := group.primary()
	needed := primary == nil || r.unhealthy(primary) || r.cfg.StaleReads == StaleReadServed
	return needed && r.now-group.primaryWantedAt < healthCheckInterval
}

// zoneCheckDue reports whether a member is checked as its zone may be lost, even if a search has used up
// the budget.
func (r *Router) zoneCheckDue(member *memberState) bool {
	return member.zoneState.Doubtful() && r.now-member.healthCheckAnsweredAt >= requestSweepInterval
}
