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

// loopback returns both ends of a new TCP connection. The client's end has a deadline of 20 s.
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

// awaitArrival waits until there are unread bytes from the client in the gateway's socket.
func awaitArrival(gateway *net.TCPConn) {
	raw, err := gateway.SyscallConn()
	if err != nil {
		panic(err)
	}
	gateway.SetReadDeadline(time.Time{}) // the deadline that the gateway has set may have passed
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// steppedConn is the gateway's end of a connection, on which a test can hold reads and writes, to simulate a busy machine. A held read
// does not return its bytes to the session, and a held write does not begin, until the test resumes it.
type steppedConn struct {
	*net.TCPConn
	read, write chan chan struct{} // get a value when a read or write is held; closing the value resumes it
	closed      chan struct{}      // closed when the gateway closes the connection
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

// hold sets whether later reads and writes are held.
func (c *steppedConn) hold(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdReads = reads
	c.holdWrites = writes
}

// step waits until the test resumes the read or write, if it is held. It returns early if the connection is closed.
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

// awaitClientEnd waits until the kernel at the gateway's end has received the client's close or reset.
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
			return true // the gateway has already closed the connection
		}
		return state == tcpClose || state == tcpCloseWait
	})
}

// connectStepped connects a client by TCP. The gateway's end is a steppedConn.
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
