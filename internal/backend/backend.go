// Package backend runs attempts at the database hosts. Each host is an actor that owns its connections; each
// connection has a goroutine of its own that waits for an attempt and for the peer's close at once.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/routing"
)

// Conn is one connection to a host, in the host's protocol. One goroutine calls it, except for Wake and Close, which any
// goroutine may call.
type Conn interface {
	// Park waits until Wake is called, the peer sends anything (both return nil) or closes, or the time is over.
	Park(until time.Time, woken func() bool) error
	// Wake ends a Park.
	Wake()
	// Alive reports whether the peer has neither closed nor sent anything.
	Alive() bool
	// Exchange runs an attempt and reads the answer. Right before the first byte that may have an effect it checks that
	// the connection is Alive, and then calls Begin: bytes that came on an idle connection must not be taken for an
	// answer, nor its close for that of a request that may have run. Where the check fails, it returns NotSent and the
	// attempt goes by another connection. The second result reports whether the connection is in step, so that it can run
	// another attempt. Exchange returns soon after the attempt is abandoned.
	Exchange(a *core.Attempt) (outcome core.Outcome, inStep bool)
	Close() error
}

// Starter makes a fresh connection ready for an attempt. It need not watch a context: the connection is closed when its
// time is over. It returns ErrRejected if the host rejected the connection.
type Starter func(raw net.Conn) (Conn, error)

// NotSent is the outcome of an attempt of which no byte was written, and which may still be sent.
var NotSent = core.Outcome{Result: routing.ResultNotSent}

// AnswerTimeout is how long an answer may take from its first byte to its last: hosts write an answer in one go.
const AnswerTimeout = 400 * time.Millisecond

// WriteTimeout is how long a write to a host may take. Attempts are abandoned before; it limits how long a connection is
// blocked by what belongs to no attempt, such as the preparation of a statement.
const WriteTimeout = 5 * time.Second

// ErrRejected is what a Starter returns where the host itself rejected the connection.
var ErrRejected = errors.New("rejected by the database host")

// IsMalformed reports whether an error is due to an answer that can't be read, or does not end, rather than to a connection
// that broke. The protocol's parser returns malformed for an answer that it can't read.
func IsMalformed(err, malformed error) bool {
	return errors.Is(err, malformed) || errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, os.ErrDeadlineExceeded)
}

// CloseOnAbandon closes a connection when an attempt is abandoned. After stop has returned true it never does: a close that
// came later would hit the next attempt.
func CloseOnAbandon(a *core.Attempt, conn io.Closer) (stop func() bool) {
	return context.AfterFunc(a.Context(), func() { conn.Close() })
}
