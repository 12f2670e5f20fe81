package record

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"cranegate/internal/handover/state"
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
