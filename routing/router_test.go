package routing

import "testing"

func TestIncompleteConfigurationIsAnError(t *testing.T) {
	for _, change := range []func(*Config){func(c *Config) { c.Classes = nil }, func(c *Config) { c.Gateways = 0 },
		func(c *Config) { c.MaxAttempts = 0 }, func(c *Config) { c.Classes[0].LatencyObjective = 0 }} {
		c := config()
		change(&c)
		if _, err := New(0, c, 1, &recorder{}); err == nil {
			t.Error("no error")
		}
	}
}
