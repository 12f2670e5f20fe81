package routing

import (
	"fmt"

	"cranegate/internal/zones"
)

// ConfigError reports a field of Config that New does not accept. Code that reads settings finds such errors
// earlier and names the setting as operators know it.
type ConfigError struct {
	Field string // the field of Config
	Needs string // what the field must be
}

// Error names the field and its requirement.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration: %s must be %s", e.Field, e.Needs)
}

// validate checks the settings that decisions divide by or wait for. It returns the state of the configured
// zones, nil if there are none, and a *ConfigError or an error of package zones.
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
	configuredZones, err := zones.New(*c.Zones, seed)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return configuredZones, nil
}

// validSlowStart reports whether slow start is off or fully configured. The comparisons reject NaN.
func (c *Config) validSlowStart() bool {
	if c.SlowStartDuration == 0 {
		return true
	}
	return c.SlowStartDuration > 0 && c.OverloadFactor > 0 && c.OverloadWindow > 0 &&
		c.SlowStartCapacity >= 0 && c.SlowStartCapacity <= 1
}
