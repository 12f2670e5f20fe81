package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	// throughputAveragingTime is the time over which answered work is averaged. It is long because a gateway
	// may have little traffic.
	throughputAveragingTime = 10 * time.Second

	// slowStartSafetyFactor is the share of the overload budget that is used. The overload budget is the work
	// that a member can receive without being overloaded: OverloadFactor times its current capacity, over
	// OverloadWindow. The share is below 1 because gateways see unequal load.
	slowStartSafetyFactor = 0.85
)

// slowStartWeight returns the share of its capacity that a member certainly has: less than 1 in slow start.
func (r *Router) slowStartWeight(member *memberState) float64 {
	duration := r.cfg.SlowStartDuration
	if member.startedAt <= 0 || duration <= 0 || r.now >= member.startedAt+duration {
		return 1
	}
	initial := r.cfg.SlowStartCapacity
	return initial + (1-initial)*float64(max(0, r.now-member.startedAt))/float64(duration)
}

// SlowStartTimes returns the start times of the members in slow start, by member id. A start time comes from
// the endpoint list or, if the list had not reported the restart by then, is the time of the first answer
// after it. If the list reports the restart afterwards, the later of the two times counts.
func (r *Router) SlowStartTimes() map[string]time.Duration {
	starts := map[string]time.Duration{}
	for id, member := range r.members {
		if r.slowStartWeight(member) < 1 {
			starts[id] = member.startedAt
		}
	}
	return starts
}

// recordThroughput records work that a member has answered. A member is warm if it is healthy and not in slow
// start. The work is divided by the number of members that are warm at that time, or by the number of all
// members if none is. The average is therefore the work that one warm member answers for this gateway, even
// if members are added or removed later. Work of members in slow start counts only if no member is warm.
func (r *Router) recordThroughput(member *memberState, work time.Duration) {
	warm, _ := r.warmCapacity()
	if warm > 0 && r.slowStartWeight(member) < 1 {
		return
	}
	memberCount := cmp.Or(warm, float64(len(r.sortedMembers)), 1)
	rate := work.Seconds() / throughputAveragingTime.Seconds() / memberCount
	r.warmThroughput.add(r.now, throughputAveragingTime, rate)
}

// warmCapacity returns the number of healthy members that are not in slow start, and the sum of their
// capacities. It counts the members of all groups, draining ones included.
func (r *Router) warmCapacity() (count, capacity float64) {
	for _, member := range r.sortedMembers {
		if r.slowStartWeight(member) >= 1 && !r.unhealthy(member) {
			count++
			capacity += member.capacity
		}
	}
	return count, capacity
}

// admitSlowStart reports whether a member may be sent work. A member in slow start has a token bucket, in
// seconds of work, so that all gateways together do not overload it. The bucket starts with a random debt of
// up to one request, because many gateways may send to the member at once. Each call refills the bucket;
// sendAttempt takes the tokens out.
func (r *Router) admitSlowStart(member *memberState, work time.Duration) bool {
	weight := r.slowStartWeight(member)
	if weight >= 1 {
		return true
	}
	if member.tokensAt == 0 {
		member.tokens = -r.rng.Float64() * work.Seconds()
		member.tokensAt = r.now
	}
	rate := r.slowStartRate(member, weight, work)
	member.tokens += rate * (r.now - member.tokensAt).Seconds()
	member.tokensAt = r.now
	burst := r.slowStartBurst(weight, rate, work)
	// Tokens above the burst are dropped, in whole requests' worth. With a burst below one request, this may
	// leave the bucket negative.
	member.tokens -= work.Seconds() * max(0, math.Ceil(member.tokens/work.Seconds()-burst))
	return member.tokens >= 0
}

// slowStartRate returns the fill rate of a member's token bucket, in seconds of work per second: the work
// that a warm member answers for this gateway, scaled by the overload factor, the safety factor, the slow
// start weight and, downwards only, the member's capacity relative to the mean of the warm members. The work
// counts as no less than a minimum, because with a rate of 0 a bucket in debt would never fill.
func (r *Router) slowStartRate(member *memberState, weight float64, work time.Duration) float64 {
	// A gateway that has just started has averaged its throughput over less time, but no less than
	// OverloadWindow is assumed.
	averagedTime := max(r.now-r.startedAt, r.cfg.OverloadWindow)
	averagedShare := min(1, averagedTime.Seconds()/throughputAveragingTime.Seconds())
	// The minimum: one request, divided among all members, in an overload window or, if that is longer, in
	// the longest wait of a request.
	minInterval := max(r.cfg.OverloadWindow, r.maxWait()).Seconds()
	minThroughput := work.Seconds() / minInterval / float64(len(r.sortedMembers))
	throughput := max(r.warmThroughput.valueAt(r.now, throughputAveragingTime)/averagedShare, minThroughput)
	rate := r.cfg.OverloadFactor * slowStartSafetyFactor * weight * throughput
	count, capacity := r.warmCapacity()
	if capacity > 0 && member.capacity > 0 {
		rate *= min(1, member.capacity*count/capacity) // capacities may be imprecise, or shrink under load
	}
	return rate
}

// slowStartBurst returns how many requests' worth of tokens may be saved up: 1 at most. It may be less if the
// demand of an overload window, together with the requests that have waited until a primary is known, exceeds
// twice the overload budget. Gateways that then all spend their saved tokens at once could overload the
// member. In that case the burst is the share of the budget that the safety factor leaves, plus part of the
// random variation that the fleet's budget allows, divided by the number of gateways. The fleet may exceed a
// budget of N requests by 2*sqrt(N)+2, of which the burst uses sqrt(N)/2+2.
func (r *Router) slowStartBurst(weight, rate float64, work time.Duration) float64 {
	window := r.cfg.OverloadWindow
	if 2*r.cfg.OverloadFactor*weight*window.Seconds() >= (window + r.maxWait()).Seconds() {
		return 1
	}
	gateways := float64(r.cfg.Gateways)
	budget := rate / work.Seconds() * window.Seconds() * gateways // the fleet's requests in a window
	return min(1, ((1-slowStartSafetyFactor)*budget+math.Sqrt(budget)/2+2)/gateways)
}

// maxWait returns the longest time for which a request waits that no member has received yet.
func (r *Router) maxWait() time.Duration {
	return time.Duration(maxUnsentShare * float64(r.cfg.maxDeadline()))
}
