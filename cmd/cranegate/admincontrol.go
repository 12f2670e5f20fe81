package main

import (
	"context"
	"errors"

	"cranegate/internal/agentcheck"
	"cranegate/internal/core"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/override"
)

var (
	errStarting       = errors.New("starting: ask again")
	errStopping       = errors.New("stopping: ask the process that takes its place")
	errLameduckLocked = errors.New("stopping: clients are not taken again; start the gateway anew")
)

// control implements admin.Control for the gateway.
type control gateway

// Ready returns nil if this process can serve.
func (c *control) Ready() error {
	switch c.status.State() {
	case agentcheck.Ready:
		return nil
	case agentcheck.Draining:
		return errStopping
	}
	return errStarting
}

// Detach stops new requests to a database host, in all processes of this gateway.
func (c *control) Detach(ctx context.Context, id string) error { return c.setDetached(ctx, id, true) }

// Attach lets a database host serve again, in all processes of this gateway.
func (c *control) Attach(ctx context.Context, id string) error { return c.setDetached(ctx, id, false) }

// setDetached detaches or attaches a host in all fleets. It fails with an override.UnknownHostError if no endpoint list has the host.
func (c *control) setDetached(ctx context.Context, id string, detached bool) error {
	known, err := (*gateway)(c).knowsHost(ctx, id)
	if err != nil {
		return err
	}
	if !known {
		return override.UnknownHostError{ID: id}
	}
	if c.coordinator != nil {
		return c.coordinator.Apply(ctx, state.Change{Host: id, Detach: detached})
	}
	action := core.Attach
	if detached {
		action = core.DetachUnlisted
	}
	for _, f := range c.fleets {
		if err := f.core.SetOverride(ctx, id, action); err != nil && !isUnknownHost(err) {
			return err
		}
	}
	return nil
}

func isUnknownHost(err error) bool {
	var unknown override.UnknownHostError
	return errors.As(err, &unknown)
}

// Lameduck drains the clients or accepts clients again, in all processes of this gateway. A graceful shutdown can't be undone.
func (c *control) Lameduck(ctx context.Context, on bool) error {
	if !on && c.stopping.Err() != nil {
		return errLameduckLocked
	}
	if c.coordinator != nil {
		return c.coordinator.Apply(ctx, state.Change{Lameduck: on})
	}
	if on {
		c.limiter.Drain()
	} else if !c.limiter.Undrain() {
		return errLameduckLocked
	}
	return nil
}
