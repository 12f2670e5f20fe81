// Package mysql is the client side of the MySQL protocol, for connections to database hosts. It runs text queries and
// prepared statements.
//
// Each connection maps a statement that a client has prepared to a statement of its own, which it prepares when it first
// needs it. A prepare has no effect, so an attempt to execute the statement begins only after it.
package mysql

import (
	"strconv"
	"time"

	"cranegate/internal/backend"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/routing"
)

// Account holds the gateway's login at the database hosts, and the settings of its health checks and prepares there.
type Account struct {
	User, Database string
	Password       string
	HealthCheck    string        // the statement of a health check
	PrepareTimeout time.Duration // of a prepare within an attempt, which may take as long as a connect

	// Results is the memory budget for long results, which are read as a whole before their clients get them. nil: no bound.
	Results *framebuf.Budget
}

// Conn is one connection to a database host.
type Conn struct {
	*framebuf.Conn
	account    Account
	caps       uint32 // the capabilities of both sides
	w          mysqlwire.Writer
	statements map[*mysqlwire.StatementKey]uint32 // the host's ids of the statements that are prepared on this connection
	order      []*mysqlwire.StatementKey          // the keys of statements, the oldest first
	seq        byte                               // the sequence number of the answer's next packet
}

// Exchange implements backend.Conn.
func (c *Conn) Exchange(a *core.Attempt) (core.Outcome, bool) {
	c.w.Reset(0)
	c.closeDropped()
	if a.Request == nil {
		return c.query(a, nil, [][]byte{[]byte(c.account.HealthCheck)})
	}
	command := a.Request.Payload.(*mysqlwire.Command)
	switch command.Kind {
	case mysqlwire.ComStmtPrepare:
		return c.prepareOnly(a, command.Statement)
	case mysqlwire.ComStmtExecute:
		return c.execute(a, command)
	}
	wait := time.Until(a.Deadline)
	return c.query(a, attributes(command, wait), command.Meta.Text(wait))
}

// deadlineAttribute is the name of the query attribute with the time that the client waits, in milliseconds.
const deadlineAttribute = "d"

// attributes returns the query attributes that the client sent, with deadlineAttribute set to the time that this gateway
// waits.
func attributes(command *mysqlwire.Command, wait time.Duration) []mysqlwire.Param {
	roundedUp := int64((wait + time.Millisecond - 1) / time.Millisecond)
	ms := strconv.FormatInt(max(1, roundedUp), 10)
	all := []mysqlwire.Param{mysqlwire.Attribute(deadlineAttribute, ms)}
	for _, param := range command.Attributes {
		if param.Name != deadlineAttribute {
			all = append(all, param)
		}
	}
	return all
}

// query runs a text query.
func (c *Conn) query(a *core.Attempt, attributes []mysqlwire.Param, text [][]byte) (core.Outcome, bool) {
	buffered := len(c.w.B)
	c.w.Seq = 0
	c.w.QueryParts(attributes, text, c.caps)
	if !c.Alive() {
		return backend.NotSent, false
	}
	if !a.Begin() {
		return c.discard(buffered)
	}
	stop := backend.CloseOnAbandon(a, c)
	if err := c.flush(); err != nil {
		return core.Outcome{Result: routing.ResultConnectFailed}, false
	}
	c.SetReadDeadline(time.Time{})
	response, serverError, err := c.readResponse(a.Context(), false)
	return c.outcome(a, response, serverError, err), stop() && err == nil && c.Buffered() == 0
}

// discard drops the bytes that were buffered for an attempt that did not begin. It writes the first n bytes, which do not
// belong to the attempt.
func (c *Conn) discard(n int) (core.Outcome, bool) {
	c.w.B = c.w.B[:n]
	return backend.NotSent, c.flush() == nil
}

// flush writes the buffered bytes. It returns no error if all bytes were written, whatever the write returns, as the host
// may have received them.
func (c *Conn) flush() error {
	defer c.w.Reset(0)
	if len(c.w.B) == 0 {
		return nil
	}
	c.SetWriteDeadline(time.Now().Add(backend.WriteTimeout))
	n, err := c.Write(c.w.B)
	if n == len(c.w.B) {
		return nil
	}
	return err
}
