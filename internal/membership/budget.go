package membership

// LiveShare returns the share of the last settled view that is reachable, as far as this node knows. The settled view is
// the set of live gateways when the view last settled (see updateSize). Below a half, this node may be on the minority
// side of a partition; at exactly a half, the view no longer settles. Members that announced that they left count as
// reachable while they are in the table.
func (n *Node) LiveShare() float64 {
	reachable := 0
	for incarnation := range n.settledView {
		member := n.table[incarnation]
		if incarnation == n.self.Incarnation || !n.Isolated() && member != nil && member.State != Failed {
			reachable++
		}
	}
	return float64(reachable) / float64(len(n.settledView))
}

// Size returns the number of gateways to assume when a budget is divided. It grows as soon as a member is added. It
// shrinks only by members that left or that failed at least removalDelay ago, and only on a side of a partition that
// holds more than half of the last settled view.
func (n *Node) Size() int { return n.size }

// BudgetShare returns the share of a fleet-wide budget that this gateway may use. The shares of all gateways never sum to
// more than 1, also during a partition: a side with less than half of the last settled view uses nothing after
// minorityTimeout, as does a node that is isolated or gets no answers. The other side reduces its Size, which increases
// its shares, only after removalDelay, which is longer than minorityTimeout plus the time to detect a partition. If each
// side holds exactly half, neither reduces its Size and both continue to use their shares.
//
// A node that joins, returns from a minority side after minorityTimeout, or was suspended for minorityTimeout uses
// nothing for a fixed time, in which the others are to count it again: minorityTimeout, or twice that after a suspension.
// A node that has not yet received another member's full state uses nothing either, unless it has no address of another
// gateway to contact.
func (n *Node) BudgetShare() float64 {
	inMinority := n.minoritySince > 0 && n.now-n.minoritySince >= minorityTimeout
	if !n.joined || n.now < n.noBudgetBefore || inMinority {
		return 0
	}
	return 1 / float64(n.size)
}

// updateSize updates the settled view and the values behind Size and BudgetShare. A view settles when nothing has changed
// for settleDelay on a side that holds more than half of the previous settled view, so that at most one side of a
// partition gets a new settled view.
func (n *Node) updateSize() {
	live := n.liveMembers()
	share := n.LiveShare()
	cutOff := n.Isolated() || n.Unanswered()
	n.size = max(n.size, live)
	n.updateMinority(cutOff || share < 0.5)
	if cutOff || share <= 0.5 || !n.joined || n.now-n.lastChange < settleDelay {
		return
	}
	for _, member := range n.members {
		recentlyFailed := member.State == Failed && n.now-member.stateSince < removalDelay
		if member.suspicion != nil || recentlyFailed {
			return
		}
	}
	n.size = live
	clear(n.settledView)
	n.settledView[n.self.Incarnation] = true
	for _, member := range n.members {
		if member.State < Failed {
			n.settledView[member.Incarnation] = true
		}
	}
}

// updateMinority records in minoritySince since when this node may be on the minority side of a partition; 0 means that
// it is not. A node that is isolated or gets no answers is treated in the same way.
func (n *Node) updateMinority(minority bool) {
	if minority && n.minoritySince == 0 {
		n.minoritySince = n.now
	}
	if !minority && n.minoritySince > 0 {
		if n.now-n.minoritySince >= minorityTimeout {
			n.noBudgetBefore = n.now + minorityTimeout
		}
		n.minoritySince = 0
	}
}

// adoptView adopts the settled view of the first member that sends its full state, so that a node that starts on the
// minority side of a partition recognises this.
func (n *Node) adoptView(members []MemberState) {
	if n.joined {
		return
	}
	n.joined = true
	n.noBudgetBefore = n.now + minorityTimeout
	for _, member := range members {
		if member.Settled && member.Incarnation != n.self.Incarnation && len(n.settledView) < n.options.MaxMembers {
			n.settledView[member.Incarnation] = true
		}
	}
}
