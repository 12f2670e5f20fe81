// Package mysql is the front for clients that speak the MySQL protocol, with prepared statements.
//
// A statement's comment says what the platform's says: id, c, d, cluster, after, r. As most of these change with
// each execution of a prepared statement, query attributes of the same names stand above the comment; k names
// the session's key where the text does not quote it. Without d a request has its class's whole deadline, without
// cluster it is for group 0, without after it has to see no write, without id the database host sees none.
// Only c is needed; the text of a prepare must hold it, and cluster.
package mysql

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/frontend"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/sqlcomment"
)

// PrepareClass is the class of the prepares themselves: any member may answer one, as often as need be.
const PrepareClass = "(prepare)"

const (
	ourCaps = mysqlwire.CapConnectWithDB | mysqlwire.CapProtocol41 | mysqlwire.CapTransactions |
		mysqlwire.CapSecure | mysqlwire.CapPluginAuth | mysqlwire.CapConnectAttrs | mysqlwire.CapLenencAuth |
		mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF | mysqlwire.CapQueryAttributes
	mostStatements = 256 // that one client may have prepared
	version        = "8.0.0-cranegate"
)

// The errors of our own answers.
var (
	errTooMany   = mysqlwire.Error{Code: 1040, State: "08004", Text: "too many clients"}
	errCommand   = mysqlwire.Error{Code: 1047, State: "08S01", Text: "command not served"}
	errOpen      = mysqlwire.Error{Code: 1062, State: "23000", Text: frontend.ErrDuplicateID.Error()}
	errSyntax    = mysqlwire.Error{Code: 1064, State: "42000"}
	errFailed    = mysqlwire.Error{Code: 1105, State: "HY000", Text: "failed, it may have run"}
	errMemory    = mysqlwire.Error{Code: 1041, State: "HY000", Text: "no memory left for it, nothing has run"}
	errTooLarge  = mysqlwire.Error{Code: 1153, State: "08S01", Text: "packet too large"}
	errArguments = mysqlwire.Error{Code: 1210, State: "HY000", Text: "parameters do not match the statement"}
	errUnknown   = mysqlwire.Error{Code: 1243, State: "HY000", Text: "no such prepared statement"}
	errPrepared  = mysqlwire.Error{Code: 1461, State: "42000", Text: "too many prepared statements"}
	errRefused   = mysqlwire.Error{Code: 1637, State: "HY000", Text: "refused, nothing has run"}
)

// Front speaks the MySQL protocol.
type Protocol struct{}

// Limit bounds a packet's size, with its header.
func (Protocol) MaxMessageBytes() int { return mysqlwire.MaxPacket + 4 }

// Reject refuses a client for which there is no room.
func (Protocol) Reject(c net.Conn) {
	var w mysqlwire.Writer
	w.Err(errTooMany, 0)
	c.Write(w.B)
}

// Serve talks to one client.
func (Protocol) Serve(x *frontend.Session) error {
	c := &client{Session: x, statements: map[uint32]*prepared{}}
	defer c.drop()
	if err := c.login(); err != nil {
		return c.fatal(err)
	}
	for {
		var body []byte
		var seq byte
		err := x.Next(func() (err error) { seq, body, err = mysqlwire.ReadPacket(x.Conn); return err })
		if err != nil {
			return c.fatal(err)
		}
		c.w.Reset(seq + 1)
		if len(body) == 0 {
			return c.fatal(mysqlwire.ErrMalformed)
		}
		if body[0] == mysqlwire.ComQuit {
			return nil
		}
		err = c.command(body[0], body[1:])
		if err == nil {
			err = c.faults
		}
		if err != nil {
			return c.fatal(err)
		}
		if len(c.w.B) > 0 {
			if err := x.Send(c.w.B); err != nil {
				return err
			}
		}
	}
}

// client is one client's connection.
type client struct {
	*frontend.Session
	w          mysqlwire.Writer
	caps       uint32
	statements map[uint32]*prepared
	lastID     uint32
	faults     error // it has sent too many commands in a row that could not be used
}

// prepared is a statement under the id that the client knows.
type prepared struct {
	*mysqlwire.Statement
	bound  []uint16       // the types that were sent last
	long   map[int][]byte // values that come ahead of the next execute
	size   int            // of those
	spoilt bool           // they were too large or for no parameter: the next execute fails
}

// login welcomes any user.
func (c *client) login() error {
	c.w.Handshake(version, 1, ourCaps)
	if err := c.Send(c.w.B); err != nil {
		return err
	}
	var body []byte
	var seq byte
	err := c.Next(func() (err error) { seq, body, err = mysqlwire.ReadPacket(c.Conn); return err })
	if err != nil {
		return err
	}
	c.w.Reset(seq + 1)
	l, err := mysqlwire.ParseLogin(body)
	if err != nil {
		return err
	}
	c.caps = l.Caps & ourCaps
	c.Started()
	c.w.OK(mysqlwire.HeadOK, mysqlwire.OK{}, c.caps)
	return c.Send(c.w.B)
}

