package admin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A caller is sure of its place for so long; then it gives way if another needs it. One that is acted for keeps it.
const (
	readGrace   = 20 * time.Millisecond  // for the head of its call, and for the rest of the body behind its answer
	unreadGrace = 500 * time.Millisecond // for the head, while this process, on part of a core, has not come to read what there is
	behindGrace = 250 * time.Millisecond // for the head, on top, while there are others that hold up their answers' end
	writeGrace  = 30 * time.Millisecond  // to take what of its answer the system's buffers do not
)

// mostAtOnce is what a socket takes without its peer's help, in bytes: the buffer of one on which nothing was sent is
// larger.
const mostAtOnce = 8 << 10

// phase is how far a caller is.
type phase int

const (
	reading phase = iota
	acting
	answering
	answered
	closed
)

// placeKey names a caller's place in the context of its call.
type placeKey struct{}

// place is a caller's connection.
type place struct {
	net.Conn
	room  *room
	phase phase     // of room.mu
	since time.Time // in that phase; of room.mu

	reads  atomic.Bool  // the caller is waited for in Read
	writes atomic.Int64 // since when in a long Write, Unix ns; 0: it is not
}

// Read notes that the caller is waited for. A read of one byte is net/http's own, which watches for the caller's end once
// the head is whole, a little before the handler runs.
func (p *place) Read(b []byte) (int, error) {
	if len(b) > 1 {
		p.reads.Store(true)
		defer p.reads.Store(false)
	}
	return p.Conn.Read(b)
}

// Write notes so too, where the system's buffers may not take it all at once.
func (p *place) Write(b []byte) (int, error) {
	if len(b) > mostAtOnce {
		p.writes.Store(time.Now().UnixNano())
		defer p.writes.Store(0)
	}
	return p.Conn.Write(b)
}

// move goes on to a phase. False says that the place was given away, or that the connection is closed.
func (p *place) move(to phase) bool {
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	if p.phase == closed {
		return false
	}
	p.phase, p.since = to, time.Now()
	return true
}

// Close gives the place back.
func (p *place) Close() error {
	err := p.Conn.Close()
	p.room.mu.Lock()
	p.phase = closed
	delete(p.room.held, p)
	p.room.mu.Unlock()
	select {
	case p.room.freed <- struct{}{}:
	default:
	}
	return err
}

// CloseWrite ends what this side sends, so that what the other has sent can be passed over.
func (p *place) CloseWrite() error {
	if c, ok := p.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return net.ErrClosed
}

// due is from when on the place may be given away; zero: it may not, as it is this process that is waited for.
func (p *place) due(now time.Time) time.Time {
	switch p.phase {
	case reading:
		if !p.reads.Load() {
			return time.Time{}
		}
		if at := p.since.Add(readGrace); at.After(now) || !p.unread() {
			return at
		}
		return p.since.Add(unreadGrace)
	case answering:
		if began := p.writes.Load(); began != 0 {
			return time.Unix(0, began).Add(writeGrace)
		}
	case answered:
		return p.since.Add(readGrace)
	}
	return time.Time{}
}

// unread says whether something has come that has not been read.
func (p *place) unread() (some bool) {
	c, ok := p.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return some
}

// room is a listener that holds a bounded number of connections. Who comes while it is full waits in the system's
// queue, and is let in as calls end or callers that finish nothing give way, the one whose time was up first.
type room struct {
	net.Listener
	ctx   context.Context // of all actions
	most  int
	freed chan struct{} // holds one: a place has been given back

	mu   sync.Mutex
	held map[*place]struct{}
}

func newRoom(ctx context.Context, l net.Listener, most int) *room {
	return &room{Listener: l, ctx: ctx, most: most, freed: make(chan struct{}, 1), held: map[*place]struct{}{}}
}

// Accept returns the next connection that has a place. It ends with the context or the listener.
func (r *room) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &place{Conn: c, room: r}
	for {
		gone, wait := r.enter(p, time.Now())
		if gone != nil {
			gone.Close()
		}
		if wait <= 0 {
			return p, nil
		}
		select {
		case <-r.freed:
		case <-time.After(wait):
		case <-r.ctx.Done():
			c.Close()
			return nil, net.ErrClosed
		}
	}
}

// enter gives a connection a place, that of one that is to be closed where there is none left; else it says how long to
// wait.
func (r *room) enter(p *place, now time.Time) (gone *place, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.held) >= r.most {
		var due time.Time
		behind := false
		for _, first := range []bool{true, false} { // who has had an answer gives way first
			for x := range r.held {
				at := x.due(now)
				if at.IsZero() || first == (x.phase == reading) {
					continue
				}
				if behind = behind || first; !first && behind {
					at = at.Add(behindGrace)
				}
				if due.IsZero() || at.Before(due) {
					gone, due = x, at
				}
			}
		}
		if gone == nil {
			return nil, readGrace // or until one is freed
		}
		if due.After(now) {
			return nil, due.Sub(now)
		}
		gone.phase = closed
		delete(r.held, gone)
	}
	p.since = now
	r.held[p] = struct{}{}
	return gone, 0
}
