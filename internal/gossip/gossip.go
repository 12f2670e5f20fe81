// Package gossip lets the gateways of a fleet know each other over sockets: it drives members with datagrams, and with
// streams for exchanges of all rows.
//
// One goroutine, the actor, owns the node. Readers hand it messages through a bounded mailbox and drop what does not
// fit: members bear lost messages. Nothing here is waited for by the gateway; what it is told comes by Options.Counted.
package gossip

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"cranegate/internal/membership"
	"cranegate/internal/metrics"
)

const (
	tickEvery   = 50 * time.Millisecond
	mailboxSize = 256
	queueMost   = 1024                 // datagrams that wait for their turn
	burst       = 32                   // datagrams sent at once,
	burstEvery  = 2 * time.Millisecond // and so often: 16,000 a second, which only 1,000 members in trouble come near
	streamsIn   = 16                   // at a time
	streamsOut  = 8
	dialFor     = time.Second
	streamFor   = 3 * time.Second // for all of one
	leaveFor    = 200 * time.Millisecond
	refusedGap  = time.Minute // between two log lines about members for which there is no room
)

// Options are the settings.
type Options struct {
	Members  membership.Options // Fleet, Name, Zone, Addr (where the others reach this one), Join, Gateways, Seed
	Listen   string             // the address for datagrams and streams
	Keys     Keys               // none: nothing is sealed
	Counters *metrics.Counters
	// Counted is told of the number of gateways to count on, and of the part of a common budget that this one may use
	// (see members.Node), when either has changed. The actor calls it; it must not block.
	Counted func(gateways int, part float64)
}

// Peers is one gateway's end of the fleet.
type Transport struct {
	opt     Options
	sealer  *sealer
	udp     *net.UDPConn
	tcp     *net.TCPListener
	node    *membership.Node // the actor's own, as is all below but mail and calls
	began   time.Time
	queue   []datagram
	sending errgroup.Group
	size    int
	part    float64
	refused int           // of which the log has told,
	toldAt  time.Duration // and when
	mail    chan membership.Message
	calls   chan func()
	done    chan struct{}
}

type datagram struct {
	to   netip.AddrPort
	text []byte
}

// View is what a gateway holds of its fleet.
type View struct {
	Self        Member   `json:"self"`
	Members     []Member `json:"members"`
	Isolated    bool     `json:"cut"`       // it hears nobody
	Unanswered  bool     `json:"unheard"`   // nobody answers it
	Conflicts   []string `json:"conflicts"` // names that two live members bear
	LiveShare   float64  `json:"share"`     // of the last settled view that is there
	Size        int      `json:"size"`      // gateways to count on
	BudgetShare float64  `json:"part"`      // of a common budget that this one may use
	Rejected    int      `json:"refused"`   // members for which there was no room
}

// Member is one line of a View.
type Member struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Incarnation string  `json:"start"` // tells one start of a process from another
	State       string  `json:"state"`
	Age         float64 `json:"age_s"` // since it was heard of; of one that failed: since when it was tried in vain
	Suspect     bool    `json:"suspect"`
	Indirect    bool    `json:"unreached"` // it answers others, and not this one
}

// Listen opens the sockets; Run serves them.
func Listen(opt Options) (*Transport, error) {
	p := &Transport{opt: opt, began: time.Now(), mail: make(chan membership.Message, mailboxSize), calls: make(chan func(), 16), done: make(chan struct{})}
	var err error
	if p.sealer, err = newSealer(opt.Members.Fleet, opt.Keys); err != nil {
		return nil, err
	}
	if p.node, err = membership.New(0, opt.Members); err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	if p.udp, err = net.ListenUDP("udp", at); err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	port := p.udp.LocalAddr().(*net.UDPAddr).Port
	if p.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP, Port: port, Zone: at.Zone}); err != nil {
		p.udp.Close()
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	p.sending.SetLimit(streamsOut)
	return p, nil
}

// Addr is the address of the sockets.
func (p *Transport) Addr() netip.AddrPort { return p.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run lives until the context ends.
func (p *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { p.udp.Close(); p.tcp.Close() })()
	group.Go(func() error { return p.hear(ctx) })
	group.Go(func() error { return p.accept(ctx) })
	group.Go(func() error { defer close(p.done); return p.act(ctx) })
	err := group.Wait()
	p.sending.Wait()
	return err
}

