package store

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/raftlog"
)

// write writes an update in a transaction.
func write(tx *bbolt.Tx, update raftlog.Update) error {
	meta, entries := tx.Bucket([]byte(metaBucket)), tx.Bucket([]byte(entriesBucket))
	if update.HardState != nil {
		if err := putProto(meta, hardStateKey, update.HardState); err != nil {
			return err
		}
	}
	if update.Snapshot != nil {
		if err := putProto(meta, snapshotKey, update.Snapshot); err != nil {
			return err
		}
	}
	if update.Snapshot != nil && !update.Compacted {
		if err := deleteEntries(entries, func(uint64) bool { return true }); err != nil {
			return err
		}
	}
	if err := writeEntries(entries, update.Entries); err != nil {
		return err
	}
	if update.Compacted {
		compacted := update.Snapshot.GetMetadata().GetIndex()
		return deleteEntries(entries, func(index uint64) bool { return index <= compacted })
	}
	return nil
}

// writeEntries stores new entries. They replace all stored entries from the index of the first new one on.
func writeEntries(stored *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].GetIndex()
	if err := deleteEntries(stored, func(index uint64) bool { return index >= first }); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putProto(stored, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// Load reads the stored state. It returns ErrDamaged if a checksum does not match or an entry is missing.
func (f *File) Load() (state raftlog.PersistedState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(&err)
	err = f.db.View(func(tx *bbolt.Tx) error {
		var err error
		state, err = read(tx)
		return err
	})
	if err != nil {
		return raftlog.PersistedState{}, classify(err)
	}
	return state, nil
}

// read reads the stored state in a transaction.
func read(tx *bbolt.Tx) (state raftlog.PersistedState, err error) {
	meta := tx.Bucket([]byte(metaBucket))
	next := uint64(1) // index of the first entry
	if meta.Get([]byte(hardStateKey)) != nil {
		state.HardState = &pb.HardState{}
		if err := getProto(meta, hardStateKey, state.HardState); err != nil {
			return state, err
		}
	}
	if meta.Get([]byte(snapshotKey)) != nil {
		state.Snapshot = &pb.Snapshot{}
		if err := getProto(meta, snapshotKey, state.Snapshot); err != nil {
			return state, err
		}
		next = state.Snapshot.GetMetadata().GetIndex() + 1
	}
	state.Entries, err = readEntries(tx.Bucket([]byte(entriesBucket)), next)
	if err != nil {
		return state, err
	}
	next += uint64(len(state.Entries))
	if state.HardState.GetCommit() >= next {
		return state, fmt.Errorf("%w: entries are committed up to index %d, but stored only up to %d", ErrDamaged, state.HardState.GetCommit(), next-1)
	}
	return state, nil
}

// readEntries reads all entries. Their indexes must begin with next and have no gap.
func readEntries(stored *bbolt.Bucket, next uint64) (entries []*pb.Entry, err error) {
	err = stored.ForEach(func(key, _ []byte) error {
		entry := &pb.Entry{}
		if err := getProto(stored, string(key), entry); err != nil {
			return err
		}
		if entry.GetIndex() != next || binary.BigEndian.Uint64(key) != next {
			return fmt.Errorf("%w: found log entry %d instead of %d", ErrDamaged, entry.GetIndex(), next)
		}
		next++
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}
