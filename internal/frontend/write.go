package frontend

import (
	"errors"
	"io"
	"os"
	"time"
)

// writeTimeout is how long a client may take nothing of what is written before it counts as disconnected.
const writeTimeout = 5 * time.Second

// Send writes to the client. It returns ErrDisconnected where the client does not take all of it within 5 s.
func (s *Session) Send(b []byte) error {
	s.unanswered = false // also where the client takes nothing
	s.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.Write(b); err != nil {
		return ErrDisconnected
	}
	return nil
}

// StreamWriter returns a writer for answers that are forwarded as they come. A client may be slow, as long as it takes
// something within 5 s; the writer returns ErrDisconnected otherwise.
func (s *Session) StreamWriter() io.Writer { return streamWriter{s} }

type streamWriter struct{ session *Session }

// Write implements io.Writer.
func (w streamWriter) Write(b []byte) (written int, err error) {
	s := w.session
	s.unanswered = false // the client can tell an answer that breaks off from a complete one
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
