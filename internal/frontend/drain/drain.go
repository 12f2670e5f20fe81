// Package drain schedules when client connections are closed while a gateway drains. It does no I/O and reads no clock.
//
// The best time to close a connection is right after an answer, when the client is least likely to be sending a request
// that would arrive just as the connection closes. A connection without requests is closed while idle. These closes are
// spread over time, because otherwise all clients would connect to other gateways at once.
package drain

import "time"

// Slots is the number of different times at which idle connections are closed.
const Slots = 16

const (
	noticeDelay        = 400 * time.Millisecond  // the platform notices a drain within 0.1 s, and clients still connect for another 0.2 s
	minIdleDelay       = time.Second             // from the start of a drain until the first idle connections are closed
	idleSpread         = 800 * time.Millisecond  // over which idle connections are closed; the last slot is at 15/16 of it
	newClientTimeout   = 500 * time.Millisecond  // how long a connection accepted during the drain may be idle
	readTimeout        = 1900 * time.Millisecond // for a message, from the start of a drain; one that arrives at 2 s must not be held at 4 s
	answerTimeout      = 3300 * time.Millisecond // for all answers: after a request deadline of maxDeadline, and before the process is killed
	maxDeadline        = 3 * time.Second         // longest request deadline that is allowed for; a shorter one shortens a drain, see Start
	shutdownDelay      = 500 * time.Millisecond  // from the longest deadline until all requests are to be answered, 0.2 s before the kill
	finalAnswerTimeout = 150 * time.Millisecond  // part of shutdownDelay, left for answering the last message read
	minReadTimeout     = 50 * time.Millisecond   // least time to complete a message that has begun, even past shutdownDeadline
	minRequestTimeout  = 50 * time.Millisecond   // least time to answer a request, even past shutdownDeadline
)

// Schedule holds the times of a drain: when connections are closed, and until when requests are read and answered. A nil
// Schedule means that the gateway is not draining. A Schedule is immutable.
type Schedule struct {
	startedAt        time.Time     // when the drain began
	idleCloseAt      time.Time     // when the first idle connections are closed
	idleSpread       time.Duration // idle connections are closed over this time, in Slots steps from idleCloseAt
	readDeadline     time.Time     // for messages that have begun; zero: same as without a drain
	answerDeadline   time.Time     // for all answers; zero: only the requests' own deadlines apply
	shutdownDeadline time.Time     // for all answers, but see minRequestTimeout; zero unless the process ends
	shuttingDown     bool          // the process ends, and the drain cannot be undone
	superseded       bool          // another process accepts the clients, until it ends
	transfers        bool          // open connections are transferred to that process
}

// Start returns the schedule of a drain that starts now and lasts until it is undone. The times fit a process that may be killed
// once the longest request deadline plus 0.7 s have passed, or 3.7 s if that deadline is over 3 s. A deadline of zero is unknown,
// and counts as 3 s. With a shorter deadline, the time for all answers is shorter by the difference, but at least noticeDelay. The
// other times from the start of the drain are scaled in proportion; noticeDelay, newClientTimeout and the times of a shutdown are not.
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

// boundedDeadline returns the request deadline from which the time of the kill is computed: at most maxDeadline, which also
// replaces an unknown deadline.
func boundedDeadline(longestDeadline time.Duration) time.Duration {
	if longestDeadline <= 0 {
		return maxDeadline
	}
	return min(longestDeadline, maxDeadline)
}

// Stop returns the schedule for a process that is shutting down. If a drain is already under way, idle connections are closed at
// its times.
func (s *Schedule) Stop(now time.Time, longestDeadline time.Duration) *Schedule {
	next := Start(now, longestDeadline)
	next.shutdownDeadline = now.Add(boundedDeadline(longestDeadline) + shutdownDelay)
	next.shuttingDown = true
	if s != nil { // the platform has already noticed the drain
		next.startedAt = s.startedAt
		next.idleCloseAt = s.idleCloseAt
		next.idleSpread = s.idleSpread
		next.superseded = s.superseded
		next.transfers = s.transfers
	}
	return next
}

// Handover returns the schedule for a process whose clients are accepted by another process from now on. A drain that is already
// under way keeps its times. A new drain has no notice delay, as new connections already reach the other process, and no deadlines
// for reads and answers, as this process is stopped only some seconds later.
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

// CancelHandover returns the schedule from before Handover, for when the other process has ended. It returns s unchanged if this
// process is shutting down.
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

// TransfersConnections reports whether idle connections are transferred to another process, if that process takes them.
func (s *Schedule) TransfersConnections() bool { return s != nil && s.transfers }

// Final reports whether the drain can't be undone by an operator.
func (s *Schedule) Final() bool { return s != nil && (s.shuttingDown || s.superseded) }

// CloseAfterAnswer reports whether a connection that is answered now is closed right after the answer.
func (s *Schedule) CloseAfterAnswer(now time.Time) bool {
	return s != nil && now.Sub(s.startedAt) >= noticeDelay
}

// IdleDeadline returns the time at which a connection is closed if it is idle, or zero if it is not closed. Connections with
// different slots, from 0 to Slots-1, are closed at different times.
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

// ReadDeadline returns the time by which a message that begins now has to be complete. The given deadline is the one that applies
// without a drain. A message gets at least noticeDelay, or less shortly before the process ends: then at least minReadTimeout.
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

// lastReadDeadline returns the time by which the last message has to be complete, so that it is answered before the process ends.
func (s *Schedule) lastReadDeadline() time.Time { return s.shutdownDeadline.Add(-finalAnswerTimeout) }

// RequestTimeout returns how long a request that arrived at arrivedAt may take. The given timeout is the one that applies without a
// drain. The timeout is not reduced below noticeDelay, or, shortly before the process ends, below minRequestTimeout.
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
