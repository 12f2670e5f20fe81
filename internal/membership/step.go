package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// advance moves the clock. Where it jumps this process did not run: nobody was silent but itself. What was tried
// meanwhile is tried anew, and verdicts wait until the others have had time to speak.
func (n *Node) advance(now time.Duration) {
	gap := now - n.now
	if n.now = max(n.now, now); gap <= stallAfter || n.opt.PlainSWIM {
		return
	}
	n.heardAt, n.answerAt, n.holdTo = now, now, now+tryMost
	if gap >= lapse { // the others may have gone on without it
		n.restrainedTo = now + 2*lapse
	}
	for _, e := range n.sorted {
		if e.suspect != nil {
			e.suspect = n.newSuspicion(now)
		}
	}
}

func (n *Node) newSuspicion(from time.Duration) *suspicion {
	return &suspicion{from: from, seconds: map[Incarnation]bool{}}
}

// Tick lets time pass. It is to be called every tenth of a second or more often.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	if n.self.State == Left {
		return
	}
	if now >= n.nextAt {
		n.nextAt = max(n.nextAt+n.opt.ProbeInterval, now)
		n.probe()
		n.count()
	}
	for _, e := range slices.Clone(n.sorted) {
		if e.suspect != nil {
			n.try(e)
		} else if e.State >= Failed && now-e.since >= forgetAfter {
			n.forget(e)
		}
	}
	n.runErrands()
	if now >= n.retryAt {
		n.retryAt = now + retryEvery
		n.retry()
	}
	if now >= n.syncAt {
		n.sync(n.pick(nil, func(e *entry) bool { return e.State < Failed }))
	}
}

// runErrands goes on pinging on others' behalf, and tells them when that was in vain.
func (n *Node) runErrands() {
	kept := n.errands[:0]
	for _, r := range n.errands {
		if n.now < r.at {
			kept = append(kept, r)
		} else if r.pings < errandPings {
			r.pings, r.at = r.pings+1, n.now+errandEvery
			n.send(Message{Kind: Ping, To: r.to, Target: r.about, Seq: r.seq})
			kept = append(kept, r)
		} else if e := n.table[r.about]; e != nil {
			n.send(Message{Kind: Unreachable, To: r.addr, Seq: r.theirs, Subject: n.row(e)})
		}
	}
	n.errands = kept
}

// probe pings the next member in turn. One that was pinged in the period before and gave no answer becomes a suspect.
func (n *Node) probe() {
	for _, seq := range slices.Sorted(maps.Keys(n.older)) {
		if e := n.table[n.older[seq]]; e != nil && e.State < Failed && e.suspect == nil {
			e.suspect = n.newSuspicion(n.now)
		}
	}
	n.older, n.pings = n.pings, map[uint64]Incarnation{}
	for range len(n.sorted) + 1 {
		if len(n.order) == 0 {
			for _, e := range n.sorted {
				n.order = append(n.order, e.Incarnation)
			}
			n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
		}
		if len(n.order) == 0 {
			return
		}
		e := n.table[n.order[0]]
		n.order = n.order[1:]
		if e != nil && e.State < Failed && e.suspect == nil {
			n.ping(e)
			return
		}
	}
}

func (n *Node) ping(e *entry) {
	seq := n.number()
	n.pings[seq] = e.Incarnation
	n.send(Message{Kind: Ping, To: e.Addr, Target: e.Incarnation, Seq: seq})
}