// fatal tells the client why its connection ends, where that is its doing.
func (c *client) fatal(err error) error {
	switch {
	case errors.Is(err, framebuf.ErrTooLarge):
		c.w.Reset(c.w.Seq)
		c.w.Err(errTooLarge, c.caps)
		c.Send(c.w.B)
	case errors.Is(err, framebuf.ErrBudgetExhausted): // nothing of it was taken
		c.w.Reset(c.w.Seq)
		c.w.Err(errMemory, c.caps)
		c.Send(c.w.B)
	case errors.Is(err, frontend.ErrTooManyFaults):
		c.Send(c.w.B) // the last error ends it
	case errors.Is(err, mysqlwire.ErrMalformed):
		c.w.Reset(c.w.Seq)
		c.w.Err(errCommand, c.caps)
		c.Send(c.w.B)
	}
	return err
}

// drop lets go of all statements; the database hosts' connections close theirs.
func (c *client) drop() {
	for id, s := range c.statements {
		c.let(s)
		delete(c.statements, id)
	}
}

// let drops one statement and what it keeps.
func (c *client) let(s *prepared) {
	s.Drop()
	c.forgetLong(s)
	c.Budget().Release(len(s.Text))
}

// forgetLong drops the values that came ahead.
func (c *client) forgetLong(s *prepared) {
	c.Budget().Release(s.size)
	s.long, s.size, s.spoilt = nil, 0, false
}

// err answers with an error; the connection lives on, but for a client that does nothing else.
func (c *client) err(e mysqlwire.Error, text string) {
	if text != "" {
		e.Text = text
	}
	c.w.Err(e, c.caps)
	c.faults = c.RecordFault()
}

// command answers one command. An error means that the connection must end.
func (c *client) command(kind byte, body []byte) error {
	if c.caps&mysqlwire.CapProtocol41 == 0 && kind != mysqlwire.ComPing { // an old health check may only ping
		c.err(errCommand, "")
		return nil
	}
	switch kind {
	case mysqlwire.ComPing:
		<-c.Core().Ready()
		c.ok()
	case mysqlwire.ComInitDB:
		c.ok()
	case mysqlwire.ComResetConnection:
		c.drop()
		c.ok()
	case mysqlwire.ComQuery:
		return c.query(body)
	case mysqlwire.ComStmtPrepare:
		return c.prepare(body)
	case mysqlwire.ComStmtExecute:
		return c.execute(body)
	case mysqlwire.ComStmtLongData:
		return c.longData(body)
	case mysqlwire.ComStmtReset:
		if s := c.statement(&mysqlwire.Cursor{B: body}); s != nil {
			c.forgetLong(s)
			c.ok()
		}
	case mysqlwire.ComStmtClose: // never answered
		cursor := mysqlwire.Cursor{B: body}
		if id := cursor.U32(); cursor.Err == nil && c.statements[id] != nil {
			c.let(c.statements[id])
			delete(c.statements, id)
		}
	default:
		c.err(errCommand, "")
	}
	return nil
}

func (c *client) ok() {
	c.w.OK(mysqlwire.HeadOK, mysqlwire.OK{}, c.caps)
	c.RecordSuccess()
}

// statement finds the statement that a command names, or answers that there is none.
func (c *client) statement(cursor *mysqlwire.Cursor) *prepared {
	s := c.statements[cursor.U32()]
	if s == nil || cursor.Err != nil {
		c.err(errUnknown, "")
		return nil
	}
	return s
}

// query answers a text query.
func (c *client) query(body []byte) error {
	cursor := mysqlwire.Cursor{B: body}
	attributes, text := cursor.Query(c.caps)
	if cursor.Err != nil {
		c.err(errArguments, "")
		return nil
	}
	trimmed := bytes.TrimSpace(text)
	if len(trimmed) >= 4 && strings.EqualFold(string(trimmed[:4]), "SET ") { // as at a database host: nothing is done
		c.ok()
		return nil
	}
	if len(bytes.Trim(trimmed, ";")) == 0 {
		<-c.Core().Ready()
		c.w.Err(mysqlwire.Error{Code: 1065, State: "42000", Text: "query was empty"}, c.caps)
		c.RecordSuccess()
		return nil
	}
	meta, err := sqlcomment.Parse(text)
	if err != nil {
		c.err(errSyntax, err.Error())
		return nil
	}
	return c.ask(meta, &mysqlwire.Command{Kind: mysqlwire.ComQuery, Attributes: attributes}, len(body))
}

