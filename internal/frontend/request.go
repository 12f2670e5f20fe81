package frontend

import (
	"errors"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
)

// unreadPollInterval is how often the connection's state is polled where no read can see a disconnect. No attempt of a
// request may begin later than 0.1 s after its client has disconnected.
const unreadPollInterval = 50 * time.Millisecond

// Do submits a request to the core and waits for its answer, watching for a disconnect. The id is the client's own; size is
// about how many bytes the request keeps until it is answered. Do sets the request's ID, Arrived, Timeout, Disconnected and
// Reply.
//
// It returns ErrDuplicateID, with nothing run, where the id is that of an open request; the id of a disconnected client's
// request stays open for as long as an attempt may be under way. Where the memory budget is exhausted the answer is
// Rejected, with nothing run.
//
// It returns ErrDisconnected once the client's end has come, also where it has closed its sending side alone: on the wire
// that looks the same until an answer is written. What it has sent behind the request is not read then.
func (s *Session) Do(request *core.Request, id string, size int) (core.Answer, error) {
	s.lastRequestID = id
	if !s.server.openRequest(id) {
		return core.Answer{}, ErrDuplicateID
	}
	release := func() { s.server.closeRequest(id) }
	defer func() { release() }()
	s.RecordSuccess()
	s.firstRequestDeadline = time.Time{}
	if !s.server.Budget.Reserve(size) {
		s.server.Counters.Add(s.server.Name+"_no_room", 1)
		return core.Answer{Status: core.Rejected}, nil
	}
	release = func() {
		s.server.closeRequest(id)
		s.server.Budget.Release(size)
	}
	// The disconnect may be old: this process may have been busy, or the request has waited behind another one.
	if s.ReadAvailable() {
		s.server.Counters.Add(s.server.Name+"_clients_gone_before", 1)
		return core.Answer{}, ErrDisconnected
	}
	answers := make(chan core.Answer, 1)
	s.prepare(request, id, answers)
	expiresAt := s.arrivedAt.Add(request.Timeout) // the core owns the request from here on
	if !s.server.Core.Submit(request) {
		return core.Answer{Status: core.Failed}, nil
	}
	answer, err := s.awaitAnswer(answers)
	if err != nil {
		s.server.Core.ClientDisconnected(request)
		// An attempt may run on at its host, which would take a request of the same id for another attempt of it.
		releaseNow := release
		release = func() { time.AfterFunc(time.Until(expiresAt), releaseNow) }
	}
	return answer, err
}

// prepare sets the fields of a request that the session knows. The answer goes to the channel and wakes the session.
func (s *Session) prepare(request *core.Request, id string, answers chan<- core.Answer) {
	request.ID = id
	request.Arrived = s.arrivedAt
	request.Timeout = s.schedule().RequestTimeout(s.arrivedAt, s.server.Core.Timeout(request))
	request.Disconnected = s.PeerClosed
	request.Reply = func(a core.Answer) {
		answers <- a
		s.Wake()
	}
}

// awaitAnswer waits for a request's answer. It returns ErrDisconnected where the client disconnects before.
func (s *Session) awaitAnswer(answers <-chan core.Answer) (core.Answer, error) {
	for {
		err := s.Park(time.Time{}, func() bool { return len(answers) > 0 })
		select {
		case answer := <-answers:
			return answer, nil
		default:
		}
		if errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, framebuf.ErrBudgetExhausted) {
			answer, ok := s.awaitAnswerUnread(answers)
			if ok {
				return answer, nil
			}
			if !s.PeerClosed() {
				continue // there may be memory by now
			}
		}
		if err != nil {
			return core.Answer{}, ErrDisconnected
		}
	}
}

// awaitAnswerUnread waits for the answer up to unreadPollInterval, where the client has sent so much more that no read can
// see a disconnect: its buffer is full, or there is no memory for it to grow. What was sent is read and answered in its turn.
func (s *Session) awaitAnswerUnread(answers <-chan core.Answer) (answer core.Answer, ok bool) {
	s.server.Counters.Add(s.server.Name+"_looks_past_unread", 1)
	poll := time.NewTimer(unreadPollInterval)
	defer poll.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-poll.C:
		return answer, false
	}
}