// try goes on trying to reach a suspect, and gives the verdict when that was in vain for long enough. Nobody who gets
// no answer of others, or did not run, gives one.
func (n *Node) try(e *entry) {
	s := e.suspect
	if n.now >= s.tryAt {
		s.tryAt = n.now + tryEvery
		if s.tries++; s.tries == 1 || !n.opt.PlainSWIM {
			n.ping(e)
			taken := []string{}
			ask := helpers
			if s.tries > moreAfter {
				ask *= 2
			}
			for i := range ask {
				if i == helpers { // a second of each zone
					taken = slices.DeleteFunc(taken, func(x string) bool { return len(x) == 0 || x[0] != 0 })
				}
				h := n.pick(taken, func(x *entry) bool {
					return x != e && x.State < Failed && x.suspect == nil && !slices.Contains(taken, "\x00"+x.Addr)
				})
				if h == nil {
					break
				}
				taken = append(taken, h.Zone, "\x00"+h.Addr)
				n.send(Message{Kind: PingRequest, To: h.Addr, Target: h.Incarnation, Seq: n.number(), Subject: n.row(e)})
			}
		}
	}
	if !n.opt.PlainSWIM && (n.Isolated() || n.Unanswered()) { // it is we: what was tried meanwhile says nothing, also when it is over
		s.from, s.heard = n.now, 0
		clear(s.seconds)
		return
	}
	least := tryMost - (tryMost-tryLeast)*time.Duration(min(len(s.seconds), confirmers))/confirmers
	others := n.there() > 2
	switch {
	case n.now-s.from < least:
	case n.opt.PlainSWIM:
		n.fail(e, s.from, "", "no answer")
	case n.now < n.holdTo:
	case others && s.heard == 0: // whether it is they or we, we can't tell
	case !others && n.now-s.from < 2*tryMost:
	default:
		n.fail(e, s.from, "", "no answer")
	}
}

// fail gives or takes over a verdict.
func (n *Node) fail(e *entry, vainly time.Duration, by, why string) {
	e.vainly, e.suspect = vainly, nil
	n.set(e, Failed, by, why)
	n.spread(e)
}

// set changes a state and tells of it.
func (n *Node) set(e *entry, s State, by, why string) {
	if e.State == s {
		return
	}
	old := e.State
	if e.State = s; (old < Failed) != (s < Failed) {
		n.tally(e, s < Failed)
	}
	n.changes = append(n.changes, Change{Member: n.row(e), From: old, Reporter: by, Reason: why, SinceHeard: n.now - e.since})
	e.since, n.quietAt = n.now, n.now
}

// retry speaks to one that failed, and to an address of the list to join: after a cut, and where all that one knew are
// gone, somebody has to speak first.
func (n *Node) retry() {
	if e := n.pick(nil, func(e *entry) bool { return e.State == Failed }); e != nil {
		n.ping(e)
	}
	if len(n.opt.Join) > 0 {
		addr := n.opt.Join[n.rng.IntN(len(n.opt.Join))]
		known := slices.ContainsFunc(n.sorted, func(e *entry) bool { return e.Addr == addr && e.State < Failed })
		if addr != n.self.Addr && !known {
			n.send(Message{Kind: Ping, To: addr, Seq: n.number()})
		}
	}
}

// sync exchanges all rows with a member.
func (n *Node) sync(e *entry) {
	if e == nil || n.syncedAt > 0 && n.now-n.syncedAt < syncGap {
		n.syncAt = min(n.syncAt, n.now+syncGap)
		if e == nil {
			n.syncAt = n.now + syncGap
		}
		return
	}
	n.syncedAt = n.now
	n.syncAt = n.now + syncEvery/2 + time.Duration(n.rng.Int64N(int64(syncEvery)))
	n.send(Message{Kind: StateRequest, To: e.Addr, Target: e.Incarnation, Seq: n.number()})
}

func (n *Node) forget(e *entry) {
	if e.State < Failed {
		n.tally(e, false)
	}
	e.sends = 0
	delete(n.table, e.Incarnation)
	n.sorted = slices.DeleteFunc(n.sorted, func(x *entry) bool { return x == e })
}

