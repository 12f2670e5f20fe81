// Package drain schedules when client connections are closed while a gateway drains. It does no I/O and reads no clock.
//
// A connection is best closed right after an answer: the client has no request open, so that none can cross the close. A
// connection without requests is closed while idle, each at a time of its own: closes at one instant would bring all
// handshakes at once to the gateways that take these clients.
package drain

import "time"

// Slots is how many different times there are at which idle connections are closed.
const Slots = 16

const (
	noticeDelay        = 400 * time.Millisecond  // the platform sees a drain within 0.1 s, and new connections come for 0.2 s more
	minIdleDelay       = time.Second             // no idle connection is closed sooner
	idleSpread         = 800 * time.Millisecond  // in which all idle connections are closed after that
	newClientTimeout   = 500 * time.Millisecond  // for a connection accepted meanwhile to stay idle
	readTimeout        = 1900 * time.Millisecond // for messages that have begun; one that comes 2 s on may not be held at 4 s
	answerTimeout      = 3300 * time.Millisecond // for all answers: past every deadline, and before the process is killed
	maxDeadline        = 3 * time.Second         // the longest request deadline the times above assume; a shorter one scales them
	shutdownDelay      = 500 * time.Millisecond  // from the longest deadline until a process that ends has answered all, 0.2 s before the kill
	finalAnswerTimeout = 150 * time.Millisecond  // of that, for what has come in last
	minReadTimeout     = 50 * time.Millisecond   // for a message that has begun
	minRequestTimeout  = 50 * time.Millisecond   // for an answer
)

// Schedule says when connections are closed. A nil Schedule is that of a gateway that is not draining. Schedules are not
// modified.
type Schedule struct {
	startedAt        time.Time     // when the drain began
	idleCloseAt      time.Time     // when the first idle connections are closed
	idleSpread       time.Duration // from then on until the last ones are
	readDeadline     time.Time     // for messages that have begun; zero: as without a drain
	answerDeadline   time.Time     // for all answers; zero: the requests' own deadlines
	shutdownDeadline time.Time     // for all answers, however late their requests came; zero unless the process ends
	shuttingDown     bool          // the process ends: the drain is not undone
	superseded       bool          // another process accepts clients, for as long as it lives
	transfers        bool          // and open connections are transferred to it
}

// Start drains from now on, until the drain is undone. The longest request deadline, zero where it is not known, bounds how
// soon the process may be killed: 0.7 s after that deadline, and 3.7 s after now where it is over 3 s.
func Start(now time.Time, longestDeadline time.Duration) *Schedule {
	total := max(answerTimeout-maxDeadline+boundedDeadline(longestDeadline), noticeDelay)
	scaled := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(total) / float64(answerTimeout))
	}
	return &Schedule{
		startedAt:      now,
		idleCloseAt:    now.Add(scaled(minIdleDelay)),
		idleSpread:     scaled(idleSpread),
		readDeadline:   now.Add(scaled(readTimeout)),
		answerDeadline: now.Add(total),
	}
}

// boundedDeadline is the longest request deadline on which the time of the kill is based.
func boundedDeadline(longestDeadline time.Duration) time.Duration {
	if longestDeadline <= 0 {
		return maxDeadline
	}
	return min(longestDeadline, maxDeadline)
}

// Stop drains as the process ends. Connections are closed at the times of a drain that goes on already, if any.
func (s *Schedule) Stop(now time.Time, longestDeadline time.Duration) *Schedule {
	next := Start(now, longestDeadline)
	next.shutdownDeadline = now.Add(boundedDeadline(longestDeadline) + shutdownDelay)
	next.shuttingDown = true
	if s != nil { // the platform knows of the drain already
		next.startedAt = s.startedAt
		next.idleCloseAt = s.idleCloseAt
		next.idleSpread = s.idleSpread
		next.superseded = s.superseded
		next.transfers = s.transfers
	}
	return next
}

// Handover drains as another process accepts clients from now on. It keeps the times of a drain that goes on already. Nobody
// has to notice the drain, and there is time: this process is told to end some seconds later.
func (s *Schedule) Handover(now time.Time) *Schedule {
	if s != nil {
		next := *s
		next.superseded = true
		return &next
	}
	return &Schedule{
		startedAt:   now.Add(-noticeDelay),
		idleCloseAt: now.Add(minIdleDelay),
		idleSpread:  idleSpread,
		superseded:  true,
		transfers:   true,
	}
}

// CancelHandover returns the schedule from before Handover, as the other process has ended. It returns s where this process
// is shutting down.
func (s *Schedule) CancelHandover() *Schedule {
	if s == nil || s.shuttingDown || !s.superseded {
		return s
	}
	if s.transfers {
		return nil
	}
	next := *s
	next.superseded = false
	return &next
}

// HandsOver reports whether idle connections are transferred to another process, where that accepts them.
func (s *Schedule) HandsOver() bool { return s != nil && s.transfers }

// Final reports whether an operator can't undo the drain.
func (s *Schedule) Final() bool { return s != nil && (s.shuttingDown || s.superseded) }

// CloseAfterAnswer reports whether a connection is closed right after its answer.
func (s *Schedule) CloseAfterAnswer(now time.Time) bool {
	return s != nil && now.Sub(s.startedAt) >= noticeDelay
}

// IdleDeadline is when a connection is closed if it is idle then; zero: never. The slot, from 0 to Slots-1, spreads
// connections.
func (s *Schedule) IdleDeadline(acceptedAt time.Time, slot int) time.Time {
	if s == nil {
		return time.Time{}
	}
	deadline := s.idleCloseAt.Add(s.idleSpread / Slots * time.Duration(slot))
	if acceptedAt.After(s.startedAt) {
		deadline = later(deadline, acceptedAt.Add(newClientTimeout))
	}
	if !s.shutdownDeadline.IsZero() {
		deadline = earlier(deadline, s.lastReadDeadline())
	}
	return deadline
}

// ReadDeadline is until when a message has to be complete that begins now and has the given deadline without a drain. It is
// never later than that.
func (s *Schedule) ReadDeadline(now, deadline time.Time) time.Time {
	if s == nil || s.readDeadline.IsZero() || deadline.Before(s.readDeadline) {
		return deadline
	}
	least := now.Add(noticeDelay)
	if !least.After(s.readDeadline) {
		return s.readDeadline
	}
	// The message begins late in the drain, on a connection that was accepted late.
	if !s.shutdownDeadline.IsZero() && least.After(s.lastReadDeadline()) {
		return later(s.lastReadDeadline(), now.Add(minReadTimeout))
	}
	return least
}

// lastReadDeadline is when the last message has to be complete for its answer to be there before the process ends.
func (s *Schedule) lastReadDeadline() time.Time { return s.shutdownDeadline.Add(-finalAnswerTimeout) }

// RequestTimeout is how long a request may take that arrived at a time and has the given timeout without a drain.
func (s *Schedule) RequestTimeout(arrivedAt time.Time, timeout time.Duration) time.Duration {
	if s == nil || s.answerDeadline.IsZero() {
		return timeout
	}
	timeout = min(timeout, max(noticeDelay, s.answerDeadline.Sub(arrivedAt)))
	if !s.shutdownDeadline.IsZero() {
		timeout = min(timeout, max(minRequestTimeout, s.shutdownDeadline.Sub(arrivedAt)))
	}
	return timeout
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
