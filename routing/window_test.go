package routing

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// TestAttemptsBeginInsideTheirWindow has repeats and bounded reads that may wait for a connection: each is sent with the time
// by which it has to have begun.
func TestAttemptsBeginInsideTheirWindow(t *testing.T) {
	for _, window := range []time.Duration{150 * ms, 400 * ms, 2 * time.Second, time.Minute} {
		c := config()
		c.Classes[keyedWrite].IdempotencyTTL = window
		b := newRig(t, c)
		b.told("a", 10*ms)
		first := b.now
		w := b.ask(keyedWrite)
		limit := first + c.Classes[keyedWrite].Deadline
		b.want("the first begins by", b.sends[0].beginBy, limit)
		b.now += 100 * ms
		b.answer(w, ResultReset, RoleUnknown, 0)
		if len(b.to(w)) != 2 {
			t.Fatalf("sent to %v", b.to(w))
		}
		b.want(fmt.Sprint("a repeat begins by, with a window of ", window), b.sends[1].beginBy, min(limit, first+window))
		b.want("and is given up at", b.sends[1].abandonAt, limit)
	}
	c := config()
	c.StaleReads = StaleReadServed
	b := newRig(t, c)
	b.told("a", 60*ms)
	q := b.ask(boundedRead)
	b.want("a read of a replica", b.to(q)[0] != "a", true)
	b.want("begins while its data is recent enough", b.sends[0].beginBy, b.now-60*ms+c.Classes[boundedRead].StalenessBound)
	b.ask(anyRead)
	b.want("any read begins by its aim", b.sends[1].beginBy, b.now+c.Classes[anyRead].LatencyObjective)

	// A primary may be read from whatever its position is known to be, as long as nobody has told of another.
	c = config()
	c.StaleReads = StaleReadServed
	b = newRig(t, c)
	b.told("a", 10*ms)
	b.now += 50 * ms
	q = b.ask(freshRead)
	b.want("a fresh read goes to", b.to(q)[0], "a")
	b.want("and begins before an answer that names another primary counts as known", b.sends[0].beginBy, b.now+roleValidityPeriod)
	b.want("which is", roleValidityPeriod < 100*ms, true)
	w := b.ask(onceWrite)
	b.want("a write goes to", b.to(w)[0], "a")
	b.want("and begins in its time: hosts check it", b.sends[1].beginBy, b.now+c.Classes[onceWrite].Deadline)
}

// TestAimPastTheDeadline has a class whose aim lies far past its deadline: what is usual is at first a part of the time that
// clients wait, or each request would be hopeless and nothing ever learned.
func TestAimPastTheDeadline(t *testing.T) {
	c := config()
	c.Classes[anyRead].LatencyObjective, c.Classes[anyRead].Deadline = 10*time.Second, 200*ms
	b := newRig(t, c)
	b.told("a", 10*ms)
	if q := b.ask(anyRead); len(b.to(q)) != 1 {
		t.Errorf("sent to %v, refused %d", b.to(q), b.refused[q])
	}
}

// TestConfigurationsThatCannotServe names what a configuration lacks that decisions divide by or wait for.
func TestConfigurationsThatCannotServe(t *testing.T) {
	for i, spoil := range []func(*Config){func(c *Config) { c.Classes = nil }, func(c *Config) { c.Gateways = 0 },
		func(c *Config) { c.MaxAttempts = 0 }, func(c *Config) { c.OverloadWindow = 0 }, func(c *Config) { c.OverloadFactor = 0 },
		func(c *Config) { c.OverloadFactor = math.NaN() }, func(c *Config) { c.SlowStartCapacity = 2 }, func(c *Config) { c.SlowStartDuration = -1 },
		func(c *Config) { c.Classes[0].LatencyObjective = 0 }, func(c *Config) { c.Classes[0].Deadline = -1 }} {
		c := config()
		spoil(&c)
		if _, err := New(0, c, 1, &recorder{}); !errors.As(err, new(*ConfigError)) {
			t.Errorf("%d: %v", i, err)
		}
	}
	c := config() // without a rule on cold members they are warm, also one that starts a little ahead of this clock
	c.SlowStartCapacity, c.SlowStartDuration, c.OverloadFactor, c.OverloadWindow = 0, 0, 0, 0
	b := newRig(t, c, Endpoint{Member: "a", Group: 1, Primary: true, StartedAt: 101 * time.Second})
	b.told("a", 0)
	b.want("sent", len(b.to(b.ask(onceWrite))), 1)
}

// TestPrimaryThatNoListNames has lists without roles and members that do not check reads: the primary is found by a write's
// misses and by probes, and bounded reads keep to what members are known to have.
func TestPrimaryThatNoListNames(t *testing.T) {
	c := config()
	c.RoleSource, c.StaleReads = RoleSourceNone, StaleReadServed
	b := newRig(t, c, Endpoint{Member: "a", Group: 1, Primary: true}, Endpoint{Member: "b", Group: 1}, Endpoint{Member: "c", Group: 1})
	b.want("the primary before any answer", b.r.groups[1].primary() == nil, true)
	w := b.ask(onceWrite)
	b.answer(w, ResultMissed, RoleReplica, b.at(50*ms))
	b.answer(w, ResultMissed, RoleReplica, b.at(50*ms))
	b.answer(w, ResultOK, RolePrimary, b.at(0))
	b.want("a write looks for it", b.to(w), "[a b c]")
	b.want("the next finds it", b.to(b.ask(onceWrite)), "[c]")
	q := b.ask(boundedRead)
	b.want("a read goes where the data is recent", len(b.to(q)), 1)
	b.now += 300 * ms // past the bound of 200 ms, and nobody was heard since
	b.r.advanceClock(b.now)
	b.want("a read then goes to the primary", b.to(b.ask(boundedRead)), "[c]")
	b.told("b", 10*ms)
	b.want("a probe names another", b.r.groups[1].primary().id, "b")
}
