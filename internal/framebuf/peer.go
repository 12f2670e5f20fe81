package framebuf

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hiddenShare is the part of the receive buffer, as a divisor, from which on unread bytes may close the receive window. The system counts
// more than the bytes themselves, and opens the window again only for a whole segment.
const hiddenShare = 4

// States of a TCP connection in the kernel's TCP_INFO.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has closed its side
)

// PeerClosed reports whether the peer has closed or reset the connection, as far as this can be seen without blocking and
// without reading any bytes. Bytes that the peer sent before may hide its close from a read. A half close looks like a close.
// Once PeerClosed has reported true it always does, as the system reports a reset only once. Any goroutine may call it.
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

// CloseHidden reports whether the peer may have closed the connection without a way to see it: with many unread bytes in the system's
// receive buffer, neither more bytes nor a close can arrive. Where the system does not tell the receive window, any unread bytes count.
// Any goroutine may call it.
func (c *Conn) CloseHidden() bool {
	hidden := false
	c.control(func(fd int) {
		if _, more := peekSocket(fd); !more {
			return
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != tcpEstablished {
			return
		}
		unread, _ := unix.IoctlGetInt(fd, unix.SIOCINQ)
		capacity, _ := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
		hidden = info.Rcv_wnd == 0 || unread >= capacity/hiddenShare
	})
	return hidden
}

// Unacknowledged returns the number of bytes that were written and that the peer's system has not acknowledged yet. It is 0 on a
// connection without a socket. Any goroutine may call it.
func (c *Conn) Unacknowledged() int {
	bytes := 0
	c.control(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Established reports whether the system's state of the connection is open in both directions, and whether the system gives a
// state at all. A connection that was closed on this side is known not to be established.
func (c *Conn) Established() (established, known bool) {
	ok := c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
		known = err == nil
	})
	return established && ok, known || !ok
}

// ReadAvailable reads the bytes that the peer has sent so far, and reports whether the peer has closed the connection after
// them. It does not block. Only the goroutine that owns the connection may call it.
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
		c.SetReadDeadline(time.Time{}) // a passed deadline would keep the bytes from being read; Park sets its own
		if c.fill(0) != nil {          // there is no memory for the bytes, or the connection is broken
			return c.PeerClosed()
		}
	}
}

// control runs f on the connection's socket. It reports false if the socket is closed. On a connection without a socket, f does
// not run.
func (c *Conn) control(f func(fd int)) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// peekSocket reports whether a socket's next read would return the peer's close or an error (closed), or bytes (more).
func peekSocket(fd int) (closed, more bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0, n > 0
	case syscall.EAGAIN, syscall.EINTR: // nothing has arrived
		return false, false
	case syscall.ENOSYS, syscall.EOPNOTSUPP, syscall.EINVAL, syscall.ENOMEM, syscall.ENOBUFS: // no evidence about the peer
		return false, false
	}
	return true, false
}

// closedBehindUnread reports whether the system has received a close behind bytes that are still unread. Only unambiguous
// evidence counts: the end of the peer's stream, or an error of the connection. If the system gives no state, the peer counts
// as connected. While the receive buffer is full the system can't accept a close, which is then not reported; a reset is.
func closedBehindUnread(fd int) bool {
	if errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && errno != 0 {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == tcpCloseWait
}
