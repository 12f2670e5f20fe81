package hotrestart

import (
	"context"
	"log/slog"
	"net"
	"time"

	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/state"
)

// messageSet is a set of kinds of messages. A message is built when it is sent, from the state at that
// time, so that no queue grows while a peer is slow.
type messageSet int

const (
	sendHello messageSet = 1 << iota
	sendBlob
	sendUpdate
	sendAck
	sendReady
)

// link is one connection to a peer. If both processes connect at the same time, there are two links to the same peer. Both then carry
// the same messages, which is harmless because merging is idempotent.
type link struct {
	coordinator *Coordinator
	peer        *peer
	conn        net.Conn
	wake        chan struct{}
	pending     messageSet // the messages still to send; guarded by coordinator.mu
}

func newLink(c *Coordinator, p *peer, conn net.Conn) *link {
	return &link{coordinator: c, peer: p, conn: conn, wake: make(chan struct{}, 1)}
}

// queue adds messages to pending and wakes the writer. The coordinator's mu is held.
func (l *link) queue(messages messageSet) {
	l.pending |= messages
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// serve reads and writes until the connection ends or the coordinator closes.
func (l *link) serve() {
	ctx, cancel := context.WithCancel(l.coordinator.lifetime)
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		defer cancel()
		l.write(ctx)
	}()
	l.read()
	cancel()
	<-writerDone
	stop()
	l.conn.Close()
	l.coordinator.mu.Lock()
	defer l.coordinator.mu.Unlock()
	delete(l.peer.links, l)
	l.coordinator.broadcast()
}

// write sends queued messages until ctx ends or a write fails.
func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for _, m := range l.pendingMessages() {
			l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := frame.Write(l.conn, m); err != nil {
				return
			}
		}
	}
}

// pendingMessages removes messages from pending and builds them. They are sent in the order hello, blob, rest.
func (l *link) pendingMessages() []frame.Message {
	c := l.coordinator
	c.mu.Lock()
	blobPending := l.pending&sendBlob != 0
	c.mu.Unlock()
	var blob []byte
	if blobPending {
		blob = c.exportBlob() // without mu, because it calls the program
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sending := l.pending
	if sending&sendBlob != 0 && !blobPending {
		sending &= sendHello // the blob was queued after blobPending was read: send only the hello now, and the rest with the next call
	}
	l.pending &^= sending
	if l.pending != 0 {
		l.queue(0)
	}
	return l.messages(sending, blob)
}

// messages builds the messages of a set. The coordinator's mu is held.
func (l *link) messages(set messageSet, blob []byte) (messages []frame.Message) {
	c := l.coordinator
	if set&sendHello != 0 {
		messages = append(messages, frame.Message{Kind: frame.Hello, Version: frame.Version, Name: c.name.String(),
			Ready: c.serving, WantBlob: l.peer.wantBlob && !l.peer.receivedBlob})
	}
	if set&sendBlob != 0 {
		messages = append(messages, frame.Message{Kind: frame.Blob, Blob: blob})
	}
	if set&sendUpdate != 0 {
		messages = append(messages, registersMessage(frame.Update, c.registers))
	}
	if set&sendAck != 0 {
		messages = append(messages, registersMessage(frame.Acknowledge, c.applied))
	}
	if set&sendReady != 0 && c.serving {
		messages = append(messages, frame.Message{Kind: frame.Ready})
	}
	return messages
}

func registersMessage(kind frame.Kind, registers state.Registers) frame.Message {
	snapshot := registers.Snapshot()
	return frame.Message{Kind: kind, Registers: &snapshot}
}

// exportBlob returns the blob of Options.Export. It returns nil if there is no Options.Export or if the blob is too large; the link
// then sends an empty blob.
func (c *Coordinator) exportBlob() []byte {
	if c.opt.Export == nil {
		return nil
	}
	c.exportMu.Lock()
	defer c.exportMu.Unlock()
	blob := c.opt.Export()
	if len(blob) > frame.MaxBlobBytes {
		c.opt.Counters.Add("handover_blobs_too_large", 1)
		slog.Warn("hotrestart_blob_too_large", "error", BlobSizeError{len(blob)})
		return nil
	}
	return blob
}

// read handles messages until the connection ends or a message is invalid.
func (l *link) read() {
	for {
		m, err := frame.Read(l.conn)
		if err != nil {
			return
		}
		if err := l.handle(m); err != nil {
			return
		}
	}
}

// handle handles one message. After an error the connection must be closed.
func (l *link) handle(m frame.Message) error {
	var registers state.Registers
	if m.Registers != nil {
		var err error
		if registers, err = m.Registers.Registers(); err != nil {
			return err
		}
	}
	c, p := l.coordinator, l.peer
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m.Kind {
	case frame.Hello:
		if m.Version != frame.Version || m.Name != p.name.String() {
			return frame.ErrInvalidFrame
		}
		l.handleHello(m)
	case frame.Blob:
		p.blob, p.receivedBlob = m.Blob, true
	case frame.Ready:
		p.ready = true
	case frame.Update:
		if err := c.mergeFromPeer(registers); err != nil {
			return err
		}
		p.receivedRegisters = true
		if c.applied.Covers(c.registers) { // otherwise applyLoop acknowledges them after it has applied them
			l.queue(sendAck)
		}
	case frame.Acknowledge:
		if err := c.mergeFromPeer(registers); err != nil {
			return err
		}
		// Acknowledgements are merged, because with two links to a peer the later message may be the older one. If the result
		// would exceed the bounds, the latest message, which is within them, replaces what the peer acknowledged before.
		var err error
		if p.applied, err = p.applied.Merge(registers); err != nil {
			p.applied = registers
		}
	}
	c.broadcast()
	return nil
}

// handleHello handles the Hello message that a peer sends first on each link. The coordinator's mu is held.
func (l *link) handleHello(m frame.Message) {
	l.peer.ready = l.peer.ready || m.Ready
	if m.WantBlob {
		l.queue(sendBlob)
	}
}

// mergeFromPeer merges registers that a peer sent. The peer is to write them to the file first; persistLoop writes them after
// applyTimeout. c.mu is held.
func (c *Coordinator) mergeFromPeer(registers state.Registers) error {
	changed, err := c.merge(registers)
	if err != nil {
		c.addUnconfirmed(err)
		return err
	}
	c.changedByPeer = c.changedByPeer || changed
	return nil
}
