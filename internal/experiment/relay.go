package experiment

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// network connects the processes of members through relays. Each process listens on its own loopback address and
// advertises the address of its relay, so that all messages to it pass through the relay. It sends from its own address,
// so that a relay identifies the sender by the source address.
type network struct {
	startedAt  time.Time
	mu         sync.Mutex // guards links and stalled
	links      links
	stalled    map[*membershipFault][]func() // datagrams delayed by a stall
	memberByIP map[netip.Addr]int
	relays     []*relay
	work       sync.WaitGroup
	ctx        context.Context
}

// relay forwards datagrams and streams to one member.
type relay struct {
	network     *network
	member      int
	destination netip.AddrPort
	udp         *net.UDPConn
	tcp         *net.TCPListener
}

const (
	maxDatagramSize = 2048
	streamChunkSize = 4 << 10
	streamTimeout   = 10 * time.Second
	maxStalled      = 1024 // datagrams queued by one stall
)

// addresses returns the addresses of member i and of its relay, in the address range of a harness.
func addresses(harness, i int) (member, relay netip.Addr) {
	a, b := byte(64+harness>>6&63), byte(harness&63<<2)
	return netip.AddrFrom4([4]byte{127, a, b | byte(i/200), byte(1 + i%200)}), netip.AddrFrom4([4]byte{127, a, b | 2 | byte(i/200), byte(1 + i%200)})
}

// newNetwork returns a network without members. It closes its relays when ctx ends.
func newNetwork(ctx context.Context, links links) *network {
	return &network{startedAt: time.Now(), links: links, stalled: map[*membershipFault][]func(){}, memberByIP: map[netip.Addr]int{}, ctx: ctx}
}

// addRelay starts the relay of the next member, which listens at destination, and returns the relay's address.
func (n *network) addRelay(destination netip.AddrPort, at netip.Addr) (netip.AddrPort, error) {
	r := &relay{network: n, member: len(n.relays), destination: destination}
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
	n.memberByIP[destination.Addr()] = r.member
	n.relays = append(n.relays, r)
	return addr, nil
}

// serve runs all relays until the context ends. No member may be added afterwards.
func (n *network) serve() {
	for _, r := range n.relays {
		n.work.Go(r.receiveDatagrams)
		n.work.Go(r.acceptStreams)
	}
}

// now returns the time since the network's start.
func (n *network) now() time.Duration { return time.Since(n.startedAt) }

// startFault activates a fault of links.
func (n *network) startFault(f *membershipFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.startFault(f)
}

// endFault deactivates a fault of links and sends the datagrams that it has stalled.
func (n *network) endFault(f *membershipFault) {
	n.mu.Lock()
	n.links.endFault(f)
	stalled := n.stalled[f]
	delete(n.stalled, f)
	n.mu.Unlock()
	for _, send := range stalled {
		send()
	}
}

// receiveDatagrams forwards datagrams until the context ends. Datagrams of unknown senders are dropped.
func (r *relay) receiveDatagrams() {
	b := make([]byte, maxDatagramSize)
	for {
		size, source, err := r.udp.ReadFromUDPAddrPort(b)
		if r.network.ctx.Err() != nil {
			return
		}
		from, known := r.network.memberByIP[source.Addr().Unmap()]
		if err != nil || !known {
			continue
		}
		r.forwardDatagram(from, append([]byte(nil), b[:size]...))
	}
}

// forwardDatagram forwards a datagram with the outcome that the links draw.
func (r *relay) forwardDatagram(from int, datagram []byte) {
	network := r.network
	network.mu.Lock()
	defer network.mu.Unlock()
	outcome := network.links.deliver(network.now(), from, r.member, len(datagram), false)
	if outcome.lost {
		return
	}
	if outcome.corrupted {
		k := network.links.rng.IntN(8 * len(datagram))
		datagram[k/8] ^= 1 << (k % 8)
	}
	for range outcome.copies {
		delay := outcome.delay + draw(network.links.rng, 200*time.Microsecond, 3*time.Millisecond) // reorders some datagrams
		send := func() {
			time.AfterFunc(delay, func() { r.udp.WriteToUDPAddrPort(datagram, r.destination) }) // a datagram that can't be sent is lost
		}
		if outcome.stalledBy == nil {
			send()
		} else if stalled := network.stalled[outcome.stalledBy]; len(stalled) < maxStalled {
			network.stalled[outcome.stalledBy] = append(stalled, send)
		}
	}
}

// acceptStreams forwards connections until the context ends.
func (r *relay) acceptStreams() {
	for {
		conn, err := r.tcp.AcceptTCP()
		if r.network.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from, known := r.network.memberByIP[conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if !known {
			conn.Close()
			continue
		}
		r.network.work.Go(func() { r.forwardStream(from, conn) })
	}
}

// forwardStream forwards one connection in the direction in which it was opened; members send nothing back on it. Data
// waits while the link is cut or stalled, or while the link back, which carries the acknowledgements, is cut. After
// streamTimeout the data is lost with the stream.
func (r *relay) forwardStream(from int, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(r.network.ctx, func() { conn.Close() })()
	end := time.Now().Add(streamTimeout)
	conn.SetDeadline(end)
	var out net.Conn
	b := make([]byte, streamChunkSize)
	for {
		size, err := conn.Read(b)
		for size > 0 {
			forward, back := r.conditions(from, size)
			if !forward.lost && !back.lost && forward.stalledBy == nil {
				time.Sleep(min(forward.delay, streamTimeout))
				break
			}
			if r.network.ctx.Err() != nil || time.Now().After(end) {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		if size > 0 && out == nil {
			var d net.Dialer
			var dialErr error
			if out, dialErr = d.DialContext(r.network.ctx, "tcp", r.destination.String()); dialErr != nil {
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

// conditions returns the deliveries of a chunk of a stream and of its acknowledgement.
func (r *relay) conditions(from, size int) (forward, back delivery) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	now := r.network.now()
	return r.network.links.deliver(now, from, r.member, size, true), r.network.links.deliver(now, r.member, from, 64, true)
}
