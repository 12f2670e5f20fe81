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

// pausableConn is the gateway's end of a connection, on which a test can pause reads and writes, to simulate a busy machine. A paused
// read does not return its bytes to the session, and a paused write does not begin, until the test resumes it.
type pausableConn struct {
	*net.TCPConn
	pausedRead, pausedWrite chan chan struct{} // get a value when a read or write is paused; closing the value resumes it
	closed                  chan struct{}      // closed when the gateway closes the connection
	closeOnce               sync.Once

	mu          sync.Mutex
	pauseReads  bool
	pauseWrites bool
}

func newPausableConn(conn *net.TCPConn) *pausableConn {
	return &pausableConn{
		TCPConn:     conn,
		pausedRead:  make(chan chan struct{}),
		pausedWrite: make(chan chan struct{}),
		closed:      make(chan struct{}),
	}
}

// pause sets whether later reads and writes are paused.
func (c *pausableConn) pause(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauseReads = reads
	c.pauseWrites = writes
}

// awaitResume waits until the test resumes the read or write, if it is paused. It returns early if the connection is closed.
func (c *pausableConn) awaitResume(paused *bool, steps chan chan struct{}) {
	c.mu.Lock()
	isPaused := *paused
	c.mu.Unlock()
	if !isPaused {
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

func (c *pausableConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.awaitResume(&c.pauseReads, c.pausedRead)
	return n, err
}

func (c *pausableConn) Write(b []byte) (int, error) {
	c.awaitResume(&c.pauseWrites, c.pausedWrite)
	return c.TCPConn.Write(b)
}

func (c *pausableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// awaitClientEnd waits until the kernel at the gateway's end has received the client's close or reset.
func (c *pausableConn) awaitClientEnd(t *testing.T) {
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

// connectPausable connects a client by TCP. The gateway's end is a pausableConn.
func (h *testHarness) connectPausable(t *testing.T) (client *net.TCPConn, gateway *pausableConn) {
	t.Helper()
	client, conn := loopback(t)
	gateway = newPausableConn(conn)
	t.Cleanup(func() { gateway.Close() })
	h.listener.conns <- gateway
	return client, gateway
}

// login connects a client by TCP and completes the startup.
func (h *testHarness) login(t *testing.T) (*net.TCPConn, *pausableConn) {
	t.Helper()
	client, gateway := h.connectPausable(t)
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
