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

// proxy forwards the connections of one gateway to one host and records the requests that pass.
type proxy struct {
	scenario *scenario
	gateway  *gateway
	host     *host
	address  string

	mu           sync.Mutex
	conns        map[net.Conn]bool
	connectDelay time.Duration // delay of new connections
	stalled      chan struct{} // closed at the end of a stall; nil while bytes pass
}

// statementHead matches the comment at the start of a statement to a host.
var statementHead = regexp.MustCompile(`/\* id=([^,]+),c=([^,]+),d=(\d+)`)

// newProxy starts a proxy from a gateway to a host.
func (s *scenario) newProxy(g *gateway, h *host) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{scenario: s, gateway: g, host: h, address: l.Addr().String(), conns: map[net.Conn]bool{}}
	s.closeAtEnd(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// serve forwards one connection.
func (p *proxy) serve(from net.Conn) {
	defer from.Close()
	p.mu.Lock()
	delay := p.connectDelay
	p.conns[from] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
	}()
	time.Sleep(delay)
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
	defer context.AfterFunc(p.scenario.ctx, func() { from.Close() })()
	go func() {
		p.forward(from, to, nil)
		from.Close()
	}()
	p.forward(to, from, p.recordRequests)
}

// forward copies bytes in one direction until an error, waiting while the proxy is stalled. It passes them to inspect
// first, unless that is nil.
func (p *proxy) forward(to, from net.Conn, inspect func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && inspect != nil {
			inspect(buffer[:count])
		}
		if stalled := p.stallChannel(); count > 0 && stalled != nil {
			<-stalled
		}
		if count > 0 {
			if _, werr := to.Write(buffer[:count]); werr != nil {
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

// recordRequests records the requests that start in data.
func (p *proxy) recordRequests(data []byte) {
	now := time.Now()
	for _, match := range statementHead.FindAllSubmatch(data, -1) {
		remainingMS, _ := strconv.Atoi(string(match[3]))
		p.scenario.checker.recordArrival(arrival{gateway: p.gateway, host: p.host, id: string(match[1]), class: string(match[2]), at: now,
			remaining: time.Duration(remainingMS) * time.Millisecond})
	}
}

func (p *proxy) stallChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled
}

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

func (p *proxy) setConnectDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectDelay = delay
}

// resetAll resets all connections of the proxy.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset, as happens when a process is killed.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
