package membership

// LiveShare returns the share of the last settled view that is reachable, as far as this side knows. With a half or
// less this node may be on the minority side of a partition. Members that left on their own count as reachable.
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

// Size returns the number of gateways to assume when a budget is divided. It grows at once. It shrinks only by members
// that left, or have been failed for removalDelay, and only on a side with more than half of the last settled view.
func (n *Node) Size() int { return n.size }

// BudgetShare returns the share of a fleet-wide budget that this gateway may use. The shares of all gateways never sum
// to more than 1, also during a partition: a side with less than half of the last settled view uses nothing after
// minorityTimeout, and the other side shrinks, and so uses more, only after removalDelay, which is longer than it takes
// to detect a partition plus minorityTimeout. With exactly half, neither side shrinks and both go on. A node that
// starts, returns from a minority side, or was suspended for minorityTimeout waits until all others count it again. A
// node that has met nobody yet uses nothing.
func (n *Node) BudgetShare() float64 {
	inMinority := n.minoritySince > 0 && n.now-n.minoritySince >= minorityTimeout
	if !n.joined || n.now < n.noBudgetBefore || inMinority {
		return 0
	}
	return 1 / float64(n.size)
}

// updateSize maintains Size, BudgetShare and the settled view. A view settles once nothing has changed for settleDelay
// on a side that holds more than half of the previous view, so that of two sides at most one moves on to a new view.
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

// updateMinority records since when this node may be on the minority side of a partition.
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

// adoptView adopts the settled view of the first member that sends its full state: a node that starts on the minority
// side of a partition must know that it does.
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
