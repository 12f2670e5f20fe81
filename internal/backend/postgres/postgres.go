// Package postgres is the client side of PostgreSQL's wire protocol, for connections to database hosts.
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

	maxCopiedMessage = 16 << 10 // bytes
)

// errPasswordRequired is the error of a host that requires a password, which the gateway does not have.
var errPasswordRequired = errors.New("the host requires a password")

// Conn is one connection to a database host.
type Conn struct {
	*framebuf.Conn
	out []byte // for short statements; the buffer is reused
}

// Start runs the protocol's startup on a new connection, which then can take a query. It is a backend.Starter.
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

// Exchange implements backend.Conn. If the connection breaks before the statement's last byte is written, the statement has
// not run; if it breaks later, the statement may have run.
func (c *Conn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	message, size := statementMessage(a)
	c.SetWriteDeadline(time.Now().Add(backend.WriteTimeout))
	c.SetReadDeadline(time.Time{}) // none: the core abandons the attempt at its deadline
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return backend.NotSent, true
	}
	stop := backend.CloseOnAbandon(a, c)
	if n, err := c.writeMessage(message, size); err != nil && n < size {
		return core.Outcome{Result: routing.ResultConnectFailed}, false
	}
	r := reply{healthCheck: a.Request == nil}
	defer r.close()
	if _, err := c.Need(1); err != nil {
		return r.outcome(), false
	}
	c.SetStallTimeout(backend.AnswerStallTimeout)
	defer c.SetStallTimeout(0)
	if err := c.readReply(a, &r); err != nil {
		stop()
		return r.brokenOutcome(err), false
	}
	return r.outcome(), stop() && c.Buffered() == 0
}

// writeMessage writes a message of size bytes and returns how many of them were written. It copies a short message, in order to make
// one write of it.
func (c *Conn) writeMessage(message net.Buffers, size int64) (int64, error) {
	if size > maxCopiedMessage {
		return message.WriteTo(c.Conn.Conn)
	}
	c.out = c.out[:0]
	for _, part := range message {
		c.out = append(c.out, part...)
	}
	n, err := c.Write(c.out)
	return int64(n), err
}

// statementMessage returns the message with an attempt's statement or with the health check's, and its size in bytes. It does not copy
// the statement's text.
func statementMessage(a *core.Attempt) (message net.Buffers, size int64) {
	text := [][]byte{[]byte(healthCheckQuery)}
	if a.Request != nil {
		text = a.Request.Payload.(*sqlcomment.Statement).Text(time.Until(a.Deadline))
	}
	return pgwire.QueryMessage(text)
}

// streamError is an error of an answer that is streamed to its client.
type streamError struct{ error }

// Unwrap returns the underlying error.
func (e streamError) Unwrap() error { return e.error }

// readReply reads an answer up to ReadyForQuery. A long row is streamed to the client; a streamError means that the row did
// not reach the client completely.
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

// maxMessageBytes is the maximum length of an answer's messages, by kind. A message of another kind is noise, and its length
// can't be trusted.
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
