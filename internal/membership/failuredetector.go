package membership

import (
	"maps"
	"slices"
	"time"
)

// suspicion records this node's attempts to reach a member that left a probe unanswered.
type suspicion struct {
	since          time.Duration // start of the suspicion, or the last time at which earlier evidence was discarded
	nextAttempt    time.Duration
	attempts       int
	confirmedBy    map[Incarnation]bool // helpers that reported Unreachable
	othersAnswered int                  // answers from other members since then
}

// relay is the work on one PingRequest: this node pings the subject on behalf of the requester.
type relay struct {
	seq          uint64      // of the pings
	requesterSeq uint64      // of the PingRequest
	requester    string      // address of the member that sent the PingRequest
	subject      Incarnation // the member to ping
	subjectAddr  string
	attempts     int
	nextAttempt  time.Duration // time of the next ping or, after the last one, of the report
}

// advance moves the clock. A jump by more than stallThreshold means that this process was suspended, so that missing answers
// are no evidence against other members: suspicions start over, and no member is declared failed until the others have had
// time to send messages. Options.PlainSWIM switches this rule off.
func (n *Node) advance(now time.Duration) {
	gap := now - n.now
	n.now = max(n.now, now)
	if gap <= stallThreshold || n.options.PlainSWIM {
		return
	}
	n.lastHeard = now
	n.lastAnswer = now
	n.noFailuresBefore = now + maxSuspicionTimeout
	if gap >= minorityTimeout { // the others may have removed this node from their settled views
		n.noBudgetBefore = now + 2*minorityTimeout
	}
	for _, e := range n.members {
		if e.suspicion != nil {
			e.suspicion = n.newSuspicion(now)
		}
	}
}

// newSuspicion returns a suspicion that starts at the time from.
func (n *Node) newSuspicion(from time.Duration) *suspicion {
	return &suspicion{since: from, confirmedBy: map[Incarnation]bool{}}
}

// Tick advances time. It must be called at least every 100 ms.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	if n.self.State == Left {
		return
	}
	if now >= n.nextProbe {
		n.nextProbe = max(n.nextProbe+n.options.ProbeInterval, now)
		n.probe()
		n.updateSize()
	}
	for _, e := range slices.Clone(n.members) {
		if e.suspicion != nil {
			n.checkSuspect(e)
		} else if e.State >= Failed && now-e.stateSince >= forgetDelay {
			n.removeMember(e)
		}
	}
	n.runRelays()
	if now >= n.nextReconnect {
		n.nextReconnect = now + reconnectInterval
		n.reconnect()
	}
	if now >= n.nextSync {
		n.sync(n.pickMember(nil, func(e *entry) bool { return e.State < Failed }))
	}
}

// runRelays repeats the pings on behalf of other members and reports the members that did not answer.
func (n *Node) runRelays() {
	remaining := n.relays[:0]
	for _, relay := range n.relays {
		if n.now < relay.nextAttempt {
			remaining = append(remaining, relay)
			continue
		}
		if relay.attempts < relayAttempts {
			relay.attempts++
			relay.nextAttempt = n.now + relayRetryInterval
			n.send(Message{Kind: Ping, To: relay.subjectAddr, Target: relay.subject, Seq: relay.seq})
			remaining = append(remaining, relay)
			continue
		}
		if subject := n.table[relay.subject]; subject != nil {
			n.send(Message{Kind: Unreachable, To: relay.requester, Seq: relay.requesterSeq, Subject: n.memberState(subject)})
		}
	}
	n.relays = remaining
}

// probe pings the next member in turn. A member that has not answered a probe within two intervals becomes a suspect.
func (n *Node) probe() {
	for _, seq := range slices.Sorted(maps.Keys(n.previousProbes)) {
		if e := n.table[n.previousProbes[seq]]; e != nil && e.State < Failed && e.suspicion == nil {
			e.suspicion = n.newSuspicion(n.now)
		}
	}
	n.previousProbes, n.pendingProbes = n.pendingProbes, map[uint64]Incarnation{}
	for range len(n.members) + 1 {
		if len(n.probeOrder) == 0 {
			for _, e := range n.members {
				n.probeOrder = append(n.probeOrder, e.Incarnation)
			}
			n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
		}
		if len(n.probeOrder) == 0 {
			return
		}
		e := n.table[n.probeOrder[0]]
		n.probeOrder = n.probeOrder[1:]
		if e != nil && e.State < Failed && e.suspicion == nil {
			n.ping(e)
			return
		}
	}
}