// add takes a member in, unless there are as many as there may be. Those that failed or left make room.
func (n *Node) add(r MemberState) *entry {
	if r.Incarnation == 0 || len(r.Name) == 0 || len(r.Name) > longest || len(r.Addr) == 0 || len(r.Addr) > longest || len(r.Zone) > longest {
		return nil
	}
	if len(n.sorted)+1 >= n.opt.MaxMembers {
		i := slices.IndexFunc(n.sorted, func(e *entry) bool { return e.State >= Failed })
		if i < 0 {
			n.refused++
			return nil
		}
		n.forget(n.sorted[i])
	}
	e := &entry{MemberState: r, since: n.now}
	if r.State < Failed {
		n.tally(e, true)
	}
	i, _ := slices.BinarySearchFunc(n.sorted, r.Incarnation, func(e *entry, s Incarnation) int { return cmp.Compare(e.Incarnation, s) })
	n.table[r.Incarnation], n.sorted = e, slices.Insert(n.sorted, i, e)
	n.order = append(n.order, r.Incarnation)
	n.quietAt = n.now
	n.changes = append(n.changes, Change{Member: r, New: true})
	n.spread(e)
	return e
}

// Refused is the number of members for which there was no room.
func (n *Node) Rejected() int { return n.refused }

// Step takes a message. What is not of this fleet, or not meant for this start, says nothing of it.
func (n *Node) Step(now time.Duration, m Message) {
	n.advance(now)
	if m.Fleet != n.opt.Fleet || m.From.Incarnation == n.self.Incarnation || m.From.Incarnation == 0 || n.self.State == Left {
		return
	}
	e := n.table[m.From.Incarnation]
	if e != nil && m.From.Heartbeat+beatsBack <= e.Heartbeat {
		return // replayed
	}
	if e == nil && m.From.State >= Failed {
		return
	}
	if e == nil {
		if e = n.add(m.From); e == nil {
			return
		}
		if m.Kind != StateRequest && m.Kind != StateResponse {
			n.sync(e) // what it knows, and what it should
		}
	}
	n.heardAt = now
	n.alive(e, m.From, now, true)
	if m.ViewHash != n.view() && now-n.quietAt > unlikeFor && m.Kind != StateResponse && m.Kind != StateRequest {
		n.sync(e)
	}
	if m.Kind == StateResponse || m.Kind == StateRequest {
		n.adopt(append([]MemberState{m.From}, m.Members...))
	}
	for _, r := range m.Members {
		n.hear(r, m.From.Name)
	}
	switch m.Kind {
	case Ping:
		if m.Target != 0 && m.Target != n.self.Incarnation {
			n.send(Message{Kind: WrongIncarnation, To: m.From.Addr, Target: m.Target, Seq: m.Seq})
			return
		}
		n.send(Message{Kind: Ack, To: m.From.Addr, Target: m.From.Incarnation, Seq: m.Seq})
	case Ack:
		n.acked(m, e)
	case WrongIncarnation: // another start has its place
		if old := n.table[m.Target]; old != nil && old.State < Failed && m.From.Addr == old.Addr {
			n.fail(old, now, m.From.Name, "replaced by another start")
		}
	case PingRequest:
		n.errand(m)
	case Unreachable:
		if x := n.table[m.Subject.Incarnation]; x != nil && x.suspect != nil {
			x.suspect.seconds[m.From.Incarnation] = true
		}
		n.answered(e)
	case StateRequest:
		n.send(Message{Kind: StateResponse, To: m.From.Addr, Target: m.From.Incarnation, Seq: m.Seq})
	case StateResponse:
		n.answered(e)
	}
}

// errand tries to reach a member for another. What is known already is told at once.
func (n *Node) errand(m Message) {
	if m.Target != n.self.Incarnation || m.Subject.Incarnation == n.self.Incarnation {
		return
	}
	if e := n.table[m.Subject.Incarnation]; e != nil && e.State < Failed && n.now-e.heard < tryLeast {
		n.send(Message{Kind: Ack, To: m.From.Addr, Seq: m.Seq, Subject: n.row(e)})
	}
	same := func(r errand) bool { return r.about == m.Subject.Incarnation && r.addr == m.From.Addr }
	if len(n.errands) < errandsMost && !slices.ContainsFunc(n.errands, same) {
		n.errands = append(n.errands, errand{seq: n.number(), theirs: m.Seq, addr: m.From.Addr, about: m.Subject.Incarnation, to: m.Subject.Addr})
		n.runErrands()
	}
}

