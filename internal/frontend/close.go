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
	closeTimeout      = 300 * time.Millisecond // for the client's close after a connection was ended between requests
	lingerTimeout     = 300 * time.Millisecond // in which bytes are discarded that follow a fatal error
	maxLingerBytes    = 256 << 10              // discarded at most
	busyRejectTimeout = 5 * time.Millisecond   // in place of lingerTimeout where the reject queue is full
)

// close closes a session's connection in the way that fits the protocol's result.
func (s *Session) close(err error) {
	conn := s.Conn.Conn
	switch {
	case err == nil, errors.Is(err, ErrDisconnected), errors.Is(err, errTransferred):
		conn.Close()
	case errors.Is(err, errIdleEvicted):
		closeBetweenRequests(conn, connlimit.EvictionCloseTimeout)
	case errors.Is(err, errDraining), errors.Is(err, os.ErrDeadlineExceeded):
		closeBetweenRequests(conn, closeTimeout)
	default: // an error was sent just before
		closeAfterError(conn, lingerTimeout)
	}
}

// closeBetweenRequests shuts down the sending side and closes the connection once the client has closed, or after the timeout.
// Nothing is read any more: a request that crosses the shutdown stays unread, and the client, which sees a plain end, may
// send it again on another connection. Closing over unread bytes resets the connection, and with it the part of an answer
// that has not arrived; that is why the close comes last.
func closeBetweenRequests(conn net.Conn, timeout time.Duration) {
	defer conn.Close()
	if !closeWrite(conn) {
		return
	}
	deadline := time.Now().Add(timeout)
	conn.SetReadDeadline(deadline)
	if awaitClientClose(conn) { // unread bytes hide the client's close
		time.Sleep(time.Until(deadline))
	}
}

// closeAfterError shuts down the sending side behind an error that was sent, discards for a time what the client still sends,
// and closes the connection: a close over unread bytes would cut the error off.
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

// reject tells a client that there is no slot for it, and closes its connection.
func reject(p Protocol, conn net.Conn) { rejectWithin(p, conn, lingerTimeout) }

// rejectBusy is reject for the accept loop, which can't wait long for one client.
func rejectBusy(p Protocol, conn net.Conn) { rejectWithin(p, conn, busyRejectTimeout) }

func rejectWithin(p Protocol, conn net.Conn, timeout time.Duration) {
	conn.SetWriteDeadline(time.Now().Add(timeout))
	p.Reject(conn)
	closeAfterError(conn, timeout)
}

// closeWrite shuts down the sending side. It returns false where the connection can't be closed on one side.
func closeWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// awaitClientClose waits until the client has closed, the connection's read deadline has passed, or something has come. It
// returns true in the last case; what has come stays unread.
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
