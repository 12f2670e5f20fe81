// Package postgres speaks PostgreSQL's wire protocol to database hosts.
package postgres

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
	"cranegate/routing"
)

const (
	healthCheckQuery = "SHOW pressure"
	userName         = "svc"
	databaseName     = "main"

	maxKeptBuffer = 16 << 10 // bytes of a connection's write buffer that are kept for the next statement
)

// errPasswordRequired is the error of a host that asks for a password, which the gateway has not.
var errPasswordRequired = errors.New("the host wants a password")

// Conn is one connection to a database host.
type Conn struct {
	*framebuf.Conn
	out []byte // the statement to write; the buffer is reused
}

// Start makes a fresh connection ready for a query. It is a backend.Starter.
func Start(raw net.Conn) (backend.Conn, error) {
	c := &Conn{Conn: framebuf.New(raw, pgwire.MaxMessage)}
	return c, c.start()
}

// start writes the startup message and reads up to the first ReadyForQuery.
func (c *Conn) start() error {
	if _, err := c.Write(pgwire.AppendStartup(nil, userName, databaseName)); err != nil {
		return err
	}
	for {
		kind, body, err := pgwire.ReadMessage(c.Conn)
		if err != nil {
			return err
		}
		switch kind {
		case messageReady:
			return nil
		case messageError:
			code := string(pgwire.Field(body, errorFieldCode))
			if code == backend.StateTooManyConnections {
				return backend.ErrRejected
			}
			return fmt.Errorf("error %s", code)
		case messageAuthentication:
			if len(body) != 4 || binary.BigEndian.Uint32(body) != authenticationOK {
				return errPasswordRequired
			}
		}
	}
}

// Exchange runs an attempt, as backend.Conn has it. A break before the last byte is written means that nothing ran; after
// it, that it may have.
func (c *Conn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	c.setStatement(a)
	c.SetWriteDeadline(time.Now().Add(backend.WriteTimeout))
	c.SetReadDeadline(time.Time{}) // the core abandons attempts in time
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return backend.NotSent, true
	}
	stop := backend.CloseOnAbandon(a, c)
	n, err := c.Write(c.out)
	complete := n == len(c.out)
	if cap(c.out) > maxKeptBuffer {
		c.out = nil
	}
	if err != nil && !complete {
		return core.Outcome{Result: routing.ResultConnectFailed}, false
	}
	r := reply{healthCheck: a.Request == nil}
	defer r.close()
	if _, err := c.Need(1); err != nil {
		return r.outcome(), false
	}
	c.SetReadDeadline(time.Now().Add(backend.AnswerTimeout))
	if err := c.readReply(a, &r); err != nil {
		stop()
		return r.brokenOutcome(err), false
	}
	return r.outcome(), stop() && c.Buffered() == 0
}

// setStatement sets the message to write: an attempt's statement, or that of a health check.
func (c *Conn) setStatement(a *core.Attempt) {
	text := healthCheckQuery
	if a.Request != nil {
		statement := a.Request.Payload.(*sqlcomment.Statement)
		text = string(statement.Append(make([]byte, 0, statement.Len()), time.Until(a.Deadline)))
	}
	c.out = pgwire.Append(c.out[:0], messageQuery, text, "\x00")
}

// streamError is an error of an answer that streams to its client.
type streamError struct{ error }

// Unwrap returns the underlying error.
func (e streamError) Unwrap() error { return e.error }

// readReply reads an answer up to ReadyForQuery. A long row streams to the client; a streamError means that it did not
// reach it complete.
func (c *Conn) readReply(a *core.Attempt, r *reply) error {
	for r.state != replyEnded {
		size, isLong, err := c.longRow()
		if err != nil {
			return err
		}
		if isLong && !r.healthCheck {
			err = c.stream(a, r, size)
			if err != nil && !errors.Is(err, pgwire.ErrMalformed) {
				return streamError{err}
			}
		} else {
			err = c.readMessage(r)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// maxMessageBytes bounds the messages of an answer by their kinds. Other kinds have no place there, and whatever begins
// like one is noise: its length is not to be trusted.
var maxMessageBytes = map[byte]int{
	messageRowDescription:  4 << 10,
	messageDataRow:         pgwire.MaxMessage,
	messageCommandComplete: 256,
	messageError:           16 << 10,
	messageNotice:          16 << 10,
	messageParameter:       16 << 10,
	messageReady:           6,
}

// readMessage reads one message of an answer and adds it to the reply.
func (c *Conn) readMessage(r *reply) error {
	head, err := c.Need(1)
	if err != nil {
		return err
	}
	limit, ok := maxMessageBytes[head[0]]
	if !ok {
		return fmt.Errorf("message %q: %w", head[0], pgwire.ErrMalformed)
	}
	if head, err = c.Need(5); err != nil {
		return err
	}
	if n := binary.BigEndian.Uint32(head[1:]); int64(n) > int64(limit) {
		return fmt.Errorf("message %q of %d bytes: %w", head[0], n, framebuf.ErrTooLarge)
	}
	kind, body, err := pgwire.ReadMessage(c.Conn)
	if err != nil {
		return err
	}
	return r.add(kind, body)
}
