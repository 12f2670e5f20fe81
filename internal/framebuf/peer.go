package framebuf

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in the kernel's TCP_INFO.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has closed its side
)

// PeerClosed reports whether the peer has closed its connection, or reset it, as far as that shows without blocking and without reading
// any bytes: what the peer sent before may hide its close from a read. A half close shows like a close. Once PeerClosed has reported true
// it always does, as the system reports a reset only once. Any goroutine may call it.
func (c *Conn) PeerClosed() bool {
	if c.peerClosed.Load() {
		return true
	}
	closed := false
	ok := c.control(func(fd int) {
		var more bool
		closed, more = peekSocket(fd)
		if more {
			closed = closedBehindUnread(fd)
		}
	})
	if closed || !ok {
		c.peerClosed.Store(true)
	}
	return closed || !ok
}

// Established reports whether the system has the connection as open both ways, and whether it gives its state at all.
func (c *Conn) Established() (established, known bool) {
	ok := c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
		known = err == nil
	})
	return established && ok, known || !ok
}

// ReadAvailable reads what the peer has sent by now, and reports whether it has closed its connection behind that. It doesn't block. Only
// the goroutine that owns the connection may call it.
func (c *Conn) ReadAvailable() (closed bool) {
	for {
		closed, more := false, false
		ok := c.control(func(fd int) { closed, more = peekSocket(fd) })
		if !ok {
			return true
		}
		if !more {
			return closed
		}
		c.SetReadDeadline(time.Time{}) // a deadline that has passed would hide what has come; Park sets its own
		if c.fill(0) != nil {          // there is no memory for it, or the connection is broken
			return c.PeerClosed()
		}
	}
}

// control runs f on the connection's socket. It reports false if that is closed. On a connection without a socket f does not run.
func (c *Conn) control(f func(fd int)) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// peekSocket reports whether a socket's next read would return the peer's close or an error, or whether it would return bytes.
func peekSocket(fd int) (closed, more bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0, n > 0
	case syscall.EAGAIN, syscall.EINTR: // nothing has come
		return false, false
	case syscall.ENOSYS, syscall.EOPNOTSUPP, syscall.EINVAL, syscall.ENOMEM, syscall.ENOBUFS: // nothing is known
		return false, false
	}
	return true, false
}

// closedBehindUnread asks the system for a close behind bytes that were not read yet. Only the unambiguous counts: the end
// of the peer's stream, and an error of the connection. Where the system gives no state, the peer is taken to be there. A close
// does not show while the receive buffer is full, as the system can't accept it then; a reset does.
func closedBehindUnread(fd int) bool {
	if errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && errno != 0 {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == tcpCloseWait
}
