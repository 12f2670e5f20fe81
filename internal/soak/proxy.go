package soak

import (
	"context"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// proxy is the way from one gateway to one host. It hears which requests pass.
type proxy struct {
	site    *site
	gateway *gateway
	host    *host
	address string

	mu      sync.Mutex
	conns   map[net.Conn]bool
	late    time.Duration // connections come up so late
	stalled chan struct{} // closed at the end of a stall; nil: bytes pass
}

// statementHead is how a statement on its way to a host opens.
var statementHead = regexp.MustCompile(`/\* id=([^,]+),c=([^,]+),d=(\d+)`)

// newProxy starts the way from a gateway to a host.
func (s *site) newProxy(g *gateway, h *host) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{site: s, gateway: g, host: h, address: l.Addr().String(), conns: map[net.Conn]bool{}}
	s.closeWith(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

// pass serves one connection.
func (p *proxy) pass(from net.Conn) {
	defer from.Close()
	p.mu.Lock()
	late := p.late
	p.conns[from] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
	}()
	time.Sleep(late)
	if p.host.down.Load() {
		reset(from)
		return
	}
	to, err := net.Dial("tcp", p.host.address)
	if err != nil {
		reset(from)
		return
	}
	defer to.Close()
	defer context.AfterFunc(p.site.ctx, func() { from.Close() })()
	go func() {
		p.copy(from, to, nil)
		from.Close()
	}()
	p.copy(to, from, p.hear)
}

// copy passes bytes on, but while the way is stalled, and has them heard before.
func (p *proxy) copy(to, from net.Conn, hear func([]byte)) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && hear != nil {
			hear(b[:n])
		}
		if stalled := p.stall(); n > 0 && stalled != nil {
			<-stalled
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				return
			}
			reset(to)
			return
		}
	}
}

// hear has the judge take the requests that pass.
func (p *proxy) hear(b []byte) {
	now := time.Now()
	for _, m := range statementHead.FindAllSubmatch(b, -1) {
		left, _ := strconv.Atoi(string(m[3]))
		p.site.judge.arrived(arrival{gateway: p.gateway, host: p.host, id: string(m[1]), class: string(m[2]), at: now,
			left: time.Duration(left) * time.Millisecond})
	}
}

func (p *proxy) stall() chan struct{} { p.mu.Lock(); defer p.mu.Unlock(); return p.stalled }

// setStalled begins or ends a stall.
func (p *proxy) setStalled(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.stalled == nil {
		p.stalled = make(chan struct{})
	} else if !on && p.stalled != nil {
		close(p.stalled)
		p.stalled = nil
	}
}

func (p *proxy) setLate(late time.Duration) { p.mu.Lock(); defer p.mu.Unlock(); p.late = late }

// resetAll resets all connections, whatever is under way on them.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset ends a connection as a process that dies does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
