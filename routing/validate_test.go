package routing

import (
	"errors"
	"math"
	"testing"
	"time"
)

// TestInvalidConfigurations checks that New rejects configurations without valid values to divide by or wait
// for.
func TestInvalidConfigurations(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no classes":                    func(cfg *Config) { cfg.Classes = nil },
		"no gateways":                   func(cfg *Config) { cfg.Gateways = 0 },
		"no attempts":                   func(cfg *Config) { cfg.MaxAttempts = 0 },
		"no overload window":            func(cfg *Config) { cfg.OverloadWindow = 0 },
		"no overload factor":            func(cfg *Config) { cfg.OverloadFactor = 0 },
		"an overload factor of NaN":     func(cfg *Config) { cfg.OverloadFactor = math.NaN() },
		"a slow start capacity above 1": func(cfg *Config) { cfg.SlowStartCapacity = 2 },
		"a negative slow start":         func(cfg *Config) { cfg.SlowStartDuration = -1 },
		"no latency objective":          func(cfg *Config) { cfg.Classes[0].LatencyObjective = 0 },
		"a negative deadline":           func(cfg *Config) { cfg.Classes[0].Deadline = -1 },
	} {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(0, cfg, 1, &recorder{}); !errors.As(err, new(*ConfigError)) {
			t.Errorf("%s: error %v, want a *ConfigError", name, err)
		}
	}
}

// TestSlowStartCanBeOff checks that without settings of slow start all members are warm, also a member whose
// start time is a little in the future on the Router's clock.
func TestSlowStartCanBeOff(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartCapacity, cfg.SlowStartDuration, cfg.OverloadFactor, cfg.OverloadWindow = 0, 0, 0, 0
	h := newHarness(t, cfg, Endpoint{Member: "a", Group: 1, Primary: true, StartedAt: 101 * time.Second})
	h.reportAll("a", 0)
	h.want("sent", len(h.membersTried(h.request(nonIdempotentWrite))), 1)
}
