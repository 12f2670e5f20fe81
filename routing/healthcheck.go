package routing

import "time"

const (
	healthCheckInterval, searchHealthCheckInterval = 300 * time.Millisecond, 100 * time.Millisecond // unheard; in a search

	healthCheckTokensPerRequest, fullRateMembers = 0.25, 12.0 // for each request, fewer past so many: each is met seldom

	maxHealthCheckTokens = 30.0 // and this many saved up, for a start or a search
	maxDoubtfulChecks    = 8    // probes of doubtful zones at each look
)

// sendHealthChecks probes members unheard lately, in turn: where there is doubt (silence, lag, a primary sought) and
// from the upper half of the budget elsewhere; all at a start if these and gateways are few.
func (r *Router) sendHealthChecks() {
	for i, n, doubts := r.nextHealthCheck, len(r.sortedMembers), 0; n > 0; i, n = i+1, n-1 {
		m, few := r.sortedMembers[i%len(r.sortedMembers)], len(r.sortedMembers)+r.cfg.Gateways <= maxHealthCheckTokens
		after, least, p := healthCheckInterval, maxHealthCheckTokens/2, m.group.primary()
		lost := p == nil || r.unhealthy(p) || r.cfg.StaleReads == StaleReadServed // then what is unheard can't be read
		if r.unhealthy(m) || lost && r.now-m.group.primaryWantedAt < healthCheckInterval {
			after, least = max(searchHealthCheckInterval, (r.now-m.answeredAt)/8), -maxHealthCheckTokens
		} else if r.positionAt(m.positionAt)-m.position > maxReplicaLagMillis {
			least = 1
		}
		first := m.healthCheckSentAt+m.positionAt == 0 && (few || r.cfg.StaleReads == StaleReadServed)
		due := first || r.now-m.answeredAt >= after && r.now-m.healthCheckSentAt >= after && r.healthCheckTokens >= least
		if m.usable && !m.healthCheckPending && m.zoneState.Doubtful() && doubts < maxDoubtfulChecks && r.now-m.healthCheckAnsweredAt >= requestSweepInterval {
			doubts, due = doubts+1, true // its zone may be gone, and a search may have used up the budget
		}
		if by := m.healthCheckConn(); r.cfg.AllowHealthChecks && m.usable && !m.healthCheckPending && (due || by == ConnOldest) {
			m.healthCheckPending, m.healthCheckSentAt, r.nextHealthCheck = true, r.now, i+1
			m.healthCheckSent(r.now)
			if r.gateway.CheckHealth(m.id, by); !first {
				r.healthCheckTokens = max(-2*maxHealthCheckTokens, r.healthCheckTokens-1)
			}
		}
	}
}
