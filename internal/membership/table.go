package membership

import (
	"cmp"
	"slices"
	"time"
)

// entry is one member in the table.
type entry struct {
	MemberState                    // its Age is unused; see memberState
	lastHeard        time.Duration // latest sign of life, received by this node or reported
	stateSince       time.Duration // time of the last change of its state
	unreachableSince time.Duration // of a failed member: time of its first unanswered probe
	transmitsLeft    int           // number of further messages to which its state is attached
	suspicion        *suspicion
	indirect         bool // its last answer reached this node only through another member
}

// liveMembers returns the number of members that have neither failed nor left, including this one.
func (n *Node) liveMembers() int { return 1 + n.liveOthers }

// countLive counts a member as live, or as no longer live.
func (n *Node) countLive(member *entry, live bool) {
	if live {
		n.liveOthers++
		n.liveHash += hashIncarnation(member.Incarnation)
	} else {
		n.liveOthers--
		n.liveHash -= hashIncarnation(member.Incarnation)
	}
}

// addMember adds a member to the table. If the table is full, a member that failed or left is evicted. addMember returns
// nil if the state is invalid or the table is full of live members.
func (n *Node) addMember(state MemberState) *entry {
	if state.Incarnation == 0 || state.Name == "" || state.Addr == "" {
		return nil
	}
	if max(len(state.Name), len(state.Addr), len(state.Zone)) > maxNameBytes {
		return nil
	}
	if len(n.members)+1 >= n.options.MaxMembers {
		i := slices.IndexFunc(n.members, func(member *entry) bool { return member.State >= Failed })
		if i < 0 {
			n.rejected++
			return nil
		}
		n.removeMember(n.members[i])
	}
	member := &entry{MemberState: state, stateSince: n.now}
	if state.State < Failed {
		n.countLive(member, true)
	}
	i, _ := slices.BinarySearchFunc(n.members, state.Incarnation, func(member *entry, incarnation Incarnation) int {
		return cmp.Compare(member.Incarnation, incarnation)
	})
	n.table[state.Incarnation] = member
	n.members = slices.Insert(n.members, i, member)
	n.probeOrder = append(n.probeOrder, state.Incarnation)
	n.lastChange = n.now
	n.changes = append(n.changes, Change{Member: state, New: true})
	n.disseminate(member)
	return member
}

// removeMember removes a member from the table.
func (n *Node) removeMember(member *entry) {
	if member.State < Failed {
		n.countLive(member, false)
	}
	member.transmitsLeft = 0
	delete(n.table, member.Incarnation)
	n.members = slices.DeleteFunc(n.members, func(other *entry) bool { return other == member })
}

// markFailed records that a member has failed, as declared by this node or reported by another member.
func (n *Node) markFailed(member *entry, unreachableSince time.Duration, reporter, reason string) {
	member.unreachableSince = unreachableSince
	member.suspicion = nil
	n.setState(member, Failed, reporter, reason)
	n.disseminate(member)
}

// setState changes a member's state and records the change.
func (n *Node) setState(member *entry, state State, reporter, reason string) {
	if member.State == state {
		return
	}
	old := member.State
	member.State = state
	wasLive, isLive := old < Failed, state < Failed
	if wasLive != isLive {
		n.countLive(member, isLive)
	}
	n.changes = append(n.changes, Change{Member: n.memberState(member), From: old, Reporter: reporter, Reason: reason,
		SinceLastChange: n.now - member.stateSince})
	member.stateSince = n.now
	n.lastChange = n.now
}

// pickMember returns a random member that accept allows, preferably from a zone that is not among usedZones. It returns
// nil if there is none.
func (n *Node) pickMember(usedZones []string, accept func(*entry) bool) *entry {
	var preferred, fallback []*entry
	for _, member := range n.members {
		if !accept(member) {
			continue
		}
		if slices.Contains(usedZones, member.Zone) {
			fallback = append(fallback, member)
		} else {
			preferred = append(preferred, member)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) == 0 {
		return nil
	}
	return preferred[n.rng.IntN(len(preferred))]
}
