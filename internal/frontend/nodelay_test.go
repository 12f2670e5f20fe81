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

// noDelay reports whether the option TCP_NODELAY is set on a connection.
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

// inheritListener returns a listener on the same socket, opened as by a process that inherits the descriptor.
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
	syscall.SetNonblock(fd, true) // Fd has set the shared socket to blocking mode
	inherited, err := listenfd.Listener(func(string) string { return strconv.Itoa(fd) }, own.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { inherited.Close() })
	return inherited
}

// transferConn transfers a connection through fdpass and returns it as the receiving process gets it.
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

// TestSmallWritesGoOutAtOnce checks that the kernel does not delay small writes on any client connection, because a close with unread bytes
// discards delayed writes. The connections are accepted from the process's own listener, accepted from an inherited listener without
// TCP_NODELAY, and transferred by a process that had cleared TCP_NODELAY.
func TestSmallWritesGoOutAtOnce(t *testing.T) {
	own := listenLocal(t)
	defer own.Close()
	accepted := acceptOne(t, own)
	if !noDelay(t, accepted) {
		t.Error("an accepted connection delays small writes")
	}
	if !noDelay(t, acceptOne(t, inheritListener(t, own))) {
		t.Error("a connection from an inherited listener delays small writes")
	}
	accepted.(*net.TCPConn).SetNoDelay(false)
	if noDelay(t, accepted) {
		t.Fatal("TCP_NODELAY is still set")
	}
	if !noDelay(t, transferConn(t, accepted)) {
		t.Error("a transferred connection delays small writes")
	}
}
