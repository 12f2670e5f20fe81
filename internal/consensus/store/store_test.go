package store

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/raftlog"
)

func entry(i, term uint64) *pb.Entry {
	return &pb.Entry{Index: new(i), Term: new(term), Data: make([]byte, 300)}
}

func opened(t *testing.T, dir string) *File {
	t.Helper()
	f, err := Open(dir, Owner{Name: "g1", Council: 7, Start: rand.Uint64()})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// fill makes a file with a founding and some entries.
func fill(t *testing.T, dir string) {
	f := opened(t, dir)
	_, img, err := raftlog.Bootstrap([]uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	s := raftlog.Update{HardState: img.HardState, Snapshot: img.Snapshot, MustSync: true}
	for i := uint64(2); i < 60; i++ {
		s.Entries = append(s.Entries, entry(i, 1))
	}
	if err := errors.Join(f.Save(s), f.Close()); err != nil {
		t.Fatal(err)
	}
}

func TestKeepsAsMemoryDoes(t *testing.T) {
	dir := t.TempDir()
	f, m := opened(t, dir), NewMemory(raftlog.PersistedState{})
	start := f.Owner().Start
	_, img, _ := raftlog.Bootstrap([]uint64{1})
	snap := func(i uint64) *pb.Snapshot {
		return &pb.Snapshot{Data: []byte{1}, Metadata: pb.EnsureSnapshotMetadata(&pb.SnapshotMetadata{Index: new(i), Term: new(uint64(2))})}
	}
	for _, s := range []raftlog.Update{{HardState: img.HardState, Snapshot: img.Snapshot, MustSync: true},
		{Entries: []*pb.Entry{entry(2, 1), entry(3, 1), entry(4, 1)}, MustSync: true},
		{Entries: []*pb.Entry{entry(3, 2), entry(4, 2), entry(5, 2)}, HardState: &pb.HardState{Term: new(uint64(2)), Vote: new(uint64(1)), Commit: new(uint64(4))}, MustSync: true},
		{Snapshot: snap(4), Compacted: true}, {Snapshot: snap(9), MustSync: true}, {Entries: []*pb.Entry{entry(10, 3)}, MustSync: true}} {
		if err := errors.Join(f.Save(s), m.Save(s), f.Close()); err != nil {
			t.Fatal(err)
		}
		f = opened(t, dir)
		if f.Owner().Start != start {
			t.Fatal("another start from the same file")
		}
		a, err := f.Load()
		b, _ := m.Load()
		if err != nil || a.HardState.String() != b.HardState.String() || a.Snapshot.String() != b.Snapshot.String() || len(a.Entries) != len(b.Entries) {
			t.Fatalf("%v: %v, %v", err, a, b)
		}
		for i := range a.Entries {
			if !reflect.DeepEqual(a.Entries[i].String(), b.Entries[i].String()) {
				t.Fatalf("entry %d: %v, %v", i, a.Entries[i], b.Entries[i])
			}
		}
	}
	f.Close()
}

func TestForeignAndUsed(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir)
	if _, err := Open(dir, Owner{Name: "g2", Council: 7}); !errors.Is(err, ErrForeign) {
		t.Error(err)
	}
	if _, err := Open(dir, Owner{Name: "g1", Council: 8}); !errors.Is(err, ErrForeign) {
		t.Error(err)
	}
	f := opened(t, dir)
	if _, err := Open(dir, Owner{Name: "g1", Council: 7}); !errors.Is(err, ErrInUse) {
		t.Error(err)
	}
	f.Close()
	os.WriteFile(filepath.Join(dir, FileName), []byte("[fleet]\nname = \"x\"\n"), 0o600)
	if _, err := Open(dir, Owner{Name: "g1", Council: 7}); !errors.Is(err, ErrForeign) {
		t.Error(err)
	}
	if _, err := Open(filepath.Join(dir, "none"), Owner{Name: "g1"}); !errors.Is(err, ErrDisk) {
		t.Error(err)
	}
}

// TestTorn cuts the file at every page and spoils it at many bytes: all reads whole, or is a typed error, or is what was kept
// (the byte was of no page in use); never a panic, never other entries.
func TestTorn(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir)
	path := filepath.Join(dir, FileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	try := func(b []byte, what string, at int) {
		os.Remove(path) // as an operator moves it away: what a damaged file's lock is on goes with it
		os.WriteFile(path, b, 0o600)
		f, err := Open(dir, Owner{Name: "g1", Council: 7})
		if err == nil {
			var img raftlog.PersistedState
			img, err = f.Load()
			if err == nil && img.HardState != nil && len(img.Entries) != 58 {
				t.Errorf("%s at %d: %d entries", what, at, len(img.Entries))
			}
			f.Close()
		}
		if err != nil {
			if found++; !errors.Is(err, ErrTorn) && !errors.Is(err, ErrForeign) {
				t.Errorf("%s at %d: %v", what, at, err)
			}
		}
	}
	for at := 1; at < len(whole); at += 4096 {
		try(whole[:at], "cut", at)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 150 {
		b := append([]byte(nil), whole...)
		at := rng.IntN(len(b))
		b[at] ^= byte(1 + rng.IntN(255))
		try(b, "spoilt", at)
	}
	if found < 10 {
		t.Errorf("%d found", found)
	}
	t.Log(len(whole), "bytes,", found, "damages found")
}

// TestFull fills a file to its bound: a typed error, nothing more is written, and what was kept before is there.
func TestFull(t *testing.T) {
	dir := t.TempDir()
	f, err := open(dir, Owner{Name: "g1", Council: 7}, 256<<10)
	if err != nil {
		t.Fatal(err)
	}
	kept := uint64(0)
	for err == nil {
		if err = f.Save(raftlog.Update{Entries: []*pb.Entry{entry(kept+1, 1)}, MustSync: true}); err == nil {
			kept++
		}
	}
	if again := f.Save(raftlog.Update{MustSync: true}); !errors.Is(err, ErrFull) || !errors.Is(again, ErrFull) {
		t.Error(err, again)
	}
	f.Close()
	f = opened(t, dir)
	defer f.Close()
	if img, err := f.Load(); err != nil || uint64(len(img.Entries)) != kept || kept < 100 {
		t.Error(err, len(img.Entries), kept)
	}
	if err := typed(syscall.ENOSPC); !errors.Is(err, ErrFull) {
		t.Error(err)
	}
}
