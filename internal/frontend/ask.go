package frontend

import (
	"errors"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
)

// lookEvery is how often a client is looked at that has sent so much more that its close can't be read. From its close on no
// attempt of its request may begin after 0.1 s.
const lookEvery = 50 * time.Millisecond

// Ask hands a request to the core and waits for its answer, watching for the client's close. The id is the client's
// own; ErrDuplicateID says that it is that of an open request, and nothing has run; that of a client that has gone stays open for as
// long as an attempt may be out. The request keeps about so many bytes till then; where there is no room for them it is refused, and nothing has run.
//
// A client whose end has come has gone, also one that shut only its sending side: on the wire that looks the same until an
// answer is written. What it sent behind the request is not begun then.
func (x *Session) Ask(q *core.Request, id string, size int) (core.Answer, error) {
	x.lastID = id
	if !x.server.begin(id) {
		return core.Answer{}, ErrDuplicateID
	}
	over := func() { x.server.end(id) }
	defer func() { over() }()
	x.faults, x.proves, x.asked = 0, time.Time{}, true
	if !x.server.Budget.Reserve(size) {
		x.server.Counters.Add(x.server.Name+"_no_room", 1)
		return core.Answer{Status: core.Rejected}, nil
	}
	over = func() { x.server.end(id); x.server.Budget.Release(size) }
	if x.ReadAvailable() { // its close may have come long ago: this process may have been busy, or the request waited behind another
		x.server.Counters.Add(x.server.Name+"_clients_gone_before", 1)
		return core.Answer{}, ErrDisconnected
	}
	answers := make(chan core.Answer, 1)
	q.Arrived = x.arrived
	wait := x.server.Limiter.plan.Load().RequestTimeout(x.arrived, x.server.Core.Timeout(q))
	q.Timeout = wait
	q.ID = id
	q.Disconnected = x.PeerClosed
	q.Reply = func(a core.Answer) {
		answers <- a
		x.Wake()
	}
	if !x.server.Core.Submit(q) {
		return core.Answer{Status: core.Failed}, nil
	}
	for {
		err := x.Park(time.Time{}, func() bool { return len(answers) > 0 })
		select {
		case a := <-answers:
			return a, nil
		default:
		}
		if errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, framebuf.ErrBudgetExhausted) {
			if a, ok := x.unread(answers); ok {
				return a, nil
			} else if !x.PeerClosed() {
				continue // by now there may be room
			}
		}
		if err != nil {
			x.server.Core.ClientDisconnected(q)
			later := over // what has begun goes on at its host: a copy of the id would be taken for another attempt of it
			over = func() { time.AfterFunc(time.Until(x.arrived.Add(wait)), later) }
			return core.Answer{}, ErrDisconnected
		}
	}
}

// unread waits for the answer for a while where the client has sent so much more that no read can tell of its close: its
// buffer is full, or there is no memory to let it grow. What was sent stays where it is and is answered in its turn.
func (x *Session) unread(answers <-chan core.Answer) (a core.Answer, ok bool) {
	x.server.Counters.Add(x.server.Name+"_looks_past_unread", 1)
	look := time.NewTimer(lookEvery)
	defer look.Stop()
	select {
	case a = <-answers:
		return a, true
	case <-look.C:
		return a, false
	}
}
