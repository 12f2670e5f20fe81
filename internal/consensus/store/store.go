// Package store persists the state of a voter: in a bbolt file if the operator configures a folder (File), or only in
// memory (Memory), in which case a restarted process is a new voter.
package store

import (
	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/raftlog"
)

// Store persists the Updates of a voter. After an error the voter can't go on: the caller must not call Advance or send
// anything, and must restart the voter from Load or under a new identity.
type Store interface {
	Load() (raftlog.PersistedState, error)
	Save(raftlog.Update) error
	Close() error
}

// Memory keeps a voter's state in memory, as long as the process runs. The zero value is empty.
type Memory struct{ state raftlog.PersistedState }

// NewMemory returns a Memory that holds a state, such as the result of raftlog.Bootstrap.
func NewMemory(state raftlog.PersistedState) *Memory { return &Memory{state: state} }

// Load returns the saved state. The error is always nil.
func (m *Memory) Load() (raftlog.PersistedState, error) { return m.state, nil }

// Close does nothing.
func (m *Memory) Close() error { return nil }

// Save stores an update. The error is always nil.
func (m *Memory) Save(update raftlog.Update) error {
	if update.HardState != nil {
		m.state.HardState = proto.Clone(update.HardState).(*pb.HardState)
	}
	if update.Snapshot != nil && !update.Compacted {
		m.state.Snapshot, m.state.Entries = update.Snapshot, nil
	}
	if len(update.Entries) > 0 {
		first := update.Entries[0].GetIndex()
		m.retainEntries(func(index uint64) bool { return index < first })
		m.state.Entries = append(m.state.Entries, update.Entries...)
	}
	if update.Snapshot != nil && update.Compacted {
		m.state.Snapshot = update.Snapshot
		compacted := update.Snapshot.GetMetadata().GetIndex()
		m.retainEntries(func(index uint64) bool { return index > compacted })
	}
	return nil
}

// retainEntries copies the entries for whose index match returns true into a new slice, because a caller of Load may still
// use the old one.
func (m *Memory) retainEntries(match func(index uint64) bool) {
	var retained []*pb.Entry
	for _, entry := range m.state.Entries {
		if match(entry.GetIndex()) {
			retained = append(retained, entry)
		}
	}
	m.state.Entries = retained
}
