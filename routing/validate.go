package routing

import (
	"fmt"

	"cranegate/internal/zones"
)

// ConfigError is a configuration that a Router can't be made with. Readers of settings find such faults
// earlier, and name the setting as operators know it.
type ConfigError struct {
	Field string // of Config
	Needs string // what it has to be
}

// Error names the field and what it has to be.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration: %s has to be %s", e.Field, e.Needs)
}

// validate checks what decisions divide by or wait for, and makes the zones that are configured; nil for
// none. It returns a *ConfigError, or an error of the zones' options.
func (c *Config) validate(seed uint64) (*zones.Zones, error) {
	switch {
	case len(c.Classes) == 0:
		return nil, &ConfigError{"Classes", "one class at least"}
	case c.Gateways < 1:
		return nil, &ConfigError{"Gateways", "1 at least"}
	case c.MaxAttempts < 1:
		return nil, &ConfigError{"MaxAttempts", "1 at least"}
	case !c.validSlowStart():
		return nil, &ConfigError{"SlowStartDuration, SlowStartCapacity, OverloadFactor and OverloadWindow",
			"given together: more than 0, and SlowStartCapacity from 0 to 1"}
	}
	for i, class := range c.Classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return nil, &ConfigError{fmt.Sprintf("class %d (%s)", i, class.Name),
				"given a LatencyObjective and a Deadline of more than 0"}
		}
	}
	if c.Zones == nil {
		return nil, nil
	}
	judged, err := zones.New(*c.Zones, seed)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return judged, nil
}

// validSlowStart reports whether slow start is off or fully configured. The comparisons reject NaN.
func (c *Config) validSlowStart() bool {
	if c.SlowStartDuration == 0 {
		return true
	}
	return c.SlowStartDuration > 0 && c.OverloadFactor > 0 && c.OverloadWindow > 0 &&
		c.SlowStartCapacity >= 0 && c.SlowStartCapacity <= 1
}
