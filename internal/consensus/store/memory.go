// Package store keeps what a voter must not forget: in a bbolt file where the operator names a folder (File), or nowhere but
// in memory (Memory), in which case a new start of the process is a new voter.
package store

import (
	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/raftlog"
)

// Store is what a voter's shell keeps a Save in, before it says Saved. An error is final for the voter: it must not say
// Saved, send nothing, and be started anew from Load, or under a new identity.
type Store interface {
	Load() (raftlog.PersistedState, error)
	Save(raftlog.Update) error
	Close() error
}

// Memory keeps a voter's image as long as the process runs. The zero value is empty.
type Memory struct{ img raftlog.PersistedState }

// NewMemory holds an image, as order.Found makes it.
func NewMemory(img raftlog.PersistedState) *Memory { return &Memory{img: img} }

// Load returns what was kept.
func (m *Memory) Load() (raftlog.PersistedState, error) { return m.img, nil }

// Close does nothing.
func (m *Memory) Close() error { return nil }

// Save keeps a change.
func (m *Memory) Save(s raftlog.Update) error {
	if s.HardState != nil {
		m.img.HardState = proto.Clone(s.HardState).(*pb.HardState)
	}
	if s.Snapshot != nil && !s.Compacted {
		m.img.Snapshot, m.img.Entries = s.Snapshot, nil
	}
	if len(s.Entries) > 0 {
		kept := m.img.Entries[:0:0]
		for _, e := range m.img.Entries {
			if e.GetIndex() < s.Entries[0].GetIndex() {
				kept = append(kept, e)
			}
		}
		m.img.Entries = append(kept, s.Entries...)
	}
	if s.Snapshot != nil && s.Compacted {
		m.img.Snapshot = s.Snapshot
		kept := m.img.Entries[:0:0]
		for _, e := range m.img.Entries {
			if e.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
				kept = append(kept, e)
			}
		}
		m.img.Entries = kept
	}
	return nil
}
