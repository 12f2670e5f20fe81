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
	messageTimeout      = 10 * time.Second        // from the first byte of a message until it is complete
	stallTimeout        = 2500 * time.Millisecond // of one read; a client that stops sending is closed about 2.5 s to 5 s after its last byte
	startupTimeout      = 2500 * time.Millisecond // from accept, for the startup, and for a first request that has begun
	firstRequestTimeout = time.Second             // least time for the first request, even if less of startupTimeout is left
	finalReadTimeout    = 20 * time.Millisecond   // for reading bytes that arrived before one of these timeouts passed
	maxFaults           = 16                      // this many unusable messages in a row end the session
)

// Session is one client's connection. The goroutine that serves it owns all fields but the slot, which the limiter uses, too.
// Conn.Wake interrupts its waits when there is an answer, an eviction or a change of the drain schedule.
type Session struct {
	*framebuf.Conn
	// Transferable is set by the protocol while another process could continue the session, because the connection has
	// no protocol state beyond the completed startup.
	Transferable bool

	server               *Server
	slot                 *connlimit.Slot // the connection's slot of the server's Limiter, which may evict the client
	acceptedAt           time.Time
	drainSlot            int       // from 0 to drain.Slots-1: selects the time of the drain at which the connection is closed if idle
	hadUsableMessage     bool      // a message was usable: a request was submitted, or another message was answered
	resumed              bool      // the startup took place in another process
	startupDeadline      time.Time // zero once the startup is complete
	firstRequestDeadline time.Time // zero once a request was usable
	arrivedAt            time.Time // when the last byte of the current message arrived, possibly before earlier messages were answered
	faults               int       // unusable messages in a row
	unanswered           bool      // a message was read of whose answer nothing has been written yet; used only by checkClose
	counted              bool      // by Server.Answering: a message was read whose answer is not written completely yet
	lastRequestID        string    // for the log, shortened
	rate                 messageRate
	liveness             liveness
}

// Draining reports whether the gateway is draining.
func (s *Session) Draining() bool { return s.server.Limiter.Draining() }

// Core returns the core that serves the session's requests.
func (s *Session) Core() *core.Core { return s.server.Core }

// Budget returns the memory budget for data that the session stores outside its read buffer.
func (s *Session) Budget() *framebuf.Budget { return s.server.Budget }

// Counters returns the program's counters.
func (s *Session) Counters() *metrics.Counters { return s.server.Counters }

// Resumed reports whether the client completed the startup in another process, which then transferred the connection. The
// protocol asks this in order to skip the startup.
func (s *Session) Resumed() bool { return s.resumed }

// Started records that the client has completed the startup here, so that the startup's deadline no longer applies.
func (s *Session) Started() { s.startupDeadline = time.Time{} }

// RecordFault counts an unusable message. It returns ErrTooManyFaults after too many in a row.
func (s *Session) RecordFault() error {
	s.faults++
	if s.faults >= maxFaults {
		return ErrTooManyFaults
	}
	return nil
}

// RecordSuccess records that a message was usable.
func (s *Session) RecordSuccess() {
	s.faults = 0
	s.hadUsableMessage = true
}

// Next waits for a message and calls read, which must read one complete message. It returns an error if the client has
// disconnected, if the message is late or can't be read, and if the session ends between two messages because it is evicted,
// drained or transferred. Before a session ends between two messages, any message that has already arrived is read and
// served.
func (s *Session) Next(read func() error) error {
	s.unanswered = false // the protocol has answered the last message, or it needs no answer
	s.endAnswer()
	s.rate.limit()
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
	s.beginAnswer()
	return nil
}

// beginAnswer counts the message that was just read for Server.Answering, unless it arrived after Server.FinishAnswers.
func (s *Session) beginAnswer() {
	if finalAt := s.server.finalAt.Load(); finalAt != nil && !s.arrivedAt.Before(*finalAt) {
		return
	}
	s.counted = true
	s.server.answering.Add(1)
}

// endAnswer ends the count of a message by beginAnswer.
func (s *Session) endAnswer() {
	if s.counted {
		s.counted = false
		s.server.answering.Add(-1)
	}
}

// awaitMessage waits until part of a message has arrived. It returns an error if the session ends.
func (s *Session) awaitMessage() error {
	// Evaluated once, right after an answer: a connection that has been idle since is not closed at once when a drain
	// begins, because its client may be about to send a request.
	closeNow := s.hadUsableMessage && s.schedule().CloseAfterAnswer(time.Now())
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
		// An eviction or a new schedule may come before Park begins, where its Wake has no effect. Park checks both again.
		err := s.Park(deadline, func() bool { return s.slot.Evicted() || s.schedule() != schedule })
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && deadline.Equal(idleDeadline):
			if s.schedule() != nil { // it is nil if the drain was undone meanwhile
				return s.endIdle()
			}
		default:
			return disconnectError(err)
		}
	}
	return nil
}

// schedule returns the drain schedule, or nil while the gateway is not draining.
func (s *Session) schedule() *drain.Schedule { return s.server.Limiter.Schedule() }

// transfer transfers the connection to another process if the drain schedule says so. It returns true if the connection
// now belongs to that process.
func (s *Session) transfer(schedule *drain.Schedule) bool {
	if !schedule.TransfersConnections() || !s.Transferable || s.server.Transfer == nil {
		return false
	}
	if !s.server.Transfer(s.Conn.Conn, s.startupDeadline.IsZero(), s.hadUsableMessage) {
		return false
	}
	s.server.Counters.Add(s.server.Name+"_clients_passed", 1) // transferred to another process
	return true
}

// endIdle returns the error that ends an idle session. It returns nil if the client has sent something meanwhile or has
// disconnected, which the next read shows. A session that is evicted during a drain ends like any other of the drain.
func (s *Session) endIdle() error {
	if !s.Alive() {
		return nil
	}
	if !s.Draining() {
		s.server.Counters.Add(s.server.Name+"_clients_let_go", 1) // evicted while idle, to free its slot
		s.server.Limiter.SetClosing(s.slot)
		return errIdleEvicted
	}
	s.server.Counters.Add(s.server.Name+"_clients_sent_away", 1) // closed between two messages by a drain
	return errDraining
}

// readMessage calls read until the message is complete, its deadline has passed, or no further byte of it has arrived during
// a call. Each call lasts stallTimeout at most, and a byte does not extend it. A client that sends its last byte at the
// beginning of a call is therefore closed only after the next call, about 5 s later.
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
		// A read whose deadline has passed returns nothing, even if the rest of the message has arrived. So read once more.
		s.SetReadDeadline(time.Now().Add(finalReadTimeout))
		return read()
	}
}

// messageDeadline returns the time by which a message that begins now has to be complete. A client that has sent a usable
// request gets messageTimeout, as it may be on a slow network. Any other client gets less time, because it may hold its slot
// without ever sending a request.
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

// disconnectError returns ErrDisconnected for an error that means that the client has disconnected, and any other error
// unchanged.
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
