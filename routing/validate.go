package routing

import (
	"fmt"

	"cranegate/internal/zones"
)

// ConfigError says that a router can't be made with a configuration, and what it needs. Readers of settings find such faults
// before, with the names that operators know.
type ConfigError struct {
	Field string // of Config
	Needs string // what it has to be
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration: %s has to be %s", e.Field, e.Needs)
}

// check says what a configuration lacks that decisions divide by or wait for, and makes the zones that it asks for; nil for
// none. A cold member's settings may all be left out, all zero: then members count as warm from the start.
func (c *Config) validate(seed uint64) (*zones.Zones, error) {
	switch {
	case len(c.Classes) == 0:
		return nil, &ConfigError{"Classes", "one class at least"}
	case c.Gateways < 1:
		return nil, &ConfigError{"Gateways", "1 at least"}
	case c.MaxAttempts < 1:
		return nil, &ConfigError{"MaxAttempts", "1 at least"}
	case c.SlowStartDuration < 0 || c.SlowStartDuration > 0 && (!(c.OverloadFactor > 0) || c.OverloadWindow <= 0 || !(c.SlowStartCapacity >= 0 && c.SlowStartCapacity <= 1)):
		return nil, &ConfigError{"ColdFor, ColdFrom, TipMultiple and TipAfter", "given together: more than 0, and ColdFrom from 0 to 1"}
	}
	for i, k := range c.Classes {
		if k.LatencyObjective <= 0 || k.Deadline <= 0 {
			return nil, &ConfigError{fmt.Sprintf("class %d (%s)", i, k.Name), "given an Aim and a Deadline of more than 0"}
		}
	}
	if c.Zones == nil {
		return nil, nil
	}
	z, err := zones.New(*c.Zones, seed)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return z, nil
}
