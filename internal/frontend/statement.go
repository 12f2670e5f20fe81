package frontend

import (
	"errors"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/sqlcomment"
)

// ErrUnknownClass is returned for a statement whose request class is not configured.
var ErrUnknownClass = errors.New("unknown class")

// ParseStatement parses a statement of the message that was read last. A long text is not copied: the connection's buffer is left to
// the statement if nothing else is in it. The message must not be used afterwards.
func (s *Session) ParseStatement(text []byte) (*sqlcomment.Statement, error) {
	if s.Detach(len(text)) {
		return sqlcomment.ParseOwned(text)
	}
	return sqlcomment.Parse(text)
}

// NewRequest returns a request for a statement. The payload is the statement in the form of the client's protocol.
func NewRequest(s *sqlcomment.Statement, payload any) *core.Request {
	return &core.Request{
		Class:       s.Class,
		Group:       s.Group,
		Session:     s.Key,
		Timeout:     s.Timeout,
		MinPosition: s.MinPosition,
		Retry:       s.Retry,
		Payload:     payload,
	}
}

// RetryAfterMillis returns a rejected request's Retry-After in milliseconds, rounded up, or 0 if it has none.
func RetryAfterMillis(a core.Answer) int64 {
	return int64((a.RetryAfter + time.Millisecond - 1) / time.Millisecond)
}
