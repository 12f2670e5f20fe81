package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
)

// atStep is told the name of a step before it is made. Tests set it, in processes that end or stop there.
var atStep func(step string)

// Open shows this process to the others in the folder, reads the file, and asks every older process. It takes at
// most 1 s, also where one hangs, and applies nothing. What could not be learned stands in Doubts.
// Errors: *FolderError, ErrTooManyProcesses, place.ErrPath, and the end of ctx.
func Open(ctx context.Context, o Options) (*Coordinator, error) {
	ctx, cancel := context.WithTimeout(ctx, openFor)
	defer cancel()
	folder, err := rendezvous.Open(o.Dir)
	if err != nil {
		return nil, &FolderError{o.Dir, err}
	}
	name, err := rendezvous.New()
	if err != nil {
		folder.Close()
		return nil, err
	}
	h := &Coordinator{opt: o, name: name, folder: folder, file: statefile.In(o.Dir), changed: make(chan struct{}),
		peers: map[rendezvous.Name]*peer{}, opening: true}
	h.life, h.end = context.WithCancel(context.Background())
	for _, step := range state.Joining() {
		if err == nil {
			err = h.join(ctx, step)
		}
	}
	if err != nil {
		if h.listener != nil {
			h.Close()
		} else {
			folder.Close()
		}
		return nil, err
	}
	return h, nil
}

func (h *Coordinator) join(ctx context.Context, step state.Join) error {
	if atStep != nil {
		atStep(step.String())
	}
	switch step {
	case state.Show:
		l, err := h.folder.Register(h.name)
		if errors.Is(err, rendezvous.ErrPath) {
			return err
		} else if err != nil {
			return &FolderError{h.opt.Dir, err}
		}
		h.listener = l
		h.work.Go(h.accept)
	case state.Read:
		lock, cancel := context.WithTimeout(ctx, lockFor)
		defer cancel()
		regs, err := h.file.Read(lock)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil {
			h.doubt(fmt.Errorf("reading the state file: %w", err))
		}
		if unread := (*statefile.UnreadableFileError)(nil); errors.As(err, &unread) {
			h.unwritten = true // Run merges with the file until that succeeds, and so takes what it holds
		}
		if _, err := h.adopt(regs); err != nil {
			h.doubt(err)
		}
	case state.Ask:
		if err := h.look(); err != nil {
			return err
		}
		return h.hear(ctx)
	case state.Hold: // Run's first Apply
	}
	return nil
}

// look searches the folder for processes that this one has not met.
func (h *Coordinator) look() error {
	names, err := h.folder.Names(h.name)
	if err != nil {
		return err
	}
	if len(names) >= mostPeers { // the dead, whose sockets are left over, do not count
		names = slices.DeleteFunc(names, h.dead)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range names {
		if _, err := h.meet(n); err != nil {
			return err
		}
	}
	return nil
}

// dead says whether a name is left over, and takes it away.
func (h *Coordinator) dead(n rendezvous.Name) bool {
	ctx, cancel := context.WithTimeout(h.life, dialFor)
	defer cancel()
	c, err := h.folder.Dial(ctx, n)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, rendezvous.ErrProcessEnded)
}

// hear waits for what older processes were asked, and takes the blob of the youngest of them that sent one.
func (h *Coordinator) hear(ctx context.Context) error {
	for done := false; ; {
		h.mu.Lock()
		var silent []string
		var from rendezvous.Name
		older := h.older()
		for n, p := range h.peers {
			if !n.Before(h.name) {
				continue
			}
			if !p.heard || !p.answered {
				silent = append(silent, n.String())
			}
			if p.blob != nil && from.Before(n) {
				from, h.inherited = n, p.blob
			}
		}
		if len(silent) == 0 || done {
			h.hadOlder, h.opening = older, false
			if len(silent) > 0 {
				h.doubt(&PeerError{silent, ErrUnresponsive})
			}
			h.mu.Unlock()
			return nil
		}
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			done = true
			if errors.Is(ctx.Err(), context.Canceled) {
				return ctx.Err()
			}
		}
	}
}

// pause waits, and says no if Close came first.
func (h *Coordinator) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-h.life.Done():
		return false
	}
}
