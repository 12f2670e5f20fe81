package frontend

import (
	"errors"
	"io"
	"os"
	"time"
)

// writeTimeout is how long a write to a client may block before the client counts as disconnected.
const writeTimeout = 5 * time.Second

// Send writes to the client. It returns ErrDisconnected if the write fails or takes longer than 5 s.
func (s *Session) Send(b []byte) error {
	s.unanswered = false // even if the client reads nothing
	s.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.Write(b); err != nil {
		return ErrDisconnected
	}
	return nil
}

// StreamWriter returns a writer for answers that are streamed to the client while they arrive from the database host. A
// client may be slow, as long as some bytes can be written every 5 s. Otherwise the writer returns ErrDisconnected.
func (s *Session) StreamWriter() io.Writer { return streamWriter{s} }

// streamWriter is the writer that StreamWriter returns.
type streamWriter struct{ session *Session }

// Write implements io.Writer.
func (w streamWriter) Write(b []byte) (written int, err error) {
	s := w.session
	s.unanswered = false // the client can distinguish a truncated answer from a complete one
	for written < len(b) {
		s.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := s.Write(b[written:])
		written += n
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return written, ErrDisconnected
		}
	}
	return written, nil
}
