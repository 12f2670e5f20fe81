package core

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"cranegate/internal/zones"
	"cranegate/routing"
)

// ErrStopped is returned by calls after the core's goroutine has ended: the program is about to exit, and nothing is sent any more.
var ErrStopped = errors.New("the gateway has ended")

// Override is a manual change of a host's use.
type Override int

// The overrides.
const (
	Detach         Override = iota // take the host out of use; an unknown host is an error
	DetachUnlisted                 // take the host out of use even if it is not known yet
	Attach                         // return the host to use
)

// SetOverride takes a host out of use or returns it to use. It returns once the router has applied the change: after
// a nil error no attempt begins at a detached host. An error of package override means that nothing has changed. After
// ErrStopped or the context's error, the change may or may not have been made; after the latter it may still be made later.
func (c *Core) SetOverride(ctx context.Context, id string, override Override) error {
	var overrideErr error
	err := c.call(ctx, func() {
		apply := []func(time.Duration, string) ([]routing.Endpoint, error){
			Detach:         c.overrides.Detach,
			DetachUnlisted: c.overrides.DetachUnlisted,
			Attach:         c.overrides.Attach,
		}[override]
		var changed []routing.Endpoint
		if changed, overrideErr = apply(c.now, id); len(changed) > 0 {
			c.applyEndpoints(routing.EndpointList{Kind: routing.EndpointListPatch, Endpoints: changed})
		}
	})
	if err != nil {
		return err
	}
	return overrideErr
}

// call runs a function on the core's goroutine and returns once it has run. If it returns ErrStopped or the context's
// error, the function may or may not have run; after the latter it may still run later.
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

// Known reports whether a host with this id is in the endpoint list, was removed from it within the last minute, or is detached.
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

// Learn restores in the router what the router of the previous process had observed. It must be called after the first
// endpoint list, because the router skips hosts that it does not have yet.
func (c *Core) Learn(learned routing.Snapshot) {
	c.post(actorCall(func() { c.router.Restore(learned) }))
}

// ShareSessions sets whether another process of this gateway may be serving writes, as Router.ShareSessions describes. It holds
// for requests that are submitted after the call.
func (c *Core) ShareSessions(shared bool) {
	c.post(actorCall(func() { c.router.ShareSessions(c.now, shared) }))
}

// SetStartTimes sets start times of hosts that another process has recorded. It must be called before the first endpoint
// list, because the router gets the start times as part of a list's endpoints.
func (c *Core) SetStartTimes(ctx context.Context, starts map[string]time.Time) error {
	return c.call(ctx, func() {
		for id, at := range starts {
			c.overrides.SetStarted(id, c.clock.at(at))
		}
	})
}

// ConfigureZones replaces the options by which the health of zones is determined and reads are distributed among them. If the
// options are invalid, or the core was started without zones, this is logged and nothing changes.
func (c *Core) ConfigureZones(options zones.Options) {
	c.post(actorCall(func() {
		if z := c.router.Zones(); z == nil {
			slog.Warn("zones_off", "detail", "the program was started without zones; a restart turns them on")
		} else if err := z.Configure(options); err != nil {
			slog.Warn("zones_rejected", "error", err)
		}
	}))
}
