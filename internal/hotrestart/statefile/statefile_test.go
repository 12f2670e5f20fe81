package statefile

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"cranegate/internal/fake"
	"cranegate/internal/hotrestart/state"
)

// TestNoFileWithoutChanges: where nothing was ever changed no file is made. Its write would hold the lock, on a slow disk for longer
// than a call waits for it.
func TestNoFileWithoutChanges(t *testing.T) {
	dir := t.TempDir()
	f := New(dir)
	if _, err := f.Update(context.Background(), state.Registers{}); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, Name)); !os.IsNotExist(err) {
		t.Errorf("a file without changes: %v", err)
	}
	delta, _, err := state.Registers{}.Prepare(state.Change{Lameduck: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Update(context.Background(), delta); err != nil {
		t.Fatal(err)
	}
	if got, err := New(dir).Read(context.Background()); err != nil || !got.State().Lameduck {
		t.Errorf("read back: %+v, %v", got.State(), err)
	}
}

// detached returns the registers of one detached host.
func detached(t *testing.T, host string) state.Registers {
	t.Helper()
	delta, _, err := state.Registers{}.Prepare(state.Change{Host: host, Detach: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	return delta
}

// TestNoDescriptors reads and writes while no further file can be opened: the file is not taken for invalid, so a detached host in
// it is neither renamed away nor overwritten, and the caller learns that nothing was read.
func TestNoDescriptors(t *testing.T) {
	for files := range 2 { // none; the lock alone
		dir := t.TempDir()
		if _, err := New(dir).Update(context.Background(), detached(t, "db-0")); err != nil {
			t.Fatal(err)
		}
		restoreFiles, err := fake.LimitFreeDescriptors(files)
		if err != nil {
			t.Fatal(err)
		}
		_, readErr := New(dir).Read(context.Background())
		_, updateErr := New(dir).Update(context.Background(), detached(t, "db-1"))
		restoreFiles()
		if readErr == nil && files == 0 || updateErr == nil {
			t.Errorf("%d files: read %v, update %v", files, readErr, updateErr)
		}
		if _, err := os.Stat(filepath.Join(dir, InvalidName)); !os.IsNotExist(err) {
			t.Errorf("%d files: the file was renamed: %v", files, err)
		}
		got, err := New(dir).Read(context.Background())
		if _, out := got.State().Detached["db-0"]; err != nil || !out {
			t.Errorf("%d files: afterwards %+v, %v", files, got.State(), err)
		}
	}
}
