package routing

import "time"

const (
	latencyWindowSize = 40              // samples kept of each member
	latencyWindowAge  = 4 * time.Second // age at which a sample no longer counts

	priorWeight = 2.0 // the pool of members of the same role counts as this many samples of a member

	assumedConcurrency = 2 // attempts that any member processes at once; others may be queued
)

// latencySample is a round trip over the expected latency of its class. A censored one lasted at least so
// long.
type latencySample struct {
	at       time.Duration
	ratio    float64
	censored bool
}

// recordLatency records a sample, divided by the queueing that this gateway's own attempts caused.
func (r *Router) recordLatency(member *memberState, sample latencySample) {
	sample.ratio /= queueingFactor(len(member.inFlight) + 1)
	member.latencyWindow = appendSample(member.latencyWindow, sample)
	isPrimary := member.role == RolePrimary
	r.latencyPools[isPrimary] = appendSample(r.latencyPools[isPrimary], sample)
}

// appendSample appends to a window, and drops the oldest sample from a full one.
func appendSample(window []latencySample, sample latencySample) []latencySample {
	return append(window[max(0, len(window)-latencyWindowSize+1):], sample)
}

// queueingFactor is how much longer answers take with so many attempts of this gateway at a member: those
// beyond assumedConcurrency are queued.
func queueingFactor(attempts int) float64 {
	return float64(max(attempts, assumedConcurrency)) / assumedConcurrency
}

// onTimeProbability estimates the probability that a member answers within a time, from its recent
// latencies. Attempts that have been in flight for longer count as late at once, so that a member that
// falls silent is avoided before any timeout. Extra is how many more attempts to assume in flight.
func (r *Router) onTimeProbability(member *memberState, within, expected time.Duration, extra int) float64 {
	target := float64(within) / float64(expected)
	unqueued := target / queueingFactor(len(member.inFlight)+1+extra)
	pool := r.latencyPools[member.role == RolePrimary]
	onTime, total := r.countOnTime(pool, unqueued, priorWeight, priorWeight)
	onTime, total = r.countOnTime(member.latencyWindow, unqueued, priorWeight*onTime/total, priorWeight)
	for _, attempt := range member.inFlight {
		if float64(r.now-attempt.sentAt)/float64(attempt.expectedLatency) > target {
			total++
		}
	}
	return onTime / total
}

// countOnTime adds a window's samples to the weighted numbers of samples on time and of all samples. The
// newest weigh most. A censored sample within the target counts as neither.
func (r *Router) countOnTime(window []latencySample, target, onTime, total float64) (float64, float64) {
	for _, sample := range window {
		weight := 2 * (1 - float64(r.now-sample.at)/float64(latencyWindowAge))
		if weight <= 0 {
			continue
		}
		if sample.ratio > target {
			total += weight
		} else if !sample.censored {
			onTime += weight
			total += weight
		}
	}
	return onTime, total
}

// score is the expected value of a member's answer, as a share of the request's priority weight.
func (r *Router) score(req *requestState, member *memberState) float64 {
	extra := 0
	if member == req.group.primary() && !req.needsPrimary {
		extra = 1 // reads leave capacity for a write at the primary
	}
	inObjective := r.onTimeProbability(member, req.latencyObjectiveAt-r.now, *req.expectedLatency, extra)
	inDeadline := r.onTimeProbability(member, req.deadline-r.now, *req.expectedLatency, extra)
	return max(inObjective, req.class.LateShare*inDeadline)
}
