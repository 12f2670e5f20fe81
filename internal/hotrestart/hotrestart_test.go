package hotrestart

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/hotrestart/statefile"
	"cranegate/internal/metrics"
)

// open gives a Handover that runs until the test ends.
func open(t *testing.T, o Options) *Coordinator {
	t.Helper()
	if o.OnState == nil {
		o.OnState = func(context.Context, state.State) error { return nil }
	}
	h, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); h.Run(context.Background()) }()
	t.Cleanup(func() { h.Close(); <-ended })
	return h
}

var ban = state.Change{Host: "db1", Out: true}

// TestFaultyFile: whatever stands in the file's place, the start goes on, says so, and calls hold.
func TestFaultyFile(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "torn": `{"format":"cranegate-state","version":1,"seq`,
		"foreign": `{"format":"cranegate-state","version":9,"sequence":1,"sha256":"","state":{}}`,
		"sum":     `{"format":"cranegate-state","version":1,"sequence":1,"sha256":"00","state":{}}`,
		"huge":    strings.Repeat(" ", 3<<20), "folder": "/"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if path := filepath.Join(dir, statefile.Name); text == "/" {
				os.Mkdir(path, 0o700)
			} else if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			h := open(t, Options{Dir: dir, Counters: &metrics.Counters{}})
			var bad *statefile.InvalidFileError
			if doubts := h.Unconfirmed(); len(doubts) != 1 || !errors.As(doubts[0], &bad) {
				t.Fatal(doubts)
			}
			if _, err := os.Stat(filepath.Join(dir, statefile.InvalidName)); err != nil {
				t.Fatal(err)
			}
			if err := h.Apply(context.Background(), ban); err != nil {
				t.Fatal(err)
			}
			if next := open(t, Options{Dir: dir}); len(next.Unconfirmed()) != 0 || len(next.State().Out) != 1 {
				t.Fatal(next.Unconfirmed(), next.State())
			}
		})
	}
}

// TestFolder: what no handover is possible in, and what is possible all the same.
func TestFolder(t *testing.T) {
	var at *FolderError
	if _, err := Open(context.Background(), Options{Dir: filepath.Join(t.TempDir(), "none")}); !errors.As(err, &at) {
		t.Fatal(err)
	}
	if closed := t.TempDir(); os.Geteuid() != 0 {
		os.Chmod(closed, 0o500)
		if _, err := Open(context.Background(), Options{Dir: closed}); !errors.As(err, &at) {
			t.Fatal(err)
		}
	} else if _, err := Open(context.Background(), Options{Dir: "/proc/self"}); !errors.As(err, &at) {
		t.Fatal(err)
	}
	long := filepath.Join(t.TempDir(), strings.Repeat("long/", 30))
	if err := os.MkdirAll(long, 0o700); err != nil {
		t.Fatal(err)
	}
	a := open(t, Options{Dir: long})
	if b := open(t, Options{Dir: long}); !b.Older() {
		t.Fatal("not found over a long path")
	}
	if err := a.Apply(context.Background(), ban); err != nil {
		t.Fatal(err)
	}
}

// TestLeftOver: sockets of the dead, many of them, are neither peers nor kept.
func TestLeftOver(t *testing.T) {
	dir := t.TempDir()
	for i := range 40 {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, rendezvous.Name{Born: 1, Nonce: uint64(i)}.String())})
		if err != nil {
			t.Fatal(err)
		}
		l.SetUnlinkOnClose(false)
		l.Close()
	}
	var alone atomic.Int32
	h := open(t, Options{Dir: dir, Alone: func() { alone.Add(1) }})
	if err := h.Apply(context.Background(), ban); err != nil || h.Older() || h.Role() != state.Alone {
		t.Fatal(err)
	}
	names, err := h.folder.Names(h.name)
	if err != nil || len(names) != 0 || alone.Load() != 0 {
		t.Fatal(err, names, alone.Load())
	}
}

// TestLostFolder: a ban that can't be written holds, and its error says what is missing.
func TestLostFolder(t *testing.T) {
	dir := t.TempDir()
	h := open(t, Options{Dir: dir})
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := h.Apply(context.Background(), ban); !errors.Is(err, ErrNotPersisted) || !errors.Is(err, ErrUnverified) {
		t.Fatal(err)
	}
	if len(h.State().Out) != 1 {
		t.Fatal("the ban does not hold")
	}
}

