package frontend

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	endFor    = 300 * time.Millisecond // a connection that was ended between requests waits so long for its client's close,
	letGoFor  = 50 * time.Millisecond  // and so long where a new client waits for its place
	lingerFor = 300 * time.Millisecond // what follows an error that ends a connection is passed over so long,
	lingerMax = 256 << 10              // and so many bytes of it
	brushFor  = 5 * time.Millisecond   // likewise where many others are being told already
)

// close ends a session's connection, as the error of its front says.
func (x *Session) close(err error) {
	conn := x.Conn.Conn
	switch {
	case err == nil, errors.Is(err, ErrDisconnected), errors.Is(err, errPassed):
		conn.Close()
	case errors.Is(err, errLetGo):
		end(conn, letGoFor)
	case errors.Is(err, errSentAway), errors.Is(err, os.ErrDeadlineExceeded):
		end(conn, endFor)
	default: // an error was sent just before
		linger(conn)
	}
}

// end shuts a connection between requests and closes it once its client has closed, or after a time. Nothing is read
// any more: a request that crosses the shutdown stays unread, so that its client, which sees a plain end, may send it
// again on another connection. A close over it resets the connection, and takes along what of an answer has not
// arrived; that is why the close comes last.
func end(conn net.Conn, wait time.Duration) {
	defer conn.Close()
	if !shut(conn) {
		return
	}
	until := time.Now().Add(wait)
	conn.SetReadDeadline(until)
	if crossed(conn) { // the client's close can't be seen behind it
		time.Sleep(time.Until(until))
	}
}

// linger shuts a connection on which an error was sent, and closes it. What the client goes on to send is passed over
// for a while: a close with something unread would cut the error off.
func linger(conn net.Conn) { pass(conn, lingerFor) }

// brush tells a client that there is no room for it, and takes no longer than a busy accept can bear.
func brush(f Protocol, conn net.Conn) {
	conn.SetWriteDeadline(time.Now().Add(brushFor))
	f.Reject(conn)
	pass(conn, brushFor)
}

// pass shuts a connection, passes over what comes for a time, and closes it.
func pass(conn net.Conn, wait time.Duration) {
	defer conn.Close()
	if !shut(conn) {
		return
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	b := make([]byte, 4<<10)
	for left := lingerMax; left > 0; {
		n, err := conn.Read(b)
		if left -= n; err != nil {
			return
		}
	}
}

// shut ends the sending on a connection. False says that it can't be ended alone.
func shut(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// crossed waits until the client has closed, or the connection's deadline for reads has passed, or something has come;
// that is true, and what has come stays unread.
func crossed(conn net.Conn) (some bool) {
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
		some = err == nil && n > 0
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
	return some
}
