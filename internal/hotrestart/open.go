package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
)

// beforeStep is called with the name of each step of a start or a change, before the step. Tests set it to kill, stop or delay a process
// there.
var beforeStep func(step string)

// Open registers this process in the folder, reads the file, and requests the registers and the blob of every older process. It takes
// at most 1 s, even if a process hangs, and applies nothing. Unconfirmed returns the failures to read the file or to get responses.
// Errors: *FolderError, rendezvous.ErrPathTooLong, ErrTooManyProcesses, and the error of ctx if it is canceled.
func Open(ctx context.Context, o Options) (*Coordinator, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
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
	c := &Coordinator{
		opt:     o,
		name:    name,
		folder:  folder,
		file:    statefile.New(o.Dir),
		changed: make(chan struct{}),
		peers:   map[rendezvous.Name]*peer{},
		opening: true,
	}
	c.lifetime, c.cancel = context.WithCancel(context.Background())
	if err := c.join(ctx); err != nil {
		if c.listener != nil {
			c.Close()
		} else {
			folder.Close()
		}
		return nil, err
	}
	return c, nil
}

// join carries out the steps of a start.
func (c *Coordinator) join(ctx context.Context) error {
	for _, step := range state.JoinSteps() {
		if beforeStep != nil {
			beforeStep(step.String())
		}
		var err error
		switch step {
		case state.RegisterSocket:
			err = c.listen()
		case state.ReadFile:
			c.readFile(ctx)
		case state.QueryPeers:
			if err = c.discoverPeers(); err == nil {
				err = c.awaitOlder(ctx)
			}
		case state.ApplyState: // Run carries it out
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// listen registers this process's socket and accepts connections on it.
func (c *Coordinator) listen() error {
	listener, err := c.folder.Register(c.name)
	if errors.Is(err, rendezvous.ErrPathTooLong) {
		return err
	}
	if err != nil {
		return &FolderError{c.opt.Dir, err}
	}
	c.listener = listener
	c.goroutines.Go(c.accept)
	return nil
}

// readFile merges the registers in the file. A failure is added to Unconfirmed.
func (c *Coordinator) readFile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	registers, err := c.file.Read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.addUnconfirmed(fmt.Errorf("reading the state file: %w", err))
	}
	var unreadable *statefile.UnreadableFileError
	if errors.As(err, &unreadable) {
		c.writePending = true // Run retries until it has merged the file's content
	}
	if _, err := c.merge(registers); err != nil {
		c.addUnconfirmed(err)
	}
}

// discoverPeers searches the folder for processes that this one does not know yet, and adds them as peers.
func (c *Coordinator) discoverPeers() error {
	names, err := c.folder.Names(c.name)
	if err != nil {
		return err
	}
	if len(names) >= maxPeers { // sockets of ended processes do not count
		names = slices.DeleteFunc(names, c.removeIfEnded)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if _, err := c.peerByName(name); err != nil {
			return err
		}
	}
	return nil
}

// removeIfEnded reports whether the process of a name has ended. If so, it removes the process's socket.
func (c *Coordinator) removeIfEnded(name rendezvous.Name) bool {
	conn, err := c.dial(name)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, rendezvous.ErrProcessEnded)
}

// awaitOlder waits until all older processes have sent their registers and blobs, at most until ctx's deadline. It fails only if ctx
// is canceled.
func (c *Coordinator) awaitOlder(ctx context.Context) error {
	for expired := false; ; {
		c.mu.Lock()
		c.selectInherited()
		unresponsive := c.unresponsiveOlder()
		if len(unresponsive) == 0 || expired {
			c.finishOpening(unresponsive)
			c.mu.Unlock()
			return nil
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			expired = true
			if errors.Is(ctx.Err(), context.Canceled) {
				return ctx.Err()
			}
		}
	}
}

// unresponsiveOlder lists the sockets of older processes that have not sent both their registers and their blob. c.mu is held.
func (c *Coordinator) unresponsiveOlder() (sockets []string) {
	for name, p := range c.peers {
		if name.Before(c.name) && !(p.receivedRegisters && p.receivedBlob) {
			sockets = append(sockets, name.String())
		}
	}
	return sockets
}

// selectInherited sets inherited to the blob of the youngest older process that has sent one. inherited remains set if that process
// ends before the others have responded. c.mu is held.
func (c *Coordinator) selectInherited() {
	var youngest rendezvous.Name
	for name, p := range c.peers {
		if p.blob != nil && name.Before(c.name) && youngest.Before(name) {
			youngest, c.inherited = name, p.blob
		}
	}
}

// finishOpening ends the wait of Open, and records the older processes that did not respond. c.mu is held.
func (c *Coordinator) finishOpening(unresponsive []string) {
	c.hadOlder, c.opening = c.hasOlder(), false
	if len(unresponsive) > 0 {
		c.addUnconfirmed(&PeerError{unresponsive, ErrUnresponsive})
	}
}
