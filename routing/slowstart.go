package routing

import (
	"cmp"
	"math"
	"time"
)

// warmth is the share of its capacity that a member has at the least.
func (r *Router) slowStartWeight(m *memberState) float64 {
	if m.startedAt <= 0 || r.cfg.SlowStartDuration <= 0 || r.now >= m.startedAt+r.cfg.SlowStartDuration {
		return 1
	}
	return r.cfg.SlowStartCapacity + (1-r.cfg.SlowStartCapacity)*float64(max(0, r.now-m.startedAt))/float64(r.cfg.SlowStartDuration)
}

const throughputAveragingTime = 10 * time.Second // answered work is averaged over this: a quiet gateway has little

// flowed takes work that a member has answered. Shared out among the warm ones as they are then, it is what
// one of them takes of our traffic, whoever comes or goes later; cold ones tell only where no other does.
func (r *Router) recordThroughput(m *memberState, work time.Duration) {
	if warm, _ := r.warmCapacity(); warm == 0 || r.slowStartWeight(m) >= 1 {
		r.warmThroughput.add(r.now, throughputAveragingTime, work.Seconds()/throughputAveragingTime.Seconds()/cmp.Or(warm, float64(len(r.sortedMembers)), 1))
	}
}

// warm is the number of members that are warm and answer, and the sum of their sizes.
func (r *Router) warmCapacity() (n, size float64) {
	for _, x := range r.sortedMembers {
		if r.slowStartWeight(x) >= 1 && !r.unhealthy(x) {
			n, size = n+1, size+x.capacity
		}
	}
	return n, size
}

const slowStartSafetyFactor = 0.85 // share of the tipping budget used: gateways see unequal load

// admitSlowStart keeps cold members from being pushed over: all gateways may together send a multiple of present
// capacity in a window. What a warm member answers us, scaled to warmth and size, is our part. It is earned
// from a random debt of up to one request, and saved up only as far as chance allows while the fleet's wants,
// with what is held till a primary is named, could push the member over if they came at once.
func (r *Router) admitSlowStart(m *memberState, work time.Duration) bool {
	share := r.slowStartWeight(m)
	if share >= 1 {
		return true
	}
	if m.tokensAt == 0 {
		m.tokens, m.tokensAt = -r.rng.Float64()*work.Seconds(), r.now
	}
	held := time.Duration(maxUnsentShare * float64(r.cfg.maxDeadline()))
	known := min(1, max(r.now-r.startedAt, r.cfg.OverloadWindow).Seconds()/throughputAveragingTime.Seconds()) // a new gateway's flow
	least := work.Seconds() / max(r.cfg.OverloadWindow, held).Seconds() / float64(len(r.sortedMembers))
	rate := r.cfg.OverloadFactor * slowStartSafetyFactor * share * max(r.warmThroughput.now(r.now, throughputAveragingTime)/known, least)
	if n, size := r.warmCapacity(); size > 0 && m.capacity > 0 {
		rate *= min(1, m.capacity*n/size) // sizes may be rough, or shrink under load
	}
	m.tokens += rate * (r.now - m.tokensAt).Seconds()
	m.tokensAt = r.now
	kept, fleet := 1.0, float64(r.cfg.Gateways)
	if 2*r.cfg.OverloadFactor*share*r.cfg.OverloadWindow.Seconds() < (r.cfg.OverloadWindow + held).Seconds() {
		n := rate / work.Seconds() * r.cfg.OverloadWindow.Seconds() * fleet
		kept = min(1, ((1-slowStartSafetyFactor)*n+math.Sqrt(n)/2+2)/fleet)
	}
	m.tokens -= work.Seconds() * max(0, math.Ceil(m.tokens/work.Seconds()-kept))
	return m.tokens >= 0
}

// Overdrawn says whether a member in slow start has been sent more than the budget had room for. Sends need a
// budget that is not spent, so that what is owed after one is its own work at most.
func (r *Router) Overdrawn(id string) bool {
	m := r.members[id]
	if m == nil || r.slowStartWeight(m) >= 1 || m.tokensAt == 0 || len(m.inFlight) == 0 {
		return false
	}
	const rounding = 1e-9 // s
	return m.tokens+m.inFlight[len(m.inFlight)-1].work.Seconds() < -rounding
}
