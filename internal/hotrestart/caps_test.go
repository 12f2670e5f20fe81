package hotrestart

import (
	"bytes"
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

	"cranegate/internal/hotrestart/frame"
	"cranegate/internal/hotrestart/rendezvous"
	"cranegate/internal/hotrestart/state"
	"cranegate/internal/logging"
	"cranegate/internal/metrics"
)

// crowd is many processes in one folder, as far as another one sees them: each takes connections, says who it is, and holds
// whatever it is told.
type crowd struct {
	t     *testing.T
	dir   string
	work  sync.WaitGroup
	mu    sync.Mutex
	open  map[net.Conn]bool
	ended bool
}

func newCrowd(t *testing.T, dir string) *crowd {
	c := &crowd{t: t, dir: dir, open: map[net.Conn]bool{}}
	t.Cleanup(func() {
		c.mu.Lock()
		c.ended = true
		for x := range c.open {
			x.Close()
		}
		c.mu.Unlock()
		c.work.Wait()
	})
	return c
}

// name is that of the i-th, which is newer than any real process.
func (c *crowd) name(i int) rendezvous.Name {
	return rendezvous.Name{Born: 1<<63 + uint64(i), Nonce: uint64(i)}
}

// start has one more process live until the test ends.
func (c *crowd) start(i int) {
	c.t.Helper()
	l, err := net.Listen("unix", filepath.Join(c.dir, c.name(i).String()))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { l.Close() }) // before the wait above
	c.work.Go(func() {
		for {
			x, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			if c.open[x] = true; c.ended {
				x.Close()
			}
			c.mu.Unlock()
			c.work.Go(func() { c.serve(x, i) })
		}
	})
}

func (c *crowd) serve(x net.Conn, i int) {
	defer x.Close()
	if frame.Write(x, frame.Message{Kind: frame.Hello, Version: frame.Version, Name: c.name(i).String()}) != nil {
		return
	}
	for {
		m, err := frame.Read(x)
		if err != nil {
			return
		}
		if m.Kind == frame.Update && frame.Write(x, frame.Message{Kind: frame.Acknowledge, Registers: m.Registers}) != nil {
			return
		}
	}
}

// text is a log that tests read while others write.
type text struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *text) Write(b []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.b.Write(b) }

func (l *text) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

func heard(t *testing.T) *text {
	l := &text{}
	t.Cleanup(logging.Use(logging.New(l, slog.LevelInfo)))
	return l
}

// yes makes a call until it gets its yes: on a busy machine a thousand processes may not all have answered within its time.
func yes(t *testing.T, h *Coordinator, c state.Change) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; {
		err := h.Apply(context.Background(), c)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrUnacknowledged) || time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// TestAThousandProcesses has a process live beside 1,023 others in one folder: a ban gets its yes from all of them, each by one
// connection. One more still fits (it counts the others); with the next a call says that there are too many, and what to do.
func TestAThousandProcesses(t *testing.T) {
	dir, told := t.TempDir(), heard(t)
	var lent, most atomic.Int64
	counters := &metrics.Counters{}
	h := open(t, Options{Dir: dir, Counters: counters, Reserve: func(context.Context) (func(), error) {
		if n := lent.Add(1); n > most.Load() {
			most.Store(n)
		}
		return func() { lent.Add(-1) }, nil
	}})
	if lent.Load() != 0 {
		t.Error("a process that is alone has borrowed")
	}
	c := newCrowd(t, dir)
	for i := range 1024 {
		c.start(i)
	}
	yes(t, h, ban)
	h.mu.Lock()
	peers, holding, links := len(h.peers), 0, h.links
	for _, p := range h.peers {
		if p.holds.Get(ban).On {
			holding++
		}
	}
	h.mu.Unlock()
	if peers != 1024 || holding != 1024 {
		t.Fatalf("%d others are known, %d hold the ban", peers, holding)
	}
	if n := lent.Load(); links < 1024 || n < int64(links-ownLinks) {
		t.Errorf("%d connections, %d of them lent", links, n)
	}
	c.start(1024)
	err := h.Apply(context.Background(), ban)
	if !errors.Is(err, ErrTooManyProcesses) || !errors.Is(err, ErrUnverified) || !strings.Contains(err.Error(), "end those that are left over") {
		t.Errorf("with one more: %v", err)
	}
	if !strings.Contains(told.String(), "event=hotrestart_rejected") || counters.Get("handover_refused") == 0 {
		t.Errorf("the log says %q", told)
	}
	t.Logf("%d connections at once past those that are counted on", most.Load())
}

// TestNothingLeftToLend has processes come for whose connections there is no descriptor: they are not connected to, the log says
// why, and a call tells that they have not acknowledged. Once there are descriptors they are heard.
func TestNothingLeftToLend(t *testing.T) {
	dir, told := t.TempDir(), heard(t)
	full := errors.New("raise limits.sockets")
	var free atomic.Bool
	h := open(t, Options{Dir: dir, Counters: &metrics.Counters{}, Reserve: func(context.Context) (func(), error) {
		if !free.Load() {
			return nil, full
		}
		return func() {}, nil
	}})
	c := newCrowd(t, dir)
	for i := range 5 {
		c.start(i)
	}
	err := h.Apply(context.Background(), ban)
	var missing *PeerError
	if !errors.Is(err, ErrUnacknowledged) || !errors.As(err, &missing) || len(missing.Peers) != 5-ownLinks {
		t.Errorf("%v", err)
	}
	if !strings.Contains(told.String(), fmt.Sprintf("event=hotrestart_rejected error=%q", full)) {
		t.Errorf("the log says %q", told)
	}
	free.Store(true)
	yes(t, h, ban)
}
