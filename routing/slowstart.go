package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	// throughputAveragingTime is the time over which answered work is averaged: a gateway may have little
	// traffic.
	throughputAveragingTime = 10 * time.Second

	// slowStartSafetyFactor is the share of the overload budget that is used: gateways see unequal load.
	slowStartSafetyFactor = 0.85
)

// slowStartWeight is the share of its capacity that a member is certain to have: less than 1 in slow start.
func (r *Router) slowStartWeight(member *memberState) float64 {
	duration := r.cfg.SlowStartDuration
	if member.startedAt <= 0 || duration <= 0 || r.now >= member.startedAt+duration {
		return 1
	}
	initial := r.cfg.SlowStartCapacity
	return initial + (1-initial)*float64(max(0, r.now-member.startedAt))/float64(duration)
}

// SlowStartTimes returns when the members in slow start have started, by their ids: as the endpoint list
// has told, or as their silence has shown before the list did.
func (r *Router) SlowStartTimes() map[string]time.Duration {
	starts := map[string]time.Duration{}
	for id, member := range r.members {
		if r.slowStartWeight(member) < 1 {
			starts[id] = member.startedAt
		}
	}
	return starts
}

// recordThroughput records work that a member has answered. It is divided among the members that are warm
// at that time, so that the average is what one of them takes of this gateway's traffic, whichever come and
// go later. Work of members in slow start counts only if none is warm.
func (r *Router) recordThroughput(member *memberState, work time.Duration) {
	warm, _ := r.warmCapacity()
	if warm > 0 && r.slowStartWeight(member) < 1 {
		return
	}
	sharers := cmp.Or(warm, float64(len(r.sortedMembers)), 1)
	rate := work.Seconds() / throughputAveragingTime.Seconds() / sharers
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
// seconds of work, so that all gateways together do not overload it. It starts with a random debt of up to
// one request, as many gateways may want the member at once.
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

// slowStartRate is the rate of a member's token bucket in seconds of work a second: this gateway's part of
// what a warm member takes, scaled by the overload factor, the slow start weight and the member's capacity.
func (r *Router) slowStartRate(member *memberState, weight float64, work time.Duration) float64 {
	// A gateway that has just started has averaged its throughput over less time.
	uptime := max(r.now-r.startedAt, r.cfg.OverloadWindow)
	averaged := min(1, uptime.Seconds()/throughputAveragingTime.Seconds())
	longest := max(r.cfg.OverloadWindow, r.maxWait()).Seconds()
	minThroughput := work.Seconds() / longest / float64(len(r.sortedMembers))
	throughput := max(r.warmThroughput.now(r.now, throughputAveragingTime)/averaged, minThroughput)
	rate := r.cfg.OverloadFactor * slowStartSafetyFactor * weight * throughput
	count, capacity := r.warmCapacity()
	if capacity > 0 && member.capacity > 0 {
		rate *= min(1, member.capacity*count/capacity) // capacities may be rough, or shrink under load
	}
	return rate
}

// slowStartBurst is how many requests' worth of tokens may be saved up. While the demand of an overload
// window, and of the requests that wait until a primary is known, exceeds twice the budget, all gateways
// may spend what they have saved at once. Then it is what chance allows of the fleet's budget, divided
// among the gateways.
func (r *Router) slowStartBurst(weight, rate float64, work time.Duration) float64 {
	window := r.cfg.OverloadWindow
	if 2*r.cfg.OverloadFactor*weight*window.Seconds() >= (window + r.maxWait()).Seconds() {
		return 1
	}
	gateways := float64(r.cfg.Gateways)
	budget := rate / work.Seconds() * window.Seconds() * gateways // requests in a window
	return min(1, ((1-slowStartSafetyFactor)*budget+math.Sqrt(budget)/2+2)/gateways)
}

// maxWait is the longest time for which a request waits until it is sent.
func (r *Router) maxWait() time.Duration {
	return time.Duration(maxUnsentShare * float64(r.cfg.maxDeadline()))
}
