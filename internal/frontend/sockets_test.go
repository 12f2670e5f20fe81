package frontend_test

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cranegate/internal/fake"
)

// loopback returns both ends of a TCP connection. The client's has a deadline of 20 s.
func loopback(t *testing.T) (client, gateway *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near.SetDeadline(time.Now().Add(20 * time.Second))
	return near.(*net.TCPConn), far.(*net.TCPConn)
}

// awaitArrival waits until bytes of the client lie in the gateway's socket.
func awaitArrival(gateway *net.TCPConn) {
	raw, err := gateway.SyscallConn()
	if err != nil {
		panic(err)
	}
	gateway.SetReadDeadline(time.Time{}) // the gateway's last one may have passed
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// steppedConn is the gateway's end of a connection. While it is held, what a read has returned reaches the session only when the
// test lets it, as on a busy machine, and likewise a write goes out.
type steppedConn struct {
	*net.TCPConn
	read, write chan chan struct{} // a read has returned, or a write is about to begin: closing the value lets it go on
	closed      chan struct{}
	closeOnce   sync.Once

	mu         sync.Mutex
	holdReads  bool
	holdWrites bool
}

func newSteppedConn(conn *net.TCPConn) *steppedConn {
	return &steppedConn{
		TCPConn: conn,
		read:    make(chan chan struct{}),
		write:   make(chan chan struct{}),
		closed:  make(chan struct{}),
	}
}

func (c *steppedConn) hold(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdReads = reads
	c.holdWrites = writes
}

// step waits for the test where the connection is held.
func (c *steppedConn) step(held *bool, steps chan chan struct{}) {
	c.mu.Lock()
	isHeld := *held
	c.mu.Unlock()
	if !isHeld {
		return
	}
	resume := make(chan struct{})
	select {
	case steps <- resume:
	case <-c.closed:
		return
	}
	select {
	case <-resume:
	case <-c.closed:
	}
}

func (c *steppedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.step(&c.holdReads, c.read)
	return n, err
}

func (c *steppedConn) Write(b []byte) (int, error) {
	c.step(&c.holdWrites, c.write)
	return c.TCPConn.Write(b)
}

func (c *steppedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// awaitClientEnd waits until the gateway's system has the client's end, or its reset.
func (c *steppedConn) awaitClientEnd(t *testing.T) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the client's end", func() bool {
		const tcpClose, tcpCloseWait = 7, 8
		var state uint8
		if raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		}) != nil {
			return true // the gateway has closed it already
		}
		return state == tcpClose || state == tcpCloseWait
	})
}

// connectStepped connects a client by TCP, whose gateway end can be held.
func (h *testHarness) connectStepped(t *testing.T) (client *net.TCPConn, gateway *steppedConn) {
	t.Helper()
	client, conn := loopback(t)
	gateway = newSteppedConn(conn)
	t.Cleanup(func() { gateway.Close() })
	h.listener.conns <- gateway
	return client, gateway
}

// login connects a client by TCP and completes the startup.
func (h *testHarness) login(t *testing.T) (*net.TCPConn, *steppedConn) {
	t.Helper()
	client, gateway := h.connectStepped(t)
	var err error
	if h.mysql {
		_, err = fake.DialMySQL(client, 0)
	} else {
		_, err = fake.DialPostgres(client, "")
	}
	if err != nil {
		t.Fatal(err)
	}
	return client, gateway
}
