// Package hotrestart carries what outlives a process of the gateway from an older process to a newer one while both live: detached
// hosts, lameduck, and a blob of the program's own. See docs/design/hotrestart.md.
//
// Every process holds registers (package state), registers a socket in the folder (package rendezvous), exchanges messages with every
// other live process (package frame), and writes one file (package statefile). Once a detach call has succeeded no process sends to
// that host, whichever of them was called and whichever dies: the file is written before the folder is searched for newcomers, and a
// newcomer registers its socket before it reads the file.
//
// Nothing exists (no file, socket or goroutine) until Open is called.
package hotrestart

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
)

// maxUnconfirmed bounds the errors that Unconfirmed returns.
const maxUnconfirmed = 32

// rejectionLogInterval is the least time between log lines about rejected processes and connections, which try again.
const rejectionLogInterval = time.Second

// Coordinator keeps one process's registers in agreement with those of the gateway's other processes. All methods are safe for
// concurrent use.
type Coordinator struct {
	opt        Options
	name       rendezvous.Name
	folder     *rendezvous.Folder
	file       *statefile.File
	listener   *net.UnixListener
	lifetime   context.Context // until Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	inherited  []byte     // set by Open
	exportMu   sync.Mutex // serializes calls of Options.Export

	mu        sync.Mutex    // guards what follows
	changed   chan struct{} // closed and renewed whenever one of the fields below changes
	registers state.Registers
	applied   state.Registers // what the program has applied; before Run equal to registers, which Run applies first
	running   bool
	serving   bool
	opening   bool // Open is waiting for the blobs of older processes
	closed    bool
	hadOlder  bool // there was an older process: OnOlderEnded is still to be called, unless it was already

	applyErr      error // of the last OnState
	writePending  bool  // the file may lack part of registers, or hold more
	writtenByPeer bool  // registers have changed by a live peer, which writes the file itself

	peers             map[rendezvous.Name]*peer
	linkCount         int       // connections to peers, and accepted ones that may be peers'
	unreservedCount   int       // those among them without a descriptor from Options.Reserve
	rejectionLoggedAt time.Time // see rejectionLogInterval
	unconfirmed       []error
}

// State returns what is known: learned at Open, and since.
func (c *Coordinator) State() state.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registers.State()
}

// Older reports whether an older process lives, also one that hangs.
func (c *Coordinator) Older() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasOlder()
}

// Role returns which of the gateway's processes this one is.
func (c *Coordinator) Role() state.Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state.RoleOf(c.hasOlder(), c.hasNewerReady())
}

// Inherited returns what the Export of the youngest older process gave at Open; nil if none did.
func (c *Coordinator) Inherited() []byte { return c.inherited }

// Unconfirmed returns what could not be confirmed so far: a *statefile.InvalidFileError, a *PeerError of ErrUnresponsive, and other
// failures outside of calls. Each is a sentence for operators. At most 32 are kept, the first ones.
func (c *Coordinator) Unconfirmed() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]error(nil), c.unconfirmed...)
}

// Ready announces that this process serves: every older one is notified, and its OnSuperseded is called.
func (c *Coordinator) Ready() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	c.queueAll(sendReady)
}

// Close removes the socket, so that the others know that this process has ended, and waits for all goroutines but those of Run, which
// end by themselves. Call it when the last request is answered. Further calls do nothing.
func (c *Coordinator) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.broadcast()
	c.mu.Unlock()
	c.folder.Unregister(c.name)
	err := c.listener.Close()
	c.cancel()
	c.goroutines.Wait()
	return errors.Join(err, c.folder.Close())
}

// The methods below must be called with c.mu held.

// broadcast wakes all who wait for a change.
func (c *Coordinator) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// queueAll has messages sent on all links.
func (c *Coordinator) queueAll(messages messageSet) {
	for _, p := range c.peers {
		for l := range p.links {
			l.queue(messages)
		}
	}
}

func (c *Coordinator) hasOlder() bool {
	for name := range c.peers {
		if name.Before(c.name) {
			return true
		}
	}
	return false
}

func (c *Coordinator) hasNewer() bool {
	for name := range c.peers {
		if c.name.Before(name) {
			return true
		}
	}
	return false
}

func (c *Coordinator) hasNewerReady() bool {
	for name, p := range c.peers {
		if p.ready && c.name.Before(name) {
			return true
		}
	}
	return false
}

func (c *Coordinator) addUnconfirmed(err error) {
	if len(c.unconfirmed) < maxUnconfirmed {
		c.unconfirmed = append(c.unconfirmed, err)
	}
	c.opt.Counters.Add("handover_doubts", 1)
}

// reject counts a connection or a process that is not accepted, and logs the reason, once per rejectionLogInterval at most.
func (c *Coordinator) reject(reason error) {
	c.opt.Counters.Add("handover_refused", 1)
	if now := time.Now(); now.Sub(c.rejectionLoggedAt) >= rejectionLogInterval {
		c.rejectionLoggedAt = now
		slog.Warn("hotrestart_rejected", "error", reason)
	}
}

// merge merges registers into those of this process. It notifies all peers and reports true where that changes any.
func (c *Coordinator) merge(registers state.Registers) (changed bool, err error) {
	merged, err := c.registers.Merge(registers)
	if err != nil {
		return false, err
	}
	merged = merged.Trim()
	if merged.Equal(c.registers) {
		return false, nil
	}
	c.registers = merged
	if !c.running {
		c.applied = merged
	}
	c.queueAll(sendUpdate)
	c.broadcast()
	return true, nil
}
