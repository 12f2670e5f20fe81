package membership

import (
	"maps"
	"slices"
	"time"
)

// Step processes a message. Messages of another fleet, replays, and messages after Leave are ignored.
func (n *Node) Step(now time.Duration, m Message) {
	n.advance(now)
	if m.Fleet != n.options.Fleet || m.From.Incarnation == n.self.Incarnation || m.From.Incarnation == 0 || n.self.State == Left {
		return
	}
	sender := n.table[m.From.Incarnation]
	if sender != nil && m.From.Heartbeat+heartbeatWindow <= sender.Heartbeat {
		return // replayed
	}
	fullState := m.Kind == StateRequest || m.Kind == StateResponse
	if sender == nil {
		sender = n.addSender(m, fullState)
		if sender == nil {
			return
		}
	}
	n.lastHeard = now
	n.recordAlive(sender, m.From, now, true)
	if m.ViewHash != n.viewHash() && now-n.lastChange > viewMismatchDelay && !fullState {
		n.sync(sender)
	}
	if fullState {
		n.adoptView(append([]MemberState{m.From}, m.Members...))
	}
	for _, update := range m.Members {
		n.handleGossip(update, m.From.Name)
	}
	n.handle(m, sender)
}

// addSender adds the sender of a message to the table and exchanges the full state with it. It returns nil if the sender
// has left or could not be added.
func (n *Node) addSender(m Message, fullState bool) *entry {
	if m.From.State >= Failed {
		return nil
	}
	sender := n.addMember(m.From)
	if sender != nil && !fullState {
		n.sync(sender)
	}
	return sender
}

// handle acts on a message by its kind.
func (n *Node) handle(m Message, sender *entry) {
	switch m.Kind {
	case Ping:
		if m.Target != 0 && m.Target != n.self.Incarnation {
			n.send(Message{Kind: WrongIncarnation, To: m.From.Addr, Target: m.Target, Seq: m.Seq})
			return
		}
		n.send(Message{Kind: Ack, To: m.From.Addr, Target: m.From.Incarnation, Seq: m.Seq})
	case Ack:
		n.handleAck(m, sender)
	case WrongIncarnation: // another incarnation listens at the target's address
		old := n.table[m.Target]
		if old != nil && old.State < Failed && m.From.Addr == old.Addr {
			n.markFailed(old, n.now, m.From.Name, "replaced by another incarnation")
		}
	case PingRequest:
		n.handlePingRequest(m)
	case Unreachable:
		subject := n.table[m.Subject.Incarnation]
		if subject != nil && subject.suspicion != nil {
			subject.suspicion.confirmedBy[m.From.Incarnation] = true
		}
		n.recordAnswer(sender)
	case StateRequest:
		n.send(Message{Kind: StateResponse, To: m.From.Addr, Target: m.From.Incarnation, Seq: m.Seq})
	case StateResponse:
		n.recordAnswer(sender)
	}
}

// handlePingRequest pings a member on behalf of the sender. If this node already has a recent sign of life of the member,
// it also reports that at once.
func (n *Node) handlePingRequest(m Message) {
	if m.Target != n.self.Incarnation || m.Subject.Incarnation == n.self.Incarnation {
		return
	}
	if e := n.table[m.Subject.Incarnation]; e != nil && e.State < Failed && n.now-e.lastHeard < minSuspicionTimeout {
		n.send(Message{Kind: Ack, To: m.From.Addr, Seq: m.Seq, Subject: n.memberState(e)})
	}
	sameRelay := func(other relay) bool {
		return other.subject == m.Subject.Incarnation && other.requester == m.From.Addr
	}
	if len(n.relays) < maxRelays && !slices.ContainsFunc(n.relays, sameRelay) {
		n.relays = append(n.relays, relay{seq: n.nextSeq(), requesterSeq: m.Seq, requester: m.From.Addr,
			subject: m.Subject.Incarnation, subjectAddr: m.Subject.Addr})
		n.runRelays()
	}
}

// recordAnswer records that a member answered this node, which shows that messages arrive in both directions. The answer
// counts in the suspicions of all other members.
func (n *Node) recordAnswer(sender *entry) {
	n.lastAnswer = n.now
	for _, member := range n.members {
		if member.suspicion != nil && member != sender {
			member.suspicion.othersAnswered++
		}
	}
}

