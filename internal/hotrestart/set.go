package hotrestart

import (
	"context"
	"errors"
	"time"

	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
)

// Set makes a change hold in every live process of the gateway, and in the file for those to come. nil is the yes:
// from then on none of them sends to a host that was taken out. It takes at most 1 s, and less where ctx ends.
//
// With an error the change is not taken back: a ban holds wherever it could be had to hold. Errors: those of
// state.Registers.Reserve and ErrClosed, when nothing was changed; ErrUnacknowledged (as a *PeerError), ErrNotApplied,
// ErrNotPersisted, ErrUnverified, which may be joined, and ErrOverruled.
func (h *Coordinator) Apply(ctx context.Context, c state.Change) error {
	ctx, cancel := context.WithTimeout(ctx, setFor)
	defer cancel()
	tries := triesWiden
	if c.Narrows() {
		tries = triesNarrow
	}
	for range tries {
		overruled, err := h.attempt(ctx, c)
		if err != nil || !overruled {
			h.opt.Counters.Add("handover_sets", 1)
			if err != nil {
				h.opt.Counters.Add("handover_sets_failed", 1)
			}
			return err
		}
	}
	return ErrOverruled
}

// attempt makes the change once. overruled: it was heard that another process holds the opposite with a later stamp,
// set before this call or during it; this process has moved its clock past that now.
func (h *Coordinator) attempt(ctx context.Context, c state.Change) (overruled bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return false, ErrClosed
	}
	delta, next, err := h.regs.Reserve(c, h.name.Nonce, time.Now().UnixNano())
	if err != nil {
		h.mu.Unlock()
		return false, err
	}
	h.regs = next
	h.mu.Unlock()
	var problems []error
	for _, step := range state.Steps(c.Narrows()) {
		if atStep != nil {
			atStep(step.String())
		}
		switch step {
		case state.Persist:
			err = h.persist(ctx, delta)
		case state.Adopt:
			h.mu.Lock()
			if _, err = h.adopt(delta); err != nil {
				h.mu.Unlock()
				return false, err
			}
			h.mu.Unlock()
		case state.Look:
			if err = h.look(); err != nil && !errors.Is(err, ErrClosed) {
				err = because(ErrUnverified, err)
			}
		case state.Tell:
			err = h.tell(ctx, delta)
		}
		if err != nil {
			problems = append(problems, err)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.regs.Get(c).On != c.Narrows(), errors.Join(problems...)
}

// persist merges the registers and delta into the file, and takes what else stood there.
func (h *Coordinator) persist(ctx context.Context, delta state.Registers) error {
	ctx, cancel := context.WithTimeout(ctx, lockFor)
	defer cancel()
	h.mu.Lock()
	regs, err := h.regs.Merge(delta)
	h.mu.Unlock()
	if err != nil {
		return because(ErrNotPersisted, err)
	}
	held, err := h.file.Update(ctx, regs)
	h.mu.Lock()
	defer h.mu.Unlock()
	if bad := (*statefile.InvalidFileError)(nil); errors.As(err, &bad) {
		h.doubt(err) // the change itself was written
	} else if err != nil {
		h.unwritten = true
		return because(ErrNotPersisted, err)
	}
	if _, err := h.adopt(held); err != nil {
		return because(ErrNotPersisted, err)
	}
	return nil
}

// tell waits until this process's module and every live peer hold what delta changes.
func (h *Coordinator) tell(ctx context.Context, delta state.Registers) error {
	ctx, cancel := context.WithTimeout(ctx, tellFor)
	defer cancel()
	for {
		h.mu.Lock()
		here := !h.running || h.holding.Covers(delta)
		var missing []string
		for n, p := range h.peers {
			if !p.holds.Covers(delta) {
				missing = append(missing, n.String())
			}
		}
		changed, applyErr := h.changed, h.applyErr
		h.mu.Unlock()
		if here && len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		case <-h.life.Done():
			return ErrClosed
		}
		var problems []error
		if !here {
			if applyErr == nil {
				applyErr = ctx.Err()
			}
			problems = append(problems, because(ErrNotApplied, applyErr))
		}
		if len(missing) > 0 {
			problems = append(problems, &PeerError{missing, ErrUnacknowledged})
		}
		return errors.Join(problems...)
	}
}
