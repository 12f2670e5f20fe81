package hotrestart

import (
	"context"
	"log/slog"
	"net"
	"time"

	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/state"
)

// What a link still has to send. The texts are made when they are sent, from what holds then; so nothing piles up.
const (
	oweHello = 1 << iota
	oweBlob
	oweRegistry
	oweHolding
	oweReady
)

// link is one connection to a peer. There may be two to the same one, where both connected at once: then both say
// the same, which does no harm.
type link struct {
	h    *Coordinator
	peer *peer
	conn net.Conn
	wake chan struct{}
	owed int // h.mu guards it
}

func newLink(h *Coordinator, p *peer, c net.Conn) *link {
	return &link{h: h, peer: p, conn: c, wake: make(chan struct{}, 1)}
}

// owe has something sent. h.mu is held.
func (l *link) owe(what int) {
	l.owed |= what
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// serve reads and writes until the connection ends or the process closes.
func (l *link) serve() {
	ctx, cancel := context.WithCancel(l.h.life)
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		defer cancel()
		l.write(ctx)
	}()
	l.read()
	cancel()
	<-wrote
	stop()
	l.conn.Close()
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	delete(l.peer.links, l)
	l.h.signal()
}

func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for _, m := range l.due() {
			l.conn.SetWriteDeadline(time.Now().Add(writeFor))
			if err := frame.Write(l.conn, m); err != nil {
				return
			}
		}
	}
}

// due makes the messages that are owed, in their order.
func (l *link) due() (messages []frame.Message) {
	h := l.h
	var blob []byte
	h.mu.Lock()
	wantsBlob := l.owed&oweBlob != 0
	h.mu.Unlock()
	if wantsBlob {
		blob = h.export()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	owed := l.owed
	if owed&oweBlob != 0 && !wantsBlob {
		owed &= oweHello // it came meanwhile: next time, and then what follows it
	}
	l.owed &^= owed
	if l.owed != 0 {
		l.owe(0)
	}
	if owed&oweHello != 0 {
		messages = append(messages, frame.Message{Kind: frame.Hello, Version: frame.Version, Name: h.name.String(),
			Ready: h.serving, Ask: l.peer.ask && !l.peer.answered})
	}
	if owed&oweBlob != 0 {
		messages = append(messages, frame.Message{Kind: frame.Blob, Blob: blob})
	}
	registers := func(kind frame.Kind, r state.Registers) {
		s := r.Snapshot()
		messages = append(messages, frame.Message{Kind: kind, Registers: &s})
	}
	if owed&oweRegistry != 0 {
		registers(frame.Update, h.regs)
	}
	if owed&oweHolding != 0 {
		registers(frame.Acknowledge, h.holding)
	}
	if owed&oweReady != 0 && h.serving {
		messages = append(messages, frame.Message{Kind: frame.Ready})
	}
	return messages
}

func (h *Coordinator) export() []byte {
	if h.opt.Export == nil {
		return nil
	}
	h.exports.Lock()
	defer h.exports.Unlock()
	blob := h.opt.Export()
	if len(blob) > frame.MaxBlob {
		h.opt.Counters.Add("handover_blobs_too_large", 1)
		slog.Warn("hotrestart_blob_too_large", "error", BlobSizeError{len(blob)})
		return nil
	}
	return blob
}

// read takes messages until one can't be taken.
func (l *link) read() {
	for {
		m, err := frame.Read(l.conn)
		if err == nil {
			err = l.take(m)
		}
		if err != nil {
			return
		}
	}
}

func (l *link) take(m frame.Message) error {
	h, p := l.h, l.peer
	var regs state.Registers
	if m.Registers != nil {
		var err error
		if regs, err = m.Registers.Registers(); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch m.Kind {
	case frame.Hello:
		if m.Version != frame.Version || m.Name != p.name.String() {
			return frame.ErrFrame
		}
		l.greeted(m)
	case frame.Blob:
		p.blob, p.answered = m.Blob, true
	case frame.Ready:
		p.ready = true
	case frame.Update, frame.Acknowledge:
		news, err := h.adopt(regs)
		if err != nil {
			h.doubt(err)
			return err
		}
		h.overheard = h.overheard || news
		if m.Kind == frame.Acknowledge {
			if p.holds, err = p.holds.Merge(regs); err != nil { // of two connections one may be behind
				p.holds = regs
			}
		} else {
			p.heard = true
			if h.holding.Covers(h.regs) { // else whoever applies tells all
				l.owe(oweHolding)
			}
		}
	}
	h.signal()
	return nil
}

// greeted takes a Hello. h.mu is held.
func (l *link) greeted(m frame.Message) {
	l.peer.ready = l.peer.ready || m.Ready
	if m.Ask {
		l.owe(oweBlob)
	}
}
