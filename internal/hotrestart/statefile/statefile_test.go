package statefile

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"cranegate/internal/fake"
	"cranegate/internal/hotrestart/state"
)

// TestNoFileWithoutChanges checks that no file is written if nothing was ever changed. On a slow disk such a write would hold the
// lock for longer than a concurrent call waits for it.
func TestNoFileWithoutChanges(t *testing.T) {
	dir := t.TempDir()
	f := New(dir)
	if _, err := f.Update(context.Background(), state.Registers{}); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, Name)); !os.IsNotExist(err) {
		t.Errorf("a file was written without changes: %v", err)
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

// detached returns registers with one detached host.
func detached(t *testing.T, host string) state.Registers {
	t.Helper()
	delta, _, err := state.Registers{}.Prepare(state.Change{Host: host, Detach: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	return delta
}

// TestNoDescriptors reads and updates the file while the process lacks the descriptors to open it. A file that can't be opened must
// not count as invalid: it would be renamed and replaced, and its detached host would be lost. The operation must fail instead.
func TestNoDescriptors(t *testing.T) {
	for files := range 2 { // descriptors that are left: none, or one for the lock file
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
