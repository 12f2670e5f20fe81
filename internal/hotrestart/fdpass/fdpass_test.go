package fdpass

import (
	"bytes"
	"context"
	"cranegate/internal/logging"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const patience = time.Minute // for what must come; a busy machine may take its time

// text is a log that tests read while others write.
type text struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *text) Write(b []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.b.Write(b) }

func (l *text) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

// receiver runs a receiver until the test ends.
func receiver(t *testing.T, dir string, lend func(context.Context) (func(), error)) *atomic.Int64 {
	t.Helper()
	r, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	r.Reserve = lend
	ctx, cancel := context.WithCancel(context.Background())
	ended, taken := make(chan error, 1), &atomic.Int64{}
	go func() {
		ended <- r.Run(ctx, func(c Conn) bool {
			taken.Add(1)
			c.Close()
			return true
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return taken
}

// sender is one process that hands a connection over, and stays.
func sender(t *testing.T, dir string) *Sender {
	t.Helper()
	s, err := Dial(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// conn is a client's connection.
func conn(t *testing.T) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestAThousandHandOver has 1,024 processes hand a connection over, all at once in that none ends before the last one has: every
// connection is taken and acknowledged. The next process is told at once that it keeps its own, and the log says why.
func TestAThousandHandOver(t *testing.T) {
	told := &text{}
	t.Cleanup(logging.Use(logging.New(told, slog.LevelInfo)))
	dir, client := t.TempDir(), conn(t)
	var lent atomic.Int64
	taken := receiver(t, dir, func(context.Context) (func(), error) {
		lent.Add(1)
		return func() { lent.Add(-1) }, nil
	})
	for i := range 1024 {
		s := sender(t, dir)
		until(t, "a connection is taken", func() bool {
			if s.Send(Conn{Conn: client, Protocol: "postgres"}) != nil { // a busy machine has not answered in 0.3 s
				s = sender(t, dir)
			}
			return taken.Load() > int64(i)
		})
	}
	until(t, "all of them stay, each with a descriptor", func() bool { return lent.Load() == 1024-ownFrom })
	if strings.Contains(told.String(), "refused") {
		t.Errorf("the log says %q", told)
	}
	before := taken.Load()
	late := sender(t, dir)
	until(t, "the 1,025th is refused", func() bool { return strings.Contains(told.String(), "event=fdpass_rejected") })
	if err := late.Send(Conn{Conn: client, Protocol: "postgres"}); !errors.Is(err, ErrNotPassed) || taken.Load() != before {
		t.Errorf("the 1,025th: %v, %d taken", err, taken.Load()-before)
	}
	if !strings.Contains(told.String(), fmt.Sprintf("%q", ProcessLimitError{1024})) {
		t.Errorf("the log says %q", told)
	}
}

// TestRefusedLosesNothing has a process hand a connection over before it is refused, as there is no descriptor for its own: that
// one is taken all the same, and the next one is the sender's still.
func TestRefusedLosesNothing(t *testing.T) {
	dir, client := t.TempDir(), conn(t)
	hold := make(chan struct{})
	taken := receiver(t, dir, func(context.Context) (func(), error) {
		<-hold
		return nil, errors.New("none left")
	})
	first := sender(t, dir)
	if err := first.Send(Conn{Conn: client, Protocol: "postgres"}); err != nil {
		t.Fatal(err)
	}
	until(t, "the first is taken", func() bool { return taken.Load() == 1 })
	second := sender(t, dir)
	passed := make(chan error, 1)
	go func() { passed <- second.Send(Conn{Conn: client, Protocol: "postgres"}) }()
	time.Sleep(50 * time.Millisecond) // it has written; if it has not, it is refused below, which is as good
	close(hold)
	wrote := <-passed
	if wrote == nil {
		until(t, "what was sent before is taken", func() bool { return taken.Load() == 2 })
	} else if !errors.Is(wrote, ErrNotPassed) {
		t.Fatal(wrote)
	}
	if err := second.Send(Conn{Conn: client, Protocol: "postgres"}); !errors.Is(err, ErrNotPassed) {
		t.Error(err)
	}
	if err := first.Send(Conn{Conn: client, Protocol: "postgres"}); err != nil {
		t.Error(err)
	}
}

// TestNobodyHandsOverToItself: where the newer process could not listen, the socket in the folder is this process's own still. It
// must not take its clients over from itself, for ever.
func TestNobodyHandsOverToItself(t *testing.T) {
	dir := t.TempDir()
	own, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer own.l.Close()
	if s, err := Dial(dir, own); !errors.Is(err, ErrNoReceiver) {
		t.Errorf("to itself: %v, %v", s, err)
	}
	receiver(t, dir, nil)
	s, err := Dial(dir, own)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Send(Conn{Conn: conn(t), Protocol: "postgres"}); err != nil {
		t.Errorf("to a newer one: %v", err)
	}
}
