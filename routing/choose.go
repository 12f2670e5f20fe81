package routing

import (
	"cmp"
	"slices"

	"cranegate/internal/zones"
)

const (
	tieMargin         = 0.1  // scores that differ by less than this share of the best one are equal
	minPrimaryScore   = 0.85 // reads avoid a primary with a lower score
	maxTierLoadExcess = 1.0  // local load above the lowest; a member with more is dropped before the draw

	minLoadCapacity = 0.1 // lower capacities count as this
	crossZoneLoad   = 0.5 // load added to members in other zones if Config.CrossZoneCost is set
)

// candidates are the members that may serve a read.
type candidates struct {
	healthy   []*memberState
	trial     *memberState // an unhealthy one that may be sent a trial request
	lagging   *memberState // the most advanced one of those too far behind that may have caught up
	bestScore float64      // the best score of the healthy ones
}

// chooseMember returns the member for a request, or nil if the request has to wait. Without a healthy
// candidate, a read goes to the lagging member, if there is one. Otherwise it goes to the trial member if a
// trial is allowed, to the primary if no other member's score ties with the best, and else to one of the
// tied members (see preferTier and pickTied).
func (r *Router) chooseMember(req *requestState) *memberState {
	if req.needsPrimary {
		return r.choosePrimary(req)
	}
	primary := req.group.primary()
	r.discardTierDraw()
	found := r.findCandidates(req, primary)
	if len(found.healthy) == 0 {
		req.group.primaryWantedAt = r.now
		return found.lagging
	}
	if found.trial != nil && r.allowTrial(req, found.trial) {
		return found.trial
	}
	tied := slices.DeleteFunc(slices.Clone(found.healthy), func(m *memberState) bool {
		return m == primary || m.score < found.bestScore*(1-tieMargin)
	})
	if len(tied) == 0 {
		return primary
	}
	return r.pickTied(req, r.preferTier(req.group, primary, tied))
}

// findCandidates scores the eligible members of a read's group. A healthy primary is a candidate only if its
// score is at least minPrimaryScore, so that it has capacity left for writes.
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
				found.bestScore = max(found.bestScore, member.score)
			}
		}
	}
	return found
}

// pickTied picks the less loaded of two random members. A read that accepts data of any age goes instead to
// the member with the lowest position if that lagged by more than maxReplicaLagMillis at its last report,
// because it can serve few other reads.
func (r *Router) pickTied(req *requestState, tied []*memberState) *memberState {
	byPosition := func(a, b *memberState) int { return cmp.Compare(a.position, b.position) }
	furthestBehind := slices.MinFunc(tied, byPosition)
	lagsFar := r.positionAt(furthestBehind.positionReportedAt)-furthestBehind.position > maxReplicaLagMillis
	if req.class.Consistency == ConsistencyAny && lagsFar {
		return furthestBehind
	}
	first := tied[r.rng.IntN(len(tied))]
	second := tied[r.rng.IntN(len(tied))]
	if r.localLoad(second) < r.localLoad(first) {
		return second
	}
	return first
}

// preferTier draws a tier by weight and returns the tied members of that tier, or those of all tiers if it
// has none. Before the draw it drops members whose local load exceeds the lowest one by more than
// maxTierLoadExcess, so that reads of a tier without spare capacity spill over to other tiers.
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

// localLoad returns the number of this gateway's attempts in flight at a member, relative to the member's
// capacity, plus crossZoneLoad for a member in another zone.
func (r *Router) localLoad(member *memberState) float64 {
	load := float64(len(member.inFlight)) / max(member.capacity, minLoadCapacity)
	if r.cfg.CrossZoneCost > 0 && member.zone != r.cfg.Zone {
		load += crossZoneLoad
	}
	return load
}
