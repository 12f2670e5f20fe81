package statefile

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"cranegate/internal/fake"
	"cranegate/internal/hotrestart/state"
)

// TestNothingToSay: where nothing was ever said no file is made. Its write would hold the lock, on a slow disk for longer
// than a call waits for it.
func TestNothingToSay(t *testing.T) {
	dir := t.TempDir()
	f := In(dir)
	if _, err := f.Update(context.Background(), state.Registers{}); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, Name)); !os.IsNotExist(err) {
		t.Errorf("a file that says nothing: %v", err)
	}
	delta, _, err := state.Registers{}.Reserve(state.Change{Lameduck: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Update(context.Background(), delta); err != nil {
		t.Fatal(err)
	}
	if got, err := In(dir).Read(context.Background()); err != nil || !got.State().Lameduck {
		t.Errorf("read back: %+v, %v", got.State(), err)
	}
}

// ban gives the registers of one host that is out.
func ban(t *testing.T, host string) state.Registers {
	t.Helper()
	delta, _, err := state.Registers{}.Reserve(state.Change{Host: host, Out: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	return delta
}

// TestNoDescriptorIsNoTornFile reads and writes while no further file can be opened: what the file holds is not taken for torn, so a
// ban in it is neither set aside nor written over, and the caller learns that nothing was read.
func TestNoDescriptorIsNoTornFile(t *testing.T) {
	for files := range 2 { // none; the lock alone
		dir := t.TempDir()
		if _, err := In(dir).Update(context.Background(), ban(t, "db-0")); err != nil {
			t.Fatal(err)
		}
		undo, err := fake.LeaveFiles(files)
		if err != nil {
			t.Fatal(err)
		}
		_, readErr := In(dir).Read(context.Background())
		_, updateErr := In(dir).Update(context.Background(), ban(t, "db-1"))
		undo()
		if readErr == nil && files == 0 || updateErr == nil {
			t.Errorf("%d files: read %v, update %v", files, readErr, updateErr)
		}
		if _, err := os.Stat(filepath.Join(dir, InvalidName)); !os.IsNotExist(err) {
			t.Errorf("%d files: the file was set aside: %v", files, err)
		}
		got, err := In(dir).Read(context.Background())
		if _, out := got.State().Out["db-0"]; err != nil || !out {
			t.Errorf("%d files: afterwards %+v, %v", files, got.State(), err)
		}
	}
}
