package zones

import (
	"fmt"
	"slices"
	"time"
)

// Parameters of the detection of zone outages. Silences are multiples of a member's expected latency.
const (
	minSilence         = 1.5                    // a member counts as silent from this silence on
	maxSilence         = 5.0                    // the most that one member contributes to the joint silence; not the limit of package routing
	brokenSilence      = 4.5                    // a broken or refused connection counts as this silence
	downThreshold      = 9.0                    // joint silence at which a zone is down: two broken members, or two at 4.5, three at 3, six at 1.5
	silentMemberShare  = 0.6                    // share of the pending members that must be silent
	minExpectedLatency = 25 * time.Millisecond  // lower bound for the expected latency of a health check
	recentlyHeardGrace = 250 * time.Millisecond // a zone is up if any member answered a request or a health check this recently
	flapMemory         = time.Minute            // how long an outage slows down later recoveries
)

// fullyUsable is the share of a zone's capacity from which it counts as usable in full.
const fullyUsable = 0.99

// Observation is what the routing package has observed of one member.
type Observation struct {
	LastHeard       time.Duration // when the member last answered a request or a health check
	Silence         float64       // longest silence of an attempt in flight or ended unanswered, in expected latencies; 0 for none
	Pending         bool          // an attempt is in flight, or has ended unanswered or broken since LastHeard
	Broken          bool          // connections broke or were refused since LastHeard
	UnansweredFor   time.Duration // how long health checks have gone unanswered, without an answer to a request meanwhile
	ExpectedLatency time.Duration // the shortest expected latency of any class, an upper bound for a health check's
	Unhealthy       bool          // the routing package considers the member unhealthy
	UsableCapacity  float64       // capacity times slow-start weight; 0 if the member is unhealthy
	Capacity        float64
}

// BeginRound starts a round of observations at the given time. Observe is then called for each member, and EndRound at the end.
func (z *Zones) BeginRound(now time.Duration) {
	z.now = now
	for _, zone := range z.zones {
		zone.round = round{}
	}
}

// Observe adds the observation of one member of a zone to the current round.
func (z *Zones) Observe(zone *Zone, o Observation) {
	r := &zone.round
	r.members++
	r.capacity += o.Capacity
	r.usableCapacity += o.UsableCapacity
	r.lastHeard = max(r.lastHeard, o.LastHeard)
	if o.Unhealthy {
		r.unhealthy++
	}
	if zone.downAt > 0 && o.LastHeard > zone.downAt {
		r.recovered++
	}
	expected := float64(max(o.ExpectedLatency, minExpectedLatency))
	silence := o.Silence
	if o.UnansweredFor > 0 {
		silence = max(silence, float64(o.UnansweredFor)/expected)
	}
	silence = min(silence, float64(z.now-o.LastHeard)/expected) // a member that answers health checks is slow, not down
	r.expectedLatency = max(r.expectedLatency, expected)
	if !o.Pending && o.UnansweredFor == 0 {
		return
	}
	r.pending++
	if o.Broken { // connections broke after the last answer, so the bound above does not apply
		silence = max(silence, brokenSilence)
	}
	if silence >= minSilence {
		r.silent++
		r.jointSilence += min(silence, maxSilence)
	}
}

// EndRound ends a round and moves zones between states. If every zone with members is down already or looks down now, the
// gateway itself is assumed to be cut off or to have been suspended, and no zone is declared down. The last zone that is up
// is therefore never declared down. The zone without a name never looks down, and counts as up if it has members.
func (z *Zones) EndRound() {
	alive := 0
	for _, zone := range z.zones {
		if zone.round.members > 0 && zone.state != Down && !zone.isDown(z.now) {
			alive++
		}
	}
	for _, zone := range z.zones {
		zone.doubtful = zone.Name != "" && zone.round.silent > 0 && zone.state != Down
		z.advance(zone, alive > 0)
	}
	if z.options.Tiers == nil && z.now >= z.nextReorder {
		z.nextReorder = z.now + reorderInterval
		z.assignTiers()
	}
}

// isDown reports whether the current round shows a zone outage: at least two members are silent, they are at least
// silentMemberShare of the pending ones, no member has answered within recentlyHeardGrace, and the joint silence reaches
// downThreshold. Silence counts only since the last answer from any member of the zone.
func (z *Zone) isDown(now time.Duration) bool {
	r := &z.round
	if z.Name == "" || r.silent < 2 || now-r.lastHeard < recentlyHeardGrace {
		return false
	}
	if float64(r.silent) < silentMemberShare*float64(r.pending) {
		return false
	}
	sinceHeard := float64(now-r.lastHeard) / max(r.expectedLatency, 1)
	return min(r.jointSilence, float64(r.silent)*sinceHeard) >= downThreshold
}

// Doubtful reports whether a member of the zone is silent or its connections have broken, while the zone is not declared
// down. Health checks of the other members then show whether the member or the zone is down. It is false on a nil zone.
func (z *Zone) Doubtful() bool { return z != nil && z.doubtful }

// MemberDown reports whether a member is down together with its zone: the zone is down or recovering, and the member has
// not answered since the zone was declared down. heard is the time of its last answer. It is false on a nil zone.
func (z *Zone) MemberDown(heard time.Duration) bool {
	return z != nil && (z.state == Down || z.state == Recovering) && heard <= z.downAt
}

// advance moves one zone to its next state. anyUp is false if every zone with members is down or looks down.
//
// The evidence in the reasons has other names than the fields: suspect is unhealthy, asked is pending, and heard is recovered.
func (z *Zones) advance(zone *Zone, anyUp bool) {
	switch {
	case zone.round.members == 0:
		if zone.state != Healthy {
			z.setState(zone, Healthy, "it has no members") // in words, as there is no evidence
		}
	case zone.state != Down && anyUp && zone.isDown(z.now):
		z.markDown(zone)
	case zone.state == Down:
		z.checkRecovery(zone)
	case zone.state == Recovering:
		if z.RecoveryShare(zone) >= 1 && zone.round.usableCapacity >= fullyUsable*zone.round.capacity {
			z.setState(zone, Healthy, "")
		}
	case zone.state == Healthy && (zone.round.unhealthy > 0 || zone.round.usableCapacity < fullyUsable*zone.round.capacity):
		z.setState(zone, Impaired, fmt.Sprintf("suspect=%d usable=%.2f", zone.round.unhealthy, zone.round.usableCapacity/max(zone.round.capacity, 1e-9)))
	case zone.state == Impaired && zone.round.unhealthy == 0 && zone.round.usableCapacity >= fullyUsable*zone.round.capacity:
		z.setState(zone, Healthy, "")
	}
}

// markDown declares a zone down.
func (z *Zones) markDown(zone *Zone) {
	zone.outages = slices.DeleteFunc(zone.outages, func(at time.Duration) bool { return z.now-at > flapMemory })
	zone.outages = append(zone.outages, z.now)
	zone.downAt, zone.recoveringSince = z.now, 0
	z.setState(zone, Down, fmt.Sprintf("silent=%d asked=%d joint=%.1f last_heard_ms=%d", zone.round.silent, zone.round.pending, zone.round.jointSilence,
		(z.now-zone.round.lastHeard).Milliseconds()))
}
