package core

import (
	"context"
	"cranegate/internal/zones"
	"cranegate/routing"
	"errors"
	"log/slog"
	"time"
)

// ErrStopped says that the core has ended: the program is about to exit, and nothing goes out any more.
var ErrStopped = errors.New("the gateway has ended")

// Hand says what to do with a member by hand.
type Override int

// The ways.
const (
	Detach         Override = iota // leave it out; one that nobody has is an error
	DetachUnlisted                 // leave it out even if nobody has it yet
	Attach                         // it may serve again
)

// Hand takes a member out or calls it back. It returns once that holds in the module: from a nil on nothing is begun at
// a member that is out. It waits no longer than the context.
func (c *Core) SetOverride(ctx context.Context, id string, way Override) error {
	var failed error
	err := c.ask(ctx, func() {
		act := []func(time.Duration, string) ([]routing.Endpoint, error){c.hands.Detach, c.hands.DetachUnlisted, c.hands.Attach}[way]
		var entries []routing.Endpoint
		if entries, failed = act(c.now, id); len(entries) > 0 {
			c.entries(routing.EndpointList{Kind: routing.EndpointListPatch, Endpoints: entries})
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// ask has the actor run an event and returns once it has, or an error if it may not have. It waits no longer than the
// context.
func (c *Core) ask(ctx context.Context, event func()) error {
	done := make(chan struct{})
	select {
	case c.mailbox <- func() { event(); close(done) }:
	case <-c.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-c.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Known says whether anybody has a member of this id.
func (c *Core) Known(ctx context.Context, id string) (bool, error) {
	known := false // written after a return that has an error, maybe, and read only after one that has none
	if err := c.ask(ctx, func() { known = c.hands.Known(c.now, id) }); err != nil {
		return false, err
	}
	return known, nil
}

// Starts tells when the members started that may be cold still.
func (c *Core) Starts(ctx context.Context) (map[string]time.Time, error) {
	starts := map[string]time.Time{}
	if err := c.ask(ctx, func() {
		for id, at := range c.router.SlowStartTimes() {
			starts[id] = c.clock.time(at)
		}
	}); err != nil {
		return nil, err
	}
	return starts, nil
}

// Learned is what the module has learned so far, and Learn hands that to the module of a process that follows; after the
// first list.
func (c *Core) Learned(ctx context.Context) (routing.Snapshot, error) {
	var l routing.Snapshot
	if err := c.ask(ctx, func() { l = c.router.Snapshot() }); err != nil {
		return routing.Snapshot{}, err
	}
	return l, nil
}

// Learn is described at Learned.
func (c *Core) Learn(l routing.Snapshot) { c.post(func() { c.router.Restore(l) }) }

// Started hands in what another process knew of members' starts. It comes before the first list.
func (c *Core) Started(ctx context.Context, starts map[string]time.Time) error {
	return c.ask(ctx, func() {
		for id, at := range starts {
			c.hands.SetStarted(id, c.clock.at(at))
		}
	})
}

// Tune replaces how zones are judged and reads are shared out among them. The options have been checked; where the
// core was started without zones nothing changes.
func (c *Core) ConfigureZones(o zones.Options) {
	c.post(func() {
		if z := c.router.Zones(); z == nil {
			slog.Warn("zones_off", "detail", "the program was started without zones; a restart turns them on")
		} else if err := z.Configure(o); err != nil {
			slog.Warn("zones_refused", "error", err)
		}
	})
}
