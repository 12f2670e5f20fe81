// Package hotrestart transfers state from an older process of the gateway to a newer one while both run: detached hosts, lameduck,
// and a blob that the program defines. See docs/design/hotrestart.md.
//
// Every process holds registers (package state), registers a socket in the folder (package rendezvous), exchanges messages with every
// other live process (package frame), and writes one shared file (package statefile). After a detach call has succeeded no process
// sends to that host, whichever process was called and whichever exits. The reason is the order of steps: a call writes the file
// before it searches the folder for starting processes, and a starting process registers its socket before it reads the file.
//
// No file, socket or goroutine exists until Open is called.
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

// rejectionLogInterval is the minimum time between log lines about rejected processes and connections, because these retry.
const rejectionLogInterval = time.Second

// Coordinator synchronizes the registers of this process with the registers of the gateway's other processes. All methods are safe
// for concurrent use.
type Coordinator struct {
	opt        Options
	name       rendezvous.Name
	folder     *rendezvous.Folder
	file       *statefile.File
	listener   *net.UnixListener
	lifetime   context.Context // ends at Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	inherited  []byte     // blob of the youngest older process; set by Open
	exportMu   sync.Mutex // serializes calls of Options.Export

	mu        sync.Mutex    // guards the fields below
	changed   chan struct{} // closed and replaced whenever one of the fields below changes
	registers state.Registers
	applied   state.Registers // registers that the program has applied; until Run starts equal to registers, because Run applies them first
	running   bool
	serving   bool
	opening   bool // Open is waiting for the blobs of older processes
	closed    bool
	hadOlder  bool // there was an older process: OnOlderEnded is called once when none is left

	applyErr      error // error of the last call of OnState
	writePending  bool  // the file may lack some of registers, or contain others that registers lack
	changedByPeer bool  // registers were changed by a live peer, which writes them to the file itself

	peers             map[rendezvous.Name]*peer
	linkCount         int       // connections to peers, and accepted connections, which may be from peers
	unreservedCount   int       // connections among them without a descriptor from Options.Reserve
	rejectionLoggedAt time.Time // see rejectionLogInterval
	unconfirmed       []error
}

// State returns the state that this process has received so far, during Open and since.
func (c *Coordinator) State() state.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registers.State()
}

// Older reports whether an older process is alive, even if it hangs.
func (c *Coordinator) Older() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasOlder()
}

// Role returns the role of this process among the gateway's processes.
func (c *Coordinator) Role() state.Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state.RoleOf(c.hasOlder(), c.hasNewerReady())
}

// Inherited returns the blob that the youngest older process exported during Open, or nil if there was none.
func (c *Coordinator) Inherited() []byte { return c.inherited }

// Unconfirmed returns the errors because of which the state may be incomplete: a *statefile.InvalidFileError, a *PeerError with
// ErrUnresponsive, and other failures outside of calls. Each text is a sentence for operators. Only the first 32 are retained.
func (c *Coordinator) Unconfirmed() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]error(nil), c.unconfirmed...)
}

// Ready announces to the other processes that this one accepts clients. Every older process then calls its OnSuperseded.
func (c *Coordinator) Ready() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	c.queueAll(sendReady)
}

// Close removes the socket, which shows the other processes that this one has ended, and waits for all goroutines except the
// goroutines of Run, which end on their own. Call it after the last request was answered. Further calls do nothing.
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

// broadcast wakes all goroutines that wait for a change.
func (c *Coordinator) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// queueAll queues messages on all links.
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

// reject counts a rejected connection or process, and logs the reason at most once per rejectionLogInterval.
func (c *Coordinator) reject(reason error) {
	c.opt.Counters.Add("handover_refused", 1)
	if now := time.Now(); now.Sub(c.rejectionLoggedAt) >= rejectionLogInterval {
		c.rejectionLoggedAt = now
		slog.Warn("hotrestart_rejected", "error", reason)
	}
}

// merge merges registers into the registers of this process. If any of these change, it sends an update to all peers and returns true.
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
