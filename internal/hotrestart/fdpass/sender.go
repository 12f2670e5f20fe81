package fdpass

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// sendTimeout bounds a send: the write and the wait for the acknowledgement.
const sendTimeout = 300 * time.Millisecond

// Sender sends connections to another process. It is safe for concurrent use.
type Sender struct {
	mu   sync.Mutex
	conn *net.UnixConn // nil once a send has failed
}

// Dial connects to the process that receives connections in a folder. own is this process's receiver, or nil. If the newer process
// could not listen, the socket in the folder is still own's, and this process would pass its connections to itself forever.
// ErrNoReceiver reports that there is no other receiver.
func Dial(folder string, own *Receiver) (*Sender, error) {
	dir, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer dir.Close()
	path := socketPath(dir, socketName)
	if own.ownsSocketAt(path) {
		return nil, fmt.Errorf("%w: the socket in %s is this process's own", ErrNoReceiver, folder)
	}
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoReceiver, err)
	}
	return &Sender{conn: conn}, nil
}

// Send passes a connection to the other process. After nil the connection belongs to that process: the caller closes its own copy,
// and must not read from it, write to it or shut it down. ErrNotPassed reports that the connection still belongs to the caller.
// Send takes at most 0.3 s after any earlier send has returned. If a connection was written but not acknowledged, it counts as
// passed, because the other process may have received it, and further sends fail.
func (s *Sender) Send(c Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || s.conn == nil || len(c.Protocol) > maxProtocolBytes {
		return ErrNotPassed
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotPassed, err)
	}
	message := encodeMessage(c)
	s.conn.SetDeadline(time.Now().Add(sendTimeout))
	writeErr := errors.New("the connection is closed")
	err = control.Control(func(descriptor uintptr) {
		_, _, writeErr = s.conn.WriteMsgUnix(message, syscall.UnixRights(int(descriptor)), nil)
	})
	if err != nil || writeErr != nil {
		s.closeLocked()
		return fmt.Errorf("%w: %w", ErrNotPassed, errors.Join(err, writeErr))
	}
	if n, err := s.conn.Read(message[:1]); err != nil || n != 1 {
		s.closeLocked()
	}
	return nil
}

// encodeMessage encodes the message that accompanies a connection's descriptor.
func encodeMessage(c Conn) []byte {
	flags := byte(0)
	if c.Started {
		flags |= flagStarted
	}
	if c.Answered {
		flags |= flagAnswered
	}
	return append([]byte{version, flags}, c.Protocol...)
}

// closeLocked closes the connection to the receiver. s.mu is held, and s.conn is not nil.
func (s *Sender) closeLocked() {
	s.conn.Close()
	s.conn = nil
}

// Close closes the connection to the receiver. Further sends fail.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.closeLocked()
	}
}
