package config

import (
	"time"

	"cranegate/internal/zones"
)

// Zones configures how zone outages are detected and how reads are distributed among zones. Of its keys, "hold_ms" is the recovery
// delay and "ramp_ms" the recovery ramp, both in milliseconds.
type Zones struct {
	Tiers           [][]string `toml:"tiers"`         // the most preferred first; if empty, the own zone, then others by round-trip time
	Overprovision   float64    `toml:"overprovision"` // 0 for zones.DefaultOverprovision
	RecoveryDelayMS int        `toml:"hold_ms"`
	RecoveryRampMS  int        `toml:"ramp_ms"`
	DetectOnly      bool       `toml:"detect_only"`
}

// Options returns the options for a gateway in the zone own, or nil if z is nil.
func (z *Zones) Options(own string) *zones.Options {
	if z == nil {
		return nil
	}
	return &zones.Options{
		OwnZone:       own,
		Tiers:         z.Tiers,
		Overprovision: z.Overprovision,
		DetectOnly:    z.DetectOnly,
		RecoveryDelay: time.Duration(z.RecoveryDelayMS) * time.Millisecond,
		RecoveryRamp:  time.Duration(z.RecoveryRampMS) * time.Millisecond,
	}
}
