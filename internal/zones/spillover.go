package zones

import "math/rand/v2"

// Plan distributes the reads of one group among the tiers. It is filled for each read.
type Plan struct {
	Total  [maxTiers]float64 // capacity of the group's replicas in each tier
	Usable [maxTiers]float64 // capacity of those replicas that may serve this read now

	weights [maxTiers]float64
	tiers   int
}

// Add adds one member's capacity. usable is 0 if the member can't serve the read because it is unhealthy, too stale, or
// without slow-start tokens.
func (p *Plan) Add(tier int, total, usable float64) {
	p.Total[tier] += total
	p.Usable[tier] += usable
	p.tiers = max(p.tiers, tier+1)
}

// Weights returns the share of the reads that each tier should receive, best tier first. A tier's health is its usable
// share times the over-provisioning factor, at most 1. A tier receives its health or the rest that the tiers before it
// have left, whichever is less. Healths whose sum is less than 1 are first scaled up to a sum of 1. If nothing is usable
// all weights are 0.
func (p *Plan) Weights(overprovision float64) []float64 {
	sum := 0.0
	for t := range p.tiers {
		p.weights[t] = 0
		if p.Total[t] > 0 {
			p.weights[t] = min(1, overprovision*p.Usable[t]/p.Total[t])
		}
		sum += p.weights[t]
	}
	left := 1.0
	for t := range p.tiers {
		if sum < 1 && sum > 0 {
			p.weights[t] /= sum
		}
		p.weights[t] = min(p.weights[t], left)
		left -= p.weights[t]
	}
	return p.weights[:p.tiers]
}

// Draw chooses the tier that a read should go to, at random by weight, or -1 if no tier is usable. RecordRoute
// adds the weights of the draw to the metrics, and DiscardDraw drops them.
func (z *Zones) Draw(p *Plan, rng *rand.Rand) int {
	drawn := -1
	found := false // drawn is final: the weights up to it exceed point
	point := rng.Float64()
	sum := 0.0
	z.pendingWeights = [maxTiers]float64{}
	z.pendingRead = true
	for tier, weight := range p.Weights(z.options.Overprovision) {
		z.pendingWeights[tier] = weight
		sum += weight
		if weight > 0 && !found {
			drawn = tier
			found = point < sum
		}
	}
	return drawn
}

// RecordRoute records the tier that a read was routed to, if Draw was called for it.
func (z *Zones) RecordRoute(tier int) {
	if !z.pendingRead {
		return
	}
	z.pendingRead = false
	z.routed[tier]++
	for t, s := range z.pendingWeights {
		z.configured[t] += s
	}
}

// DiscardDraw drops the draw of a read that was not routed.
func (z *Zones) DiscardDraw() { z.pendingRead = false }

// TierMetrics counts the reads of one tier since the last call of Metrics.
type TierMetrics struct {
	ConfiguredShare float64 // share of the reads that the tier should have received
	RoutedShare     float64 // share that it received
	Reads           int     // reads routed to this tier
	All             int     // reads routed to any tier
}

// Metrics returns the configured and the actual shares of the tiers and resets the counts.
func (z *Zones) Metrics() []TierMetrics {
	all, out := 0.0, make([]TierMetrics, z.tiers)
	for _, n := range z.routed {
		all += n
	}
	for t := range out {
		out[t] = TierMetrics{ConfiguredShare: z.configured[t] / max(all, 1), RoutedShare: z.routed[t] / max(all, 1),
			Reads: int(z.routed[t]), All: int(all)}
	}
	z.configured, z.routed = [maxTiers]float64{}, [maxTiers]float64{}
	return out
}
