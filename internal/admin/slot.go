package admin

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Grace periods during which a caller can't be evicted. After them it is evicted if another caller needs the slot. A caller whose action
// is running is not evicted.
const (
	readGrace       = 20 * time.Millisecond  // to send the request's header; also to send the rest of the body after the answer
	unreadGrace     = 500 * time.Millisecond // for the header, while this process, short of processor time, has not read bytes that have arrived
	contentionGrace = 250 * time.Millisecond // added for the header while other callers delay the end of their answers
	writeGrace      = 30 * time.Millisecond  // to read the part of the answer that the system's buffers can't hold
)

// socketBufferBytes is a size up to which a Write to a new socket never blocks, because the send buffer of such a socket is larger.
const socketBufferBytes = 8 << 10

// slotPhase is the phase of the call on a connection.
type slotPhase int

const (
	phaseReading   slotPhase = iota // the request's header is not complete
	phaseActing                     // the action is running
	phaseAnswering                  // the answer is being written
	phaseAnswered                   // the answer has been written, and the connection is not closed yet
	phaseClosed                     // the connection is closed or was evicted
)

// slotKey is the key of a connection's slot in the context of its request.
type slotKey struct{}

// slot is an accepted connection, which waits for one of the limiter's slots, has one or has released it.
type slot struct {
	net.Conn
	limiter    *limiter
	phase      slotPhase // guarded by limiter.mu
	phaseSince time.Time // guarded by limiter.mu

	reading      atomic.Bool  // net/http waits in Read for the caller
	writingSince atomic.Int64 // when a Write of more than socketBufferBytes began, in Unix ns; 0 if none runs
}

// Read marks the slot while net/http waits for the caller. It does not mark it during net/http's background read of
// one byte. That read detects that the caller disconnects. It begins once the header is complete, shortly before the handler runs.
func (s *slot) Read(b []byte) (int, error) {
	if len(b) > 1 {
		s.reading.Store(true)
		defer s.reading.Store(false)
	}
	return s.Conn.Read(b)
}

// Write marks the slot while it writes more than socketBufferBytes, because such a write may block.
func (s *slot) Write(b []byte) (int, error) {
	if len(b) > socketBufferBytes {
		s.writingSince.Store(time.Now().UnixNano())
		defer s.writingSince.Store(0)
	}
	return s.Conn.Write(b)
}

// setPhase changes the slot's phase. It reports false if the connection is closed or was evicted.
func (s *slot) setPhase(phase slotPhase) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if s.phase == phaseClosed {
		return false
	}
	s.phase = phase
	s.phaseSince = time.Now()
	return true
}

// Close closes the connection and releases the slot.
func (s *slot) Close() error {
	err := s.Conn.Close()
	s.limiter.release(s)
	return err
}

// CloseWrite closes the sending side of the connection. net/http calls it if it has not read the whole request, and closes the connection
// some time later, so that the caller can read the answer before the connection is reset.
func (s *slot) CloseWrite() error {
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return net.ErrClosed
}

// evictableAt returns the time from which on the connection may be evicted. It is zero while the call waits for this process and not for
// the caller. limiter.mu must be held.
func (s *slot) evictableAt(now time.Time) time.Time {
	switch s.phase {
	case phaseReading:
		if !s.reading.Load() {
			return time.Time{}
		}
		at := s.phaseSince.Add(readGrace)
		if at.After(now) || !s.hasUnread() {
			return at
		}
		return s.phaseSince.Add(unreadGrace)
	case phaseAnswering:
		if since := s.writingSince.Load(); since != 0 {
			return time.Unix(0, since).Add(writeGrace)
		}
	case phaseAnswered:
		return s.phaseSince.Add(readGrace)
	}
	return time.Time{}
}

// hasUnread reports whether bytes have arrived that this process has not read.
func (s *slot) hasUnread() (unread bool) {
	c, ok := s.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
