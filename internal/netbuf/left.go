package netbuf

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Left says whether the peer has closed its connection, or reset it, as far as that shows without a wait and without taking
// any bytes: what it sent before may hide it from a read. A half close shows like a close. Any goroutine may call it.
func (c *Conn) Left() bool {
	left, _ := c.peek()
	return left
}

// Look reads what the peer has sent by now, and says whether it has closed its connection behind that. It doesn't wait. The
// goroutine that owns the connection calls it.
func (c *Conn) Look() bool {
	for {
		left, more := c.peek()
		if left || !more {
			return left
		}
		c.SetReadDeadline(time.Time{}) // one that is over would hide what has come; Park sets its own
		if c.fill(0) != nil {          // no room for it, and it doesn't show that the peer left; or the next peek does
			return c.Left()
		}
	}
}

// peek says whether the peer has left, and whether there is something to read. A connection that is no socket tells nothing.
func (c *Conn) peek() (left, more bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, false
	}
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == nil && n > 0:
			left, more = hungUp(int(fd)), true
		case e == nil:
			left = true
		default:
			left = !errors.Is(e, syscall.EAGAIN) && !errors.Is(e, syscall.EINTR)
		}
	})
	return left || err != nil, more && err == nil
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