// act is the actor.
func (p *Transport) act(ctx context.Context) error {
	tick, paced := time.NewTicker(tickEvery), time.NewTimer(burstEvery)
	defer tick.Stop()
	defer paced.Stop()
	for pacing := false; ; {
		select {
		case <-ctx.Done():
			return nil
		case m := <-p.mail:
			p.node.Step(p.now(), m)
		case call := <-p.calls:
			call()
		case <-tick.C:
			p.node.Tick(p.now())
		case <-paced.C:
			pacing = false
		}
		p.collect()
		if !pacing && len(p.queue) > 0 {
			if p.flush(); len(p.queue) > 0 {
				pacing = true
				paced.Reset(burstEvery)
			}
		}
	}
}

// now is the node's clock: it is monotonic, so that a stepped clock changes nothing.
func (p *Transport) now() time.Duration { return time.Since(p.began) }

// collect takes what the node wants sent and told.
func (p *Transport) collect() {
	out, changes := p.node.Ready()
	for _, c := range changes {
		p.tell(c)
	}
	for _, m := range out {
		p.send(m)
	}
	p.tellRefused()
	if size, part := p.node.Size(), p.node.BudgetShare(); size != p.size || part != p.part {
		if p.size != 0 {
			slog.Info("fleet_counted", "gateways", size, "part", part, "before", p.size)
		}
		p.size, p.part = size, part
		if p.opt.Counted != nil {
			p.opt.Counted(size, part)
		}
	}
}

// tellRefused logs that there was no room for a member: each that goes on speaking is refused many times a second.
func (p *Transport) tellRefused() {
	n, now := p.node.Rejected(), p.now()
	if n == p.refused || p.refused > 0 && now-p.toldAt < refusedGap {
		return
	}
	p.refused, p.toldAt = n, now
	slog.Warn("fleet_full", "error", FleetFullError{1 + len(p.node.Members())}, "refused", n)
}

// FleetFullError says that a gateway was not taken in, as the view is full.
type FleetFullError struct{ Gateways int }

func (e FleetFullError) Error() string {
	return fmt.Sprintf("the fleet has %d gateways, the most that one may have; end some, or give those beyond a fleet (fleet.fleet) of their own", e.Gateways)
}

// tell logs and counts a change.
func (p *Transport) tell(c membership.Change) {
	from := c.From.String()
	if c.New {
		from = "new"
	}
	p.opt.Counters.Add("peers_changes_to_"+c.Member.State.String(), 1)
	slog.Info("member", "name", c.Member.Name, "start", start(c.Member.Incarnation), "address", c.Member.Addr, "zone", c.Member.Zone, "from", from,
		"to", c.Member.State.String(), "by", c.Reporter, "why", c.Reason, "after", c.SinceHeard.Round(time.Millisecond).String())
}

func start(s membership.Incarnation) string { return fmt.Sprintf("%016x", uint64(s)) }

// send seals a message, and lets a datagram wait for its turn.
func (p *Transport) send(m membership.Message) {
	text, err := membership.Encode(m)
	to, bad := netip.ParseAddrPort(m.To)
	if err := errors.Join(err, bad); err != nil { // a member may say what it likes of its address
		p.opt.Counters.Add("peers_unsendable", 1)
		return
	}
	switch text = p.sealer.seal(text); {
	case m.Kind == membership.StateRequest || m.Kind == membership.StateResponse:
		if !p.sending.TryGo(func() error { p.stream(to, text); return nil }) {
			p.opt.Counters.Add("peers_streams_dropped", 1)
		}
	case len(p.queue) >= queueMost:
		p.opt.Counters.Add("peers_datagrams_dropped", 1)
	default:
		p.queue = append(p.queue, datagram{to, text})
	}
}

// flush sends as many datagrams as may go at once.
func (p *Transport) flush() {
	n := min(burst, len(p.queue))
	for _, d := range p.queue[:n] {
		if _, err := p.udp.WriteToUDPAddrPort(d.text, d.to); err != nil {
			p.opt.Counters.Add("peers_datagrams_failed", 1)
			continue
		}
		p.opt.Counters.Add("peers_datagrams_sent", 1)
		p.opt.Counters.Add("peers_bytes_sent", int64(len(d.text)))
	}
	if p.queue = p.queue[n:]; len(p.queue) == 0 {
		p.queue = nil
	}
}

// stream sends one exchange of all rows: its length in four bytes, and the sealed message.
func (p *Transport) stream(to netip.AddrPort, text []byte) {
	d := net.Dialer{Timeout: dialFor}
	if ip := p.Addr().Addr().Unmap(); !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()} // as datagrams, from where we listen
	}
	conn, err := d.Dial("tcp", to.String())
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(streamFor))
		_, err = conn.Write(binary.BigEndian.AppendUint32(nil, uint32(len(text))))
	}
	if err == nil {
		_, err = conn.Write(text)
	}
	if err != nil {
		p.opt.Counters.Add("peers_streams_failed", 1)
		return
	}
	p.opt.Counters.Add("peers_streams_sent", 1)
	p.opt.Counters.Add("peers_bytes_sent", int64(len(text)+4))
}

