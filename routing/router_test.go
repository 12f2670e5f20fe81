package routing

import "testing"

func TestIncompleteConfigurationIsAnError(t *testing.T) {
	for _, change := range []func(*Config){func(cfg *Config) { cfg.Classes = nil }, func(cfg *Config) { cfg.Gateways = 0 },
		func(cfg *Config) { cfg.MaxAttempts = 0 }, func(cfg *Config) { cfg.Classes[0].LatencyObjective = 0 }} {
		c := testConfig()
		change(&c)
		if _, err := New(0, c, 1, &recorder{}); err == nil {
			t.Error("no error")
		}
	}
}
