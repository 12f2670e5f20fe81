package zones

import (
	"slices"
	"time"
)

// Parameters of the order of zones by round trip, which applies if no tiers are configured.
const (
	tierRTTRatio    = 2.0              // a zone this many times farther away starts a new tier,
	tierRTTGap      = time.Millisecond // if its round trip is also longer by at least this much
	rttSmoothing    = 0.02             // share of an increase that a zone's round trip follows; it follows a decrease at once
	reorderInterval = 5 * time.Second  // how often tiers are reordered
)

// ObserveRTT records the round trip of a health check to a member of the zone. The minimum shows the distance of
// the zone; anything above it is caused by load. It does nothing on a nil zone.
func (z *Zone) ObserveRTT(rtt time.Duration) {
	if z == nil {
		return
	}
	if z.rtt == 0 || rtt < z.rtt {
		z.rtt = rtt
		return
	}
	z.rtt += time.Duration(rttSmoothing * float64(min(rtt, 4*z.rtt)-z.rtt))
}

// assignTiers gives each zone its tier.
func (z *Zones) assignTiers() {
	if z.options.Tiers != nil {
		z.assignConfiguredTiers()
		return
	}
	z.assignTiersByRTT()
}

// assignConfiguredTiers assigns the tiers of Options.Tiers. Zones that are not listed share one more tier.
func (z *Zones) assignConfiguredTiers() {
	z.tiers = len(z.options.Tiers)
	for _, zone := range z.zones {
		zone.tier = slices.IndexFunc(z.options.Tiers, func(t []string) bool { return slices.Contains(t, zone.Name) })
		if zone.tier < 0 {
			zone.tier = len(z.options.Tiers)
			z.tiers = len(z.options.Tiers) + 1
		}
	}
}

// assignTiersByRTT puts the own zone first and groups the others by their round trips.
func (z *Zones) assignTiersByRTT() {
	z.tiers = 0
	others := slices.DeleteFunc(slices.Clone(z.zones), func(zone *Zone) bool {
		return zone.Name == z.options.OwnZone && zone.Name != ""
	})
	if len(others) < len(z.zones) {
		z.Zone(z.options.OwnZone).tier = 0
		z.tiers = 1
	}
	slices.SortStableFunc(others, func(a, b *Zone) int { return int(a.rtt - b.rtt) })
	var nearest time.Duration // shortest round trip of the current tier
	for i, zone := range others {
		farther := float64(zone.rtt) > tierRTTRatio*float64(nearest) && zone.rtt-nearest >= tierRTTGap
		if i == 0 || farther && z.tiers < maxTiers {
			nearest = zone.rtt
			z.tiers++
		}
		zone.tier = z.tiers - 1
	}
	z.tiers = max(z.tiers, 1)
}