// handleAck processes the answer to one of this node's pings, or an answer that another member relays.
func (n *Node) handleAck(m Message, from *entry) {
	if m.Subject.Incarnation != 0 && m.Subject.Incarnation != from.Incarnation { // relayed
		n.recordAnswer(from)
		if subject := n.table[m.Subject.Incarnation]; subject != nil {
			if subject.suspicion != nil {
				subject.indirect = true
			}
			n.recordAlive(subject, m.Subject, n.now-m.Subject.Age, false)
		}
		return
	}
	if i := slices.IndexFunc(n.relays, func(relay relay) bool { return relay.seq == m.Seq }); i >= 0 {
		relay := n.relays[i]
		n.relays = slices.Delete(n.relays, i, i+1)
		from.indirect = false
		n.send(Message{Kind: Ack, To: relay.requester, Seq: relay.requesterSeq, Subject: n.memberState(from)})
		return
	}
	if n.pendingProbes[m.Seq] == from.Incarnation || n.previousProbes[m.Seq] == from.Incarnation {
		delete(n.pendingProbes, m.Seq)
		delete(n.previousProbes, m.Seq)
		from.indirect = false
	}
	n.recordAnswer(from)
}

// recordAlive records a sign of life that a member gave at the time at. If direct is true, this node received it from the
// member itself.
func (n *Node) recordAlive(member *entry, update MemberState, at time.Duration, direct bool) {
	if member.State == Left || update.Heartbeat <= member.Heartbeat && !(direct && member.lastHeard == 0) {
		return
	}
	member.Heartbeat = update.Heartbeat
	member.lastHeard = max(member.lastHeard, at)
	if member.suspicion != nil && (direct || member.lastHeard > member.suspicion.since+ageTolerance) {
		member.suspicion = nil
		for _, probes := range []map[uint64]Incarnation{n.pendingProbes, n.previousProbes} {
			maps.DeleteFunc(probes, func(_ uint64, probed Incarnation) bool { return probed == member.Incarnation })
		}
	}
	switch {
	case update.State == Left:
		n.setState(member, Left, "", "announced")
		n.disseminate(member)
	case member.State == Failed && member.lastHeard > member.unreachableSince+ageTolerance:
		failedAt := member.stateSince
		n.setState(member, update.State, "", "heard again")
		n.disseminate(member)
		if direct && n.now-failedAt > maxSuspicionTimeout {
			n.sync(member) // other members may have become reachable with it, after a partition
		}
	case update.State == Draining && member.State == Alive:
		n.setState(member, Draining, "", "announced")
		n.disseminate(member)
	}
}

// handleGossip processes the state of a member that another member reports.
func (n *Node) handleGossip(update MemberState, reporter string) {
	if update.Incarnation == n.self.Incarnation || update.Age < 0 || update.State > Left {
		return
	}
	member := n.table[update.Incarnation]
	at := n.now - update.Age
	if member == nil {
		n.addReported(update, at)
		return
	}
	switch {
	case update.State == Left && member.State != Left:
		n.setState(member, Left, reporter, "announced")
		n.disseminate(member)
	case update.State == Failed && member.State < Failed && !n.options.PlainSWIM && member.lastHeard > at+ageTolerance:
		n.disseminate(member) // the report is outdated: the member has given a sign of life since
	case update.State == Failed && member.State < Failed:
		n.markFailed(member, at, reporter, "reported")
	case update.State < Failed:
		n.recordAlive(member, update, at, false)
	}
}

// addReported adds a member that another member reports, if it was alive recently or is a failed member of the reporter's
// settled view.
func (n *Node) addReported(update MemberState, at time.Duration) {
	recentlyAlive := update.State < Failed && update.Age < forgetDelay
	failedInView := update.State == Failed && update.Settled
	if !recentlyAlive && !failedInView {
		return
	}
	member := n.addMember(update)
	if member == nil {
		return
	}
	if update.State == Failed {
		member.unreachableSince = at
	} else {
		member.lastHeard = at
	}
}
