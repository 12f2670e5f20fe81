// Package mysql speaks the MySQL protocol to database hosts: text queries and prepared statements.
//
// A statement that a client has prepared is mapped to a statement of each connection's own, prepared there
// again when it is first needed. A prepare has no effect, so an execute's attempt begins only after it.
package mysql

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

const (
	ourCaps = mysqlwire.CapProtocol41 | mysqlwire.CapTransactions | mysqlwire.CapSecure | mysqlwire.CapPluginAuth |
		mysqlwire.CapConnectWithDB | mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF |
		mysqlwire.CapQueryAttributes
	needCaps       = mysqlwire.CapProtocol41
	mostStatements = 256 // prepared on one connection; the oldest gives way
	mostRead       = 512 << 10
	writeAtMost    = 5 * time.Second // an attempt is given up before; a prepare's connection is blocked for so long
	lateFor        = time.Second     // a prepare that was given up may still be answered for so long
)

// The server's errors that prove that nothing ran. Every other one may have run.
var (
	missErrors = map[uint16]bool{ // a write, and this is no primary
		1290: true, // the server runs with an option that prevents the statement (--read-only)
		1792: true, // read-only transaction
		1836: true, // read-only mode
	}
	missStates = map[string]bool{
		"25006": true, // as above
		"72000": true, // a read that it is too far behind for
	}
	fullErrors = map[uint16]bool{
		1040: true, // too many connections
		1203: true, // this user has too many
		1226: true, // this user's resources are used up
	}
	fullState     = "53300" // the platform's word for turned away
	classRejected = "42"    // the statement itself can't be used, here or elsewhere: it was read and never begun
)

// errUnknownStatement also proves that nothing ran: the host has forgotten the statement.
const errUnknownStatement = 1243

// Account is who the gateway is to database hosts, and how it examines them.
type Account struct {
	User, Database string
	Password       string
	HealthCheck    string        // the statement that examines a host
	PrepareTimeout time.Duration // a prepare within an attempt takes no longer than a connect may
}

// Conn is one connection to a database host.
type Conn struct {
	*framebuf.Conn
	account    Account
	caps       uint32
	w          mysqlwire.Writer
	statements map[*mysqlwire.Statement]prepared
	order      []*mysqlwire.Statement // oldest first
	seq        byte                   // of the answer's next packet
}

// packet reads an answer's next packet. One out of turn is noise, or of another answer: there is no use in waiting
// for the length that it claims.
func (c *Conn) packet() ([]byte, error) {
	b, err := c.Need(4)
	if err != nil {
		return nil, err
	}
	if b[3] != c.seq {
		return nil, fmt.Errorf("packet %d in place of %d: %w", b[3], c.seq, mysqlwire.ErrMalformed)
	}
	if c.seq == 1 {
		c.SetReadDeadline(time.Now().Add(backend.AnswerTimeout))
	}
	c.seq++
	_, b, err = mysqlwire.ReadPacket(c.Conn)
	return b, err
}

// prepared is this connection's own statement.
type prepared struct {
	id          uint32
	definitions *mysqlwire.Definitions
}

// Start answers the handshake of a fresh connection and makes it ready for a command.
func (d Account) Start(raw net.Conn) (backend.Conn, error) {
	c := &Conn{Conn: framebuf.New(raw, mysqlwire.MaxPacket+4), account: d,
		statements: map[*mysqlwire.Statement]prepared{}}
	seq, b, err := mysqlwire.ReadPacket(c.Conn)
	if err != nil {
		return nil, err
	}
	if len(b) > 0 && b[0] == mysqlwire.HeadErr {
		return nil, startError(b)
	}
	h, err := mysqlwire.ParseHandshake(b)
	if err != nil {
		return nil, err
	}
	if c.caps = h.Caps & ourCaps; c.caps&needCaps != needCaps {
		return nil, fmt.Errorf("the server's protocol is too old: %w", mysqlwire.ErrMalformed)
	}
	if h.AuthPlugin != mysqlwire.CachingSHA2Password {
		h.AuthPlugin = mysqlwire.NativePassword // a server that wants another way says so
	}
	c.w.Reset(seq + 1)
	c.w.Login(mysqlwire.Login{Caps: c.caps, User: d.User, Database: d.Database, Plugin: h.AuthPlugin,
		Auth: mysqlwire.Scramble(h.AuthPlugin, d.Password, h.Nonce)})
	for {
		if _, err := c.Write(c.w.B); err != nil {
			return nil, err
		}
		if seq, b, err = mysqlwire.ReadPacket(c.Conn); err != nil {
			return nil, err
		}
		c.w.Reset(seq + 1)
		switch {
		case len(b) == 0:
			return nil, mysqlwire.ErrMalformed
		case b[0] == mysqlwire.HeadOK:
			return c, nil
		case b[0] == mysqlwire.HeadErr:
			return nil, startError(b)
		case b[0] == mysqlwire.HeadEOF:
			plugin, nonce, err := mysqlwire.ParseSwitchAuth(b)
			if err != nil {
				return nil, err
			}
			c.w.Packet(mysqlwire.Scramble(plugin, d.Password, nonce))
		case len(b) == 2 && b[0] == mysqlwire.MoreAuth && b[1] == mysqlwire.FastAuth: // the OK follows
		default:
			return nil, errors.New("it wants the password in the clear")
		}
	}
}

