package hotrestart

import (
	"context"
	"errors"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
)

// Apply makes every live process of the gateway apply a change, and writes it to the file for later processes. After it has returned
// nil none of them sends to a detached host. Its waits for the file's lock and for other processes take at most 1 s in all its attempts
// together, or less if ctx ends.
//
// Before anything was changed, Apply returns the errors of state.Registers.Prepare, the error of ctx if it has ended, and ErrClosed if
// Close was called before.
//
// Later errors do not undo the change: a host stays detached in every process that has applied the change. They are ErrUnacknowledged
// (as a *PeerError), ErrNotApplied, ErrNotPersisted, ErrUnverified, and ErrClosed if Close is called meanwhile, which may be joined, and
// the error of ctx or of the registers' merge.
//
// ErrOverruled means that opposite changes, made by other processes, have won in all attempts. An attach may have undone the detach.
func (c *Coordinator) Apply(ctx context.Context, change state.Change) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	maxAttempts := maxAttachAttempts
	if change.Restricts() { // a detach, or lameduck on
		maxAttempts = maxDetachAttempts
	}
	for range maxAttempts {
		overruled, err := c.attempt(ctx, change)
		if err != nil || !overruled {
			c.opt.Counters.Add("handover_sets", 1) // without calls that were overruled in every attempt
			if err != nil {
				c.opt.Counters.Add("handover_sets_failed", 1)
			}
			return err
		}
	}
	return ErrOverruled
}

// attempt carries out the change once. overruled reports that another process made the opposite change with a later stamp, before this
// call or during it. The clock of this process's registers, a sequence number, is then at least the stamp's, so that a further attempt
// gets a later one.
func (c *Coordinator) attempt(ctx context.Context, change state.Change) (overruled bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	delta, err := c.prepare(change)
	if err != nil {
		return false, err
	}
	var problems []error
	for _, step := range state.UpdateSteps(change.Restricts()) {
		if beforeStep != nil {
			beforeStep(step.String())
		}
		err := c.updateStep(ctx, step, delta)
		if err != nil && step == state.ApplyLocal { // this process does not hold the change, so there is nothing to acknowledge
			return false, err
		}
		if err != nil {
			problems = append(problems, err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registers.Get(change).On != change.Restricts(), errors.Join(problems...)
}

// prepare assigns a stamp to a change.
func (c *Coordinator) prepare(change state.Change) (delta state.Registers, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return state.Registers{}, ErrClosed
	}
	delta, next, err := c.registers.Prepare(change, c.name.Nonce, time.Now().UnixNano())
	if err != nil {
		return state.Registers{}, err
	}
	c.registers = next
	return delta, nil
}

// updateStep carries out one step of a change.
func (c *Coordinator) updateStep(ctx context.Context, step state.UpdateStep, delta state.Registers) error {
	switch step {
	case state.Persist:
		return c.persist(ctx, delta)
	case state.ApplyLocal:
		c.mu.Lock()
		defer c.mu.Unlock()
		_, err := c.merge(delta)
		return err
	case state.DiscoverPeers:
		err := c.discoverPeers()
		if err != nil && !errors.Is(err, ErrClosed) {
			return withCause(ErrUnverified, err)
		}
		return err
	case state.AwaitAcks:
		return c.awaitAcks(ctx, delta)
	}
	return nil
}

// persist merges the registers and delta into the file, and merges the file's content into the registers. Its errors wrap
// ErrNotPersisted.
func (c *Coordinator) persist(ctx context.Context, delta state.Registers) error {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	c.mu.Lock()
	registers, err := c.registers.Merge(delta)
	c.mu.Unlock()
	if err != nil {
		return withCause(ErrNotPersisted, err)
	}
	stored, err := c.file.Update(ctx, registers)
	c.mu.Lock()
	defer c.mu.Unlock()
	var invalid *statefile.InvalidFileError
	if errors.As(err, &invalid) {
		c.addUnconfirmed(err) // the change itself was written
	} else if err != nil {
		c.writePending = true
		return withCause(ErrNotPersisted, err)
	}
	if _, err := c.merge(stored); err != nil {
		return withCause(ErrNotPersisted, err)
	}
	return nil
}

// awaitAcks waits until this process and every live peer have applied the change in delta. Once Run was called, this process has applied
// it as soon as Options.OnState has returned nil for it; otherwise it counts as applied.
// Errors: ErrNotApplied and a *PeerError with ErrUnacknowledged, which may be joined, and ErrClosed.
func (c *Coordinator) awaitAcks(ctx context.Context, delta state.Registers) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		appliedHere := !c.running || c.applied.Covers(delta)
		missing := c.unacknowledgedPeers(delta)
		changed, applyErr := c.changed, c.applyErr
		c.mu.Unlock()
		if appliedHere && len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		case <-c.lifetime.Done():
			return ErrClosed
		}
		var problems []error
		if !appliedHere {
			if applyErr == nil {
				applyErr = ctx.Err()
			}
			problems = append(problems, withCause(ErrNotApplied, applyErr))
		}
		if len(missing) > 0 {
			problems = append(problems, &PeerError{missing, ErrUnacknowledged})
		}
		return errors.Join(problems...)
	}
}

// unacknowledgedPeers lists the sockets of peers that have not acknowledged delta. c.mu is held.
func (c *Coordinator) unacknowledgedPeers(delta state.Registers) (sockets []string) {
	for name, p := range c.peers {
		if !p.applied.Covers(delta) {
			sockets = append(sockets, name.String())
		}
	}
	return sockets
}
