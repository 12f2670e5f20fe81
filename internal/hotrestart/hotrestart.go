// Package hotrestart carries what outlives a process of the gateway from the old one to the new while both live: hosts
// taken out by hand, lameduck, and a blob of knowledge. See docs/design/hotrestart.md.
//
// Every process holds registers (package state), shows a socket in the folder (place), talks to every other that
// lives (talk), and writes one file (record). From the yes to a detach call on no process sends to that host, whichever
// of them was called and whichever dies: the file is written before the folder is searched for newcomers, and a
// newcomer shows its socket before it reads the file.
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

// Handover is one process's end. All calls are safe from any goroutine.
type Coordinator struct {
	opt      Options
	name     rendezvous.Name
	folder   *rendezvous.Folder
	file     *statefile.File
	listener *net.UnixListener
	life     context.Context // until Close
	end      context.CancelFunc
	work     sync.WaitGroup
	exports  sync.Mutex

	mu        sync.Mutex
	changed   chan struct{} // closed and renewed whenever anything below changes
	regs      state.Registers
	holding   state.Registers // what the module holds; before Run what it will hold first, which is regs
	running   bool
	applyErr  error
	unwritten bool // regs hold what the file may lack
	overheard bool // they hold news of a peer that lives, which writes it itself
	peers     map[rendezvous.Name]*peer
	links     int       // connections to peers, or to who may be one
	own       int       // of them, those that nothing was lent for
	refusedAt time.Time // when the log last told of one that was refused
	serving   bool
	opening   bool // older peers are asked for their blob
	hadOlder  bool // Alone is still to be called
	inherited []byte
	doubts    []error
	closed    bool
}

// State is what is known: learned at Open, and since.
func (h *Coordinator) State() state.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.regs.State()
}

// Older says whether an older process lives, also one that hangs.
func (h *Coordinator) Older() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.older()
}

// Role is which of the gateway's processes this one is.
func (h *Coordinator) Role() state.Role {
	h.mu.Lock()
	defer h.mu.Unlock()
	return state.RoleOf(h.older(), h.newerReady())
}

// Inherited is what the Export of the youngest older process gave at Open; nil if none.
func (h *Coordinator) Inherited() []byte { return h.inherited }

// Doubts are what could not be known so far: a *record.InvalidFileError, a *PeerError of ErrUnresponsive, and what else went
// wrong without an answer to give it to. Each is a sentence for operators. At most 32 are kept, the first ones.
func (h *Coordinator) Unconfirmed() []error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]error(nil), h.doubts...)
}

// Ready says that this process serves: every older one is told, and its Superseded is called.
func (h *Coordinator) Ready() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving = true
	for _, p := range h.peers {
		for l := range p.links {
			l.owe(oweReady)
		}
	}
}

// Close takes the socket away, so that the others know that this process is gone, and waits for all goroutines but
// those of Run, which end by themselves. Call it when the last request is answered.
func (h *Coordinator) Close() error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil
	}
	h.closed = true
	h.signal()
	h.mu.Unlock()
	h.folder.Unregister(h.name)
	err := h.listener.Close()
	h.end()
	h.work.Wait()
	return errors.Join(err, h.folder.Close())
}

// The calls below want h.mu held.

func (h *Coordinator) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Coordinator) older() bool {
	for n := range h.peers {
		if n.Before(h.name) {
			return true
		}
	}
	return false
}

func (h *Coordinator) newer() bool {
	for n := range h.peers {
		if h.name.Before(n) {
			return true
		}
	}
	return false
}

func (h *Coordinator) newerReady() bool {
	for n, p := range h.peers {
		if p.ready && h.name.Before(n) {
			return true
		}
	}
	return false
}

func (h *Coordinator) doubt(err error) {
	if len(h.doubts) < 32 {
		h.doubts = append(h.doubts, err)
	}
	h.opt.Counters.Add("handover_doubts", 1)
}

// refuse counts a connection or a process that is not taken, and logs why, once a second at most: whoever is refused tries
// again.
func (h *Coordinator) refuse(why error) {
	h.opt.Counters.Add("handover_refused", 1)
	if now := time.Now(); now.Sub(h.refusedAt) >= time.Second {
		h.refusedAt = now
		slog.Warn("hotrestart_rejected", "error", why)
	}
}

// adopt merges registers into those of this process, and tells the others where that brings news.
func (h *Coordinator) adopt(regs state.Registers) (news bool, err error) {
	merged, err := h.regs.Merge(regs)
	if err != nil {
		return false, err
	}
	merged = merged.Trim()
	if merged.Equal(h.regs) {
		return false, nil
	}
	h.regs = merged
	if !h.running {
		h.holding = merged
	}
	for _, p := range h.peers {
		for l := range p.links {
			l.owe(oweRegistry)
		}
	}
	h.signal()
	return true, nil
}
