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

// TestInvalidFile checks that Open succeeds and reports the file if its content is invalid or it is a folder, and that calls succeed.
func TestInvalidFile(t *testing.T) {
	for name, text := range map[string]string{
		"empty":           "",
		"partial":         `{"format":"cranegate-state","version":1,"seq`,
		"unknown version": `{"format":"cranegate-state","version":9,"sequence":1,"sha256":"","state":{}}`,
		"wrong checksum":  `{"format":"cranegate-state","version":1,"sequence":1,"sha256":"00","state":{}}`,
		"too large":       strings.Repeat(" ", 3<<20),
		"folder":          "/",
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if path := filepath.Join(dir, statefile.Name); text == "/" {
				os.Mkdir(path, 0o700)
			} else if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			c := openCoordinator(t, Options{Dir: dir, Counters: &metrics.Counters{}})
			var invalid *statefile.InvalidFileError
			if unconfirmed := c.Unconfirmed(); len(unconfirmed) != 1 || !errors.As(unconfirmed[0], &invalid) {
				t.Fatal(unconfirmed)
			}
			if _, err := os.Stat(filepath.Join(dir, statefile.InvalidName)); err != nil {
				t.Fatal(err)
			}
			if err := c.Apply(context.Background(), detachDB1); err != nil {
				t.Fatal(err)
			}
			if next := openCoordinator(t, Options{Dir: dir}); len(next.Unconfirmed()) != 0 || len(next.State().Detached) != 1 {
				t.Fatal(next.Unconfirmed(), next.State())
			}
		})
	}
}

// TestUnusableFolder checks that Open fails in a folder that is missing or not writable, and succeeds in one with a long path.
func TestUnusableFolder(t *testing.T) {
	var folderErr *FolderError
	if _, err := Open(context.Background(), Options{Dir: filepath.Join(t.TempDir(), "none")}); !errors.As(err, &folderErr) {
		t.Fatal(err)
	}
	if readOnly := t.TempDir(); os.Geteuid() != 0 {
		os.Chmod(readOnly, 0o500)
		if _, err := Open(context.Background(), Options{Dir: readOnly}); !errors.As(err, &folderErr) {
			t.Fatal(err)
		}
	} else if _, err := Open(context.Background(), Options{Dir: "/proc/self"}); !errors.As(err, &folderErr) {
		t.Fatal(err)
	}
	longPath := filepath.Join(t.TempDir(), strings.Repeat("long/", 30))
	if err := os.MkdirAll(longPath, 0o700); err != nil {
		t.Fatal(err)
	}
	first := openCoordinator(t, Options{Dir: longPath})
	if second := openCoordinator(t, Options{Dir: longPath}); !second.Older() {
		t.Fatal("the first process was not discovered over a long path")
	}
	if err := first.Apply(context.Background(), detachDB1); err != nil {
		t.Fatal(err)
	}
}

// TestStaleSockets checks that many sockets of ended processes do not count as peers, and that they are removed.
func TestStaleSockets(t *testing.T) {
	dir := t.TempDir()
	for i := range 40 {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, rendezvous.Name{OpenedAt: 1, Nonce: uint64(i)}.String())})
		if err != nil {
			t.Fatal(err)
		}
		l.SetUnlinkOnClose(false)
		l.Close()
	}
	var olderEnded atomic.Int32
	c := openCoordinator(t, Options{Dir: dir, OnOlderEnded: func() { olderEnded.Add(1) }})
	if err := c.Apply(context.Background(), detachDB1); err != nil || c.Older() || c.Role() != state.Alone {
		t.Fatal(err)
	}
	names, err := c.folder.Names(c.name)
	if err != nil || len(names) != 0 || olderEnded.Load() != 0 {
		t.Fatal(err, names, olderEnded.Load())
	}
}

// TestRemovedFolder checks that a detach that can't be written is applied, and that its error reports the failed steps.
func TestRemovedFolder(t *testing.T) {
	dir := t.TempDir()
	c := openCoordinator(t, Options{Dir: dir})
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := c.Apply(context.Background(), detachDB1); !errors.Is(err, ErrNotPersisted) || !errors.Is(err, ErrUnverified) {
		t.Fatal(err)
	}
	if len(c.State().Detached) != 1 {
		t.Fatal("the change was not applied")
	}
}

// TestNotApplied checks that calls to either process fail while the program of one process can't apply a change.
func TestNotApplied(t *testing.T) {
	dir := t.TempDir()
	var fail atomic.Bool
	errBroken := errors.New("broken")
	older := openCoordinator(t, Options{Dir: dir, OnState: func(context.Context, state.State) error {
		if fail.Load() {
			return errBroken
		}
		return nil
	}})
	newer := openCoordinator(t, Options{Dir: dir})
	if err := newer.Apply(context.Background(), detachDB1); err != nil {
		t.Fatal(err)
	}
	fail.Store(true)
	if err := older.Apply(context.Background(), state.Change{Host: "db2", Detach: true}); !errors.Is(err, ErrNotApplied) || !errors.Is(err, errBroken) {
		t.Fatal(err)
	}
	if err := newer.Apply(context.Background(), state.Change{Host: "db3", Detach: true}); !errors.Is(err, ErrUnacknowledged) {
		t.Fatal(err)
	}
	fail.Store(false)
	if err := newer.Apply(context.Background(), state.Change{Host: "db3"}); err != nil {
		t.Fatal(err)
	}
	if detached := older.State().Detached; len(detached) != 2 {
		t.Fatal(detached)
	}
}

