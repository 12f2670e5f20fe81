package hotrestart

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/hotrestart/state"
)

// Run applies what is learned, calls Superseded and Alone, and writes news to the file, until ctx or the process's
// life ends. Call it once, and let it run as long as the process sends to hosts: without it nothing is applied, and
// calls elsewhere are not acknowledged. It gives nil.
func (h *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.life, cancel)()
	h.mu.Lock()
	h.running = true
	h.holding = state.Registers{}
	h.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { h.applying(ctx); return nil })
	group.Go(func() error { h.notifying(ctx); return nil })
	group.Go(func() error { h.writing(ctx); return nil })
	return group.Wait()
}

// applying has the module hold the newest registers, and then tells all peers.
func (h *Coordinator) applying(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		h.mu.Lock()
		regs, changed, done := h.regs, h.changed, !first && h.holding.Covers(h.regs)
		h.mu.Unlock()
		if done {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := h.opt.OnState(ctx, regs.State())
		h.mu.Lock()
		h.applyErr = err
		if err == nil {
			first = false
			h.holding = regs
			for _, p := range h.peers {
				for l := range p.links {
					l.owe(oweHolding)
				}
			}
		}
		h.signal()
		h.mu.Unlock()
		if err != nil {
			h.opt.Counters.Add("handover_applies_failed", 1)
			select {
			case <-time.After(applyEvery):
			case <-ctx.Done():
			}
		}
	}
}

// notifying calls Newer, Superseded and Restored at each change, and Alone at most once.
func (h *Coordinator) notifying(ctx context.Context) {
	for superseded, alone, newer := false, false, false; ctx.Err() == nil; {
		h.mu.Lock()
		changed := h.changed
		nowNewer := h.newer()
		ready := h.newerReady()
		nowAlone := !alone && h.hadOlder && !h.older()
		h.mu.Unlock()
		alone = alone || nowAlone
		if nowNewer != newer && h.opt.NewerExists != nil {
			h.opt.NewerExists(nowNewer)
		}
		newer = nowNewer
		if ready && !superseded && h.opt.Superseded != nil {
			h.opt.Superseded()
		} else if !ready && superseded && h.opt.Restored != nil {
			h.opt.Restored()
		}
		superseded = ready
		if nowAlone && h.opt.Alone != nil {
			h.opt.Alone()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// writing writes what could not be written before, and takes what a dead process wrote last. What came from a peer that
// lives is its own to write: beside it, on a slow disk, this process would hold the lock for as long as the peer's call waits
// for it. It is written here once the peer is gone, or where no news has come for as long as a call may take.
func (h *Coordinator) writing(ctx context.Context) {
	var late <-chan time.Time // when what was overheard is written; nil: nothing was
	for wait := againFirst; ctx.Err() == nil; {
		h.mu.Lock()
		due, overheard, changed := h.unwritten, h.overheard, h.changed
		h.unwritten, h.overheard = false, false
		h.mu.Unlock()
		if overheard {
			late = time.After(setFor)
		}
		if due {
			if h.persist(ctx, state.Registers{}) != nil { // which sets unwritten again
				h.opt.Counters.Add("handover_writes_failed", 1)
				select {
				case <-time.After(wait):
				case <-ctx.Done():
				}
				wait = min(2*wait, persistMost)
				continue
			}
			wait = againFirst
		}
		select {
		case <-changed:
		case <-late:
			late = nil
			h.mu.Lock()
			h.unwritten = true
			h.mu.Unlock()
		case <-ctx.Done():
		}
	}
}
