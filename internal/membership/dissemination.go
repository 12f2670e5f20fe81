package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// nextSeq returns a new sequence number.
func (n *Node) nextSeq() uint64 {
	n.seq++
	return n.seq
}

// send queues a message together with the member states that need dissemination most.
func (n *Node) send(m Message) {
	n.self.Heartbeat++
	m.Fleet = n.options.Fleet
	m.From = n.self
	if m.Kind == StateRequest || m.Kind == StateResponse {
		m.From.Settled = n.settledView[n.self.Incarnation]
		m.Members = n.Members()
	} else {
		overhead := messageOverheadBytes + len(m.Fleet) + memberBytes(m.From) + memberBytes(m.Subject)
		m.Members = n.pickGossip(MaxDatagram - overhead)
	}
	m.ViewHash = n.viewHash()
	n.outbox = append(n.outbox, m)
}

// viewHash identifies the set of members that this node considers live.
func (n *Node) viewHash() uint64 { return n.liveHash + hashIncarnation(n.self.Incarnation) }

// hashIncarnation hashes an incarnation with splitmix64's finalizer. The sums of the hashes of different sets differ with high probability.
func hashIncarnation(incarnation Incarnation) uint64 {
	x := uint64(incarnation)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// memberBytes returns an upper bound for the encoded size of a member's state.
func memberBytes(m MemberState) int {
	return memberOverheadBytes + len(m.Name) + len(m.Zone) + len(m.Addr)
}

// pickGossip returns the member states that were sent least often, as many as fit into bytesLeft, and counts them as sent.
func (n *Node) pickGossip(bytesLeft int) (members []MemberState) {
	candidates := n.disseminating
	slices.SortStableFunc(candidates, func(a, b *entry) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	for _, member := range candidates[:min(len(candidates), maxGossipMembers)] {
		bytesLeft -= memberBytes(member.MemberState)
		if bytesLeft < 0 {
			break
		}
		member.transmitsLeft--
		state := n.memberState(member)
		state.Settled = false
		members = append(members, state)
	}
	n.disseminating = slices.DeleteFunc(candidates, func(member *entry) bool { return member.transmitsLeft <= 0 })
	return members
}

// disseminate attaches a member's state to the next messages.
func (n *Node) disseminate(member *entry) {
	if member.transmitsLeft <= 0 {
		n.disseminating = append(n.disseminating, member)
	}
	fleetSize := float64(len(n.members) + 1)
	member.transmitsLeft = int(math.Ceil(retransmitFactor * max(1, math.Log10(fleetSize))))
}

// sync exchanges the full state with a member, at most once in minSyncInterval. If that is too early, or member is nil, it
// schedules another exchange.
func (n *Node) sync(member *entry) {
	if member == nil || n.lastSync > 0 && n.now-n.lastSync < minSyncInterval {
		n.nextSync = min(n.nextSync, n.now+minSyncInterval)
		if member == nil {
			n.nextSync = n.now + minSyncInterval
		}
		return
	}
	n.lastSync = n.now
	n.nextSync = n.now + syncInterval/2 + time.Duration(n.rng.Int64N(int64(syncInterval)))
	n.send(Message{Kind: StateRequest, To: member.Addr, Target: member.Incarnation, Seq: n.nextSeq()})
}
