// Package postgres is the platform's front: PostgreSQL's wire protocol, simple queries and no password.
package postgres

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
)

// The SQLSTATE codes of our own answers.
const (
	codeRefused     = "53300" // trying again is harmless
	codeFailed      = "58000" // nothing is promised
	codeAway        = "57P01" // ask another gateway
	codeSyntax      = "42601"
	codeUnsupported = "0A000"
	codeProtocol    = "08P01"
	codeTooLarge    = "54000"
)

// Front speaks the platform's protocol.
type Protocol struct{}

// Limit bounds a message's size.
func (Protocol) MaxMessageBytes() int { return pgwire.MaxMessage }

// Reject refuses a client for which there is no room.
func (Protocol) Reject(c net.Conn) {
	c.Write(pgwire.AppendError(nil, "FATAL", codeRefused, "too many clients", ""))
}

// Serve talks to one client.
func (Protocol) Serve(x *frontend.Session) error {
	c := &client{Session: x}
	x.Transferable = true
	if !x.Resumed() {
		if ok, err := c.startup(); !ok || err != nil {
			return c.fatal(err)
		}
	}
	for {
		var kind byte
		var body []byte
		x.Transferable = !c.skipping
		err := x.Next(func() (err error) { kind, body, err = pgwire.ReadMessage(x.Conn); return err })
		if err != nil {
			return c.fatal(err)
		}
		c.out = c.out[:0]
		if c.skipping && kind != 'S' && kind != 'X' {
			continue
		}
		switch kind {
		case 'Q':
			err = c.query(body)
		case 'X':
			return nil
		case 'P', 'B', 'E', 'D', 'C', 'F':
			c.out = pgwire.AppendError(c.out, "ERROR", codeUnsupported, "simple queries only", "")
			if c.skipping = kind != 'F'; !c.skipping {
				c.out = pgwire.AppendReady(c.out)
			}
			err = c.RecordFault()
		case 'S':
			c.skipping = false
			c.out = pgwire.AppendReady(c.out)
		case 'H', 'd', 'c', 'f': // nothing is owed for these
		default:
			err = pgwire.ErrMalformed
		}
		if err == nil && len(c.out) > 0 {
			err = x.Send(c.out)
		}
		if err != nil {
			return c.fatal(err)
		}
		if cap(c.out) > 16<<10 {
			c.out = nil
		}
	}
}

// client is one client's connection.
type client struct {
	*frontend.Session
	out      []byte
	skipping bool // an extended query has failed: messages up to Sync are passed over
}

// startup reads the client's first messages and welcomes it. False says that it asked for nothing more.
func (c *client) startup() (bool, error) {
	for {
		var code uint32
		err := c.Next(func() (err error) { code, _, err = pgwire.ReadStartup(c.Conn); return err })
		if err != nil {
			return false, err
		}
		switch {
		case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
			if err := c.Send([]byte{'N'}); err != nil {
				return false, err
			}
			continue
		case code == pgwire.CancelRequest: // no keys are given out, so there is nothing to cancel
			return false, nil
		case code>>16 != 3:
			return false, pgwire.ErrMalformed
		}
		c.Started()
		b := pgwire.Append(nil, 'R', "\x00\x00\x00\x00")
		b = pgwire.AppendParameter(b, "server_version", "15.0 (cranegate)")
		b = pgwire.AppendParameter(b, "server_encoding", "UTF8")
		b = pgwire.AppendParameter(b, "client_encoding", "UTF8")
		return true, c.Send(pgwire.AppendReady(b))
	}
}

// fatal tells the client why its connection ends, where that is its doing.
func (c *client) fatal(err error) error {
	switch {
	case errors.Is(err, framebuf.ErrTooLarge):
		c.Send(pgwire.AppendError(nil, "FATAL", codeTooLarge, "message too large", ""))
	case errors.Is(err, framebuf.ErrBudgetExhausted): // nothing of it was taken
		c.Send(pgwire.AppendError(nil, "FATAL", codeRefused, "no memory for a message", ""))
	case errors.Is(err, frontend.ErrTooManyFaults):
		c.Send(pgwire.AppendError(nil, "FATAL", codeSyntax, "too many messages at fault", ""))
	case errors.Is(err, pgwire.ErrMalformed):
		c.Send(pgwire.AppendError(nil, "FATAL", codeProtocol, "malformed message", ""))
	}
	return err
}

// query answers one simple query.
func (c *client) query(body []byte) error {
	text, rest, err := pgwire.Text(body)
	if err != nil || len(rest) > 0 {
		return pgwire.ErrMalformed
	}
	if len(bytes.Trim(text, " \t\r\n;")) == 0 {
		<-c.Core().Ready()
		if c.RecordSuccess(); c.Draining() {
			c.out = pgwire.AppendError(c.out, "ERROR", codeAway, "this gateway sends its clients away", "")
		} else {
			c.out = pgwire.Append(c.out, 'I')
		}
		c.out = pgwire.AppendReady(c.out)
		return nil
	}
	s, err := sqlcomment.Parse(text)
	if err == nil && !c.Core().HasClass(s.Class) {
		err = errors.New("unknown class")
	} else if err == nil && s.ID == "" { // database hosts close on it, whatever else they hold
		err = errors.New("no id")
	}
	var a core.Answer
	if err == nil {
		a, err = c.Do(&core.Request{Class: s.Class, Group: s.Group, Session: s.Key, Timeout: s.Timeout, MinPosition: s.MinPosition,
			Retry: s.Retry, Payload: s}, s.ID, len(text))
		if err != nil && !errors.Is(err, frontend.ErrDuplicateID) {
			return err
		}
	}
	if err != nil {
		c.Counters().Add("postgres_statements_unknown", 1)
		c.out = pgwire.AppendReady(pgwire.AppendError(c.out, "ERROR", codeSyntax, err.Error(), ""))
		return c.RecordFault()
	}
	switch a.Status {
	case core.Served:
		if long, ok := a.Value.(io.WriterTo); ok {
			if n, err := long.WriteTo(c.Session.StreamWriter()); err != nil { // the client sees that it is not whole
				c.Counters().Add("streams_cut", 1)
				slog.Warn("stream_cut", "id", s.ID, "bytes", n, "error", err)
				return frontend.ErrDisconnected
			}
			break
		}
		c.out = append(c.out, a.Value.([]byte)...)
	case core.Rejected:
		after := ""
		if a.RetryAfter > 0 {
			after = strconv.FormatInt(int64((a.RetryAfter+time.Millisecond-1)/time.Millisecond), 10)
		}
		c.out = pgwire.AppendError(c.out, "ERROR", codeRefused, "refused, nothing has run", after)
	case core.Failed:
		c.out = pgwire.AppendError(c.out, "ERROR", codeFailed, "failed, it may have run", "")
	}
	c.out = pgwire.AppendReady(c.out)
	return nil
}
