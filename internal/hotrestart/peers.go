package hotrestart

import (
	"context"
	"errors"
	"net"
	"time"

	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
)

// peer is another process that is not known to have ended. The coordinator's mu guards it.
type peer struct {
	name              rendezvous.Name
	links             map[*link]struct{}
	applied           state.Registers // registers that it has acknowledged as applied
	ready             bool            // its listeners accept clients
	receivedRegisters bool            // it has sent its registers

	wantBlob     bool // it is older than this process, which is starting and requests its blob
	receivedBlob bool
	blob         []byte
}

// peerByName returns the peer of a name. If there is none, it adds one, whose link is maintained until the peer is known to have ended.
// c.mu is held.
// Errors: ErrClosed, ErrTooManyProcesses.
func (c *Coordinator) peerByName(name rendezvous.Name) (*peer, error) {
	if p, ok := c.peers[name]; ok {
		return p, nil
	}
	if c.closed {
		return nil, ErrClosed
	}
	if len(c.peers) >= maxPeers {
		c.reject(ErrTooManyProcesses)
		return nil, ErrTooManyProcesses
	}
	p := &peer{name: name, wantBlob: c.opening && name.Before(c.name), links: map[*link]struct{}{}}
	c.peers[name] = p
	c.broadcast()
	c.goroutines.Go(func() { c.maintainLink(p) })
	return p, nil
}

// maintainLink reconnects to a peer whenever there is no link to it. Only rendezvous.ErrProcessEnded proves that the peer has ended; the
// end of a connection alone does not.
func (c *Coordinator) maintainLink(p *peer) {
	for delay := minRetryDelay; c.lifetime.Err() == nil; {
		c.mu.Lock()
		linked, changed := len(p.links) > 0, c.changed
		c.mu.Unlock()
		if linked {
			delay = minRetryDelay
			select {
			case <-changed:
			case <-c.lifetime.Done():
			}
			continue
		}
		started := time.Now()
		if err := c.connect(p); errors.Is(err, rendezvous.ErrProcessEnded) {
			c.removePeer(p)
			return
		}
		if time.Since(started) > maxConnectDelay {
			delay = minRetryDelay
		}
		if !c.sleep(delay) {
			return
		}
		delay = min(2*delay, maxConnectDelay)
	}
}

// connect connects to a peer and serves the link until it ends.
func (c *Coordinator) connect(p *peer) error {
	release, err := c.reserveLink()
	if err != nil {
		return err
	}
	defer release()
	conn, err := c.dial(p.name)
	if err != nil {
		return err
	}
	c.serveOutgoing(p, conn)
	return nil
}

func (c *Coordinator) dial(name rendezvous.Name) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.lifetime, dialTimeout)
	defer cancel()
	return c.folder.Dial(ctx, name)
}

// reserveLink reserves a descriptor for a connection: one of unreservedLinks, or one from Options.Reserve. The caller must call release
// once. An error is logged and counted.
func (c *Coordinator) reserveLink() (release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.linkCount >= maxLinks {
		c.reject(ErrTooManyConnections)
		return nil, ErrTooManyConnections
	}
	c.linkCount++
	if c.unreservedCount < unreservedLinks {
		c.unreservedCount++
		return func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.linkCount--
			c.unreservedCount--
		}, nil
	}
	releaseDescriptor, err := c.reserveDescriptorLocked()
	if err != nil {
		c.linkCount--
		c.reject(err)
		return nil, err
	}
	return func() {
		c.mu.Lock()
		c.linkCount--
		c.mu.Unlock()
		releaseDescriptor()
	}, nil
}

// reserveDescriptorLocked calls Options.Reserve. c.mu is held, and released during the call.
func (c *Coordinator) reserveDescriptorLocked() (release func(), err error) {
	if c.opt.Reserve == nil {
		return func() {}, nil
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	ctx, cancel := context.WithTimeout(c.lifetime, reserveTimeout)
	defer cancel()
	return c.opt.Reserve(ctx)
}

// removePeer removes a peer that has ended, and makes persistLoop read the file for the peer's last changes.
func (c *Coordinator) removePeer(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, p.name)
	c.writePending = true
	c.opt.Counters.Add("handover_peers_gone", 1)
	c.broadcast()
}

// serveOutgoing serves a connection to a peer until it ends.
func (c *Coordinator) serveOutgoing(p *peer, conn net.Conn) {
	l := newLink(c, p, conn)
	c.mu.Lock()
	c.addLink(l)
	c.mu.Unlock()
	l.serve()
}

// accept accepts connections of other processes until Close.
func (c *Coordinator) accept() {
	for c.lifetime.Err() == nil {
		conn, err := c.listener.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !c.sleep(minRetryDelay) {
				return
			}
			continue
		}
		release, err := c.reserveLink() // meanwhile further connections wait in the socket's queue
		if err != nil {
			conn.Close() // the other process retries
			continue
		}
		c.goroutines.Go(func() {
			defer release()
			c.serveIncoming(conn)
		})
	}
}

// serveIncoming reads the Hello message of an accepted connection, and serves the link until it ends.
func (c *Coordinator) serveIncoming(conn net.Conn) {
	stop := context.AfterFunc(c.lifetime, func() { conn.Close() })
	defer stop()
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	hello, err := frame.Read(conn)
	name, ok := rendezvous.Parse(hello.Name)
	if err != nil || hello.Kind != frame.Hello || hello.Version != frame.Version || !ok || name == c.name {
		c.mu.Lock()
		c.opt.Counters.Add("handover_strangers", 1)
		c.mu.Unlock()
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	p, err := c.peerByName(name)
	if err != nil {
		c.mu.Unlock()
		conn.Close()
		return
	}
	l := newLink(c, p, conn)
	c.addLink(l)
	l.handleHello(hello)
	c.mu.Unlock()
	l.serve()
}

// addLink adds a link to its peer, and queues its first messages. c.mu is held.
func (c *Coordinator) addLink(l *link) {
	l.peer.links[l] = struct{}{}
	if !c.opening && l.peer.name.Before(c.name) {
		c.hadOlder = true // its name is older, but it registered its socket after this process did
	}
	l.queue(sendHello | sendUpdate)
	c.broadcast()
}

// sleep waits for d. It returns false if Close is called first.
func (c *Coordinator) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.lifetime.Done():
		return false
	}
}