// answered notes that a member answered us: what we send arrives, and what is sent to us.
func (n *Node) answered(by *entry) {
	n.answerAt = n.now
	for _, x := range n.sorted {
		if x.suspect != nil && x != by {
			x.suspect.heard++
		}
	}
}

// acked takes an answer to a ping of ours, or one that another hands on.
func (n *Node) acked(m Message, from *entry) {
	if m.Subject.Incarnation != 0 && m.Subject.Incarnation != from.Incarnation { // handed on
		n.answered(from)
		if x := n.table[m.Subject.Incarnation]; x != nil {
			if x.suspect != nil {
				x.relayed = true
			}
			n.alive(x, m.Subject, n.now-m.Subject.Age, false)
		}
		return
	}
	if i := slices.IndexFunc(n.errands, func(r errand) bool { return r.seq == m.Seq }); i >= 0 {
		r := n.errands[i]
		n.errands = slices.Delete(n.errands, i, i+1)
		from.relayed = false
		n.send(Message{Kind: Ack, To: r.addr, Seq: r.theirs, Subject: n.row(from)})
		return
	}
	if n.pings[m.Seq] == from.Incarnation || n.older[m.Seq] == from.Incarnation {
		delete(n.pings, m.Seq)
		delete(n.older, m.Seq)
		from.relayed = false
	}
	n.answered(from)
}

// alive takes a sign of life as of a time.
func (n *Node) alive(e *entry, r MemberState, at time.Duration, direct bool) {
	if e.State == Left || r.Heartbeat <= e.Heartbeat && !(direct && e.heard == 0) {
		return
	}
	e.Heartbeat, e.heard = r.Heartbeat, max(e.heard, at)
	if e.suspect != nil && (direct || e.heard > e.suspect.from+slack) {
		e.suspect = nil
		for _, out := range []map[uint64]Incarnation{n.pings, n.older} {
			maps.DeleteFunc(out, func(_ uint64, s Incarnation) bool { return s == e.Incarnation })
		}
	}
	switch {
	case r.State == Left:
		n.set(e, Left, "", "it said so")
		n.spread(e)
	case e.State == Failed && e.heard > e.vainly+slack:
		was := e.since
		n.set(e, r.State, "", "heard again")
		n.spread(e)
		if direct && n.now-was > tryMost {
			n.sync(e) // there may be a whole side with it
		}
	case r.State == Draining && e.State == Alive:
		n.set(e, Draining, "", "it said so")
		n.spread(e)
	}
}

// hear takes what another tells of a member.
func (n *Node) hear(r MemberState, by string) {
	if r.Incarnation == n.self.Incarnation || r.Age < 0 || r.State > Left {
		return
	}
	e, at := n.table[r.Incarnation], n.now-r.Age
	if e == nil {
		if r.State < Failed && r.Age < forgetAfter || r.State == Failed && r.Settled {
			if e = n.add(r); e != nil && r.State == Failed {
				e.vainly = at
			} else if e != nil {
				e.heard = at
			}
		}
		return
	}
	switch {
	case r.State == Left && e.State != Left:
		n.set(e, Left, by, "it said so")
		n.spread(e)
	case r.State == Failed && e.State < Failed && !n.opt.PlainSWIM && e.heard > at+slack:
		n.spread(e) // it was heard since
	case r.State == Failed && e.State < Failed:
		n.fail(e, at, by, "told")
	case r.State < Failed:
		n.alive(e, r, at, false)
	}
}
