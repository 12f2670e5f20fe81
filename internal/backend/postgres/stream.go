package postgres

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/pgwire"
	"cranegate/routing"
)

const (
	mostWhole   = 64<<10 + 64      // bytes of a row's message that are kept until the answer is whole; longer ones stream
	mostRow     = 32 << 20         // and no row is longer: 4 MiB are asked for
	rowHead     = 5 + 2 + 4        // a message's head, the number of columns, and the size of the only one
	copySize    = 32 << 10         // what a stream holds at once
	stalledFor  = 10 * time.Second // a host that gives nothing for so long in mid-row has broken
	takenWithin = 2 * time.Second  // a client that is still there begins to take its answer at once
)

// ErrAnswerCut says that a host broke off an answer that had begun to reach its client. Nothing can be done for that request:
// the client sees that its answer is not whole.
var ErrAnswerCut = errors.New("the database host broke the answer off")

// ErrClientDisconnected says that the client had left before its answer began.
var ErrClientDisconnected = errors.New("the client had left")

// Stream is an answer whose row is too long to be kept. Its head is in hand; the rest passes from the host's connection to
// the client as it comes. It is written once.
type Stream struct {
	conn  *Conn
	head  []byte // what comes before the row, and the row's head
	left  int    // of the row, still to come
	taken atomic.Bool
	begun chan struct{} // closed when the client takes it
	done  chan error    // how it went; what follows the row is the host's connection's again
	tail  chan []byte   // what follows the row, once that is known; closed where nothing will
}

// long says whether the next message is a row that has to stream, and how long its body is.
func (c *Conn) long() (size int, ok bool, err error) {
	b, err := c.Need(1)
	if err != nil || b[0] != 'D' {
		return 0, false, err
	}
	if b, err = c.Need(5); err != nil {
		return 0, false, err
	}
	n := int64(binary.BigEndian.Uint32(b[1:])) - 4
	return int(n), n > mostWhole && n <= mostRow, nil
}

// stream hands a long row to the client while it comes, and returns once it has passed. The outcome is the attempt's so
// far, to which what follows the row is still to be added.
func (c *Conn) stream(a *core.Attempt, r *reply, size int) error {
	b, err := c.Need(rowHead)
	if err != nil {
		return err
	}
	if binary.BigEndian.Uint16(b[5:]) != 1 || int64(binary.BigEndian.Uint32(b[7:])) != int64(size-6) || r.step != described || r.rows > 0 {
		return fmt.Errorf("long row: %w", pgwire.ErrMalformed)
	}
	s := &Stream{conn: c, head: append(r.value, b[:rowHead]...), left: size - 6, begun: make(chan struct{}),
		done: make(chan error, 1), tail: make(chan []byte, 1)}
	c.Skip(rowHead)
	r.rows++
	r.value = nil
	r.tail = s.tail
	if !a.Stream(s) {
		return ErrClientDisconnected
	}
	r.streamed = true
	late := time.NewTimer(takenWithin)
	defer late.Stop()
	select {
	case <-s.begun:
	case <-late.C:
		if s.taken.CompareAndSwap(false, true) {
			return ErrClientDisconnected
		}
	}
	err = <-s.done
	c.SetReadDeadline(time.Now().Add(stalledFor))
	return err
}

// WriteTo passes the answer on, up to what comes before Ready. It is called once, by the client's own goroutine, which
// owns the reading side of the host's connection meanwhile.
func (s *Stream) WriteTo(w io.Writer) (n int64, err error) {
	if !s.taken.CompareAndSwap(false, true) {
		return 0, ErrClientDisconnected
	}
	close(s.begun)
	if n, err = s.row(w); err != nil {
		s.done <- err
		return n, err
	}
	s.done <- nil
	tail, ok := <-s.tail
	if !ok {
		return n, ErrAnswerCut
	}
	m, err := w.Write(tail)
	return n + int64(m), err
}

// row passes on the head and the row.
func (s *Stream) row(w io.Writer) (n int64, err error) {
	pass := func(b []byte) error {
		m, err := w.Write(b)
		n += int64(m)
		return err
	}
	if b, _ := s.conn.Need(0); len(b) > 0 {
		b = b[:min(len(b), s.left)]
		s.head = append(s.head, b...)
		s.conn.Skip(len(b))
		s.left -= len(b)
	}
	if err := pass(s.head); err != nil {
		return n, err
	}
	b := make([]byte, min(copySize, s.left))
	for s.left > 0 {
		s.conn.SetReadDeadline(time.Now().Add(stalledFor))
		got, err := s.conn.Conn.Conn.Read(b[:min(len(b), s.left)])
		if s.left -= got; got > 0 {
			if err := pass(b[:got]); err != nil {
				return n, err
			}
		}
		if err != nil && s.left > 0 {
			return n, fmt.Errorf("%w: %w", ErrAnswerCut, err)
		}
	}
	return n, nil
}

// cut is the outcome of an attempt whose answer did not pass whole.
func (r *reply) cut(err error) core.Outcome {
	o := core.Outcome{Role: r.note.Role, Position: r.note.Position, Report: r.note.Report, Result: routing.ResultReset}
	switch {
	case errors.Is(err, ErrClientDisconnected) || !errors.Is(err, ErrAnswerCut): // it is the client that went
		o.Result = routing.ResultCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.Result = routing.ResultMalformed
	}
	return o
}

// watch closes the connection when the attempt is given up.
func (c *Conn) watch(a *core.Attempt) (stop func() bool) {
	return context.AfterFunc(a.Context(), func() { c.Close() })
}
