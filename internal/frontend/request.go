package frontend

import (
	"errors"
	"strings"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
)

// unreadPollInterval is how often the connection's state is polled while no read can see a disconnect. It has to be below
// 0.1 s, as no attempt of a request may begin later than 0.1 s after its client has disconnected.
const unreadPollInterval = 50 * time.Millisecond

// maxLoggedID bounds the part of a request's id that a session keeps for the log, in bytes.
const maxLoggedID = 64

// Do submits a request to the core and waits for its answer, watching for a disconnect. The id is the client's id for the
// request, and size is about how many bytes of memory the request uses until it is answered. Do sets the request's ID,
// Arrived, Timeout, Disconnected and Reply.
//
// Do returns ErrDuplicateID, without running the request, if another request with this id is open, or if one that must not run twice
// may have run. If the memory budget is
// exhausted, the answer is Rejected, and if the core has ended, it is Failed; in both cases the request has not run.
//
// Otherwise the id stays open and the memory reserved until Do returns or, if the client disconnects after the request was
// submitted, until the request's timeout has passed, as an attempt may still be running.
//
// Do returns ErrDisconnected once the client has closed its connection, even if it has closed only its sending side: the two
// look the same on the wire until an answer is written. Messages that the client sent after the request are then not served.
// An answer that has already arrived is returned even if the client has disconnected.
func (s *Session) Do(request *core.Request, id string, size int) (core.Answer, error) {
	s.lastRequestID = strings.Clone(id[:min(len(id), maxLoggedID)])
	if !s.server.openRequest(id) {
		return core.Answer{}, ErrDuplicateID
	}
	release := func() { s.server.closeRequest(id) }
	defer func() { release() }() // calls the function that release holds at the end
	s.RecordSuccess()            // the message was usable, whatever becomes of the request
	s.firstRequestDeadline = time.Time{}
	if !s.server.Budget.Reserve(size) { // no_room counts requests for which there is no memory
		s.server.Counters.Add(s.server.Name+"_no_room", 1)
		return core.Answer{Status: core.Rejected}, nil
	}
	release = func() {
		s.server.closeRequest(id)
		s.server.Budget.Release(size)
	}
	// The client may have disconnected some time ago, if this process was busy or the request has waited for earlier ones.
	// ReadAvailable reports whether it has.
	hidden := s.liveness.hidden.Load() // when this request was read
	if s.ReadAvailable() {
		s.server.Counters.Add(s.server.Name+"_clients_gone_before", 1)
		return core.Answer{}, ErrDisconnected
	}
	if unseen := s.checkLiveness(); unseen && s.PeerClosed() {
		s.server.Counters.Add(s.server.Name+"_clients_gone_before", 1)
		return core.Answer{}, ErrDisconnected
	} else if unseen && hidden { // it may have waited behind unread bytes since before a close
		s.server.Counters.Add(s.server.Name+"_clients_unseen", 1)
		return core.Answer{Status: core.Rejected}, nil
	}
	effect := s.server.Core.Effect(request.Class)
	if !s.server.claimID(id, effect) {
		return core.Answer{}, ErrDuplicateID
	}
	answers := make(chan core.Answer, 1)
	s.prepare(request, id, answers)
	expiresAt := s.arrivedAt.Add(request.Timeout) // computed here, as the core owns the request after Submit
	if !s.server.Core.Submit(request) {
		s.server.releaseID(id, effect)
		return core.Answer{Status: core.Failed}, nil
	}
	answer, err := s.awaitAnswer(answers)
	if err == nil && answer.Status == core.Rejected {
		s.server.releaseID(id, effect)
	}
	if err != nil {
		s.server.Core.ClientDisconnected(request)
		// An attempt may still be running at its host, which would take a request with the same id for another attempt of it.
		releaseNow := release
		release = func() { time.AfterFunc(time.Until(expiresAt), releaseNow) }
	}
	return answer, err
}

// prepare fills in the request fields that the session provides. Reply sends the answer to the channel and wakes the session.
func (s *Session) prepare(request *core.Request, id string, answers chan<- core.Answer) {
	request.ID = id
	request.Arrived = s.arrivedAt
	request.Timeout = s.schedule().RequestTimeout(s.arrivedAt, s.server.Core.Timeout(request))
	request.Disconnected = s.PeerClosed
	request.Unseen = s.liveness.isUnseen
	request.Reply = func(a core.Answer) {
		answers <- a
		s.Wake()
	}
}

// awaitAnswer waits for a request's answer. It returns ErrDisconnected if the client disconnects before the answer. Any error
// of Park counts as a disconnect, except the two errors that only mean that no more bytes can be read for now.
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
				continue // memory may have become available
			}
		}
		if err != nil {
			return core.Answer{}, ErrDisconnected
		}
	}
}

// awaitAnswerUnread waits up to unreadPollInterval for the answer without reading from the client. It is used if no read can
// see a disconnect, because the read buffer is full or there is no memory to enlarge it. The unread bytes are read and
// answered later, in order.
func (s *Session) awaitAnswerUnread(answers <-chan core.Answer) (answer core.Answer, ok bool) {
	s.server.Counters.Add(s.server.Name+"_looks_past_unread", 1) // counts waits without a read
	s.checkLiveness()
	poll := time.NewTimer(unreadPollInterval)
	defer poll.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-poll.C:
		return answer, false
	}
}
