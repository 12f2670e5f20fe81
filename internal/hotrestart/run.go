package hotrestart

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/hotrestart/state"
)

// Run makes the program apply changes by Options.OnState, calls the other On functions, and writes pending changes to the file, until
// ctx ends or Close is called. Call it once, and let it run as long as the process sends to hosts. After it has returned, this process
// applies no further changes, and acknowledges to other processes only what it has applied. It returns nil.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.lifetime, cancel)()
	c.mu.Lock()
	c.running = true
	c.applied = state.Registers{}
	c.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error { c.applyLoop(ctx); return nil })
	group.Go(func() error { c.notifyLoop(ctx); return nil })
	group.Go(func() error { c.persistLoop(ctx); return nil })
	return group.Wait()
}

// applyLoop makes the program apply the latest registers, and then acknowledges them to all peers.
func (c *Coordinator) applyLoop(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		c.mu.Lock()
		registers, changed := c.registers, c.changed
		done := !first && c.applied.Covers(c.registers)
		c.mu.Unlock()
		if done {
			wait(ctx, changed)
			continue
		}
		err := c.opt.OnState(ctx, registers.State())
		c.mu.Lock()
		c.applyErr = err
		if err == nil {
			first = false
			c.applied = registers
			c.queueAll(sendAck)
		}
		c.broadcast()
		c.mu.Unlock()
		if err != nil {
			c.opt.Counters.Add("handover_applies_failed", 1)
			sleep(ctx, applyRetryInterval)
		}
	}
}

// peerSummary describes the other processes, as far as notifyLoop reports it.
type peerSummary struct {
	newerAlive bool
	newerReady bool
	olderEnded bool
}

// summarize returns the current summary, and a channel that is closed when it may have changed. It needs the previous summary because
// olderEnded, once true, stays true.
func (c *Coordinator) summarize(previous peerSummary) (peerSummary, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peerSummary{
		newerAlive: c.hasNewer(),
		newerReady: c.hasNewerReady(),
		olderEnded: previous.olderEnded || c.hadOlder && !c.hasOlder(),
	}, c.changed
}

// notifyLoop calls OnNewerExists, OnSuperseded and OnRestored when the summary differs from the last one that it read, and OnOlderEnded
// at most once. It misses a change that is reverted before it reads the summary again.
func (c *Coordinator) notifyLoop(ctx context.Context) {
	for previous := (peerSummary{}); ctx.Err() == nil; {
		current, changed := c.summarize(previous)
		if current.newerAlive != previous.newerAlive && c.opt.OnNewerExists != nil {
			c.opt.OnNewerExists(current.newerAlive)
		}
		if current.newerReady && !previous.newerReady && c.opt.OnSuperseded != nil {
			c.opt.OnSuperseded()
		}
		if !current.newerReady && previous.newerReady && c.opt.OnRestored != nil {
			c.opt.OnRestored()
		}
		if current.olderEnded && !previous.olderEnded && c.opt.OnOlderEnded != nil {
			c.opt.OnOlderEnded()
		}
		previous = current
		wait(ctx, changed)
	}
}

// persistLoop retries failed writes of the file. After a peer has ended it also merges the file's content into this process's registers,
// because it may contain the peer's last changes. Changes from a live peer are left for that peer to write. If this process wrote them
// at the same time, it would on a slow disk hold the file's lock while the peer's call waits for it, so that the call would time out.
// This process writes them after the peer has ended, or after applyTimeout without further changes from peers. applyTimeout is the
// longest that a call takes.
func (c *Coordinator) persistLoop(ctx context.Context) {
	var peerWriteDeadline <-chan time.Time // nil: no changes are left for a peer to write
	for delay := minRetryDelay; ctx.Err() == nil; {
		c.mu.Lock()
		pending, byPeer, changed := c.writePending, c.changedByPeer, c.changed
		c.writePending, c.changedByPeer = false, false
		c.mu.Unlock()
		if byPeer {
			peerWriteDeadline = time.After(applyTimeout)
		}
		if pending {
			if err := c.persist(ctx, state.Registers{}); err != nil { // if the file was not written, writePending is set again
				c.opt.Counters.Add("handover_writes_failed", 1)
				sleep(ctx, delay)
				delay = min(2*delay, maxPersistDelay)
				continue
			}
			delay = minRetryDelay
		}
		select {
		case <-changed:
		case <-peerWriteDeadline:
			peerWriteDeadline = nil
			c.mu.Lock()
			c.writePending = true
			c.mu.Unlock()
		case <-ctx.Done():
		}
	}
}

// wait waits for a channel to be closed or for ctx to end.
func wait(ctx context.Context, closed <-chan struct{}) {
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// sleep waits for a duration or for ctx to end.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