func startError(payload []byte) error {
	e, err := mysqlwire.ParseErr(payload)
	if err == nil && (fullErrors[e.Code] || e.State == fullState) {
		return backend.ErrRejected
	}
	return errors.Join(e, err)
}

// Exchange runs an attempt.
func (c *Conn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	c.w.Reset(0)
	c.closeDropped()
	if a.Request == nil {
		return c.query(a, nil, []byte(c.account.HealthCheck))
	}
	command := a.Request.Payload.(*mysqlwire.Command)
	switch command.Kind {
	case mysqlwire.ComStmtPrepare:
		return c.prepareOnly(a, command.Statement)
	case mysqlwire.ComStmtExecute:
		return c.execute(a, command)
	}
	wait := time.Until(a.Deadline)
	return c.query(a, attributes(command, wait), command.Meta.Append(nil, wait))
}

// attributes are those that the client sent, with the time that this gateway waits.
func attributes(command *mysqlwire.Command, wait time.Duration) []mysqlwire.Param {
	ms := strconv.FormatInt(max(1, int64((wait+time.Millisecond-1)/time.Millisecond)), 10)
	out := []mysqlwire.Param{mysqlwire.Attribute("d", ms)}
	for _, p := range command.Attributes {
		if p.Name != "d" {
			out = append(out, p)
		}
	}
	return out
}

// query sends a text query.
func (c *Conn) query(a *core.Attempt, attributes []mysqlwire.Param, text []byte) (core.Outcome, bool) {
	closes := len(c.w.B)
	c.w.Seq = 0
	c.w.Query(attributes, text, c.caps)
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return c.leave(closes)
	}
	stop := c.watch(a)
	if err := c.flush(); err != nil {
		return core.Outcome{Result: routing.ResultConnectFailed}, false
	}
	c.SetReadDeadline(time.Time{})
	r, e, err := c.result(false)
	return c.outcome(a, r, e, err), stop() && err == nil && c.Buffered() == 0
}

// watch closes the connection when the attempt is given up. Once stop has said yes it never will: a close that came later would
// hit the next attempt.
func (c *Conn) watch(a *core.Attempt) (stop func() bool) {
	return context.AfterFunc(a.Context(), func() { c.Close() })
}

// leave gives up what was gathered for an attempt that did not begin, but for what came before it.
func (c *Conn) leave(before int) (core.Outcome, bool) {
	c.w.B = c.w.B[:before]
	return backend.NotSent, c.flush() == nil
}

// prepareOnly runs a client's prepare. It is not cut off when it is given up: its answer, if it still comes, is
// read so that the connection stays in step, and a statement whose client has left meanwhile is closed.
func (c *Conn) prepareOnly(a *core.Attempt, s *mysqlwire.Statement) (core.Outcome, bool) {
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return c.leave(len(c.w.B))
	}
	e, err := c.prepare(s, time.Until(a.Deadline)+lateFor)
	if err != nil {
		return core.Outcome{Result: result(nil, err)}, false
	}
	p := c.statements[s]
	c.w.Reset(0)
	c.closeDropped()
	inStep := c.flush() == nil
	if e != nil {
		return core.Outcome{Result: result(e, nil)}, inStep
	}
	return core.Outcome{Result: routing.ResultOK, Value: p.definitions}, inStep
}

