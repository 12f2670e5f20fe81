package routing

import "time"

const (
	latencyWindowSize = 40              // samples kept of each member
	latencyWindowAge  = 4 * time.Second // age at which a sample no longer counts

	// priorWeight is the weight of a starting value, in samples. The pool of all members of the same role
	// starts with all on time. The pool's share on time is in turn the starting value of each member.
	priorWeight = 2.0

	assumedConcurrency = 2 // attempts that any member processes at once; further ones may be queued
)

// latencySample is a round trip divided by the expected latency of its class and, once recorded, by the
// queueing factor as well. Errors and rejections for lack of capacity have lateRatio instead. A censored
// sample is a lower bound: the attempt ended without an answer.
type latencySample struct {
	at       time.Duration
	ratio    float64
	censored bool
}

// recordLatency records a sample after dividing it by the queueing factor of this gateway's own attempts.
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

// queueingFactor returns the factor by which a number of attempts of this gateway at a member lengthens their
// latencies: attempts beyond assumedConcurrency are queued.
func queueingFactor(attempts int) float64 {
	return float64(max(attempts, assumedConcurrency)) / assumedConcurrency
}

// onTimeProbability estimates the probability that a member answers within a time, from its recent
// latencies. Attempts that have been in flight for longer count as late at once, so that a member that stops
// answering is avoided before any timeout. They are compared with the whole target, as their time includes
// queueing, and the samples with the target without queueing. The parameter extra is the number of further
// attempts to assume in flight.
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
// newest weigh most: 2, which falls to 0 at latencyWindowAge, so that the mean weight over that time is 1. A
// censored sample within the target is not counted, as the attempt might have been on time or late.
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

// score returns the expected value of a member's answer, as a share of the request's priority weight. An
// answer within the latency objective is worth 1, and one only within the deadline the class's LateShare. The
// higher of the two expected values counts.
func (r *Router) score(req *requestState, member *memberState) float64 {
	extra := 0
	if member == req.group.primary() && !req.needsPrimary {
		extra = 1 // reads leave capacity for a write at the primary
	}
	inObjective := r.onTimeProbability(member, req.latencyObjectiveAt-r.now, *req.expectedLatency, extra)
	inDeadline := r.onTimeProbability(member, req.deadline-r.now, *req.expectedLatency, extra)
	return max(inObjective, req.class.LateShare*inDeadline)
}
