package zones

import (
	"fmt"
	"time"
)

// Parameters of the return of reads to a zone after an outage.
const (
	recoveredMemberShare = 0.5             // share of the members that must answer for a recovery before fewRecoveredDelay
	fewRecoveredDelay    = 2 * time.Second // how long a smaller share of the members must have answered
	maxRecoveryDelay     = 8 * time.Second // upper bound of the recovery delay of a zone that flaps
	minRampShare         = 0.05            // share of its usual reads that a zone receives when the ramp begins
	maxFlapDoublings     = 4               // upper bound of the doublings of the recovery delay and the ramp
)

// checkRecovery starts the recovery of a zone that is down once its members answer again: recoveredMemberShare of them, or
// fewer for fewRecoveredDelay, and in both cases for the recovery delay. The ramp's length is random, so that gateways do
// not return reads at the same pace.
func (z *Zones) checkRecovery(zone *Zone) {
	if zone.round.recovered == 0 {
		zone.recoveringSince = 0
		return
	}
	if zone.recoveringSince == 0 {
		zone.recoveringSince = z.now
	}
	answering := z.now - zone.recoveringSince
	if float64(zone.round.recovered) < recoveredMemberShare*float64(zone.round.members) && answering < fewRecoveredDelay || answering < z.recoveryDelay(zone) {
		return
	}
	zone.rampStart = z.now
	zone.rampDuration = time.Duration(float64(z.options.RecoveryRamp) * (0.75 + 0.5*z.rng.Float64()) * z.flapFactor(zone))
	z.setState(zone, Recovering, fmt.Sprintf("heard=%d members=%d away_ms=%d", zone.round.recovered, zone.round.members, (z.now-zone.downAt).Milliseconds()))
}

// flapFactor returns the factor by which repeated outages slow down a recovery: 1, 2, 4 and so on.
func (z *Zones) flapFactor(zone *Zone) float64 {
	return float64(int(1) << min(len(zone.outages)-1, maxFlapDoublings))
}

// recoveryDelay returns how long a zone must have answered before reads return.
func (z *Zones) recoveryDelay(zone *Zone) time.Duration {
	return min(maxRecoveryDelay, time.Duration(float64(z.options.RecoveryDelay)*z.flapFactor(zone)))
}

// Reinstate returns a zone that is down to use at once if a member has answered an attempt that was sent, at sentAt, before
// the zone was declared down: the zone was slow and not down.
func (z *Zones) Reinstate(zone *Zone, sentAt time.Duration) {
	if zone.state == Down && sentAt < zone.downAt && len(zone.outages) > 0 {
		zone.outages = zone.outages[:len(zone.outages)-1]
		zone.downAt = 0
		z.setState(zone, Impaired, "answered what was sent before")
	}
}

// RecoveryShare returns the share of its usual reads that a zone receives now, 0 to 1.
func (z *Zones) RecoveryShare(zone *Zone) float64 {
	switch zone.state {
	case Down:
		return 0
	case Recovering:
		return min(1, max(minRampShare, float64(z.now-zone.rampStart)/float64(max(zone.rampDuration, 1))))
	}
	return 1
}
