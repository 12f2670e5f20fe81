package core

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// ErrStopped is returned by calls after the actor has ended: the program is about to exit, and nothing is sent any more.
var ErrStopped = errors.New("the gateway has ended")

// Override is a manual change of a host's use.
type Override int

// The overrides.
const (
	Detach         Override = iota // take the host out of use; an unknown one is an error
	DetachUnlisted                 // take the host out of use even if it is not known yet
	Attach                         // return the host to use
)

// SetOverride takes a host out of use or returns it to use. It returns once the change holds in the router: after a nil
// error no attempt begins at a host that is out. It returns ErrStopped, the context's error, or that of the override.
func (c *Core) SetOverride(ctx context.Context, id string, way Override) error {
	var failed error
	err := c.call(ctx, func() {
		set := []func(time.Duration, string) ([]routing.Endpoint, error){
			Detach:         c.overrides.Detach,
			DetachUnlisted: c.overrides.DetachUnlisted,
			Attach:         c.overrides.Attach,
		}[way]
		var changed []routing.Endpoint
		if changed, failed = set(c.now, id); len(changed) > 0 {
			c.applyEndpoints(routing.EndpointList{Kind: routing.EndpointListPatch, Endpoints: changed})
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// call runs a function on the actor's goroutine and returns once it has run. It returns ErrStopped or the context's error
// if the function may not have run.
func (c *Core) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	run := actorCall(func() {
		f()
		close(done)
	})
	select {
	case c.mailbox <- run:
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

// Known reports whether a host with this id is known, in the endpoint list or otherwise.
func (c *Core) Known(ctx context.Context, id string) (bool, error) {
	known := false // may be written after a return with an error, and is read only after one without
	if err := c.call(ctx, func() { known = c.overrides.Known(c.now, id) }); err != nil {
		return false, err
	}
	return known, nil
}

// StartTimes returns the start times of the hosts that may still be in slow start, by id.
func (c *Core) StartTimes(ctx context.Context) (map[string]time.Time, error) {
	starts := map[string]time.Time{}
	collect := func() {
		for id, at := range c.router.SlowStartTimes() {
			starts[id] = c.clock.time(at)
		}
	}
	if err := c.call(ctx, collect); err != nil {
		return nil, err
	}
	return starts, nil
}

// Learned returns what the router has observed so far, for the router of the next process.
func (c *Core) Learned(ctx context.Context) (routing.Snapshot, error) {
	var learned routing.Snapshot
	if err := c.call(ctx, func() { learned = c.router.Snapshot() }); err != nil {
		return routing.Snapshot{}, err
	}
	return learned, nil
}

// Learn gives the router what that of the previous process had observed. It must come after the first endpoint list.
func (c *Core) Learn(learned routing.Snapshot) {
	c.post(actorCall(func() { c.router.Restore(learned) }))
}

// SetStartTimes sets the start times of hosts that another process knew. It must come before the first endpoint list.
func (c *Core) SetStartTimes(ctx context.Context, starts map[string]time.Time) error {
	return c.call(ctx, func() {
		for id, at := range starts {
			c.overrides.SetStarted(id, c.clock.at(at))
		}
	})
}

// ConfigureZones replaces how zones are judged and how reads are distributed among them. The options must be valid. Where
// the core was started without zones nothing changes.
func (c *Core) ConfigureZones(options zones.Options) {
	c.post(actorCall(func() {
		if z := c.router.Zones(); z == nil {
			slog.Warn("zones_off", "detail", "the program was started without zones; a restart turns them on")
		} else if err := z.Configure(options); err != nil {
			slog.Warn("zones_rejected", "error", err)
		}
	}))
}
