package zones

import (
	"fmt"
	"time"
)

// Defaults of Options.
const (
	DefaultOverprovision = 1.4
	DefaultRecoveryDelay = 300 * time.Millisecond
	DefaultRecoveryRamp  = 3 * time.Second
)

// Options are the operator's settings for zones ([zones] in the operator's file).
type Options struct {
	OwnZone string // the gateway's own zone; empty if unknown

	// Tiers orders zones by preference, the best first. Zones of one tier are equal; zones that are not listed share a
	// last tier. If Tiers is empty, the own zone comes first, followed by the others in order of their round-trip times.
	Tiers [][]string

	// Overprovision is the factor by which the usable share of a tier is scaled up before reads spill over to the next
	// tier: with 1.4 a tier takes all reads while 72% of it is usable. Between 1 and 10; 0 means DefaultOverprovision.
	Overprovision float64

	// RecoveryDelay is how long a zone that was down must answer before reads return. It doubles with each further
	// outage within a minute. At most a minute; 0 means DefaultRecoveryDelay. The setting is hold_ms.
	RecoveryDelay time.Duration

	// RecoveryRamp is how long reads then take to return in full. At most a minute; 0 means DefaultRecoveryRamp. The
	// setting is ramp_ms.
	RecoveryRamp time.Duration

	// DetectOnly detects zone outages without distributing reads among tiers.
	DetectOnly bool
}

// Check returns an error that names the first invalid setting, or nil.
func (o Options) Check() error {
	seen := map[string]bool{}
	for i, t := range o.Tiers {
		if len(t) == 0 {
			return fmt.Errorf("tier %d names no zone", i)
		}
		for _, name := range t {
			if name == "" {
				return fmt.Errorf("tier %d names a zone without a name", i)
			}
			if seen[name] {
				return fmt.Errorf("tier %d names zone %q, which has been named before", i, name)
			}
			seen[name] = true
		}
	}
	switch {
	case len(o.Tiers) > maxTiers-1:
		return fmt.Errorf("%d tiers are more than %d", len(o.Tiers), maxTiers-1)
	case o.Overprovision != 0 && !(o.Overprovision >= 1 && o.Overprovision <= 10): // NaN too
		return fmt.Errorf("overprovision %g is not between 1 and 10", o.Overprovision)
	case o.RecoveryDelay < 0 || o.RecoveryDelay > time.Minute:
		return fmt.Errorf("hold %v is not between 0 and a minute", o.RecoveryDelay)
	case o.RecoveryRamp < 0 || o.RecoveryRamp > time.Minute:
		return fmt.Errorf("ramp %v is not between 0 and a minute", o.RecoveryRamp)
	}
	return nil
}
