package frontend_test

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/hotrestart/fdpass"
	"cranegate/internal/hotrestart/listenfd"
)

// noDelay reads whether a connection's small writes go out at once.
func noDelay(t *testing.T, c net.Conn) bool {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	raw.Control(func(fd uintptr) { on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	if err != nil {
		t.Fatal(err)
	}
	return on != 0
}

// TestSmallWritesGoOutAtOnce: a close over unread bytes takes along what the system still holds back. Nothing is held back on
// any kind of connection of a client: accepted from a listener of the program's own, from one that was inherited and does
// not have the option, or passed on by a process that had taken the option away.
func TestSmallWritesGoOutAtOnce(t *testing.T) {
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	accept := func(l net.Listener) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		a, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { a.Close() })
		return a
	}
	taken := accept(own)
	if !noDelay(t, taken) {
		t.Error("an accepted connection holds small writes back")
	}
	f, err := own.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	syscall.SetNonblock(fd, true) // Fd has set it to blocking
	inherited, err := listenfd.Listener(func(string) string { return strconv.Itoa(fd) }, own.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	if !noDelay(t, accept(inherited)) {
		t.Error("a connection from an inherited listener holds small writes back")
	}
	dir := t.TempDir()
	r, err := fdpass.Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	passed, ended := make(chan net.Conn, 1), make(chan error, 1)
	go func() {
		ended <- r.Run(ctx, func(c fdpass.Conn) bool { passed <- c.Conn; return true })
	}()
	defer func() { cancel(); <-ended }()
	s, err := fdpass.Dial(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if taken.(*net.TCPConn).SetNoDelay(false); noDelay(t, taken) {
		t.Fatal("the option can't be seen")
	}
	if err := s.Send(fdpass.Conn{Conn: taken, Protocol: "postgres"}); err != nil {
		t.Fatal(err)
	}
	select {
	case c := <-passed:
		defer c.Close()
		if !noDelay(t, c) {
			t.Error("a connection that was passed on holds small writes back")
		}
	case <-time.After(20 * time.Second):
		t.Error("it was not passed on")
	}
}