// execute runs a prepared statement, which it prepares on this connection first if need be.
func (c *Conn) execute(a *core.Attempt, command *mysqlwire.Command) (core.Outcome, bool) {
	began, stop := false, func() bool { return true }
	for {
		p, ok := c.statements[command.Statement]
		if !ok {
			if !began && !a.Waiting() {
				return c.leave(len(c.w.B))
			}
			if !began && !c.Alive() {
				return backend.NotSent, false
			}
			e, err := c.prepare(command.Statement, c.account.PrepareTimeout)
			if err != nil { // the execute was never written
				return core.Outcome{Result: routing.ResultConnectFailed}, false
			} else if e != nil {
				return core.Outcome{Result: result(e, nil)}, stop()
			}
			p = c.statements[command.Statement]
		}
		closes := len(c.w.B)
		for i, data := range command.Long {
			c.w.Seq = 0
			c.w.Begin()
			c.w.Byte(mysqlwire.ComStmtLongData)
			c.w.U32(p.id)
			c.w.U16(uint16(i))
			c.w.B = append(c.w.B, data...)
			c.w.End()
		}
		c.w.Seq = 0
		c.w.Execute(p.id, command.Params, attributes(command, time.Until(a.Deadline)), c.caps)
		if !c.Alive() {
			if ok { // it came while the connection rested
				return backend.NotSent, false
			}
			return core.Outcome{Result: routing.ResultConnectFailed}, false // it came behind the prepare's answer
		}
		if !began {
			if !a.Begin() {
				return c.leave(closes)
			}
			began, stop = true, c.watch(a)
		}
		if err := c.flush(); err != nil {
			return core.Outcome{Result: routing.ResultConnectFailed}, false
		}
		c.SetReadDeadline(time.Time{})
		r, e, err := c.result(true)
		if e != nil && r == nil && e.Code == errUnknownStatement && ok {
			c.forget(command.Statement) // prepared here long ago; the next round prepares it anew
			continue
		}
		return c.outcome(a, r, e, err), stop() && err == nil && c.Buffered() == 0
	}
}

// prepare makes a statement of this connection's own. An error of the host leaves the connection in step.
func (c *Conn) prepare(s *mysqlwire.Statement, within time.Duration) (*mysqlwire.Error, error) {
	for len(c.order) >= mostStatements {
		c.closeStatement(c.order[0])
	}
	c.w.Seq = 0
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtPrepare)
	c.w.Text(s.Text)
	c.w.End()
	if err := c.flush(); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(within))
	c.seq = 1
	b, err := c.packet()
	if err != nil {
		return nil, err
	}
	if len(b) > 0 && b[0] == mysqlwire.HeadErr {
		e, err := mysqlwire.ParseErr(b)
		return &e, err
	}
	head := mysqlwire.Cursor{B: b}
	ok, id, columns, params := head.Byte(), head.U32(), int(head.U16()), int(head.U16())
	if head.Err != nil || ok != mysqlwire.HeadOK {
		return nil, mysqlwire.ErrMalformed
	}
	d := &mysqlwire.Definitions{}
	left := mostRead
	if d.Params, err = c.definitions(params, &left); err == nil {
		d.Columns, err = c.definitions(columns, &left)
	}
	if err != nil {
		return nil, err
	}
	c.statements[s] = prepared{id, d}
	c.order = append(c.order, s)
	return nil, nil
}

// definitions reads a number of definitions and copies them: they outlive the buffer.
func (c *Conn) definitions(n int, left *int) (out [][]byte, err error) {
	for range n {
		b, err := c.packet()
		if err != nil {
			return nil, err
		}
		if *left -= len(b); *left < 0 {
			return nil, framebuf.ErrTooLarge
		}
		out = append(out, append([]byte(nil), b...))
	}
	if n > 0 && c.caps&mysqlwire.CapDeprecateEOF == 0 {
		b, err := c.packet()
		if err == nil && !mysqlwire.IsEOF(b, c.caps) {
			err = mysqlwire.ErrMalformed
		}
		return out, err
	}
	return out, nil
}

