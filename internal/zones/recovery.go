package zones

import (
	"fmt"
	"time"
)

// How reads return to a zone after an outage.
const (
	recoveredMemberShare = 0.5             // share of the members that must answer for a recovery without fewRecoveredDelay
	fewRecoveredDelay    = 2 * time.Second // how long fewer members must have answered
	maxRecoveryDelay     = 8 * time.Second // bound of the recovery delay, however often a zone flaps
	minRampShare         = 0.05            // share of reads with which a recovery begins
	maxFlapDoublings     = 4               // bound of the doublings of the recovery delay
)

// checkRecovery looks whether a zone that is down answers again: most of its members at once, or a few of them for
// fewRecoveredDelay, and either for the recovery delay. The ramp's length is drawn so that gateways do not recover in step.
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
	return float64(int(1) << min(len(zone.losses)-1, maxFlapDoublings))
}

// recoveryDelay returns how long a zone must have answered before reads return.
func (z *Zones) recoveryDelay(zone *Zone) time.Duration {
	return min(maxRecoveryDelay, time.Duration(float64(z.options.RecoveryDelay)*z.flapFactor(zone)))
}

// Reinstate takes a verdict back: a member has answered what was sent to it before the zone was declared down, so the zone
// was slow and not down.
func (z *Zones) Reinstate(zone *Zone, sentAt time.Duration) {
	if zone.state == Down && sentAt < zone.downAt && len(zone.losses) > 0 {
		zone.losses = zone.losses[:len(zone.losses)-1]
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
