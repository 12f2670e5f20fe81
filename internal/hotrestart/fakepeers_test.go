package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/logging"
	"cranegate/internal/metrics"
)

// fakePeers simulates many processes in one folder, as another process sees them. Each accepts connections, sends Hello, and
// acknowledges every update.
type fakePeers struct {
	t          *testing.T
	dir        string
	goroutines sync.WaitGroup
	mu         sync.Mutex
	conns      map[net.Conn]bool
	ended      bool
}

func newFakePeers(t *testing.T, dir string) *fakePeers {
	f := &fakePeers{t: t, dir: dir, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		f.mu.Lock()
		f.ended = true
		for conn := range f.conns {
			conn.Close()
		}
		f.mu.Unlock()
		f.goroutines.Wait()
	})
	return f
}

// name returns the name of the i-th process, which is newer than any real process.
func (f *fakePeers) name(i int) rendezvous.Name {
	return rendezvous.Name{OpenedAt: 1<<63 + uint64(i), Nonce: uint64(i)}
}

// start starts the i-th process, which accepts connections until the test ends.
func (f *fakePeers) start(i int) {
	f.t.Helper()
	l, err := net.Listen("unix", filepath.Join(f.dir, f.name(i).String()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() }) // runs before newFakePeers' cleanup waits
	f.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.add(conn)
			f.goroutines.Go(func() { f.serve(conn, i) })
		}
	})
}

// add registers a connection to be closed when the test ends.
func (f *fakePeers) add(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[conn] = true
	if f.ended {
		conn.Close()
	}
}

func (f *fakePeers) serve(conn net.Conn, i int) {
	defer conn.Close()
	if frame.Write(conn, frame.Message{Kind: frame.Hello, Version: frame.Version, Name: f.name(i).String()}) != nil {
		return
	}
	for {
		m, err := frame.Read(conn)
		if err != nil {
			return
		}
		if m.Kind == frame.Update && frame.Write(conn, frame.Message{Kind: frame.Acknowledge, Registers: m.Registers}) != nil {
			return
		}
	}
}

// captureLog redirects the log to the returned buffer until the test ends.
func captureLog(t *testing.T) *fake.LogBuffer {
	l := &fake.LogBuffer{}
	t.Cleanup(logging.Use(logging.New(l, slog.LevelInfo)))
	return l
}

// mustApply repeats a call until it succeeds. On a busy machine a thousand processes may not all acknowledge before the call's timeout.
func mustApply(t *testing.T, c *Coordinator, change state.Change) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; {
		err := c.Apply(context.Background(), change)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrUnacknowledged) || time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// descriptorCounter counts the descriptors that its method reserve, used as Options.Reserve, has reserved.
type descriptorCounter struct{ reserved, maxReserved atomic.Int64 }

func (d *descriptorCounter) reserve(context.Context) (release func(), err error) {
	if n := d.reserved.Add(1); n > d.maxReserved.Load() {
		d.maxReserved.Store(n)
	}
	return func() { d.reserved.Add(-1) }, nil
}

// TestThousandProcesses runs a process with 1,024 others in one folder. All of them must acknowledge a change, each over one connection.
// With one more process a call must report that there are too many, and the remedy.
func TestThousandProcesses(t *testing.T) {
	dir, log := t.TempDir(), captureLog(t)
	var descriptors descriptorCounter
	counters := &metrics.Counters{}
	c := openCoordinator(t, Options{Dir: dir, Counters: counters, Reserve: descriptors.reserve})
	if descriptors.reserved.Load() != 0 {
		t.Error("descriptors are reserved although there is no other process")
	}
	peers := newFakePeers(t, dir)
	for i := range 1024 {
		peers.start(i)
	}
	mustApply(t, c, detachDB1)
	known, applied, links := countPeers(c, detachDB1)
	if known != 1024 || applied != 1024 {
		t.Fatalf("%d others are known, %d have applied the change", known, applied)
	}
	if n := descriptors.reserved.Load(); links < 1024 || n < int64(links-unreservedLinks) {
		t.Errorf("%d connections, %d of them reserved", links, n)
	}
	peers.start(1024)
	err := c.Apply(context.Background(), detachDB1)
	if !errors.Is(err, ErrTooManyProcesses) || !errors.Is(err, ErrUnverified) || !strings.Contains(err.Error(), "end those that are left over") {
		t.Errorf("with one more: %v", err)
	}
	if !strings.Contains(log.String(), "event=hotrestart_rejected") || counters.Get("handover_refused") == 0 {
		t.Errorf("the log says %q", log)
	}
	t.Logf("%d descriptors reserved at once", descriptors.maxReserved.Load())
}

// countPeers counts the peers of a coordinator, the peers that have applied a change, and the links.
func countPeers(c *Coordinator, change state.Change) (known, applied, links int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if p.applied.Get(change).On {
			applied++
		}
	}
	return len(c.peers), applied, c.linkCount
}

// TestNoDescriptorsForLinks starts processes for whose connections no descriptor can be reserved. They must not be connected to, the log
// must give the reason, and a call must report that they have not acknowledged it. After descriptors become available it must succeed.
func TestNoDescriptorsForLinks(t *testing.T) {
	dir, log := t.TempDir(), captureLog(t)
	errFull := errors.New("raise limits.sockets")
	var free atomic.Bool
	c := openCoordinator(t, Options{Dir: dir, Counters: &metrics.Counters{}, Reserve: func(context.Context) (func(), error) {
		if !free.Load() {
			return nil, errFull
		}
		return func() {}, nil
	}})
	peers := newFakePeers(t, dir)
	for i := range 5 {
		peers.start(i)
	}
	err := c.Apply(context.Background(), detachDB1)
	var missing *PeerError
	if !errors.Is(err, ErrUnacknowledged) || !errors.As(err, &missing) || len(missing.Peers) != 5-unreservedLinks {
		t.Errorf("%v", err)
	}
	if !strings.Contains(log.String(), fmt.Sprintf("event=hotrestart_rejected error=%q", errFull)) {
		t.Errorf("the log says %q", log)
	}
	free.Store(true)
	mustApply(t, c, detachDB1)
}
