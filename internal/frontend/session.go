package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend/connlimit"
	"cranegate/internal/frontend/drain"
	"cranegate/internal/metrics"
)

const (
	messageTimeout      = 10 * time.Second        // for a complete message from its first byte on
	stallTimeout        = 2500 * time.Millisecond // without another byte of a message: a client that stops is closed within 3 s
	startupTimeout      = 2500 * time.Millisecond // from accept, for the startup and a first request
	firstRequestTimeout = time.Second             // for a first request that begins when less of startupTimeout is left
	finalReadTimeout    = 20 * time.Millisecond   // for bytes that had arrived when one of these times ended
	maxFaults           = 16                      // unusable messages in a row
)

// Session is one client's connection. Its goroutine owns all fields but the slot; Conn.Wake interrupts it for an answer, an
// eviction or a drain.
type Session struct {
	*framebuf.Conn
	// Transferable is set by the protocol where Resumed is all the state of the connection, so that another process
	// may serve it on.
	Transferable bool

	server               *Server
	slot                 *connlimit.Slot
	acceptedAt           time.Time
	drainSlot            int       // spreads the closes of idle connections in a drain
	answered             bool      // a request has been answered, or submitted
	resumed              bool      // the startup took place in another process
	startupDeadline      time.Time // zero once the startup is complete
	firstRequestDeadline time.Time // zero once a request was usable
	arrivedAt            time.Time // when the last byte of the current message came; it may have waited behind others
	faults               int       // unusable messages in a row
	unanswered           bool      // a message was read that has no answer yet; for checkClose alone
	lastRequestID        string    // for the log
}

// Draining reports whether client connections are being closed.
func (s *Session) Draining() bool { return s.server.Limiter.Draining() }

// Core returns the core that serves the session's requests.
func (s *Session) Core() *core.Core { return s.server.Core }

// Budget returns the memory budget for what the session keeps in addition to its buffer.
func (s *Session) Budget() *framebuf.Budget { return s.server.Budget }

// Counters returns the program's counters.
func (s *Session) Counters() *metrics.Counters { return s.server.Counters }

// Resumed reports whether the client has completed the startup in another process.
func (s *Session) Resumed() bool { return s.resumed }

// Started records that the client has completed the startup.
func (s *Session) Started() { s.startupDeadline = time.Time{} }

// RecordFault counts a message that could not be used. It returns ErrTooManyFaults after too many in a row.
func (s *Session) RecordFault() error {
	s.faults++
	if s.faults >= maxFaults {
		return ErrTooManyFaults
	}
	return nil
}

// RecordSuccess records that a message could be used.
func (s *Session) RecordSuccess() {
	s.faults = 0
	s.answered = true
}

// Next waits for a message and calls read, which must read one complete message. It returns an error once the client has
// disconnected, and where the session ends with nothing of a message there: evicted, drained or transferred. What has
// arrived by then is read first, so that the close crosses no request.
func (s *Session) Next(read func() error) error {
	s.unanswered = false // the protocol has answered the last message, or none was due
	if s.Buffered() == 0 {
		s.server.Limiter.SetIdle(s.slot, s.firstRequestDeadline.IsZero())
	}
	if err := s.awaitMessage(); err != nil {
		return err
	}
	s.server.Limiter.SetActive(s.slot)
	err := s.readMessage(read)
	s.arrivedAt = s.ArrivedAt()
	if err != nil {
		return disconnectError(err)
	}
	s.unanswered = true
	return nil
}

// awaitMessage waits until part of a message has come. It returns an error where the session ends.
func (s *Session) awaitMessage() error {
	// An answer has just gone out, or the client has sent no request. Later is no time to close an idle connection: its
	// client may be about to send.
	closeNow := s.answered && s.schedule().CloseAfterAnswer(time.Now())
	for s.Buffered() == 0 {
		schedule := s.schedule()
		if s.transfer(schedule) {
			return errTransferred
		}
		if closeNow || s.slot.Evicted() {
			return s.endIdle()
		}
		idleDeadline := schedule.IdleDeadline(s.acceptedAt, s.drainSlot)
		deadline := s.startupDeadline
		if !idleDeadline.IsZero() && (deadline.IsZero() || idleDeadline.Before(deadline)) {
			deadline = idleDeadline
		}
		// Both may change before the wait begins, and a wake before it is lost: Park asks once more.
		err := s.Park(deadline, func() bool { return s.slot.Evicted() || s.schedule() != schedule })
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && deadline.Equal(idleDeadline):
			if s.schedule() != nil { // nil: the drain was ended meanwhile
				return s.endIdle()
			}
		default:
			return disconnectError(err)
		}
	}
	return nil
}

// schedule is the drain schedule, nil while the server is not draining.
func (s *Session) schedule() *drain.Schedule { return s.server.Limiter.Schedule() }

// transfer hands the connection over to another process where the drain schedule asks for that. It returns true once the
// connection belongs to that process.
func (s *Session) transfer(schedule *drain.Schedule) bool {
	if !schedule.HandsOver() || !s.Transferable || s.server.Transfer == nil {
		return false
	}
	if !s.server.Transfer(s.Conn.Conn, s.startupDeadline.IsZero(), s.answered) {
		return false
	}
	s.server.Counters.Add(s.server.Name+"_clients_passed", 1)
	return true
}

// endIdle returns the error that ends an idle session, nil where its client has sent something by now or has disconnected.
func (s *Session) endIdle() error {
	if !s.Alive() {
		return nil
	}
	if !s.Draining() {
		s.server.Counters.Add(s.server.Name+"_clients_let_go", 1)
		s.server.Limiter.SetClosing(s.slot)
		return errIdleEvicted
	}
	s.server.Counters.Add(s.server.Name+"_clients_sent_away", 1)
	return errDraining
}

// readMessage calls read until it has a complete message, the message's deadline has passed, or nothing of it has come
// for stallTimeout.
func (s *Session) readMessage(read func() error) error {
	deadline := s.schedule().ReadDeadline(time.Now(), s.messageDeadline())
	for {
		buffered := s.Buffered()
		readDeadline := time.Now().Add(stallTimeout)
		if deadline.Before(readDeadline) {
			readDeadline = deadline
		}
		s.SetReadDeadline(readDeadline)
		err := read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if s.Buffered() > buffered && time.Now().Before(deadline) {
			continue
		}
		// With a deadline in the past a read returns nothing, even if the rest of the message has arrived.
		s.SetReadDeadline(time.Now().Add(finalReadTimeout))
		return read()
	}
}

// messageDeadline is until when a message that begins now has to be complete. Clients with a usable request have more time,
// as they may be on a slow network.
func (s *Session) messageDeadline() time.Time {
	if !s.startupDeadline.IsZero() {
		return s.startupDeadline
	}
	if s.firstRequestDeadline.IsZero() {
		return time.Now().Add(messageTimeout)
	}
	deadline := time.Now().Add(firstRequestTimeout)
	if deadline.Before(s.firstRequestDeadline) {
		return s.firstRequestDeadline
	}
	return deadline
}

// disconnectError returns ErrDisconnected for an error that only tells that the client has disconnected, any other error as
// it is.
func disconnectError(err error) error {
	if errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, framebuf.ErrBudgetExhausted) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	var network *net.OpError
	if errors.As(err, &network) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe) {
		return ErrDisconnected
	}
	return err
}
