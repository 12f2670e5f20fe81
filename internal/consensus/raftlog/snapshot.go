package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/statemachine"
)

// installSnapshot replaces the state and the log with a snapshot.
func (v *Voter) installSnapshot(snapshot *pb.Snapshot) error {
	state, err := statemachine.Restore(snapshot.Data)
	if err != nil || state.Index != snapshot.GetMetadata().GetIndex() {
		return fmt.Errorf("%w: the snapshot at index %d: %w", ErrInconsistentLog, snapshot.GetMetadata().GetIndex(), err)
	}
	state.InjectedFaults = v.options.InjectedFaults
	if err := v.storage.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("%w: %w", ErrInconsistentLog, err)
	}
	v.state = state
	v.confState = snapshot.GetMetadata().GetConfState()
	v.snapshotIndex = state.Index
	v.bytesSinceSnapshot = 0
	v.trackRenewals()
	return nil
}

// compact makes a snapshot and truncates the log when the log has grown to its limit.
func (v *Voter) compact() {
	entries := v.state.Index - v.snapshotIndex
	isSmall := entries < uint64(v.options.CompactionEntries) && v.bytesSinceSnapshot < compactionBytes
	if entries == 0 || isSmall {
		return
	}
	data, err := v.state.Encode()
	if err != nil {
		panic(err) // a bug: the limits of its parts keep the state within MaxSnapshotBytes
	}
	snapshot, err := v.storage.CreateSnapshot(v.state.Index, v.confState, data)
	if err != nil {
		panic(err)
	}
	upTo := v.state.Index
	if v.bytesSinceSnapshot < compactionBytes {
		upTo -= min(upTo, v.retainedEntries())
	}
	if first, _ := v.storage.FirstIndex(); upTo >= first {
		v.storage.Compact(upTo)
	}
	v.localSnapshot, v.snapshotIndex, v.bytesSinceSnapshot = snapshot, v.state.Index, 0
}

// retainedEntries returns how many entries stay in the log at a compaction.
func (v *Voter) retainedEntries() uint64 {
	return uint64(v.options.CompactionEntries) / retainedFraction
}

// snapshotStorage gives raft a snapshot of all applied entries, not the latest stored one. A snapshot from before a learner
// was added does not name the learner, and raft at the learner would reject it.
type snapshotStorage struct {
	*raft.MemoryStorage
	voter *Voter
}

// Snapshot returns the snapshot to send to a voter that lags too far or joins.
func (s snapshotStorage) Snapshot() (*pb.Snapshot, error) {
	stored, err := s.MemoryStorage.Snapshot()
	if err != nil || stored.GetMetadata().GetIndex() >= s.voter.state.Index {
		return stored, err
	}
	term, err := s.Term(s.voter.state.Index)
	if err != nil {
		return stored, nil
	}
	data, err := s.voter.state.Encode()
	if err != nil {
		return nil, err
	}
	metadata := &pb.SnapshotMetadata{ConfState: s.voter.confState, Index: new(s.voter.state.Index), Term: new(term)}
	return &pb.Snapshot{Data: data, Metadata: metadata}, nil
}
