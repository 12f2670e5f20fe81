package raftlog

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/statemachine"
)

// Options configure a voter.
type Options struct {
	ClusterID         uint64 // as returned by Bootstrap
	ID                uint64 // see quorum.Gateway.ID; a start without the voter's disk needs a new one
	Seed              uint64 // for random election timeouts; a new one is drawn at each start of the process
	CompactionEntries int    // entries in the log before it is compacted; 0 means 1024
	InjectedFaults    statemachine.InjectedFaults
	// OnApply, if not nil, is called with every log entry when it is applied here; data is empty for raft's own entries.
	// It is not called for entries that a snapshot replaces.
	OnApply func(index uint64, data []byte)
}

// PersistedState is the state that a voter starts from: empty, the result of Bootstrap, or the state that a store loaded.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // after the snapshot, without a gap
}

// Update is the change of a voter's state to persist before Advance is called. If Compacted is set, Snapshot was made
// locally: the entries up to its index may be deleted, and later ones stay. Otherwise Snapshot, if not nil, came from the
// leader and replaces all entries.
type Update struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // they replace all stored entries from the index of the first one on
	Compacted bool
	MustSync  bool // must be on the disk before Advance; otherwise it may be written later
}

// Bootstrap returns the state that every voter of a new cluster starts from, and the cluster's ID. It must be called only
// for the first start of a cluster, with the same identities at every voter; a voter that joins later starts from an empty
// PersistedState.
func Bootstrap(ids []uint64) (clusterID uint64, state PersistedState, err error) {
	ids = slices.Sorted(slices.Values(ids))
	hash := fnv.New64a()
	for _, id := range ids {
		hash.Write(binary.BigEndian.AppendUint64(nil, id))
	}
	initial := statemachine.New()
	initial.Apply(1, nil)
	data, err := initial.Encode()
	if err != nil {
		return 0, PersistedState{}, err
	}
	confState := pb.EnsureConfState(&pb.ConfState{Voters: ids})
	metadata := &pb.SnapshotMetadata{ConfState: confState, Index: new(uint64(1)), Term: new(uint64(1))}
	state = PersistedState{
		Snapshot:  &pb.Snapshot{Data: data, Metadata: metadata},
		HardState: &pb.HardState{Term: new(uint64(1)), Vote: new(uint64), Commit: new(uint64(1))},
	}
	return max(hash.Sum64(), 1), state, nil
}
