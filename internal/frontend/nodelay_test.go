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

// noDelay reports whether a connection has the option TCP_NODELAY.
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

// acceptOne connects to a listener and returns the accepted connection.
func acceptOne(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted
}

// inheritListener returns a listener as a process has it that inherits another's.
func inheritListener(t *testing.T, own *net.TCPListener) net.Listener {
	t.Helper()
	f, err := own.File()
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
	t.Cleanup(func() { inherited.Close() })
	return inherited
}

// transferConn returns a connection as the process has it to which it is transferred.
func transferConn(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	dir := t.TempDir()
	receiver, err := fdpass.Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	transferred, ended := make(chan net.Conn, 1), make(chan error, 1)
	go func() {
		ended <- receiver.Run(ctx, func(c fdpass.Conn) bool {
			transferred <- c.Conn
			return true
		})
	}()
	defer func() {
		cancel()
		<-ended
	}()
	sender, err := fdpass.Dial(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	if err := sender.Send(fdpass.Conn{Conn: conn, Protocol: "postgres"}); err != nil {
		t.Fatal(err)
	}
	select {
	case c := <-transferred:
		t.Cleanup(func() { c.Close() })
		return c
	case <-time.After(20 * time.Second):
		t.Fatal("the connection was not transferred")
		return nil
	}
}

// TestSmallWritesGoOutAtOnce checks that the system holds back no small writes on any kind of client connection, as a close over
// unread bytes drops what is held back: accepted from a listener of the program's own, from an inherited one without the
// option, or transferred by a process that had cleared the option.
func TestSmallWritesGoOutAtOnce(t *testing.T) {
	own := listenLocal(t)
	defer own.Close()
	accepted := acceptOne(t, own)
	if !noDelay(t, accepted) {
		t.Error("an accepted connection holds small writes back")
	}
	if !noDelay(t, acceptOne(t, inheritListener(t, own))) {
		t.Error("a connection from an inherited listener holds small writes back")
	}
	accepted.(*net.TCPConn).SetNoDelay(false)
	if noDelay(t, accepted) {
		t.Fatal("the option is still set")
	}
	if !noDelay(t, transferConn(t, accepted)) {
		t.Error("a transferred connection holds small writes back")
	}
}
