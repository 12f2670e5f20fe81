package framebuf

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Left says whether the peer has closed its connection, or reset it, as far as that shows without a wait and without taking
// any bytes: what it sent before may hide it from a read. A half close shows like a close. A peer that has left once does not
// come back: the system tells of a reset only once. Any goroutine may call it.
func (c *Conn) PeerClosed() bool {
	if c.left.Load() {
		return true
	}
	left, more := false, false
	ok := c.control(func(fd int) {
		if left, more = peek(fd); more {
			left = hungUp(fd)
		}
	})
	if left || !ok {
		c.left.Store(true)
	}
	return left || !ok
}

// Established says whether the system holds the connection as open both ways, and whether it says so at all.
func (c *Conn) Established() (yes, known bool) {
	const established = 1 // TCP_ESTABLISHED
	ok := c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		yes, known = err == nil && info.State == established, err == nil
	})
	return yes && ok, known || !ok
}

// Look reads what the peer has sent by now, and says whether it has closed its connection behind that. It doesn't wait. The
// goroutine that owns the connection calls it.
func (c *Conn) Look() bool {
	for {
		left, more := false, false
		if ok := c.control(func(fd int) { left, more = peek(fd) }); !ok || !more {
			return left || !ok
		}
		c.SetReadDeadline(time.Time{}) // one that is over would hide what has come; Park sets its own
		if c.fill(0) != nil {          // there is no room for it, or the connection is broken
			return c.PeerClosed()
		}
	}
}

// control runs a call on the socket below. False says that it is closed; a connection that is no socket runs nothing.
func (c *Conn) control(f func(fd int)) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// peek says whether a socket's next read would tell that the peer has left, or whether it would bring something.
func peek(fd int) (left, more bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0, n > 0
	case syscall.EAGAIN, syscall.EINTR, // nothing has come,
		syscall.ENOSYS, syscall.EOPNOTSUPP, syscall.EINVAL, syscall.ENOMEM, syscall.ENOBUFS: // or nothing is known
		return false, false
	}
	return true, false
}

// hungUp asks the system for a close that stands behind bytes not read yet. Only what can't be anything else counts: the end
// of the peer's stream, and an error of the connection. Where the system doesn't say, the peer is taken to be there. An end
// does not show while the receive buffer is full, as the system can't take it in then; a reset does.
func hungUp(fd int) bool {
	const closeWait = 8 // TCP_CLOSE_WAIT: the peer's end has come
	if e, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && e != 0 {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == closeWait
}