// result reads what a statement brings: an OK, an error, or rows. An error beside a result broke the rows off: the
// statement had begun.
func (c *Conn) result(binary bool) (*mysqlwire.Result, *mysqlwire.Error, error) {
	c.seq = 1
	b, err := c.packet()
	if err != nil {
		return nil, nil, err
	}
	if len(b) == 0 || b[0] == 0xfb { // 0xfb asks for a local file, which was not offered
		return nil, nil, mysqlwire.ErrMalformed
	}
	r := &mysqlwire.Result{}
	switch b[0] {
	case mysqlwire.HeadErr:
		e, err := mysqlwire.ParseErr(b)
		return nil, &e, err
	case mysqlwire.HeadOK:
		r.OK, err = mysqlwire.ParseOK(b, c.caps)
		return r, nil, err
	}
	head := mysqlwire.Cursor{B: b}
	n := head.Int()
	if head.Err != nil || n > 4096 || len(head.B) > 0 {
		return nil, nil, mysqlwire.ErrMalformed
	}
	left := mostRead
	if r.Columns, err = c.definitions(int(n), &left); err != nil {
		return nil, nil, err
	}
	for {
		b, err := c.packet()
		if err != nil {
			return nil, nil, err
		}
		if len(b) > 0 && b[0] == mysqlwire.HeadErr {
			e, err := mysqlwire.ParseErr(b)
			return r, &e, err
		}
		if mysqlwire.IsEOF(b, c.caps) {
			if c.caps&mysqlwire.CapDeprecateEOF != 0 {
				r.OK, err = mysqlwire.ParseOK(b, c.caps)
			}
			if r.OK.Status&mysqlwire.StatusMoreResults != 0 {
				err = errors.Join(err, mysqlwire.ErrMalformed) // several results were not asked for
			}
			return r, nil, err
		}
		if left -= len(b); left < 0 {
			return nil, nil, framebuf.ErrTooLarge
		}
		if !mysqlwire.RowFits(b, int(n), binary) {
			return nil, nil, fmt.Errorf("row: %w", mysqlwire.ErrMalformed)
		}
		r.Rows = append(r.Rows, append([]byte(nil), b...))
	}
}

// result is the table of what comes back. An error proves that nothing ran only where it is listed above.
func result(e *mysqlwire.Error, err error) routing.Result {
	switch {
	case err != nil && backend.IsMalformed(err, mysqlwire.ErrMalformed):
		return routing.ResultMalformed
	case err != nil:
		return routing.ResultReset
	case e == nil:
		return routing.ResultOK
	case missErrors[e.Code], missStates[e.State]:
		return routing.ResultMissed
	case fullErrors[e.Code], e.State == fullState:
		return routing.ResultOverCapacity
	case strings.HasPrefix(e.State, classRejected):
		return routing.ResultInvalidStatement
	}
	return routing.ResultError
}

// outcome adds what the host told of itself.
func (c *Conn) outcome(a *core.Attempt, r *mysqlwire.Result, e *mysqlwire.Error, err error) core.Outcome {
	o := core.Outcome{Result: result(e, err)}
	if err == nil && e != nil && r != nil { // whatever the code says
		o.Result = routing.ResultError
	}
	if o.Result != routing.ResultOK {
		return o
	}
	var n backend.Event
	for _, v := range r.OK.Session {
		n.Set(v[0], v[1])
	}
	if a.Request == nil {
		probeRows(&n, r)
	}
	o.Role, o.Position, o.Report, o.Value = n.Role, n.Position, n.Report, r
	return o
}

// probeRows reads the row that a probe brings.
func probeRows(n *backend.Event, r *mysqlwire.Result) {
	var names []string
	for _, b := range r.Columns {
		c := mysqlwire.Cursor{B: b}
		for range 4 {
			c.String()
		}
		names = append(names, string(c.String()))
	}
	for _, row := range r.Rows {
		c := mysqlwire.Cursor{B: row}
		var values [][]byte
		for range names {
			if len(c.B) > 0 && c.B[0] == 0xfb { // null
				c.Byte()
				values = append(values, nil)
				continue
			}
			values = append(values, c.String())
		}
		if c.Err == nil {
			n.SetRow(names, values)
		}
	}
}

// closeDropped closes statements whose clients closed them or left, with the next write.
func (c *Conn) closeDropped() {
	for _, s := range append([]*mysqlwire.Statement(nil), c.order...) {
		if s.Dropped() {
			c.closeStatement(s)
		}
	}
}

// closeStatement closes one statement with the next write; the host gives no answer.
func (c *Conn) closeStatement(s *mysqlwire.Statement) {
	c.w.Seq = 0
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtClose)
	c.w.U32(c.statements[s].id)
	c.w.End()
	c.forget(s)
}

func (c *Conn) forget(s *mysqlwire.Statement) {
	delete(c.statements, s)
	for i, x := range c.order {
		if x == s {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

// flush writes what is gathered. A whole write has no error.
func (c *Conn) flush() error {
	defer c.w.Reset(0)
	if len(c.w.B) == 0 {
		return nil
	}
	c.SetWriteDeadline(time.Now().Add(writeAtMost))
	n, err := c.Write(c.w.B)
	if n == len(c.w.B) {
		return nil
	}
	return err
}
