// Package backend runs the attempts of requests at the database hosts. Each host has an actor that owns its connections.
// Each connection has its own goroutine, which waits for the next attempt and for the host's close at the same time.
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

// Conn is one connection to a host, in the host's protocol. One goroutine calls its methods, except for Wake and Close,
// which any goroutine may call.
type Conn interface {
	// Park waits until Wake is called or the peer sends bytes, and then returns nil. It returns an error once the peer has
	// closed the connection or the time until has passed. It does not wait if woken already returns true.
	Park(until time.Time, woken func() bool) error
	// Wake ends a Park.
	Wake()
	// Alive reports whether the peer has neither closed the connection nor sent bytes that are still unread.
	Alive() bool
	// Exchange runs an attempt and reads the answer. Right before the first byte that may have an effect, it checks that
	// the connection is Alive and then calls Begin. Bytes that arrived while the connection was idle must not be taken for
	// the answer, and a close that arrived then must not look as if the request may have run. If the check fails, Exchange
	// returns NotSent and the attempt goes by another connection. inStep reports whether no answer or part of one is
	// outstanding, so that the connection can run another attempt. Exchange returns soon after the attempt is abandoned.
	Exchange(a *core.Attempt) (outcome core.Outcome, inStep bool)
	Close() error
}

// Starter runs the protocol's startup on a new connection, which then can take an attempt. It needs no context: its caller
// closes the connection when the connect timeout passes. It returns ErrRejected if the host rejected the connection.
type Starter func(raw net.Conn) (Conn, error)

// NotSent is the outcome of an attempt of which no byte was written. It has not run and may still be sent.
var NotSent = core.Outcome{Result: routing.ResultNotSent}

// AnswerStallTimeout is the maximum time without a byte in the middle of an answer, and of the whole answer to a prepare. A host may
// write an answer slowly, up to the attempt's deadline.
const AnswerStallTimeout = 400 * time.Millisecond

// WriteTimeout is the maximum time of a write to a host. Attempts are abandoned earlier. The timeout limits how long a
// connection is blocked by a write that belongs to no attempt, such as the preparation of a statement.
const WriteTimeout = 5 * time.Second

// ErrRejected reports that the host rejected a connection because it has no capacity for it. A Starter returns it.
var ErrRejected = errors.New("rejected by the database host")

// IsMalformed reports whether an error means that an answer can't be parsed, is too large or does not end in time, rather
// than that the connection broke. malformed is the error that the protocol's parser returns for an answer that it can't parse.
func IsMalformed(err, malformed error) bool {
	return errors.Is(err, malformed) || errors.Is(err, framebuf.ErrTooLarge) || errors.Is(err, os.ErrDeadlineExceeded)
}

// CloseOnAbandon closes a connection when an attempt is abandoned. Once stop has returned true it never does, as a later
// close would hit the next attempt.
func CloseOnAbandon(a *core.Attempt, conn io.Closer) (stop func() bool) {
	return context.AfterFunc(a.Context(), func() { conn.Close() })
}
