package store

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/raftlog"
)

// lastSampleIndex is the index of the last entry in the file of writeSampleFile.
const lastSampleIndex = 59

func newEntry(index, term uint64) *pb.Entry {
	return &pb.Entry{Index: new(index), Term: new(term), Data: make([]byte, 300)}
}

func newSnapshot(index uint64) *pb.Snapshot {
	metadata := &pb.SnapshotMetadata{Index: new(index), Term: new(uint64(2))}
	return &pb.Snapshot{Data: []byte{1}, Metadata: pb.EnsureSnapshotMetadata(metadata)}
}

func openFile(t *testing.T, folder string) *File {
	t.Helper()
	file, err := Open(folder, Owner{Name: "g1", ClusterID: 7, StartID: rand.Uint64()})
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// writeSampleFile creates a file with the snapshot of a new cluster and the entries from 2 to lastSampleIndex.
func writeSampleFile(t *testing.T, folder string) {
	t.Helper()
	file := openFile(t, folder)
	_, bootstrap, err := raftlog.Bootstrap([]uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	update := raftlog.Update{HardState: bootstrap.HardState, Snapshot: bootstrap.Snapshot, MustSync: true}
	for index := uint64(2); index <= lastSampleIndex; index++ {
		update.Entries = append(update.Entries, newEntry(index, 1))
	}
	if err := errors.Join(file.Save(update), file.Close()); err != nil {
		t.Fatal(err)
	}
}

// TestFileMatchesMemory saves the same updates in memory and in a file that is reopened after each of them. Both must load
// the same state.
func TestFileMatchesMemory(t *testing.T) {
	folder := t.TempDir()
	file, memory := openFile(t, folder), NewMemory(raftlog.PersistedState{})
	start := file.Owner().StartID
	_, bootstrap, _ := raftlog.Bootstrap([]uint64{1})
	hardState := &pb.HardState{Term: new(uint64(2)), Vote: new(uint64(1)), Commit: new(uint64(4))}
	updates := []raftlog.Update{
		{HardState: bootstrap.HardState, Snapshot: bootstrap.Snapshot, MustSync: true},
		{Entries: []*pb.Entry{newEntry(2, 1), newEntry(3, 1), newEntry(4, 1)}, MustSync: true},
		{Entries: []*pb.Entry{newEntry(3, 2), newEntry(4, 2), newEntry(5, 2)}, HardState: hardState, MustSync: true},
		{Snapshot: newSnapshot(4), Compacted: true},
		{Snapshot: newSnapshot(9), MustSync: true},
		{Entries: []*pb.Entry{newEntry(10, 3)}, MustSync: true},
	}
	for _, update := range updates {
		if err := errors.Join(file.Save(update), memory.Save(update), file.Close()); err != nil {
			t.Fatal(err)
		}
		file = openFile(t, folder)
		if file.Owner().StartID != start {
			t.Fatal("the reopened file has another StartID")
		}
		requireSameState(t, file, memory)
	}
	file.Close()
}

func requireSameState(t *testing.T, file *File, memory *Memory) {
	t.Helper()
	fromFile, err := file.Load()
	fromMemory, _ := memory.Load()
	if err != nil {
		t.Fatal(err)
	}
	if fromFile.HardState.String() != fromMemory.HardState.String() || fromFile.Snapshot.String() != fromMemory.Snapshot.String() {
		t.Fatalf("hard state or snapshot differ: file %v, memory %v", fromFile, fromMemory)
	}
	if len(fromFile.Entries) != len(fromMemory.Entries) {
		t.Fatalf("number of entries differs: file %v, memory %v", fromFile, fromMemory)
	}
	for i := range fromFile.Entries {
		if fromFile.Entries[i].String() != fromMemory.Entries[i].String() {
			t.Fatalf("entry %d: file %v, memory %v", i, fromFile.Entries[i], fromMemory.Entries[i])
		}
	}
}

func TestWrongOwnerAndInUse(t *testing.T) {
	folder := t.TempDir()
	writeSampleFile(t, folder)
	if _, err := Open(folder, Owner{Name: "g2", ClusterID: 7}); !errors.Is(err, ErrWrongOwner) {
		t.Error(err)
	}
	if _, err := Open(folder, Owner{Name: "g1", ClusterID: 8}); !errors.Is(err, ErrWrongOwner) {
		t.Error(err)
	}
	file := openFile(t, folder)
	if _, err := Open(folder, Owner{Name: "g1", ClusterID: 7}); !errors.Is(err, ErrInUse) {
		t.Error(err)
	}
	file.Close()
	os.WriteFile(filepath.Join(folder, FileName), []byte("[fleet]\nname = \"x\"\n"), 0o600)
	if _, err := Open(folder, Owner{Name: "g1", ClusterID: 7}); !errors.Is(err, ErrWrongOwner) {
		t.Error(err)
	}
	if _, err := Open(filepath.Join(folder, "none"), Owner{Name: "g1"}); !errors.Is(err, ErrUnusable) {
		t.Error(err)
	}
}

// TestDamagedFile truncates the file at every page and corrupts single bytes of it. The file must then load as it was saved
// (if the byte was in no used page), or fail with ErrDamaged or ErrWrongOwner; it must never panic or load other entries. The
// entries are checked only if the file loads with a hard state.
func TestDamagedFile(t *testing.T) {
	folder := t.TempDir()
	writeSampleFile(t, folder)
	path := filepath.Join(folder, FileName)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	detected := 0
	check := func(content []byte, damage string, offset int) {
		os.Remove(path) // as an operator would; the lock on the damaged file disappears with it
		os.WriteFile(path, content, 0o600)
		if err := loadSampleFile(t, folder, damage, offset); err != nil {
			detected++
			if !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrWrongOwner) {
				t.Errorf("%s at byte %d: unexpected error %v", damage, offset, err)
			}
		}
	}
	for offset := 1; offset < len(complete); offset += 4096 {
		check(complete[:offset], "truncated", offset)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 150 {
		content := append([]byte(nil), complete...)
		offset := rng.IntN(len(content))
		content[offset] ^= byte(1 + rng.IntN(255))
		check(content, "corrupted", offset)
	}
	if detected < 10 {
		t.Errorf("only %d damaged files were detected", detected)
	}
	t.Log(len(complete), "bytes,", detected, "damaged files detected")
}

// loadSampleFile loads the sample file, which may be damaged. If it loads with a hard state, it must have all
// entries.
func loadSampleFile(t *testing.T, folder, damage string, offset int) error {
	t.Helper()
	file, err := Open(folder, Owner{Name: "g1", ClusterID: 7})
	if err != nil {
		return err
	}
	defer file.Close()
	state, err := file.Load()
	if err == nil && state.HardState != nil && len(state.Entries) != lastSampleIndex-1 {
		t.Errorf("%s at byte %d: loaded %d entries", damage, offset, len(state.Entries))
	}
	return err
}

// TestFileLimit fills a file to its limit: Save returns ErrFull and writes nothing more, and earlier entries can be loaded.
func TestFileLimit(t *testing.T) {
	folder := t.TempDir()
	file, err := openLimited(folder, Owner{Name: "g1", ClusterID: 7}, 256<<10)
	if err != nil {
		t.Fatal(err)
	}
	saved := uint64(0)
	for err == nil {
		update := raftlog.Update{Entries: []*pb.Entry{newEntry(saved+1, 1)}, MustSync: true}
		if err = file.Save(update); err == nil {
			saved++
		}
	}
	if again := file.Save(raftlog.Update{MustSync: true}); !errors.Is(err, ErrFull) || !errors.Is(again, ErrFull) {
		t.Error(err, again)
	}
	file.Close()
	file = openFile(t, folder)
	defer file.Close()
	if state, err := file.Load(); err != nil || uint64(len(state.Entries)) != saved || saved < 100 {
		t.Error(err, len(state.Entries), saved)
	}
	if err := classify(syscall.ENOSPC); !errors.Is(err, ErrFull) {
		t.Error(err)
	}
}
