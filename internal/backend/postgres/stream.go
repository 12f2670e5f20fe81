package postgres

import (
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
	// maxBufferedRow is the maximum size in bytes of a row that is buffered until the answer is complete. Longer rows are
	// streamed. A value of 64 KiB still fits, with the counts and lengths before it.
	maxBufferedRow     = 64<<10 + 64
	maxRow             = 32 << 20         // bytes of a streamed row; a longer one makes the answer malformed
	messageHeadLength  = 5                // kind and length
	rowHeadLength      = 5 + 2 + 4        // a message's head, the number of columns, and the length of the only column
	valueOffset        = 2 + 4            // of the only value, in a row's body
	streamBufferSize   = 32 << 10         // bytes
	streamStallTimeout = 10 * time.Second // a host that sends nothing for this time in the middle of a row has failed
	streamStartTimeout = 2 * time.Second  // for the client's session to take the stream, which it does at once unless the client left
)

// ErrAnswerCut reports that an answer from the host ended early after a part of it had been forwarded to the client: the
// connection broke or stalled, or the row was followed by an error or by messages that can't be read. The request can't be
// retried: the client gets an incomplete answer.
var ErrAnswerCut = errors.New("the database host broke the answer off")

// ErrClientDisconnected reports that a streamed answer was not taken: the client had disconnected, another attempt had
// answered the request, the attempt was over, or the client's session did not take the stream within streamStartTimeout.
var ErrClientDisconnected = errors.New("the streamed answer was not taken in time")

// Stream is an answer whose row is too long to be buffered. Only its head is buffered; the rest is forwarded from the host's
// connection to the client as it arrives. It can be written only once.
type Stream struct {
	conn  *Conn
	head  []byte        // the messages before the row, the row's head, and the part of the row that was already buffered
	left  int           // bytes of the row that are still to be forwarded
	taken atomic.Bool   // by the client's session or, to withdraw the stream, by waitTaken
	begun chan struct{} // closed when the client's session takes the stream
	done  chan error    // takes the result of forwarding the row; the host's connection then reads the rest of the answer
	tail  chan []byte   // takes the messages that follow the row; closed without them if the answer was cut off
}

// longRow reports whether the next message is a row that has to be streamed, and the length of its body in bytes. A row over
// maxRow is not streamed, and neither is a long row of a health check, as no client reads it; readMessage then returns an error
// if the row is over pgwire.MaxMessage.
func (c *Conn) longRow() (size int, ok bool, err error) {
	head, err := c.Need(1)
	if err != nil || head[0] != messageDataRow {
		return 0, false, err
	}
	if head, err = c.Need(messageHeadLength); err != nil {
		return 0, false, err
	}
	n := int64(binary.BigEndian.Uint32(head[1:])) - 4
	return int(n), n > maxBufferedRow && n <= maxRow, nil
}

// stream offers a long row to the client, and returns once the row has been forwarded. The caller adds the messages that
// follow the row to the reply.
func (c *Conn) stream(a *core.Attempt, r *reply, size int) error {
	head, err := c.Need(rowHeadLength)
	if err != nil {
		return err
	}
	columns, valueLength := binary.BigEndian.Uint16(head[5:]), binary.BigEndian.Uint32(head[7:])
	expected := r.state == replyDescribed && r.rows == 0
	if columns != 1 || int64(valueLength) != int64(size-valueOffset) || !expected {
		return fmt.Errorf("long row: %w", pgwire.ErrMalformed)
	}
	s := &Stream{
		conn:  c,
		head:  append(r.value, head[:rowHeadLength]...), // Need may return more
		left:  size - valueOffset,
		begun: make(chan struct{}),
		done:  make(chan error, 1),
		tail:  make(chan []byte, 1),
	}
	c.Skip(rowHeadLength)
	r.rows++
	r.value = nil
	r.tail = s.tail
	if !a.Stream(s) {
		return ErrClientDisconnected
	}
	r.streamed = true
	if !s.waitTaken() {
		return ErrClientDisconnected
	}
	err = <-s.done
	c.SetStallTimeout(streamStallTimeout) // for the messages after the row
	return err
}

// waitTaken waits until the client's session takes the stream. If that does not happen within streamStartTimeout, waitTaken
// withdraws the stream and returns false.
func (s *Stream) waitTaken() bool {
	timeout := time.NewTimer(streamStartTimeout)
	defer timeout.Stop()
	select {
	case <-s.begun:
		return true
	case <-timeout.C:
		return !s.taken.CompareAndSwap(false, true)
	}
}

// WriteTo forwards the answer, except for Ready. It is called once, by the goroutine of the client's session, which owns the
// reading side of the host's connection until the row is forwarded. It returns ErrClientDisconnected if it is called after the
// stream was withdrawn, ErrAnswerCut if the answer from the host ended early, or the writer's error.
func (s *Stream) WriteTo(w io.Writer) (n int64, err error) {
	if !s.taken.CompareAndSwap(false, true) {
		return 0, ErrClientDisconnected
	}
	close(s.begun)
	n, err = s.writeRow(w)
	s.done <- err
	if err != nil {
		return n, err
	}
	tail, ok := <-s.tail
	if !ok {
		return n, ErrAnswerCut
	}
	m, err := w.Write(tail)
	return n + int64(m), err
}

// writeRow forwards the head and the row.
func (s *Stream) writeRow(w io.Writer) (n int64, err error) {
	if buffered, _ := s.conn.Need(0); len(buffered) > 0 {
		buffered = buffered[:min(len(buffered), s.left)]
		s.head = append(s.head, buffered...)
		s.conn.Skip(len(buffered))
		s.left -= len(buffered)
	}
	written, err := w.Write(s.head)
	if n += int64(written); err != nil {
		return n, err
	}
	chunk := make([]byte, min(streamBufferSize, s.left))
	for s.left > 0 {
		s.conn.SetReadDeadline(time.Now().Add(streamStallTimeout))
		// Read directly from the socket: the connection's buffer is empty here, and the row need not pass through it.
		read, readErr := s.conn.Conn.Conn.Read(chunk[:min(len(chunk), s.left)])
		if s.left -= read; read > 0 {
			written, err := w.Write(chunk[:read])
			if n += int64(written); err != nil {
				return n, err
			}
		}
		if readErr != nil && s.left > 0 {
			return n, fmt.Errorf("%w: %w", ErrAnswerCut, readErr)
		}
	}
	return n, nil
}

// cutOutcome returns the outcome of an attempt whose streamed row did not reach the client completely: ResultMalformed if the
// host stalled during the row, ResultReset if its connection broke then, and otherwise ResultCancelled, as when the stream was
// not taken or a write to the client failed.
func (r *reply) cutOutcome(err error) core.Outcome {
	switch {
	case errors.Is(err, ErrClientDisconnected) || !errors.Is(err, ErrAnswerCut):
		return r.status.Outcome(routing.ResultCancelled)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return r.status.Outcome(routing.ResultMalformed)
	}
	return r.status.Outcome(routing.ResultReset)
}