// prepare has a member of the statement's group prepare it, which tells the parameters and columns. That goes
// through the core like any request; where it is refused or fails the client has no statement.
func (c *client) prepare(text []byte) error {
	if len(c.statements) >= mostStatements {
		c.err(errPrepared, "")
		return nil
	}
	meta, err := sqlcomment.Parse(text)
	if err == nil && !c.known(meta.Class) {
		err = errors.New("unknown class")
	}
	if err != nil {
		c.err(errSyntax, err.Error())
		return nil
	}
	s := &prepared{Statement: &mysqlwire.Statement{Text: string(text), Meta: meta}}
	if !c.Budget().Reserve(len(text)) { // it stays as long as the client wants it
		c.err(errMemory, "")
		return nil
	}
	a, err := c.Do(&core.Request{Class: PrepareClass, Group: meta.Group,
		Payload: &mysqlwire.Command{Kind: mysqlwire.ComStmtPrepare, Statement: s.Statement}}, "", 0)
	if err != nil || a.Status != core.Served {
		c.let(s) // a late answer of a member finds it dropped, and closes it there
		if err == nil {
			c.unserved(a)
		}
		return err
	}
	definitions := a.Value.(*mysqlwire.Definitions)
	s.Params = len(definitions.Params)
	c.lastID++
	c.statements[c.lastID] = s
	c.w.Prepared(c.lastID, definitions, c.caps)
	return nil
}

// execute runs a prepared statement.
func (c *client) execute(body []byte) error {
	cursor := &mysqlwire.Cursor{B: append([]byte(nil), body...)} // the parameters outlive the buffer
	s := c.statement(cursor)
	if s == nil {
		return nil
	}
	long, spoilt := s.long, s.spoilt
	all := cursor.Execute(c.caps, s.Params, s.bound, long)
	defer c.Budget().Release(s.size) // only once the request has its answer
	s.size = 0
	c.forgetLong(s)
	if cursor.Err != nil || spoilt {
		c.err(errArguments, "")
		return nil
	}
	s.bound = s.bound[:0]
	for _, p := range all[:s.Params] {
		s.bound = append(s.bound, p.Type)
	}
	meta := *s.Meta
	return c.ask(&meta, &mysqlwire.Command{Kind: mysqlwire.ComStmtExecute, Statement: s.Statement,
		Params: all[:s.Params], Attributes: all[s.Params:], Long: long}, len(body))
}

// longData keeps a part of a parameter's value for the next execute. It is never answered.
func (c *client) longData(body []byte) error {
	cursor := mysqlwire.Cursor{B: body}
	id, i := cursor.U32(), int(cursor.U16())
	s := c.statements[id]
	if s == nil || cursor.Err != nil {
		return nil
	}
	n := len(cursor.B)
	if s.spoilt || i >= s.Params || s.size+n > mysqlwire.MaxPacket/2 || !c.Budget().Reserve(n) {
		c.forgetLong(s)
		s.spoilt = true
		return nil
	}
	s.size += n
	if s.long == nil {
		s.long = map[int][]byte{}
	}
	s.long[i] = append(s.long[i], cursor.B...)
	return nil
}

func (c *client) known(class string) bool { return class != PrepareClass && c.Core().HasClass(class) }

// ask puts a request of about so many bytes to the core and writes its answer.
func (c *client) ask(meta *sqlcomment.Statement, command *mysqlwire.Command, size int) error {
	for _, p := range command.Attributes {
		if p.Name == "k" {
			meta.Key = p.Text()
		} else if err := meta.Set(p.Name, p.Text()); err != nil {
			c.err(errSyntax, err.Error())
			return nil
		}
	}
	if !c.known(meta.Class) {
		c.Counters().Add("mysql_statements_unknown", 1)
		c.err(errSyntax, "unknown class")
		return nil
	}
	command.Meta = meta
	a, err := c.Do(&core.Request{Class: meta.Class, Group: meta.Group, Session: meta.Key, Timeout: meta.Timeout,
		MinPosition: meta.MinPosition, Retry: meta.Retry, Payload: command}, meta.ID, size)
	if errors.Is(err, frontend.ErrDuplicateID) {
		c.err(errOpen, "")
		return nil
	} else if err != nil {
		return err
	}
	if a.Status == core.Served {
		c.w.Result(a.Value.(*mysqlwire.Result), c.caps)
	} else {
		c.unserved(a)
	}
	return nil
}

// unserved writes the answer to a request that was refused or has failed.
func (c *client) unserved(a core.Answer) {
	if a.Status == core.Rejected && a.RetryAfter > 0 {
		c.err(errRefused, fmt.Sprintf("%s; retry_after_ms=%d", errRefused.Text,
			(a.RetryAfter+time.Millisecond-1)/time.Millisecond))
	} else if a.Status == core.Rejected {
		c.err(errRefused, "")
	} else {
		c.err(errFailed, "")
	}
}
