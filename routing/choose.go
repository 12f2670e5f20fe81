package routing

import (
	"cmp"
	"slices"

	"cranegate/internal/zones"
)

// minimum is the position that a read needs when sent now.
func (r *Router) minimum(q *request) int64 {
	if q.class.Consistency == ConsistencyBounded {
		return r.ms(r.now - q.class.StalenessBound)
	}
	return q.need
}

// reached is the position that a member has. Where members check reads, its lag is presumed to be what it was
// when last heard, as long as a primary lives: a quiet gateway hears most seldom. A miss corrects a guess.
func (r *Router) reached(m *member) int64 {
	p := m.group.primary()
	if r.cfg.StaleReads == StaleReadServed || p == nil || r.suspect(p) {
		return m.position
	} else if m.position == 0 {
		return r.ms(r.now) // unheard: no worse than one not heard for long
	}
	return m.position + (r.now - m.posAt).Milliseconds()
}

// fresh says whether a member may serve a read: its position suffices, or it was last told to be primary.
func (r *Router) fresh(q *request, m *member) bool {
	need := r.minimum(q)
	return need <= 0 || r.reached(m) >= need || m == q.group.primary()
}

const tieMargin, primarySpare = 0.1, 0.85 // noise of products; chance below which reads keep off the primary

// choose finds the place for a request; nil holds it. Where none is fresh and the primary has no room but
// members check, it is the most advanced that can have caught up since it was heard, at twice time's pace.
func (r *Router) choose(q *request) *member {
	if q.atPrimary {
		return r.choosePrimary(q)
	}
	p, top := q.group.primary(), 0.0
	r.forgetZones()
	var fit []*member
	var tried, hope *member
	for _, m := range q.group.members {
		switch suspect := r.suspect(m); {
		case !r.legal(q, m):
		case !r.fresh(q, m):
			caught := r.reached(m) + (r.now - m.posAt + r.cfg.CatchUpWait).Milliseconds()
			may := r.cfg.StaleReads != StaleReadServed && caught >= r.minimum(q) && !suspect
			if may && (hope == nil || m.position > hope.position) {
				hope = m
			}
		case suspect:
			tried = m
		default:
			if m.value = r.product(q, m); m != p || m.value >= primarySpare {
				fit, top = append(fit, m), max(top, m.value)
			}
		}
	}
	if len(fit) == 0 {
		q.group.soughtAt = r.now
		return hope
	}
	if tried != nil && r.trial(q, tried) {
		return tried
	}
	tied := slices.DeleteFunc(slices.Clone(fit), func(m *member) bool {
		return m == p || m.value < top*(1-tieMargin)
	})
	if len(tied) == 0 {
		return p
	}
	tied = r.prefer(q.group, p, tied)
	m := slices.MinFunc(tied, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
	if q.class.Consistency != ConsistencyAny || r.ms(m.posAt)-m.position <= laggard { // those serve only such reads
		m = tied[r.rng.IntN(len(tied))]
		if b := tied[r.rng.IntN(len(tied))]; r.crowd(b) < r.crowd(m) { // of two the less crowded
			m = b
		}
	}
	return m
}

const tierCrowd = 1.0 // attempts by which a preferred tier may be fuller than others

// prefer keeps of near-ties those in the tier that the stated shares draw; one that is full spills over.
func (r *Router) prefer(g *group, p *member, tied []*member) []*member {
	if r.zones == nil || !r.zones.SpilloverEnabled() {
		return tied
	}
	crowds := func(a, b *member) int { return cmp.Compare(r.crowd(a), r.crowd(b)) }
	least := r.crowd(slices.MinFunc(tied, crowds))
	tied = slices.DeleteFunc(tied, func(m *member) bool { return r.crowd(m) > least+tierCrowd })
	var plan zones.Plan
	for _, m := range g.members {
		if able := 0.0; m != p {
			if slices.Contains(tied, m) {
				able = m.size * r.warmth(m) * r.zones.RecoveryShare(m.at)
			}
			plan.Add(m.at.Tier(), m.size, able)
		}
	}
	t := r.zones.Draw(&plan, r.rng)
	kept := slices.DeleteFunc(slices.Clone(tied), func(m *member) bool { return m.at.Tier() != t })
	if len(kept) == 0 {
		return tied
	}
	return kept
}

// crowd is our work out at a member, with a little for distance where crossing zones costs.
func (r *Router) crowd(m *member) float64 {
	n := float64(len(m.out)) / max(m.size, 0.1)
	if r.cfg.CrossZoneCost > 0 && m.zone != r.cfg.Zone {
		n += 0.5
	}
	return n
}
