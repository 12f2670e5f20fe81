package frontend

import (
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/metrics"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Session is one client's connection. Its goroutine is the client's actor; Conn.Wake with an answer or a stop
// is its mailbox.
type Session struct {
	*framebuf.Conn
	server       *Server
	born         time.Time // when it was taken
	slot         int       // spreads what many sessions do at one time
	asked        bool      // it has had an answer
	resumes      bool      // it has started up in another process
	Transferable bool      // nothing is known of it but what Resumes tells: another process may go on with it; set by the front
	starts       time.Time // until when the client must have said who it is; zero once it has
	proves       time.Time // until when a first request must be whole; zero once one was good
	arrived      time.Time // when the last byte of the message in hand came; it may have stood behind others since
	faults       int       // messages in a row that could not be used
	owes         bool      // a message was read that has no answer yet, for the guard on closes alone
	lastID       string    // the id of the last request, for the log

	leaving atomic.Bool // its place is wanted: it ends unless something has come
	resting time.Time   // since when nothing is open, zero while something is; like the next two, owned by the room
	silent  bool        // and it has asked nothing yet
	ending  bool        // it has been let go, and its place is free soon
}

// Away says whether clients are sent away: who asks whether this gateway serves is owed a no.
func (x *Session) Draining() bool { return x.server.Limiter.Draining() }

// Core is the core that the session asks.
func (x *Session) Core() *core.Core { return x.server.Core }

// Budget pays for what the session keeps beside its buffer.
func (x *Session) Budget() *framebuf.Budget { return x.server.Budget }

// Counters are the program's counters.
func (x *Session) Counters() *metrics.Counters { return x.server.Counters }

// Resumes says that the client has started up in another process, and had its welcome there.
func (x *Session) Resumed() bool { return x.resumes }

// Started says that the client has said who it is.
func (x *Session) Started() { x.starts = time.Time{} }

// Next waits for a message and calls read, which must take one whole message. It returns an error where the
// client has left, or where clients are sent away and nothing of a message has come. What has come by then is taken:
// that guards against a close that crosses a request.
func (x *Session) Next(read func() error) error {
	x.owes = false // the front has come back: it has answered, or nothing was owed
	if x.Buffered() == 0 {
		x.server.Limiter.rest(x)
	}
	// An answer has gone out just now, or nothing has been asked. Later is no time to end for one that is idle: its
	// client may be about to ask.
	behind := x.asked && x.server.Limiter.plan.Load().CloseAfterAnswer(time.Now())
	for x.Buffered() == 0 {
		plan := x.server.Limiter.plan.Load()
		if plan.HandsOver() && x.Transferable && x.server.Pass != nil && x.server.Pass(x.Conn.Conn, x.starts.IsZero(), x.asked) {
			x.server.Counters.Add(x.server.Name+"_clients_passed", 1)
			return errPassed
		}
		if x.leaving.Load() || behind {
			if err := x.endIdle(); err != nil {
				return err
			}
			break
		}
		until, idle := x.starts, plan.IdleDeadline(x.born, x.slot)
		if !idle.IsZero() && (until.IsZero() || idle.Before(until)) {
			until = idle
		}
		// What holds now may change before the wait begins: a wake is missed only if it does not.
		err := x.Park(until, func() bool { return x.leaving.Load() || x.server.Limiter.plan.Load() != plan })
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && until.Equal(idle) {
			if x.server.Limiter.plan.Load() == nil { // taken back meanwhile
				continue
			} else if err := x.endIdle(); err != nil {
				return err
			}
			break
		}
		if err != nil {
			return x.gone(err)
		}
	}
	x.server.Limiter.work(x)
	err := x.whole(read)
	if x.arrived = x.ArrivedAt(); err != nil {
		return x.gone(err)
	}
	x.owes = true
	return nil
}

// whole calls read until it has a whole message, the message's time is up, or nothing of it has come for stalledFor.
func (x *Session) whole(read func() error) error {
	end := x.server.Limiter.plan.Load().ReadDeadline(time.Now(), x.messageUntil())
	for {
		had := x.Buffered()
		x.SetReadDeadline(earlier(end, time.Now().Add(stalledFor)))
		err := read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if x.Buffered() > had && time.Now().Before(end) {
			continue
		}
		// A time that has passed takes nothing, though the rest may lie there since long.
		x.SetReadDeadline(time.Now().Add(lastRead))
		return read()
	}
}

// messageUntil is until when a message that begins now has to be whole.
func (x *Session) messageUntil() time.Time {
	switch {
	case !x.starts.IsZero():
		return x.starts
	case x.proves.IsZero():
		return time.Now().Add(messageFor)
	}
	// What a device on a poor link gets, a stranger does not.
	until := time.Now().Add(firstFor)
	if until.Before(x.proves) {
		return x.proves
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// endIdle says that an idle session ends, unless its client has sent something by now or has left.
func (x *Session) endIdle() error {
	if !x.Alive() {
		return nil
	}
	if x.server.Limiter.plan.Load() == nil {
		x.server.Counters.Add(x.server.Name+"_clients_let_go", 1)
		x.server.Limiter.letGo(x)
		return errLetGo
	}
	x.server.Counters.Add(x.server.Name+"_clients_sent_away", 1)
	return errSentAway
}

// gone names an error that only says that the client has left.
func (x *Session) gone(err error) error {
	if errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, framebuf.ErrBudgetExhausted) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe) {
		return ErrDisconnected
	}
	return err
}

// Fault counts a message that could not be used. ErrTooManyFaults says that the client has sent enough of them.
func (x *Session) RecordFault() error {
	if x.faults++; x.faults >= mostFaults {
		return ErrTooManyFaults
	}
	return nil
}

// Good says that a message could be used.
func (x *Session) RecordSuccess() { x.faults, x.asked = 0, true }

// Slowly returns a writer for answers that are passed on as they come: a client may be as slow as it likes, so long as it
// takes something.
func (x *Session) StreamWriter() io.Writer { return slowly{x} }

type slowly struct{ x *Session }

func (s slowly) Write(b []byte) (n int, err error) {
	s.x.owes = false // what breaks off from here on the client can tell from a whole answer
	for n < len(b) {
		s.x.SetWriteDeadline(time.Now().Add(writeFor))
		m, err := s.x.Write(b[n:])
		n += m
		if err != nil && (m == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return n, ErrDisconnected
		}
	}
	return n, nil
}

// Send writes to the client.
func (x *Session) Send(b []byte) error {
	x.owes = false // also where the client takes nothing
	x.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := x.Write(b); err != nil {
		return ErrDisconnected
	}
	return nil
}
