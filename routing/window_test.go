package routing

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// TestAttemptsStartBeforeTheirDeadline has repeats and bounded reads that may wait for a connection: each is sent with the time
// by which it has to have begun.
func TestAttemptsStartBeforeTheirDeadline(t *testing.T) {
	for _, window := range []time.Duration{150 * ms, 400 * ms, 2 * time.Second, time.Minute} {
		cfg := testConfig()
		cfg.Classes[idempotentWrite].IdempotencyTTL = window
		h := newHarness(t, cfg)
		h.reportAll("a", 10*ms)
		first := h.now
		write := h.request(idempotentWrite)
		limit := first + cfg.Classes[idempotentWrite].Deadline
		h.want("the first begins by", h.sends[0].startBy, limit)
		h.now += 100 * ms
		h.endAttempt(write, ResultReset, RoleUnknown, 0)
		if len(h.membersTried(write)) != 2 {
			t.Fatalf("sent to %v", h.membersTried(write))
		}
		h.want(fmt.Sprint("a repeat begins by, with a window of ", window), h.sends[1].startBy, min(limit, first+window))
		h.want("and is given up at", h.sends[1].abandonAt, limit)
	}
	cfg := testConfig()
	cfg.StaleReads = StaleReadServed
	h := newHarness(t, cfg)
	h.reportAll("a", 60*ms)
	id := h.request(boundedRead)
	h.want("a read of a replica", h.membersTried(id)[0] != "a", true)
	h.want("begins while its data is recent enough", h.sends[0].startBy, h.now-60*ms+cfg.Classes[boundedRead].StalenessBound)
	h.request(anyRead)
	h.want("any read begins by its aim", h.sends[1].startBy, h.now+cfg.Classes[anyRead].LatencyObjective)

	// A primary may be read from whatever its position is known to be, as long as nobody has told of another.
	cfg = testConfig()
	cfg.StaleReads = StaleReadServed
	h = newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	h.now += 50 * ms
	id = h.request(strongRead)
	h.want("a fresh read goes to", h.membersTried(id)[0], "a")
	h.want("and begins before an answer that names another primary counts as known", h.sends[0].startBy, h.now+roleValidityPeriod)
	h.want("which is", roleValidityPeriod < 100*ms, true)
	write := h.request(nonIdempotentWrite)
	h.want("a write goes to", h.membersTried(write)[0], "a")
	h.want("and begins in its time: hosts check it", h.sends[1].startBy, h.now+cfg.Classes[nonIdempotentWrite].Deadline)
}

// TestLatencyObjectivePastTheDeadline has a class whose aim lies far past its deadline: what is usual is at first a part of the time that
// clients wait, or each request would be hopeless and nothing ever learned.
func TestLatencyObjectivePastTheDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[anyRead].LatencyObjective, cfg.Classes[anyRead].Deadline = 10*time.Second, 200*ms
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	if id := h.request(anyRead); len(h.membersTried(id)) != 1 {
		t.Errorf("sent to %v, refused %d", h.membersTried(id), h.rejected[id])
	}
}

// TestInvalidConfigurations names what a configuration lacks that decisions divide by or wait for.
func TestInvalidConfigurations(t *testing.T) {
	for i, spoil := range []func(*Config){func(cfg *Config) { cfg.Classes = nil }, func(cfg *Config) { cfg.Gateways = 0 },
		func(cfg *Config) { cfg.MaxAttempts = 0 }, func(cfg *Config) { cfg.OverloadWindow = 0 }, func(cfg *Config) { cfg.OverloadFactor = 0 },
		func(cfg *Config) { cfg.OverloadFactor = math.NaN() }, func(cfg *Config) { cfg.SlowStartCapacity = 2 }, func(cfg *Config) { cfg.SlowStartDuration = -1 },
		func(cfg *Config) { cfg.Classes[0].LatencyObjective = 0 }, func(cfg *Config) { cfg.Classes[0].Deadline = -1 }} {
		c := testConfig()
		spoil(&c)
		if _, err := New(0, c, 1, &recorder{}); !errors.As(err, new(*ConfigError)) {
			t.Errorf("%d: %v", i, err)
		}
	}
	c := testConfig() // without a rule on cold members they are warm, also one that starts a little ahead of this clock
	c.SlowStartCapacity, c.SlowStartDuration, c.OverloadFactor, c.OverloadWindow = 0, 0, 0, 0
	h := newHarness(t, c, Endpoint{Member: "a", Group: 1, Primary: true, StartedAt: 101 * time.Second})
	h.reportAll("a", 0)
	h.want("sent", len(h.membersTried(h.request(nonIdempotentWrite))), 1)
}

// TestPrimaryIsFoundWithoutAListedRole has lists without roles and members that do not check reads: the primary is found by a write's
// misses and by probes, and bounded reads keep to what members are known to have.
func TestPrimaryIsFoundWithoutAListedRole(t *testing.T) {
	cfg := testConfig()
	cfg.RoleSource, cfg.StaleReads = RoleSourceNone, StaleReadServed
	h := newHarness(t, cfg, Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1}, Endpoint{Member: "c", Group: 1})
	h.want("the primary before any answer", h.router.groups[1].primary() == nil, true)
	write := h.request(nonIdempotentWrite)
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(50*ms))
	h.endAttempt(write, ResultMissed, RoleReplica, h.position(50*ms))
	h.endAttempt(write, ResultOK, RolePrimary, h.position(0))
	h.want("a write looks for it", h.membersTried(write), "[a b c]")
	h.want("the next finds it", h.membersTried(h.request(nonIdempotentWrite)), "[c]")
	id := h.request(boundedRead)
	h.want("a read goes where the data is recent", len(h.membersTried(id)), 1)
	h.now += 300 * ms // past the bound of 200 ms, and nobody was heard since
	h.router.advanceClock(h.now)
	h.want("a read then goes to the primary", h.membersTried(h.request(boundedRead)), "[c]")
	h.reportAll("b", 10*ms)
	h.want("a probe names another", h.router.groups[1].primary().id, "b")
}
