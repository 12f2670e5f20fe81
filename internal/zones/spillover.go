package zones

import "math/rand/v2"

// Plan shares the reads of one group out among the tiers. It is filled anew for each read: Total and Usable are the
// capacities of the group's replicas in each tier, all of them and those that may serve this read now.
type Plan struct {
	Total, Usable [maxTiers]float64
	shares        [maxTiers]float64
	tiers         int
}

// Add takes one member. Usable is 0 where it can't serve the read: suspect, too far behind, out of budget.
func (p *Plan) Add(tier int, total, usable float64) {
	p.Total[tier] += total
	p.Usable[tier] += usable
	p.tiers = max(p.tiers, tier+1)
}

// Shares is the part of the reads that each tier gets, best first: the stated spill. As published priority levels
// have it, a tier's health is its usable part scaled by the over-provisioning factor, at most 1; a tier gets its
// health or what the tiers before it left over, whichever is less. Where all healths together are under 1 they are
// scaled up, so that nothing is left without a place; where nothing is usable at all every share is 0.
func (p *Plan) Weights(overprovision float64) []float64 {
	sum := 0.0
	for t := range p.tiers {
		p.shares[t] = 0
		if p.Total[t] > 0 {
			p.shares[t] = min(1, overprovision*p.Usable[t]/p.Total[t])
		}
		sum += p.shares[t]
	}
	left := 1.0
	for t := range p.tiers {
		if sum < 1 && sum > 0 {
			p.shares[t] /= sum
		}
		p.shares[t] = min(p.shares[t], left)
		left -= p.shares[t]
	}
	return p.shares[:p.tiers]
}

// Draw draws the tier that a read should go to. It is -1 where no tier is usable. What was stated counts once the read
// is placed.
func (z *Zones) Draw(p *Plan, rng *rand.Rand) int {
	drawn, at, sum, done := -1, rng.Float64(), 0.0, false
	z.drawn, z.drew = [maxTiers]float64{}, true
	for t, s := range p.Weights(z.opt.Overprovision) {
		z.drawn[t] = s
		if sum += s; s > 0 && !done {
			drawn, done = t, at < sum
		}
	}
	return drawn
}

// Placed notes the tier that a read went to in the end, if one was drawn for it.
func (z *Zones) Placed(tier int) {
	if !z.drew {
		return
	}
	z.drew = false
	z.placed[tier]++
	for t, s := range z.drawn {
		z.stated[t] += s
	}
}

// Forget drops what was drawn for a read that was not placed.
func (z *Zones) Forget() { z.drew = false }

// Figure is what one tier got of the reads placed since the last call of Figures.
type TierMetrics struct {
	ConfiguredShare, RoutedShare float64 // parts of all
	Reads, All                   int     // placed in this tier, and in any
}

// Figures takes the stated and the actual shares of the tiers.
func (z *Zones) Metrics() []TierMetrics {
	all, out := 0.0, make([]TierMetrics, z.tiers)
	for _, n := range z.placed {
		all += n
	}
	for t := range out {
		out[t] = TierMetrics{ConfiguredShare: z.stated[t] / max(all, 1), RoutedShare: z.placed[t] / max(all, 1), Reads: int(z.placed[t]), All: int(all)}
	}
	z.stated, z.placed = [maxTiers]float64{}, [maxTiers]float64{}
	return out
}
