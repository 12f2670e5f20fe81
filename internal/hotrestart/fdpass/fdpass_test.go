package fdpass

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/fake"
	"cranegate/internal/logging"
)

// testTimeout bounds each wait of a test, and allows for a busy machine.
const testTimeout = time.Minute

// startReceiver runs a receiver until the test ends, and returns the counter of the connections that it has received.
func startReceiver(t *testing.T, dir string, reserve func(context.Context) (func(), error)) *atomic.Int64 {
	t.Helper()
	r, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	r.Reserve = reserve
	ctx, cancel := context.WithCancel(context.Background())
	runErr, received := make(chan error, 1), &atomic.Int64{}
	go func() {
		runErr <- r.Run(ctx, func(c Conn) bool {
			received.Add(1)
			c.Close()
			return true
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
	return received
}

// dialSender connects one more sender, which stays connected until the test ends.
func dialSender(t *testing.T, dir string) *Sender {
	t.Helper()
	s, err := Dial(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// newConn returns a client connection.
func newConn(t *testing.T) Conn {
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
	return Conn{Conn: c, Protocol: "postgres"}
}

// until waits until a condition holds.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestThousandSenders has 1,024 senders send a connection each, and all of them stay connected until the last one has sent. Every
// connection must be received and acknowledged. The next sender must get ErrNotPassed at once, and the log must give the reason.
func TestThousandSenders(t *testing.T) {
	log := &fake.LogBuffer{}
	t.Cleanup(logging.Use(logging.New(log, slog.LevelInfo)))
	dir, client := t.TempDir(), newConn(t)
	var reserved atomic.Int64
	received := startReceiver(t, dir, func(context.Context) (func(), error) {
		reserved.Add(1)
		return func() { reserved.Add(-1) }, nil
	})
	for i := range 1024 {
		sender := dialSender(t, dir)
		until(t, "a connection is received", func() bool {
			if sender.Send(client) != nil { // no acknowledgement within 0.3 s on a busy machine
				sender = dialSender(t, dir)
			}
			return received.Load() > int64(i)
		})
	}
	until(t, "all of them stay, each with a descriptor", func() bool { return reserved.Load() == 1024-unreservedSenders })
	if strings.Contains(log.String(), "rejected") {
		t.Errorf("the log says %q", log)
	}
	before := received.Load()
	rejected := dialSender(t, dir)
	until(t, "the 1,025th is rejected", func() bool { return strings.Contains(log.String(), "event=fdpass_rejected") })
	if err := rejected.Send(client); !errors.Is(err, ErrNotPassed) || received.Load() != before {
		t.Errorf("the 1,025th: %v, %d received", err, received.Load()-before)
	}
	if !strings.Contains(log.String(), fmt.Sprintf("%q", ProcessLimitError{1024})) {
		t.Errorf("the log says %q", log)
	}
}

// TestRejectedSenderLosesNothing has a sender send a connection before the receiver rejects the sender for lack of a descriptor. That
// connection must still be received, and the next one must stay with the sender.
func TestRejectedSenderLosesNothing(t *testing.T) {
	dir, client := t.TempDir(), newConn(t)
	reject := make(chan struct{})
	received := startReceiver(t, dir, func(context.Context) (func(), error) {
		<-reject
		return nil, errors.New("none left")
	})
	first := dialSender(t, dir)
	if err := first.Send(client); err != nil {
		t.Fatal(err)
	}
	until(t, "the first is received", func() bool { return received.Load() == 1 })
	second := dialSender(t, dir)
	sent := make(chan error, 1)
	go func() { sent <- second.Send(client) }()
	time.Sleep(50 * time.Millisecond) // usually the send has been written by then; otherwise it is rejected below, which is also valid
	close(reject)
	if err := <-sent; err == nil {
		until(t, "what was sent before is received", func() bool { return received.Load() == 2 })
	} else if !errors.Is(err, ErrNotPassed) {
		t.Fatal(err)
	}
	if err := second.Send(client); !errors.Is(err, ErrNotPassed) {
		t.Error(err)
	}
	if err := first.Send(client); err != nil {
		t.Error(err)
	}
}

// TestNoPassingToItself checks that a process does not pass its clients to itself forever. If the newer process could not listen, the
// socket in the folder is still this process's own.
func TestNoPassingToItself(t *testing.T) {
	dir := t.TempDir()
	own, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer own.listener.Close()
	if s, err := Dial(dir, own); !errors.Is(err, ErrNoReceiver) {
		t.Errorf("Dial to the own socket: %v, %v", s, err)
	}
	startReceiver(t, dir, nil)
	s, err := Dial(dir, own)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Send(newConn(t)); err != nil {
		t.Errorf("Send to a newer receiver: %v", err)
	}
}
