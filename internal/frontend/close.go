package frontend

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cranegate/internal/frontend/connlimit"
)

const (
	closeTimeout      = 300 * time.Millisecond // for the client to close its side when a session ends between two requests
	lingerTimeout     = 300 * time.Millisecond // how long further bytes from the client are discarded after a fatal error
	maxLingerBytes    = 256 << 10              // how many of them are discarded at most
	busyRejectTimeout = 5 * time.Millisecond   // replaces lingerTimeout if the reject queue is full
)

// close closes a session's connection. The way depends on the error with which the session ended.
func (s *Session) close(err error) {
	conn := s.Conn.Conn
	switch {
	case err == nil, errors.Is(err, ErrDisconnected), errors.Is(err, errTransferred):
		conn.Close()
	case errors.Is(err, errIdleEvicted):
		closeBetweenRequests(conn, connlimit.EvictionCloseTimeout)
	case errors.Is(err, errDraining), errors.Is(err, os.ErrDeadlineExceeded):
		closeBetweenRequests(conn, closeTimeout)
	default: // the protocol has just sent an error to the client
		closeAfterError(conn, lingerTimeout)
	}
}

// closeBetweenRequests shuts down the sending side, and closes the connection once the client has closed its side or after the
// timeout. It reads nothing more: a request that arrives now stays unread, and the client, which sees the connection end
// normally, may send it again on another connection. Closing a connection with unread bytes resets it, and the client then
// loses any part of an answer that has not reached it yet. For this reason the close comes last.
func closeBetweenRequests(conn net.Conn, timeout time.Duration) {
	defer conn.Close()
	if !closeWrite(conn) {
		return
	}
	deadline := time.Now().Add(timeout)
	conn.SetReadDeadline(deadline)
	if awaitClientClose(conn) { // there are unread bytes, behind which the client's close can't be seen
		time.Sleep(time.Until(deadline))
	}
}

// closeAfterError shuts down the sending side after an error was sent, discards what the client still sends until the timeout,
// and closes the connection. A close with unread bytes would reset the connection, and the client could lose the error.
func closeAfterError(conn net.Conn, timeout time.Duration) {
	defer conn.Close()
	if !closeWrite(conn) {
		return
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	b := make([]byte, 4<<10)
	for left := maxLingerBytes; left > 0; {
		n, err := conn.Read(b)
		left -= n
		if err != nil {
			return
		}
	}
}

// reject sends the error for a client without a slot, and closes its connection.
func reject(p Protocol, conn net.Conn) { rejectWithin(p, conn, lingerTimeout) }

// rejectBusy is like reject, but fast enough for the accept loop, which can't wait long for one client.
func rejectBusy(p Protocol, conn net.Conn) { rejectWithin(p, conn, busyRejectTimeout) }

// rejectWithin rejects a client. The timeout applies to the write of the error, and again to the close.
func rejectWithin(p Protocol, conn net.Conn, timeout time.Duration) {
	conn.SetWriteDeadline(time.Now().Add(timeout))
	p.Reject(conn)
	closeAfterError(conn, timeout)
}

// closeWrite shuts down the sending side. It returns false if the connection does not support that, or if it fails.
func closeWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// awaitClientClose waits until the client has closed its side, the connection's read deadline has passed, or bytes have
// arrived. It returns true in the last case, and leaves the bytes unread.
func awaitClientClose(conn net.Conn) (unread bool) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread
}
