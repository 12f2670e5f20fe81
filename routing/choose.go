package routing

import (
	"cmp"
	"slices"

	"cranegate/internal/zones"
)

const (
	tieMargin         = 0.1  // scores that differ by less, relative to the best, are equal
	minPrimaryScore   = 0.85 // reads avoid a primary whose score is lower
	maxTierLoadExcess = 1.0  // attempts by which a member of the preferred tier may be busier than others

	minLoadCapacity = 0.1 // capacities below it count as this
	crossZoneLoad   = 0.5 // load that a member in another zone counts as having, where crossing zones costs
)

// candidates are the members that may serve a read.
type candidates struct {
	healthy []*memberState
	trial   *memberState // unhealthy, and may be tried
	lagging *memberState // the most advanced one that may have caught up by now
	top     float64      // the best score of those that are healthy
}

// chooseMember returns the member for a request; nil if it has to wait. A read goes to a member at random
// among the best that are fresh enough. Where none is, it goes to the most advanced that may have caught
// up.
func (r *Router) chooseMember(req *requestState) *memberState {
	if req.needsPrimary {
		return r.choosePrimary(req)
	}
	primary := req.group.primary()
	r.forgetZoneDraw()
	found := r.findCandidates(req, primary)
	if len(found.healthy) == 0 {
		req.group.primaryWantedAt = r.now
		return found.lagging
	}
	if found.trial != nil && r.allowTrial(req, found.trial) {
		return found.trial
	}
	tied := slices.DeleteFunc(slices.Clone(found.healthy), func(m *memberState) bool {
		return m == primary || m.score < found.top*(1-tieMargin)
	})
	if len(tied) == 0 {
		return primary
	}
	return r.pickTied(req, r.preferTier(req.group, primary, tied))
}

// findCandidates scores the eligible members of a read's group. The primary is a candidate only while it
// has capacity left for writes.
func (r *Router) findCandidates(req *requestState, primary *memberState) candidates {
	var found candidates
	for _, member := range req.group.members {
		unhealthy := r.unhealthy(member)
		switch {
		case !r.eligible(req, member):
		case !r.freshEnough(req, member):
			ahead := found.lagging == nil || member.position > found.lagging.position
			if ahead && !unhealthy && r.mayCatchUp(req, member) {
				found.lagging = member
			}
		case unhealthy:
			found.trial = member
		default:
			member.score = r.score(req, member)
			if member != primary || member.score >= minPrimaryScore {
				found.healthy = append(found.healthy, member)
				found.top = max(found.top, member.score)
			}
		}
	}
	return found
}

// pickTied picks the less loaded of two random members. A read that accepts any data goes to a replica that
// lags far, if there is one, as that can serve no other reads.
func (r *Router) pickTied(req *requestState, tied []*memberState) *memberState {
	byPosition := func(a, b *memberState) int { return cmp.Compare(a.position, b.position) }
	oldest := slices.MinFunc(tied, byPosition)
	lagsFar := r.positionAt(oldest.positionAt)-oldest.position > maxReplicaLagMillis
	if req.class.Consistency == ConsistencyAny && lagsFar {
		return oldest
	}
	first := tied[r.rng.IntN(len(tied))]
	second := tied[r.rng.IntN(len(tied))]
	if r.localLoad(second) < r.localLoad(first) {
		return second
	}
	return first
}

// preferTier keeps, of tied members, those of the tier that is drawn by the tiers' configured shares.
// Members that are busier than the least loaded one are left out first, so that a tier without capacity
// left spills over.
func (r *Router) preferTier(group *groupState, primary *memberState, tied []*memberState) []*memberState {
	if r.zones == nil || !r.zones.SpilloverEnabled() {
		return tied
	}
	byLoad := func(a, b *memberState) int { return cmp.Compare(r.localLoad(a), r.localLoad(b)) }
	minLoad := r.localLoad(slices.MinFunc(tied, byLoad))
	tied = slices.DeleteFunc(tied, func(m *memberState) bool {
		return r.localLoad(m) > minLoad+maxTierLoadExcess
	})
	var plan zones.Plan
	for _, member := range group.members {
		if member == primary {
			continue
		}
		usable := 0.0
		if slices.Contains(tied, member) {
			usable = member.capacity * r.slowStartWeight(member) * r.zones.RecoveryShare(member.zoneState)
		}
		plan.Add(member.zoneState.Tier(), member.capacity, usable)
	}
	tier := r.zones.Draw(&plan, r.rng)
	kept := slices.DeleteFunc(slices.Clone(tied), func(m *memberState) bool {
		return m.zoneState.Tier() != tier
	})
	if len(kept) == 0 {
		return tied
	}
	return kept
}

// localLoad is how many of this gateway's attempts a member has in flight, in relation to its capacity.
func (r *Router) localLoad(member *memberState) float64 {
	load := float64(len(member.inFlight)) / max(member.capacity, minLoadCapacity)
	if r.cfg.CrossZoneCost > 0 && member.zone != r.cfg.Zone {
		load += crossZoneLoad
	}
	return load
}
