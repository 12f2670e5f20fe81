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

// peer is another process that is not known to be dead. h.mu guards it.
type peer struct {
	name  rendezvous.Name
	links map[*link]struct{}
	holds state.Registers // what its module is known to hold
	ready bool            // it serves
	heard bool            // it sent its registers

	ask      bool // it is to send its blob
	answered bool // it has
	blob     []byte
}

// meet gives the peer of a name; a new one is tended to until it is known to be dead. h.mu is held.
func (h *Coordinator) meet(n rendezvous.Name) (*peer, error) {
	if p, ok := h.peers[n]; ok {
		return p, nil
	}
	if h.closed {
		return nil, ErrClosed
	}
	if len(h.peers) >= mostPeers {
		h.refuse(ErrTooManyProcesses)
		return nil, ErrTooManyProcesses
	}
	p := &peer{name: n, ask: h.opening && n.Before(h.name), links: map[*link]struct{}{}}
	h.peers[n] = p
	h.signal()
	h.work.Go(func() { h.tend(p) })
	return p, nil
}

// tend keeps a connection to a peer. The peer is gone when its socket refuses one, and only then: the end of a
// connection alone proves nothing.
func (h *Coordinator) tend(p *peer) {
	for wait := againFirst; h.life.Err() == nil; {
		h.mu.Lock()
		linked, changed := len(p.links) > 0, h.changed
		h.mu.Unlock()
		if linked {
			wait = againFirst
			select {
			case <-changed:
			case <-h.life.Done():
			}
			continue
		}
		began := time.Now()
		if err := h.reach(p); errors.Is(err, rendezvous.ErrProcessEnded) {
			h.gone(p)
			return
		}
		if time.Since(began) > againMost {
			wait = againFirst
		}
		if !h.pause(wait) {
			return
		}
		wait = min(2*wait, againMost)
	}
}

// reach connects to a peer, and speaks with it until the connection ends.
func (h *Coordinator) reach(p *peer) error {
	leave, err := h.enter()
	if err != nil {
		return err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(h.life, dialFor)
	c, err := h.folder.Dial(ctx, p.name)
	cancel()
	if err == nil {
		h.call(p, c)
	}
	return err
}

// enter gives a connection its descriptor: one of the two that are counted on, or one that is lent. What it returns gives
// that back. Without one it says why, to the log too.
func (h *Coordinator) enter() (leave func(), err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links >= mostLinks {
		h.refuse(ErrTooManyConnections)
		return nil, ErrTooManyConnections
	}
	h.links++
	own, giveBack := h.own < ownLinks, func() {}
	if own {
		h.own++
	} else if h.opt.Reserve != nil {
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(h.life, lendFor)
		giveBack, err = h.opt.Reserve(ctx)
		cancel()
		h.mu.Lock()
		if err != nil {
			h.links--
			h.refuse(err)
			return nil, err
		}
	}
	return func() {
		h.mu.Lock()
		h.links--
		if own {
			h.own--
		}
		h.mu.Unlock()
		giveBack()
	}, nil
}

// gone forgets a peer that is dead, and has the file read for what it wrote last.
func (h *Coordinator) gone(p *peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, p.name)
	h.unwritten = true
	h.opt.Counters.Add("handover_peers_gone", 1)
	h.signal()
}

// call speaks first on a connection to a peer, until it ends.
func (h *Coordinator) call(p *peer, c net.Conn) {
	l := newLink(h, p, c)
	h.mu.Lock()
	h.attach(l)
	h.mu.Unlock()
	l.serve()
}

// accept takes connections of others.
func (h *Coordinator) accept() {
	for h.life.Err() == nil {
		c, err := h.listener.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !h.pause(againFirst) {
				return
			}
			continue
		}
		leave, err := h.enter() // others wait in the socket's queue meanwhile
		if err != nil {
			c.Close() // it tries again
			continue
		}
		h.work.Go(func() {
			defer leave()
			h.answer(c)
		})
	}
}

// answer hears who connected, and then serves it.
func (h *Coordinator) answer(c net.Conn) {
	stop := context.AfterFunc(h.life, func() { c.Close() })
	defer stop()
	c.SetReadDeadline(time.Now().Add(helloFor))
	m, err := frame.Read(c)
	n, ok := rendezvous.Parse(m.Name)
	if err != nil || m.Kind != frame.Hello || m.Version != frame.Version || !ok || n == h.name {
		h.mu.Lock()
		h.opt.Counters.Add("handover_strangers", 1)
		h.mu.Unlock()
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	h.mu.Lock()
	p, err := h.meet(n)
	if err != nil {
		h.mu.Unlock()
		c.Close()
		return
	}
	l := newLink(h, p, c)
	h.attach(l)
	l.greeted(m)
	h.mu.Unlock()
	l.serve()
}

// attach counts a connection as one of a peer's. h.mu is held.
func (h *Coordinator) attach(l *link) {
	l.peer.links[l] = struct{}{}
	if !h.opening && l.peer.name.Before(h.name) {
		h.hadOlder = true // it opened first, and showed itself second
	}
	l.owe(oweHello | oweRegistry)
	h.signal()
}
