package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// faultAction starts or ends a fault at a time after the start of the scenario.
type faultAction struct {
	at  time.Duration
	run func() error
}

// faultActions returns the actions of all faults in order of time, and when the last fault ends.
func (h *processHarness) faultActions() (actions []faultAction, lastEnd time.Duration) {
	for _, fault := range h.Faults {
		actions = append(actions, faultAction{fault.at(), func() error { return h.startFault(fault) }})
		if end := fault.end(h.membershipScenario); end <= time.Duration(h.Duration) {
			lastEnd = max(lastEnd, end)
			actions = append(actions, faultAction{end, func() error { return h.endFault(fault) }})
		}
	}
	slices.SortStableFunc(actions, func(a, b faultAction) int { return int(a.at - b.at) })
	return actions, lastEnd
}

// runFaults applies all faults. It returns when the scenario's duration has passed and, if HealTimeout is set, the views
// have converged or processTimeout has passed since the end of the last fault.
func (h *processHarness) runFaults(ctx context.Context, stats *processStats) error {
	actions, lastEnd := h.faultActions()
	convergedAt := time.Duration(0)
	stats.healSeconds = processTimeout.Seconds()
	for {
		now := h.network.now() - h.startedAt
		for len(actions) > 0 && actions[0].at <= now {
			if err := actions[0].run(); err != nil {
				return err
			}
			actions = actions[1:]
		}
		diverged, total := h.pollViews()
		stats.maxBudgetShare, stats.divergedViews = max(stats.maxBudgetShare, total), diverged
		now = h.network.now() - h.startedAt
		if diverged > 0 || len(actions) > 0 {
			convergedAt = 0
		} else if convergedAt == 0 {
			convergedAt = now
			stats.healSeconds = max(0, now-lastEnd).Seconds()
		}
		settled := convergedAt > 0 || h.HealTimeout == 0 || now >= lastEnd+processTimeout
		if now >= time.Duration(h.Duration) && settled {
			return nil
		}
		wait := pollInterval
		if len(actions) > 0 {
			wait = min(wait, max(0, actions[0].at-now))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startFault applies a fault.
func (h *processHarness) startFault(f *membershipFault) error {
	h.mu.Lock()
	now := h.network.now()
	h.excuses = append(h.excuses, f.newExcuses(now, now+f.end(h.membershipScenario)-f.at())...)
	h.mu.Unlock()
	if f.Peers.matches != nil {
		h.network.startFault(f)
		return nil
	}
	for _, p := range h.processes {
		if !f.Members.matches(p.index, len(h.processes)) || !p.up {
			continue
		}
		var err error
		switch f.Kind {
		case faultPause:
			h.mu.Lock()
			p.paused = true
			h.mu.Unlock()
			err = p.cmd.Process.Signal(syscall.SIGSTOP)
		case faultKill, faultLeave:
			h.mu.Lock()
			p.up = false
			h.endedAt[p.start] = h.network.now()
			h.mu.Unlock()
			if f.Kind == faultLeave {
				err = p.terminate()
			} else {
				p.kill()
			}
		}
		if err != nil {
			return fmt.Errorf("%s of member %d: %w", f.Kind, p.index, err)
		}
	}
	return nil
}

// endFault reverts a fault. Processes that it ended start again, one after the other.
func (h *processHarness) endFault(f *membershipFault) error {
	if f.Peers.matches != nil {
		h.network.endFault(f)
		return nil
	}
	var errs []error
	for _, p := range h.processes {
		if !f.Members.matches(p.index, len(h.processes)) {
			continue
		}
		switch f.Kind {
		case faultPause:
			errs = append(errs, p.cmd.Process.Signal(syscall.SIGCONT))
			h.mu.Lock()
			p.paused = false
			h.mu.Unlock()
		case faultKill, faultLeave:
			errs = append(errs, h.launch(p))
		}
	}
	return errors.Join(errs...)
}