// TestBlobSize checks that a blob of the maximum size is transferred and a larger one is not, and that in both cases the older process
// responds before Open's timeout.
func TestBlobSize(t *testing.T) {
	for _, x := range []struct{ size, want int }{{frame.MaxBlobBytes, frame.MaxBlobBytes}, {frame.MaxBlobBytes + 1, 0}} {
		dir := t.TempDir()
		openCoordinator(t, Options{Dir: dir, Export: func() []byte { return make([]byte, x.size) }, Counters: &metrics.Counters{}})
		if c := openCoordinator(t, Options{Dir: dir}); len(c.Inherited()) != x.want || len(c.Unconfirmed()) != 0 {
			t.Fatal(len(c.Inherited()), c.Unconfirmed())
		}
	}
}

// TestInvalidPeers checks that connections on which nothing or an invalid message is sent do not make a call fail. If a process in the
// folder accepts connections but never responds, the call must fail, and within its time limit.
func TestInvalidPeers(t *testing.T) {
	dir := t.TempDir()
	c := openCoordinator(t, Options{Dir: dir})
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff", "\x00\x00\x00\x01\xa0"} {
		conn, err := net.Dial("unix", filepath.Join(dir, c.name.String()))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.Write([]byte(text))
	}
	newer := openCoordinator(t, Options{Dir: dir})
	if err := newer.Apply(context.Background(), detachDB1); err != nil || len(c.State().Detached) != 1 {
		t.Fatal(err)
	}
	silent, err := net.Listen("unix", filepath.Join(dir, rendezvous.Name{OpenedAt: 1, Nonce: 1}.String()))
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	started := time.Now()
	if err := c.Apply(context.Background(), detachDB1); !errors.Is(err, ErrUnacknowledged) || time.Since(started) > maxCallDuration {
		t.Fatal(err, time.Since(started))
	}
}

// TestCallerWritesFirst delays a call before it writes the file. The process that received the change as an update must not write the
// file during the time that a call can take, because it would hold the lock that the call needs. It must write the file after that,
// because the call may never do so.
func TestCallerWritesFirst(t *testing.T) {
	dir := t.TempDir()
	openCoordinator(t, Options{Dir: dir})
	caller := openCoordinator(t, Options{Dir: dir})
	started := time.Now()
	written := time.Duration(0) // time of the write since the start of the call; 0: never
	beforeStep = func(step string) {
		for step == state.Persist.String() && written == 0 && time.Since(started) < testTimeout {
			if _, err := os.Stat(filepath.Join(dir, statefile.Name)); err == nil {
				written = time.Since(started)
			}
			time.Sleep(time.Millisecond)
		}
	}
	defer func() { beforeStep = nil }()
	if err := caller.Apply(context.Background(), state.Change{Lameduck: false}); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
	if written < applyTimeout {
		t.Errorf("the other process wrote the file %v after the call began (0: never), want at least %v", written, applyTimeout)
	}
}

// TestUnreadableFileIsReadAgain calls Open while the state file can't be opened because no descriptors are left. Open must report this.
// A detached host in the file must be applied after descriptors become available.
func TestUnreadableFileIsReadAgain(t *testing.T) {
	dir := t.TempDir()
	delta, _, err := state.Registers{}.Prepare(state.Change{Host: "db-0", Detach: true}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := statefile.New(dir).Update(context.Background(), delta); err != nil {
		t.Fatal(err)
	}
	restoreFiles := func() {}
	beforeStep = func(step string) {
		if restoreFiles(); step == state.ReadFile.String() {
			if restoreFiles, err = fake.LimitFreeDescriptors(0); err != nil {
				t.Error(err)
			}
		}
	}
	defer func() { beforeStep = nil }()
	c, openErr := Open(context.Background(), Options{Dir: dir, Counters: &metrics.Counters{}, OnState: func(context.Context, state.State) error { return nil }})
	restoreFiles()
	if openErr != nil {
		t.Fatal(openErr)
	}
	defer c.Close()
	if len(c.Unconfirmed()) == 0 || len(c.State().Detached) != 0 {
		t.Errorf("unconfirmed %v, detached %v", c.Unconfirmed(), c.State().Detached)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan error, 1)
	go func() { runDone <- c.Run(ctx) }()
	for end := time.Now().Add(testTimeout); len(c.State().Detached) != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the detached host was not read from the file: %v", c.State().Detached)
		}
	}
	cancel()
	<-runDone
}
