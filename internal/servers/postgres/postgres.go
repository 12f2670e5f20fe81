// Package postgres speaks PostgreSQL's wire protocol to database hosts.
package postgres

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/netbuf"
	"cranegate/internal/pgwire"
	"cranegate/internal/servers"
	"cranegate/internal/statement"
	"cranegate/rules"
)

// The codes that settle an outcome; every other one may have run.
const (
	codeReadOnly    = "25006" // a write, and this is no primary
	codeBehind      = "72000" // a read that it is too far behind for
	codeTurnedAway  = "53300"
	codeNotNow      = "57P03"
	classRejected   = "42"    // the statement itself can't be used, here or elsewhere: it was read and never begun
	codeProtocol    = "08P01" // likewise
	mostValue       = pgwire.MaxMessage
	writeAtMost     = 5 * time.Second
	probeText       = "SHOW pressure"
	probeUser       = "svc"
	defaultDatabase = "main"
)

// Conn is one connection to a database host.
type Conn struct {
	*netbuf.Conn
	out []byte
}

// Start makes a fresh connection ready for a query.
func Start(raw net.Conn) (servers.Conn, error) {
	c := &Conn{Conn: netbuf.New(raw, pgwire.MaxMessage)}
	return c, c.start()
}

// start says who we are and reads up to the first ReadyForQuery.
func (c *Conn) start() error {
	if _, err := c.Write(pgwire.AppendStartup(nil, probeUser, defaultDatabase)); err != nil {
		return err
	}
	for {
		kind, body, err := pgwire.ReadMessage(c.Conn)
		switch {
		case err != nil:
			return err
		case kind == 'Z':
			return nil
		case kind == 'E' && string(pgwire.Field(body, 'C')) == codeTurnedAway:
			return servers.ErrTurnedAway
		case kind == 'E':
			return fmt.Errorf("error %s", pgwire.Field(body, 'C'))
		case kind == 'R' && (len(body) != 4 || body[0]|body[1]|body[2]|body[3] != 0):
			return errors.New("it wants a password")
		}
	}
}

// Exchange writes an attempt's statement, or the probe's, and reads up to ReadyForQuery. A break before the last
// byte is written means that nothing ran; after it, that it may have.
func (c *Conn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	if a.Request == nil {
		c.out = pgwire.Append(c.out[:0], 'Q', probeText, "\x00")
	} else {
		s := a.Request.Payload.(*statement.Statement)
		text := s.Append(make([]byte, 0, s.Len()), time.Until(a.Until))
		c.out = pgwire.Append(c.out[:0], 'Q', string(text), "\x00")
	}
	if !a.Begin() {
		return core.Outcome{}, true
	}
	stop := context.AfterFunc(a.Context(), func() { c.Close() }) // this is how an attempt is given up
	c.SetWriteDeadline(time.Now().Add(writeAtMost))
	c.SetReadDeadline(time.Time{}) // the core gives attempts up in time
	n, err := c.Write(c.out)
	whole := n == len(c.out)
	if cap(c.out) > 16<<10 {
		c.out = nil
	}
	if err != nil && !whole {
		return core.Outcome{Result: rules.ResultConnectFailed}, false
	}
	r := reply{probe: a.Request == nil}
	for {
		kind, body, err := pgwire.ReadMessage(c.Conn)
		if err != nil {
			return r.outcome(a), false
		}
		if err := r.take(kind, body); err != nil {
			return core.Outcome{Result: rules.ResultReset}, false
		}
		if kind == 'Z' {
			return r.outcome(a), stop() && r.ended()
		}
	}
}

// reply gathers what comes back for one statement.
type reply struct {
	probe    bool
	value    []byte // the messages of the answer, copied: they outlive the buffer
	note     servers.Note
	rows     int
	complete bool
	code     string
	names    []string
}

func (r *reply) ended() bool { return r.complete || r.code != "" }

// take reads one message of the answer.
func (r *reply) take(kind byte, body []byte) error {
	switch kind {
	case 'T', 'D', 'C':
		if len(r.value)+len(body) > mostValue {
			return netbuf.ErrTooLarge
		}
		r.value = pgwire.AppendRaw(r.value, kind, body)
		if kind == 'T' {
			var err error
			r.names, err = pgwire.Names(body)
			return err
		} else if kind == 'D' {
			r.rows++
			columns, err := pgwire.Columns(body)
			if r.probe {
				r.note.Row(r.names, columns)
			}
			return err
		}
		r.complete = true
	case 'E':
		if r.code = string(pgwire.Field(body, 'C')); r.code == "" {
			return pgwire.ErrMalformed
		}
	case 'S':
		name, value, err := pgwire.Parameter(body)
		if err != nil {
			return err
		}
		r.note.Set(string(name), string(value))
	}
	return nil
}

// outcome is the protocol's table of what comes back.
func (r *reply) outcome(a *core.Attempt) core.Outcome {
	o := core.Outcome{Role: r.note.Role, Position: r.note.Position, Report: r.note.Report}
	switch {
	case r.code == codeReadOnly, r.code == codeBehind:
		o.Result = rules.ResultMiss
	case r.code == codeTurnedAway, r.code == codeNotNow && a.Request == nil:
		o.Result = rules.ResultFull
	case strings.HasPrefix(r.code, classRejected), r.code == codeProtocol:
		o.Result = rules.ResultRejected
	case r.code != "":
		o.Result = rules.ResultError
	case r.complete && r.rows == 1:
		o.Result, o.Value = rules.ResultOK, r.value
	case r.complete:
		o.Result = rules.ResultError // no row is no answer, though it ran
	default:
		o.Result = rules.ResultReset
	}
	return o
}
