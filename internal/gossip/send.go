package gossip

import (
	"cranegate/internal/membership"
	"encoding/binary"
	"net"
	"net/netip"
	"time"
)

// send encodes and seals a message. Datagrams are queued for flush; full state exchanges go over a stream of their own.
// Errors are counted but not logged, because a member may announce any address.
func (t *Transport) send(m membership.Message) {
	encoded, encodeErr := membership.Encode(m)
	to, addressErr := netip.ParseAddrPort(m.To)
	if encodeErr != nil || addressErr != nil {
		t.options.Counters.Add("peers_unsendable", 1)
		return
	}
	payload := t.sealer.seal(encoded)
	switch {
	case m.Kind == membership.StateRequest || m.Kind == membership.StateResponse:
		started := t.sending.TryGo(func() error {
			t.sendStream(to, payload)
			return nil
		})
		if !started {
			t.options.Counters.Add("peers_streams_dropped", 1)
		}
	case len(t.queue) >= maxQueued:
		t.options.Counters.Add("peers_datagrams_dropped", 1)
	default:
		t.queue = append(t.queue, datagram{to, payload})
	}
}

// flush sends one burst of queued datagrams.
func (t *Transport) flush() {
	n := min(burstSize, len(t.queue))
	for _, d := range t.queue[:n] {
		if _, err := t.udp.WriteToUDPAddrPort(d.payload, d.to); err != nil {
			t.options.Counters.Add("peers_datagrams_failed", 1)
			continue
		}
		t.options.Counters.Add("peers_datagrams_sent", 1)
		t.options.Counters.Add("peers_bytes_sent", int64(len(d.payload)))
	}
	t.queue = t.queue[n:]
	if len(t.queue) == 0 {
		t.queue = nil
	}
}

// sendStream sends one full state message over a new stream: the length of the sealed message in four bytes, big-endian,
// followed by the sealed message.
func (t *Transport) sendStream(to netip.AddrPort, payload []byte) {
	d := net.Dialer{Timeout: dialTimeout}
	if ip := t.Addr().Addr().Unmap(); !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()} // the same source address as for datagrams
	}
	conn, err := d.Dial("tcp", to.String())
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(streamTimeout))
		_, err = conn.Write(binary.BigEndian.AppendUint32(nil, uint32(len(payload))))
	}
	if err == nil {
		_, err = conn.Write(payload)
	}
	if err != nil {
		t.options.Counters.Add("peers_streams_failed", 1)
		return
	}
	t.options.Counters.Add("peers_streams_sent", 1)
	t.options.Counters.Add("peers_bytes_sent", int64(len(payload)+4))
}