// hear takes datagrams until the socket is closed.
func (p *Transport) hear(ctx context.Context) error {
	b := make([]byte, membership.MaxDatagram+membership.Overhead+1) // what is longer is cut off there, and opens no more
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // of one datagram, as when an earlier one was refused
			time.Sleep(time.Millisecond)
			continue
		}
		p.opt.Counters.Add("peers_datagrams_received", 1)
		p.take(b[:n], false)
	}
}

// take opens and reads a message, and hands it to the actor.
func (p *Transport) take(b []byte, stream bool) {
	text, err := p.sealer.open(b)
	if err != nil {
		p.opt.Counters.Add("peers_unopened", 1)
		return
	}
	m, err := membership.Decode(text)
	if err != nil || stream != (m.Kind == membership.StateRequest || m.Kind == membership.StateResponse) {
		p.opt.Counters.Add("peers_malformed", 1)
		return
	}
	select {
	case p.mail <- m:
	default:
		p.opt.Counters.Add("peers_mail_dropped", 1)
	}
}

// accept takes streams until the listener is closed.
func (p *Transport) accept(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(streamsIn)
	defer group.Wait()
	for {
		conn, err := p.tcp.AcceptTCP()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !group.TryGo(func() error { p.receive(conn); return nil }) {
			p.opt.Counters.Add("peers_streams_turned_away", 1)
			conn.Close()
		}
	}
}

// receive reads one exchange. Memory is taken as bytes come, not as its length claims.
func (p *Transport) receive(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(streamFor))
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > membership.MaxStream+membership.Overhead {
		p.opt.Counters.Add("peers_malformed", 1)
		return
	}
	var b bytes.Buffer
	if got, err := io.CopyN(&b, conn, n); err != nil || got != n {
		return
	}
	p.opt.Counters.Add("peers_streams_received", 1)
	p.take(b.Bytes(), true)
}

// ErrStopped says that the actor has ended.
var ErrStopped = errors.New("peers: ended")

// call runs a function in the actor, and waits for it.
func (p *Transport) call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case p.calls <- func() { f(); close(ran) }:
	case <-p.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-p.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View is what this gateway holds of its fleet now.
func (p *Transport) View(ctx context.Context) (v View, err error) {
	err = p.call(ctx, func() {
		n := p.node
		n.Tick(p.now()) // what holds now, also when the process has just stood still
		v = View{Self: member(n.Self()), Members: []Member{}, Isolated: n.Isolated(), Unanswered: n.Unanswered(), Conflicts: append([]string{}, n.Conflicts()...), LiveShare: n.LiveShare(),
			Size: n.Size(), BudgetShare: n.BudgetShare(), Rejected: n.Rejected()}
		suspects, unreached := set(n.Suspects()), set(n.Indirect())
		for _, r := range n.Members() {
			m := member(r)
			m.Suspect, m.Indirect = suspects[r.Incarnation], unreached[r.Incarnation]
			v.Members = append(v.Members, m)
		}
	})
	return v, err
}

func set(starts []membership.Incarnation) map[membership.Incarnation]bool {
	s := map[membership.Incarnation]bool{}
	for _, x := range starts {
		s[x] = true
	}
	return s
}

func member(r membership.MemberState) Member {
	return Member{Name: r.Name, Zone: r.Zone, Address: r.Addr, Incarnation: start(r.Incarnation), State: r.State.String(), Age: r.Age.Round(time.Millisecond).Seconds()}
}

// Reload takes other addresses to join and other keys.
func (p *Transport) Reload(ctx context.Context, join []string, keys Keys) error {
	if err := p.sealer.replace(keys); err != nil {
		return err
	}
	return p.call(ctx, func() { p.node.Join(join) })
}

// Drain tells the others that this gateway takes nothing new.
func (p *Transport) Drain() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveFor)
	defer cancel()
	p.call(ctx, p.node.Drain) // one that has ended has nobody to tell
}

// Leave tells the others that this gateway ends, and returns once that is sent. It takes a fifth of a second at most.
func (p *Transport) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveFor)
	defer cancel()
	p.call(ctx, func() {
		p.queue = nil // nothing else matters now
		p.node.Leave()
		p.collect()
		p.flush()
	})
}
