package gossip

import (
	"bytes"
	"context"
	"cranegate/internal/membership"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// readDatagrams receives datagrams until the socket is closed.
func (t *Transport) readDatagrams(ctx context.Context) error {
	b := make([]byte, membership.MaxDatagram+membership.SealOverhead+1) // longer datagrams are truncated and fail to decrypt or decode
	for {
		n, _, err := t.udp.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // concerns one datagram, for example after an ICMP error
			time.Sleep(time.Millisecond)
			continue
		}
		t.options.Counters.Add("peers_datagrams_received", 1)
		t.deliver(b[:n], false)
	}
}

// deliver decrypts and decodes a message and puts it into the actor's mailbox. If the mailbox is full, it drops the message.
func (t *Transport) deliver(b []byte, stream bool) {
	text, err := t.sealer.open(b)
	if err != nil {
		t.options.Counters.Add("peers_unopened", 1)
		return
	}
	m, err := membership.Decode(text)
	if err != nil || stream != (m.Kind == membership.StateRequest || m.Kind == membership.StateResponse) {
		t.options.Counters.Add("peers_malformed", 1)
		return
	}
	select {
	case t.mailbox <- m:
	default:
		t.options.Counters.Add("peers_mail_dropped", 1)
	}
}

// acceptStreams accepts streams until the listener is closed.
func (t *Transport) acceptStreams(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxStreamsIn)
	defer group.Wait()
	for {
		conn, err := t.tcp.AcceptTCP()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		started := group.TryGo(func() error {
			t.receiveStream(conn)
			return nil
		})
		if !started {
			t.options.Counters.Add("peers_streams_turned_away", 1)
			conn.Close()
		}
	}
}

// receiveStream reads one full state message. Memory grows with the bytes received, not with the announced length.
func (t *Transport) receiveStream(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(streamTimeout))
	var header [4]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length > membership.MaxStream+membership.SealOverhead {
		t.options.Counters.Add("peers_malformed", 1)
		return
	}
	var b bytes.Buffer
	if got, err := io.CopyN(&b, conn, length); err != nil || got != length {
		return
	}
	t.options.Counters.Add("peers_streams_received", 1)
	t.deliver(b.Bytes(), true)
}
