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

	// slowStartSafetyFactor is the share of the overload budget that is used. It is below 1 because gateways
	// see unequal load.
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
// the endpoint list or, if the list has not reported the restart yet, is the time of the first answer after
// it.
func (r *Router) SlowStartTimes() map[string]time.Duration {
	starts := map[string]time.Duration{}
	for id, member := range r.members {
		if r.slowStartWeight(member) < 1 {
			starts[id] = member.startedAt
		}
	}
	return starts
}

// recordThroughput records work that a member has answered. The work is divided by the number of members that
// are warm at that time. The average is therefore the work that one warm member answers for this gateway,
// even if members are added or removed later. Work of members in slow start counts only if no member is warm.
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
// capacities.
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
// up to one request, because many gateways may send to the member at once.
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
	member.tokens -= work.Seconds() * max(0, math.Ceil(member.tokens/work.Seconds()-burst))
	return member.tokens >= 0
}

// slowStartRate returns the fill rate of a member's token bucket, in seconds of work per second: the work
// that a warm member answers for this gateway, scaled by the overload factor, the safety factor, the slow
// start weight and the member's capacity.
func (r *Router) slowStartRate(member *memberState, weight float64, work time.Duration) float64 {
	// A gateway that has just started has averaged its throughput over less time.
	uptime := max(r.now-r.startedAt, r.cfg.OverloadWindow)
	averaged := min(1, uptime.Seconds()/throughputAveragingTime.Seconds())
	longest := max(r.cfg.OverloadWindow, r.maxWait()).Seconds()
	minThroughput := work.Seconds() / longest / float64(len(r.sortedMembers))
	throughput := max(r.warmThroughput.valueAt(r.now, throughputAveragingTime)/averaged, minThroughput)
	rate := r.cfg.OverloadFactor * slowStartSafetyFactor * weight * throughput
	count, capacity := r.warmCapacity()
	if capacity > 0 && member.capacity > 0 {
		rate *= min(1, member.capacity*count/capacity) // capacities may be imprecise, or shrink under load
	}
	return rate
}

// slowStartBurst returns how many requests' worth of tokens may be saved up: 1 at most. All gateways may
// spend their saved tokens at once while the demand of an overload window, together with the requests that
// have waited until a primary is known, exceeds twice the budget. In that case the burst is limited to the
// random variation that the fleet's budget allows, divided by the number of gateways.
func (r *Router) slowStartBurst(weight, rate float64, work time.Duration) float64 {
	window := r.cfg.OverloadWindow
	if 2*r.cfg.OverloadFactor*weight*window.Seconds() >= (window + r.maxWait()).Seconds() {
		return 1
	}
	gateways := float64(r.cfg.Gateways)
	budget := rate / work.Seconds() * window.Seconds() * gateways // the fleet's requests in a window
	return min(1, ((1-slowStartSafetyFactor)*budget+math.Sqrt(budget)/2+2)/gateways)
}

// maxWait returns the longest time for which a request waits until it is sent.
func (r *Router) maxWait() time.Duration {
	return time.Duration(maxUnsentShare * float64(r.cfg.maxDeadline()))
}
