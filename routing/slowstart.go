package routing

import (
	"cmp"
	"math"
	"time"
)

// warmth is the share of its capacity that a member has at the least.
func (r *Router) warmth(m *member) float64 {
	if m.startedAt <= 0 || r.cfg.SlowStartDuration <= 0 || r.now >= m.startedAt+r.cfg.SlowStartDuration {
		return 1
	}
	return r.cfg.SlowStartCapacity + (1-r.cfg.SlowStartCapacity)*float64(max(0, r.now-m.startedAt))/float64(r.cfg.SlowStartDuration)
}

const flowOver = 10 * time.Second // answered work is averaged over this: a quiet gateway has little

// flowed takes work that a member has answered. Shared out among the warm ones as they are then, it is what
// one of them takes of our traffic, whoever comes or goes later; cold ones tell only where no other does.
func (r *Router) flowed(m *member, work time.Duration) {
	if warm, _ := r.warm(); warm == 0 || r.warmth(m) >= 1 {
		r.flow.add(r.now, flowOver, work.Seconds()/flowOver.Seconds()/cmp.Or(warm, float64(len(r.sorted)), 1))
	}
}

// warm is the number of members that are warm and answer, and the sum of their sizes.
func (r *Router) warm() (n, size float64) {
	for _, x := range r.sorted {
		if r.warmth(x) >= 1 && !r.suspect(x) {
			n, size = n+1, size+x.size
		}
	}
	return n, size
}

const coldSafety = 0.85 // share of the tipping budget used: gateways see unequal load

// coldRoom keeps cold members from being pushed over: all gateways may together send a multiple of present
// capacity in a window. What a warm member answers us, scaled to warmth and size, is our part. It is earned
// from a random debt of up to one request, and saved up only as far as chance allows while the fleet's wants,
// with what is held till a primary is named, could push the member over if they came at once.
func (r *Router) coldRoom(m *member, work time.Duration) bool {
	share := r.warmth(m)
	if share >= 1 {
		return true
	}
	if m.creditAt == 0 {
		m.credit, m.creditAt = -r.rng.Float64()*work.Seconds(), r.now
	}
	held := time.Duration(heldAtMost * float64(r.cfg.longest()))
	known := min(1, max(r.now-r.startAt, r.cfg.OverloadWindow).Seconds()/flowOver.Seconds()) // a new gateway's flow
	least := work.Seconds() / max(r.cfg.OverloadWindow, held).Seconds() / float64(len(r.sorted))
	rate := r.cfg.OverloadFactor * coldSafety * share * max(r.flow.now(r.now, flowOver)/known, least)
	if n, size := r.warm(); size > 0 && m.size > 0 {
		rate *= min(1, m.size*n/size) // sizes may be rough, or shrink under load
	}
	m.credit += rate * (r.now - m.creditAt).Seconds()
	m.creditAt = r.now
	kept, fleet := 1.0, float64(r.cfg.Gateways)
	if 2*r.cfg.OverloadFactor*share*r.cfg.OverloadWindow.Seconds() < (r.cfg.OverloadWindow + held).Seconds() {
		n := rate / work.Seconds() * r.cfg.OverloadWindow.Seconds() * fleet
		kept = min(1, ((1-coldSafety)*n+math.Sqrt(n)/2+2)/fleet)
	}
	m.credit -= work.Seconds() * max(0, math.Ceil(m.credit/work.Seconds()-kept))
	return m.credit >= 0
}

// Overdrawn says whether a member in slow start has been sent more than the budget had room for. Sends need a
// budget that is not spent, so that what is owed after one is its own work at most.
func (r *Router) Overdrawn(id string) bool {
	m := r.members[id]
	if m == nil || r.warmth(m) >= 1 || m.creditAt == 0 || len(m.out) == 0 {
		return false
	}
	const rounding = 1e-9 // s
	return m.credit+m.out[len(m.out)-1].work.Seconds() < -rounding
}