// ping probes one member.
func (n *Node) ping(e *entry) {
	seq := n.nextSeq()
	n.pendingProbes[seq] = e.Incarnation
	n.send(Message{Kind: Ping, To: e.Addr, Target: e.Incarnation, Seq: seq})
}

// checkSuspect probes a suspect again and declares it failed when its suspicion has expired. A node that gets no answers
// from other members, or was suspended shortly before, declares no member failed. Options.PlainSWIM switches this rule and the repeated
// probes off.
func (n *Node) checkSuspect(member *entry) {
	suspicion := member.suspicion
	if n.now >= suspicion.nextAttempt {
		suspicion.nextAttempt = n.now + suspectRetryInterval
		suspicion.attempts++
		if suspicion.attempts == 1 || !n.options.PlainSWIM {
			n.probeSuspect(member)
		}
	}
	if !n.options.PlainSWIM && (n.Isolated() || n.Unanswered()) { // the fault may be on this node's side: earlier attempts are no evidence
		suspicion.since = n.now
		suspicion.othersAnswered = 0
		clear(suspicion.confirmedBy)
		return
	}
	if n.suspicionExpired(suspicion) {
		n.markFailed(member, suspicion.since, "", "no answer")
	}
}

// probeSuspect pings a suspect directly and through helpers, which are in different zones if possible. After widenAfterAttempts
// attempts it asks twice as many helpers, whose zones may repeat.
func (n *Node) probeSuspect(member *entry) {
	n.ping(member)
	probes := indirectProbes
	if member.suspicion.attempts > widenAfterAttempts {
		probes *= 2
	}
	var usedZones []string
	usedAddrs := map[string]bool{}
	for i := range probes {
		if i == indirectProbes { // a second helper of each zone
			usedZones = nil
		}
		helper := n.pickMember(usedZones, func(candidate *entry) bool {
			return candidate != member && candidate.State < Failed && candidate.suspicion == nil && !usedAddrs[candidate.Addr]
		})
		if helper == nil {
			return
		}
		usedZones = append(usedZones, helper.Zone)
		usedAddrs[helper.Addr] = true
		n.send(Message{Kind: PingRequest, To: helper.Addr, Target: helper.Incarnation, Seq: n.nextSeq(), Subject: n.memberState(member)})
	}
}

// suspicionExpired reports whether a suspicion has lasted long enough to declare the member failed. Confirmations by
// helpers shorten the timeout.
func (n *Node) suspicionExpired(s *suspicion) bool {
	confirmations := time.Duration(min(len(s.confirmedBy), maxConfirmations))
	timeout := maxSuspicionTimeout - (maxSuspicionTimeout-minSuspicionTimeout)*confirmations/maxConfirmations
	lasted := n.now - s.since
	switch {
	case lasted < timeout:
		return false
	case n.options.PlainSWIM:
		return true
	case n.now < n.noFailuresBefore:
		return false
	case n.liveMembers() > 2:
		return s.othersAnswered > 0 // without an answer, this node itself may be the one that is cut off
	}
	return lasted >= 2*maxSuspicionTimeout // the suspect is the only other live member, so no other one can answer
}

// reconnect pings one failed member and one of the join addresses. Live members only probe members that they consider
// live, so without these pings the sides of a partition, and a node that knows no live member, would not find the others.
func (n *Node) reconnect() {
	if member := n.pickMember(nil, func(member *entry) bool { return member.State == Failed }); member != nil {
		n.ping(member)
	}
	if len(n.options.Join) > 0 {
		addr := n.options.Join[n.rng.IntN(len(n.options.Join))]
		known := slices.ContainsFunc(n.members, func(member *entry) bool { return member.Addr == addr && member.State < Failed })
		if addr != n.self.Addr && !known {
			n.send(Message{Kind: Ping, To: addr, Seq: n.nextSeq()})
		}
	}
}
