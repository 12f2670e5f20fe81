package experiment

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// network stands between processes that are members. Each of them listens on a loopback address of its own and advertises
// that of its relay, so that whatever the others send it goes through there; and it speaks from its own address, so that the
// relay knows the sender by the address that a datagram or a stream comes from, and the receiver by itself.
type network struct {
	began  time.Time
	mu     sync.Mutex // guards links and held
	links  links
	held   map[*memberFault][]func() // datagrams that a stall holds
	byIP   map[netip.Addr]int
	relays []*relay
	work   sync.WaitGroup
	ctx    context.Context
}

// relay is one member's: what is sent to it passes here.
type relay struct {
	net  *network
	to   int
	dest netip.AddrPort
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

const (
	datagramMost = 2048
	streamChunk  = 4 << 10
	streamMost   = 10 * time.Second
	heldMost     = 1024
)

// addresses are those of a member and of its relay in a rig of its own, which its number tells from others on the machine.
func addresses(rig, i int) (member, relay netip.Addr) {
	a, b := byte(64+rig>>6&63), byte(rig&63<<2)
	return netip.AddrFrom4([4]byte{127, a, b | byte(i/200), byte(1 + i%200)}), netip.AddrFrom4([4]byte{127, a, b | 2 | byte(i/200), byte(1 + i%200)})
}

func newNetwork(ctx context.Context, l links) *network {
	return &network{began: time.Now(), links: l, held: map[*memberFault][]func(){}, byIP: map[netip.Addr]int{}, ctx: ctx}
}

// add starts the relay of the next member, which listens at an address, and returns where the relay does.
func (n *network) add(dest netip.AddrPort, at netip.Addr) (netip.AddrPort, error) {
	r := &relay{net: n, to: len(n.relays), dest: dest}
	var err error
	if r.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0))); err != nil {
		return netip.AddrPort{}, fmt.Errorf("opening a relay: %w", err)
	}
	addr := r.udp.LocalAddr().(*net.UDPAddr).AddrPort()
	if r.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr)); err != nil {
		r.udp.Close()
		return netip.AddrPort{}, fmt.Errorf("opening a relay: %w", err)
	}
	context.AfterFunc(n.ctx, func() { r.udp.Close(); r.tcp.Close() })
	n.byIP[dest.Addr()] = r.to
	n.relays = append(n.relays, r)
	return addr, nil
}

// serve runs all relays until the context ends. No member is added then.
func (n *network) serve() {
	for _, r := range n.relays {
		n.work.Go(r.datagrams)
		n.work.Go(r.streams)
	}
}

// now is the time of the network, from its start.
func (n *network) now() time.Duration { return time.Since(n.began) }

// begin and end switch a fault of links on and off.
func (n *network) begin(f *memberFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.begin(f)
}

func (n *network) end(f *memberFault) {
	n.mu.Lock()
	n.links.end(f)
	held := n.held[f]
	delete(n.held, f)
	n.mu.Unlock()
	for _, send := range held {
		send()
	}
}

// datagrams takes what comes for the member.
func (r *relay) datagrams() {
	b := make([]byte, datagramMost)
	for {
		size, source, err := r.udp.ReadFromUDPAddrPort(b)
		if r.net.ctx.Err() != nil {
			return
		}
		from, known := r.net.byIP[source.Addr().Unmap()]
		if err != nil || !known {
			continue
		}
		r.pass(from, append([]byte(nil), b[:size]...))
	}
}

// pass lets a datagram have its fate.
func (r *relay) pass(from int, b []byte) {
	n := r.net
	n.mu.Lock()
	defer n.mu.Unlock()
	x := n.links.fate(n.now(), from, r.to, len(b), false)
	if x.lost {
		return
	}
	if x.spoilt {
		k := n.links.rng.IntN(8 * len(b))
		b[k/8] ^= 1 << (k % 8)
	}
	for range x.copies {
		late := x.late + draw(n.links.rng, 200*time.Microsecond, 3*time.Millisecond) // so that some overtake others
		send := func() {
			time.AfterFunc(late, func() { r.udp.WriteToUDPAddrPort(b, r.dest) }) // one that can't be sent is lost
		}
		if x.waits == nil {
			send()
		} else if held := n.held[x.waits]; len(held) < heldMost {
			n.held[x.waits] = append(held, send)
		}
	}
}

// streams takes connections for the member.
func (r *relay) streams() {
	for {
		conn, err := r.tcp.AcceptTCP()
		if r.net.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from, known := r.net.byIP[conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if !known {
			conn.Close()
			continue
		}
		r.net.work.Go(func() { r.stream(from, conn) })
	}
}

// stream passes one connection on, in the direction in which it was opened: members send nothing back on it. While the
// link is cut, or the way back, on which what arrived is confirmed, what came waits, and is lost with the stream after ten seconds.
func (r *relay) stream(from int, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(r.net.ctx, func() { conn.Close() })()
	end := time.Now().Add(streamMost)
	conn.SetDeadline(end)
	var out net.Conn
	b := make([]byte, streamChunk)
	for {
		size, err := conn.Read(b)
		for size > 0 {
			x, back := r.weather(from, size)
			if !x.lost && !back.lost && x.waits == nil {
				time.Sleep(min(x.late, streamMost))
				break
			}
			if r.net.ctx.Err() != nil || time.Now().After(end) {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		if size > 0 && out == nil {
			var d net.Dialer
			var dialErr error
			if out, dialErr = d.DialContext(r.net.ctx, "tcp", r.dest.String()); dialErr != nil {
				return
			}
			defer out.Close()
		}
		if size > 0 {
			if _, werr := out.Write(b[:size]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// weather is what holds for a chunk of a stream, and for its way back.
func (r *relay) weather(from, size int) (there, back fate) {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	now := r.net.now()
	return r.net.links.fate(now, from, r.to, size, true), r.net.links.fate(now, r.to, from, 64, true)
}
