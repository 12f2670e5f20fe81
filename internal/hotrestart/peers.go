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

// peer is another process that is not known to be dead. The coordinator's mu guards it.
type peer struct {
	name              rendezvous.Name
	links             map[*link]struct{}
	applied           state.Registers // what its program is known to have applied
	ready             bool            // it serves
	receivedRegisters bool            // it has sent its registers

	wantBlob     bool // it is older than this process, which starts
	receivedBlob bool
	blob         []byte
}

// peerNamed returns the peer of a name. A link to a new one is maintained until it is known to be dead. c.mu is held.
// Errors: ErrClosed, ErrTooManyProcesses.
func (c *Coordinator) peerNamed(name rendezvous.Name) (*peer, error) {
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

// maintainLink keeps a connection to a peer. The peer is dead when its socket refuses one, and only then: the end of a
// connection alone proves nothing.
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
			c.forget(p)
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

// reserveLink gives a connection its descriptor: one of unreservedLinks, or one of Options.Reserve. The caller must call release once.
// An error is logged and counted.
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

// forget removes a peer that is dead, and has the file read for what it wrote last.
func (c *Coordinator) forget(p *peer) {
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
		release, err := c.reserveLink() // others wait in the socket's queue meanwhile
		if err != nil {
			conn.Close() // the other process tries again
			continue
		}
		c.goroutines.Go(func() {
			defer release()
			c.serveIncoming(conn)
		})
	}
}

// serveIncoming reads who has connected, and serves the link until it ends.
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
	p, err := c.peerNamed(name)
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

// addLink adds a connection to a peer's. c.mu is held.
func (c *Coordinator) addLink(l *link) {
	l.peer.links[l] = struct{}{}
	if !c.opening && l.peer.name.Before(c.name) {
		c.hadOlder = true // it has the earlier name, but registered its socket after this process
	}
	l.queue(sendHello | sendUpdate)
	c.broadcast()
}

// sleep waits, and returns false if Close came first.
func (c *Coordinator) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.lifetime.Done():
		return false
	}
}
