package statefile

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"cranegate/internal/hotrestart/state"
)

// goldenFile is a state file with a detached host, an attached host and lameduck. Every version of the program reads and writes this
// format.
const goldenFile = `{"format":"cranegate-state","version":1,"sequence":1,"sha256":"d9d7cf282ebd185cd8e1b3f86f5b423b713615a8592f7c4ff909bc51b85751fc","state":{"clock":4,"lameduck":{"on":true,"since":1002,"seq":3,"node":7},"hosts":[{"id":"db-1","on":true,"since":1000,"seq":1,"node":7},{"id":"db-2","on":false,"since":1003,"seq":4,"node":7}]}}`

// TestFileFormat pins the state file's name and content, because processes of other versions read and write the same file.
func TestFileFormat(t *testing.T) {
	ctx := context.Background()
	dir := t.TempDir()
	var regs state.Registers
	for i, c := range []state.Change{{Host: "db-1", Detach: true}, {Host: "db-2", Detach: true}, {Lameduck: true}, {Host: "db-2"}} {
		delta, next, err := regs.Prepare(c, 7, int64(1_000+i))
		if err != nil {
			t.Fatal(err)
		}
		if regs, err = next.Merge(delta); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := New(dir).Update(ctx, regs); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "cranegate-state.json"))
	if err != nil || string(text) != goldenFile {
		t.Errorf("written: %s, %v", text, err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, "cranegate-state.json"), []byte(goldenFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := New(other).Read(ctx); err != nil || !got.Equal(regs) {
		t.Errorf("read: %+v, %v", got.State(), err)
	}
	for name, want := range map[string]string{InvalidName: "cranegate-state.json.bad", replacementName: "cranegate-state.json.new", lockName: "cranegate-state.lock"} {
		if name != want {
			t.Errorf("a file that accompanies the state file is called %s, want %s", name, want)
		}
	}
}
