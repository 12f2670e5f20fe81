// Package postgres serves the platform's clients, with simple queries of the PostgreSQL wire protocol and without passwords.
package postgres

import (
	"errors"
	"net"

	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/pgwire"
)

// The SQLSTATE codes of the errors with which the gateway itself answers.
const (
	codeRejected    = "53300" // the statement has not run
	codeFailed      = "58000" // the statement may have run
	codeDraining    = "57P01" // the client should use another gateway
	codeSyntax      = "42601"
	codeUnsupported = "0A000"
	codeProtocol    = "08P01"
	codeTooLarge    = "54000"
)

// The severities of those errors.
const (
	severityError = "ERROR"
	severityFatal = "FATAL" // the connection is closed
)

// The parameter for the encoding of texts, and its only value.
const (
	encodingParameter = "client_encoding"
	encoding          = "UTF8"
)

// maxKeptOutput is the largest buffer for answers that is kept between messages, in bytes.
const maxKeptOutput = 16 << 10

// Protocol is the platform's protocol, a subset of PostgreSQL's, as a frontend.Protocol.
type Protocol struct{}

// MaxMessageBytes is the size of the largest message that a client may send.
func (Protocol) MaxMessageBytes() int { return pgwire.MaxMessage }

// Probe returns a ParameterStatus, which a server may send at any time, with a value that the client has already.
func (Protocol) Probe() []byte { return pgwire.AppendParameter(nil, encodingParameter, encoding) }

// Reject writes the error that is sent to a client if there is no slot for it.
func (Protocol) Reject(conn net.Conn) {
	conn.Write(pgwire.AppendError(nil, severityFatal, codeRejected, "too many clients", ""))
}

// Serve serves one client until it terminates the session or its connection has to be closed.
func (Protocol) Serve(session *frontend.Session) error {
	c := &client{Session: session}
	session.Transferable = true
	if !session.Resumed() {
		if ok, err := c.startup(); !ok || err != nil {
			return c.fatal(err)
		}
	}
	for {
		terminated, err := c.serveMessage()
		if err != nil {
			return c.fatal(err)
		}
		if terminated {
			return nil
		}
	}
}

// client is one client's connection.
type client struct {
	*frontend.Session
	out      []byte // the answer to the current message
	skipping bool   // messages are ignored up to Sync, after a message of the extended query protocol
}

// startup answers the client's startup messages. It returns false if no session follows, as after a CancelRequest.
func (c *client) startup() (bool, error) {
	for {
		var code uint32
		err := c.Next(func() (err error) {
			code, _, err = pgwire.ReadStartup(c.Conn)
			return err
		})
		if err != nil {
			return false, err
		}
		switch {
		case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
			if err := c.Send([]byte{'N'}); err != nil {
				return false, err
			}
		case code == pgwire.CancelRequest: // clients get no cancel keys, so there is nothing to cancel
			return false, nil
		case code>>16 != 3: // the protocol's major version
			return false, pgwire.ErrMalformed
		default:
			return true, c.completeStartup()
		}
	}
}

// completeStartup completes the startup: it sends AuthenticationOk, the gateway's parameters and ReadyForQuery.
func (c *client) completeStartup() error {
	c.Started()
	b := pgwire.Append(nil, 'R', "\x00\x00\x00\x00")
	b = pgwire.AppendParameter(b, "server_version", "15.0 (cranegate)")
	b = pgwire.AppendParameter(b, "server_encoding", encoding)
	b = pgwire.AppendParameter(b, encodingParameter, encoding)
	return c.Send(pgwire.AppendReady(b))
}

// serveMessage reads and answers one message. It returns true if the client terminates the session.
func (c *client) serveMessage() (terminated bool, err error) {
	var kind byte
	var body []byte
	c.Transferable = !c.skipping
	err = c.Next(func() (err error) {
		kind, body, err = pgwire.ReadMessage(c.Conn)
		return err
	})
	if err != nil {
		return false, err
	}
	if kind == 'X' {
		return true, nil
	}
	c.out = c.out[:0]
	if c.skipping && kind != 'S' {
		return false, nil
	}
	if err := c.message(kind, body); err != nil {
		return false, err
	}
	if len(c.out) > 0 {
		if err := c.Send(c.out); err != nil {
			return false, err
		}
	}
	if cap(c.out) > maxKeptOutput {
		c.out = nil
	}
	return false, nil
}

// message writes the answer to one message. It returns an error if the connection must be closed.
func (c *client) message(kind byte, body []byte) error {
	switch kind {
	case 'Q':
		return c.query(body)
	case 'P', 'B', 'E', 'D', 'C', 'F':
		c.writeError(codeUnsupported, "simple queries only")
		c.skipping = kind != 'F' // a FunctionCall is not followed by a Sync
		if !c.skipping {
			c.out = pgwire.AppendReady(c.out)
		}
		return c.RecordFault()
	case 'S':
		c.skipping = false
		c.out = pgwire.AppendReady(c.out)
	case 'H', 'd', 'c', 'f': // the protocol has no answer to these
	default:
		return pgwire.ErrMalformed
	}
	return nil
}

// writeError writes an error after which the session continues.
func (c *client) writeError(code, text string) {
	c.out = pgwire.AppendError(c.out, severityError, code, text, "")
}

// fatal sends the client the error that corresponds to err, if any, and returns err. The caller then ends the session.
func (c *client) fatal(err error) error {
	switch {
	case errors.Is(err, framebuf.ErrTooLarge):
		c.sendFatal(codeTooLarge, "message too large")
	case errors.Is(err, framebuf.ErrBudgetExhausted): // before the message was complete, so nothing has run
		c.sendFatal(codeRejected, "no memory for a message")
	case errors.Is(err, frontend.ErrTooManyFaults):
		c.sendFatal(codeSyntax, "too many messages at fault")
	case errors.Is(err, pgwire.ErrMalformed):
		c.sendFatal(codeProtocol, "malformed message")
	}
	return err
}

// sendFatal sends an error after which the connection is closed.
func (c *client) sendFatal(code, text string) {
	c.Send(pgwire.AppendError(nil, severityFatal, code, text, ""))
}