// TestApply: a module that can't be had to hold a ban gives no yes, to neither process.
func TestApply(t *testing.T) {
	dir := t.TempDir()
	var fail atomic.Bool
	broken := errors.New("broken")
	old := open(t, Options{Dir: dir, OnState: func(context.Context, state.State) error {
		if fail.Load() {
			return broken
		}
		return nil
	}})
	young := open(t, Options{Dir: dir})
	if err := young.Apply(context.Background(), ban); err != nil {
		t.Fatal(err)
	}
	fail.Store(true)
	if err := old.Apply(context.Background(), state.Change{Host: "db2", Out: true}); !errors.Is(err, ErrNotApplied) || !errors.Is(err, broken) {
		t.Fatal(err)
	}
	if err := young.Apply(context.Background(), state.Change{Host: "db3", Out: true}); !errors.Is(err, ErrUnacknowledged) {
		t.Fatal(err)
	}
	fail.Store(false)
	if err := young.Apply(context.Background(), state.Change{Host: "db3"}); err != nil {
		t.Fatal(err)
	}
	if out := old.State().Out; len(out) != 2 {
		t.Fatal(out)
	}
}

// TestBlob: one at the bound arrives, one over it does not, and both leave the start in time.
func TestBlob(t *testing.T) {
	for _, c := range []struct{ size, want int }{{frame.MaxBlob, frame.MaxBlob}, {frame.MaxBlob + 1, 0}} {
		dir := t.TempDir()
		open(t, Options{Dir: dir, Export: func() []byte { return make([]byte, c.size) }, Counters: &metrics.Counters{}})
		if h := open(t, Options{Dir: dir}); len(h.Inherited()) != c.want || len(h.Unconfirmed()) != 0 {
			t.Fatal(len(h.Inherited()), h.Unconfirmed())
		}
	}
}

// TestStrangers: whoever speaks no sense, or nothing, on the socket keeps nobody from a yes.
func TestStrangers(t *testing.T) {
	dir := t.TempDir()
	h := open(t, Options{Dir: dir})
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff", "\x00\x00\x00\x01\xa0"} {
		c, err := net.Dial("unix", filepath.Join(dir, h.name.String()))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(text))
	}
	young := open(t, Options{Dir: dir})
	if err := young.Apply(context.Background(), ban); err != nil || len(h.State().Out) != 1 {
		t.Fatal(err)
	}
	silent, err := net.Listen("unix", filepath.Join(dir, rendezvous.Name{Born: 1, Nonce: 1}.String()))
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	began := time.Now()
	if err := h.Apply(context.Background(), ban); !errors.Is(err, ErrUnacknowledged) || time.Since(began) > 5*time.Second {
		t.Fatal(err, time.Since(began))
	}
}

// TestHearerLeavesTheWriteToTheCaller holds a call up before its write. The process that was told of the change must not
// write it meanwhile, as it would keep the lock from the call, and must in the end, as the call may never come to it.
func TestHearerLeavesTheWriteToTheCaller(t *testing.T) {
	dir := t.TempDir()
	open(t, Options{Dir: dir})
	caller := open(t, Options{Dir: dir})
	began := time.Now()
	written := time.Duration(0) // after the call's beginning; 0: never
	atStep = func(step string) {
		for step == state.Persist.String() && written == 0 && time.Since(began) < 20*time.Second {
			if _, err := os.Stat(filepath.Join(dir, statefile.Name)); err == nil {
				written = time.Since(began)
			}
			time.Sleep(time.Millisecond)
		}
	}
	defer func() { atStep = nil }()
	if err := caller.Apply(context.Background(), state.Change{Lameduck: false}); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
	if written < setFor {
		t.Errorf("the hearer wrote %v after the call began (0: never), want it to wait for %v", written, setFor)
	}
}

// TestUnreadFileIsReadAgain opens while the state file can't be opened for want of descriptors: that is said, and a ban in the file
// holds as soon as there are some again.
func TestUnreadFileIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	delta, _, err := state.Registers{}.Reserve(state.Change{Host: "db-0", Out: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := statefile.In(dir).Update(context.Background(), delta); err != nil {
		t.Fatal(err)
	}
	undo := func() {}
	atStep = func(step string) {
		if undo(); step == "read" {
			if undo, err = fake.LeaveFiles(0); err != nil {
				t.Error(err)
			}
		}
	}
	defer func() { atStep = nil }()
	h, openErr := Open(context.Background(), Options{Dir: dir, Counters: &metrics.Counters{}, OnState: func(context.Context, state.State) error { return nil }})
	undo()
	if openErr != nil {
		t.Fatal(openErr)
	}
	defer h.Close()
	if len(h.Unconfirmed()) == 0 || len(h.State().Out) != 0 {
		t.Errorf("doubts %v, out %v", h.Unconfirmed(), h.State().Out)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	for end := time.Now().Add(20 * time.Second); len(h.State().Out) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the ban does not come back: %v", h.State().Out)
		}
	}
	cancel()
	<-ended
}
