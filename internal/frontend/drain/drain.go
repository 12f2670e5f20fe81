// Package drain says when connections of clients end while a gateway sends its clients away. It is pure: time is handed
// in.
//
// A connection ends best right behind an answer: the client has nothing under way, so that nothing crosses the close. Who
// asks nothing for a while is let go while idle, each at a time of its own: closes at one instant would bring all the
// handshakes at once to whoever takes these clients.
package drain

import "time"

const (
	noticeFor  = 400 * time.Millisecond  // the front sees a no within 0.1 s, and new connections come for 0.2 s more
	restFor    = time.Second             // no idle connection ends sooner
	spreadOver = 800 * time.Millisecond  // and all have by then after that
	newFor     = 500 * time.Millisecond  // what comes meanwhile may stay idle for this long
	readFor    = 1900 * time.Millisecond // what has begun to come in has till then; what comes 2 s on may not be held at 4 s
	endsAfter  = 3300 * time.Millisecond // and all has its answer by then: past every deadline, and before the process ends
	fullWait   = 3 * time.Second         // the longest deadline for which the times above stand; a shorter one shortens them
	lastAfter  = 500 * time.Millisecond  // past the longest deadline a process that ends has answered all, 0.2 s before the kill;
	lastFor    = 150 * time.Millisecond  // of which this is left for what has come in last,
	leastRead  = 50 * time.Millisecond   // and this much at least for a message that has begun,
	leastWait  = 50 * time.Millisecond   // or for an answer
	Slots      = 16                      // the times at which idle connections end
)

// Plan is when connections end. A nil one says that clients are welcome.
type Schedule struct {
	since  time.Time     // when sending away began
	idle   time.Time     // idle connections end from then on
	spread time.Duration // and have all ended after so much more
	read   time.Time     // till then messages that have begun may come in; zero: for as long as at other times
	ends   time.Time     // by then all have their answers; zero: by their own deadlines
	last   time.Time     // and by then at the very latest, however late they came; zero where the process does not end
	final  bool          // the process ends: clients are not taken again
	left   bool          // another process takes them, as long as that lives
	pass   bool          // and open connections go to it
}

// Begin sends clients away from now on, until clients are taken again. The longest of their deadlines, zero for one that is
// not known, says how soon the process may be killed: 0.7 s after that, and 3.7 s after now where it is over 3 s.
func Start(now time.Time, longest time.Duration) *Schedule {
	ends := max(endsAfter-fullWait+counted(longest), noticeFor)
	part := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(ends) / float64(endsAfter))
	}
	return &Schedule{since: now, idle: now.Add(part(restFor)), spread: part(spreadOver), read: now.Add(part(readFor)), ends: now.Add(ends)}
}

// counted is the longest deadline as the kill counts it.
func counted(longest time.Duration) time.Duration {
	if longest <= 0 {
		return fullWait
	}
	return min(longest, fullWait)
}

// Stop sends clients away as the process ends, after a plan that holds already or nil.
func (p *Schedule) Stop(now time.Time, longest time.Duration) *Schedule {
	x := Start(now, longest)
	x.last = now.Add(counted(longest) + lastAfter)
	if x.final = true; p != nil { // the front knows it already
		x.since, x.idle, x.spread, x.left, x.pass = p.since, p.idle, p.spread, p.left, p.pass
	}
	return x
}

// Pass sends clients away as another process takes them from now on, after a plan that holds already or nil. No front
// needs to notice, and there is time: this process is told to end some seconds later.
func (p *Schedule) Handover(now time.Time) *Schedule {
	if p != nil {
		x := *p
		x.left = true
		return &x
	}
	return &Schedule{since: now.Add(-noticeFor), idle: now.Add(restFor), spread: spreadOver, left: true, pass: true}
}

// Return is what holds once no other process takes clients any more: what held before Pass.
func (p *Schedule) CancelHandover() *Schedule {
	if p == nil || p.final || !p.left {
		return p
	} else if p.pass {
		return nil
	}
	x := *p
	x.left = false
	return &x
}

// Passes says that connections with nothing under way go to another process, where that takes them.
func (p *Schedule) HandsOver() bool { return p != nil && p.pass }

// Final says that staff can't have clients taken again.
func (p *Schedule) Final() bool { return p != nil && (p.final || p.left) }

// Behind says whether a connection ends right behind its answer.
func (p *Schedule) CloseAfterAnswer(now time.Time) bool {
	return p != nil && now.Sub(p.since) >= noticeFor
}

// Idle is when a connection that came at a time ends if it is idle by then; zero: never. The slot, of 0 to Slots-1,
// spreads connections.
func (p *Schedule) IdleDeadline(born time.Time, slot int) time.Time {
	if p == nil {
		return time.Time{}
	}
	at := p.idle.Add(p.spread / Slots * time.Duration(slot))
	if late := born.Add(newFor); born.After(p.since) && late.After(at) {
		at = late
	}
	if !p.last.IsZero() && at.After(p.last.Add(-lastFor)) {
		return p.last.Add(-lastFor)
	}
	return at
}

// Read is until when a message may come in that has a time of its own; it is never later than that.
func (p *Schedule) ReadDeadline(now, until time.Time) time.Time {
	if p == nil || p.read.IsZero() || until.Before(p.read) {
		return until
	}
	least := now.Add(noticeFor)
	if !least.After(p.read) {
		return p.read
	}
	// It has begun just now, on a connection that came late.
	if most := p.last.Add(-lastFor); !p.last.IsZero() && least.After(most) {
		least = most
		if floor := now.Add(leastRead); least.Before(floor) {
			least = floor
		}
	}
	return least
}

// Wait is how long a request may take that came at a time and may take so long by itself.
func (p *Schedule) RequestTimeout(came time.Time, wait time.Duration) time.Duration {
	if p == nil || p.ends.IsZero() {
		return wait
	}
	wait = min(wait, max(noticeFor, p.ends.Sub(came)))
	if !p.last.IsZero() {
		wait = min(wait, max(leastWait, p.last.Sub(came)))
	}
	return wait
}
