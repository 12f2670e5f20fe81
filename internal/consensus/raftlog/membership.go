package raftlog

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// ReplaceVoter takes the next step of replacing the voter remove with add, if this voter leads: first add becomes a
// learner; when it has caught up, one joint-consensus change makes it a voter and removes remove. It is called
// repeatedly, also at a new leader, until Status shows the replacement complete. If add is 0, no gateway can join, and
// ReplaceVoter does nothing, because a smaller cluster would not tolerate more failures.
func (v *Voter) ReplaceVoter(add, remove uint64) (err error) {
	if v.err != nil || add == 0 || !v.IsLeader() || len(v.confState.GetVotersOutgoing()) > 0 {
		return v.err
	}
	defer v.recoverPanic(&err)
	changes := v.nextConfChange(add, remove)
	if changes == nil {
		return nil
	}
	return v.rawNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes})
}

// nextConfChange returns the next change to propose for ReplaceVoter, nil if there is none. A learner of an abandoned
// replacement is removed first.
func (v *Voter) nextConfChange(add, remove uint64) []*pb.ConfChangeSingle {
	voters, learners := v.confState.GetVoters(), v.confState.GetLearners()
	abandoned := slices.IndexFunc(learners, func(id uint64) bool { return id != add })
	switch {
	case abandoned >= 0:
		return []*pb.ConfChangeSingle{confChange(pb.ConfChangeRemoveNode, learners[abandoned])}
	case !slices.Contains(voters, remove) || slices.Contains(voters, add):
		return nil
	case !slices.Contains(learners, add):
		return []*pb.ConfChangeSingle{confChange(pb.ConfChangeAddLearnerNode, add)}
	case !v.hasCaughtUp(add):
		return nil
	}
	return []*pb.ConfChangeSingle{confChange(pb.ConfChangeAddNode, add), confChange(pb.ConfChangeRemoveNode, remove)}
}

// hasCaughtUp reports whether a learner is active and lags by no more entries than a compaction retains.
func (v *Voter) hasCaughtUp(id uint64) bool {
	progress, ok := v.rawNode.Status().Progress[id]
	if !ok || progress.State != tracker.StateReplicate || !progress.RecentActive {
		return false
	}
	return progress.Match+v.retainedEntries() >= v.state.Index
}

// confChange returns a change of one voter or learner.
func confChange(changeType pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: changeType.Enum(), NodeId: new(id)}
}
