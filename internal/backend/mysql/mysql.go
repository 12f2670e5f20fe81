// Package mysql speaks the MySQL protocol to database hosts: text queries and prepared statements.
//
// A statement that a client has prepared is mapped to a statement of each connection's own, prepared there
// again when it is first needed. A prepare has no effect, so an execute's attempt begins only after it.
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

// Account is how the gateway logs in to database hosts, and how it checks their health.
type Account struct {
	User, Database string
	Password       string
	HealthCheck    string        // the statement of a health check
	PrepareTimeout time.Duration // a prepare within an attempt takes no longer than a connect may
}

// Conn is one connection to a database host.
type Conn struct {
	*framebuf.Conn
	account    Account
	caps       uint32 // the capabilities of both sides
	w          mysqlwire.Writer
	statements map[*mysqlwire.Statement]prepared
	order      []*mysqlwire.Statement // of statements, the oldest first
	seq        byte                   // of the answer's next packet
}

// Exchange runs an attempt, as backend.Conn has it.
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

// deadlineAttribute is the query attribute with the time that the client waits, in milliseconds.
const deadlineAttribute = "d"

// attributes returns the query attributes that the client sent, with the time that this gateway waits.
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
func (c *Conn) query(a *core.Attempt, attributes []mysqlwire.Param, text []byte) (core.Outcome, bool) {
	buffered := len(c.w.B)
	c.w.Seq = 0
	c.w.Query(attributes, text, c.caps)
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
	response, serverError, err := c.readResponse(false)
	return c.outcome(a, response, serverError, err), stop() && err == nil && c.Buffered() == 0
}

// discard drops what was buffered for an attempt that did not begin, and writes the first n bytes, which were buffered
// before it.
func (c *Conn) discard(n int) (core.Outcome, bool) {
	c.w.B = c.w.B[:n]
	return backend.NotSent, c.flush() == nil
}

// flush writes what is buffered. It returns no error if all was written, whatever the write returns: the host may have it.
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
