package routing

import (
	"cmp"
	"slices"

	"cranegate/internal/zones"
)

// minimum is the position that a read needs when sent now.
func (r *Router) requiredPosition(q *requestState) int64 {
	if q.class.Consistency == ConsistencyBounded {
		return r.positionAt(r.now - q.class.StalenessBound)
	}
	return q.minPosition
}

// reached is the position that a member has. Where members check reads, its lag is presumed to be what it was
// when last heard, as long as a primary lives: a quiet gateway hears most seldom. A miss corrects a guess.
func (r *Router) presumedPosition(m *memberState) int64 {
	p := m.group.primary()
	if r.cfg.StaleReads == StaleReadServed || p == nil || r.unhealthy(p) {
		return m.position
	} else if m.position == 0 {
		return r.positionAt(r.now) // unheard: no worse than one not heard for long
	}
	return m.position + (r.now - m.positionAt).Milliseconds()
}

// fresh says whether a member may serve a read: its position suffices, or it was last told to be primary.
func (r *Router) freshEnough(q *requestState, m *memberState) bool {
	need := r.requiredPosition(q)
	return need <= 0 || r.presumedPosition(m) >= need || m == q.group.primary()
}

const tieMargin, minPrimaryScore = 0.1, 0.85 // noise of products; chance below which reads keep off the primary

// choose finds the place for a request; nil holds it. Where none is fresh and the primary has no room but
// members check, it is the most advanced that can have caught up since it was heard, at twice time's pace.
func (r *Router) chooseMember(q *requestState) *memberState {
	if q.needsPrimary {
		return r.choosePrimary(q)
	}
	p, top := q.group.primary(), 0.0
	r.forgetZoneDraw()
	var fit []*memberState
	var tried, hope *memberState
	for _, m := range q.group.members {
		switch suspect := r.unhealthy(m); {
		case !r.eligible(q, m):
		case !r.freshEnough(q, m):
			caught := r.presumedPosition(m) + (r.now - m.positionAt + r.cfg.CatchUpTimeout).Milliseconds()
			may := r.cfg.StaleReads != StaleReadServed && caught >= r.requiredPosition(q) && !suspect
			if may && (hope == nil || m.position > hope.position) {
				hope = m
			}
		case suspect:
			tried = m
		default:
			if m.score = r.score(q, m); m != p || m.score >= minPrimaryScore {
				fit, top = append(fit, m), max(top, m.score)
			}
		}
	}
	if len(fit) == 0 {
		q.group.primaryWantedAt = r.now
		return hope
	}
	if tried != nil && r.allowTrial(q, tried) {
		return tried
	}
	tied := slices.DeleteFunc(slices.Clone(fit), func(m *memberState) bool {
		return m == p || m.score < top*(1-tieMargin)
	})
	if len(tied) == 0 {
		return p
	}
	tied = r.preferTier(q.group, p, tied)
	m := slices.MinFunc(tied, func(a, b *memberState) int { return cmp.Compare(a.position, b.position) })
	if q.class.Consistency != ConsistencyAny || r.positionAt(m.positionAt)-m.position <= maxReplicaLagMillis { // those serve only such reads
		m = tied[r.rng.IntN(len(tied))]
		if b := tied[r.rng.IntN(len(tied))]; r.localLoad(b) < r.localLoad(m) { // of two the less crowded
			m = b
		}
	}
	return m
}

const maxTierLoadExcess = 1.0 // attempts by which a preferred tier may be fuller than others

// prefer keeps of near-ties those in the tier that the stated shares draw; one that is full spills over.
func (r *Router) preferTier(g *groupState, p *memberState, tied []*memberState) []*memberState {
	if r.zones == nil || !r.zones.Tiered() {
		return tied
	}
	crowds := func(a, b *memberState) int { return cmp.Compare(r.localLoad(a), r.localLoad(b)) }
	least := r.localLoad(slices.MinFunc(tied, crowds))
	tied = slices.DeleteFunc(tied, func(m *memberState) bool { return r.localLoad(m) > least+maxTierLoadExcess })
	var plan zones.Plan
	for _, m := range g.members {
		if able := 0.0; m != p {
			if slices.Contains(tied, m) {
				able = m.capacity * r.slowStartWeight(m) * r.zones.Ramp(m.zoneState)
			}
			plan.Add(m.zoneState.Tier(), m.capacity, able)
		}
	}
	t := r.zones.Draw(&plan, r.rng)
	kept := slices.DeleteFunc(slices.Clone(tied), func(m *memberState) bool { return m.zoneState.Tier() != t })
	if len(kept) == 0 {
		return tied
	}
	return kept
}

// crowd is our work out at a member, with a little for distance where crossing zones costs.
func (r *Router) localLoad(m *memberState) float64 {
	n := float64(len(m.inFlight)) / max(m.capacity, 0.1)
	if r.cfg.CrossZoneCost > 0 && m.zone != r.cfg.Zone {
		n += 0.5
	}
	return n
}
