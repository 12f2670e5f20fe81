package mysql

import (
	"cranegate/internal/core"
	"cranegate/internal/frontend"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/sqlcomment"
)

// PrepareClass is the request class of prepares. Any member may answer them, and they may be repeated.
const PrepareClass = "(prepare)"

const (
	maxStatements    = 256                     // prepared statements of one client
	maxLongDataBytes = mysqlwire.MaxPacket / 2 // long data of one statement
)

// prepared is a prepared statement of a client.
type prepared struct {
	*mysqlwire.Statement
	boundTypes      []uint16       // parameter types of the last execute; the client may omit them next time
	longData        map[int][]byte // parameter values that were sent in advance for the next execute, by parameter
	longDataBytes   int            // size of longData, reserved in the budget
	longDataInvalid bool           // long data was dropped or is for no parameter, so that the next execute must fail
}

// prepare has a member of the statement's group prepare it, and answers with the parameters and columns that the member
// returns. The prepare is an ordinary request to the core. If it is rejected or fails, the client gets no statement.
func (c *client) prepare(text []byte) error {
	if len(c.statements) >= maxStatements {
		c.writeError(errTooManyStatements)
		return nil
	}
	meta, err := sqlcomment.ParseComment(text)
	if err == nil && !c.hasClass(meta.Class) {
		err = frontend.ErrUnknownClass
	}
	if err != nil {
		c.writeSyntaxError(err)
		return nil
	}
	if !c.Budget().Reserve(len(text)) { // until the statement is closed
		c.writeError(errNoMemory)
		return nil
	}
	s := &prepared{Statement: mysqlwire.NewStatement(string(text), meta)}
	command := &mysqlwire.Command{Kind: mysqlwire.ComStmtPrepare, Statement: s.Statement}
	answer, err := c.Do(&core.Request{Class: PrepareClass, Group: meta.Group, Payload: command}, "", 0)
	if err != nil || answer.Status != core.Served {
		c.drop(s) // if a member still answers the prepare, the connection to it closes the statement there
		if err == nil {
			c.writeUnserved(answer)
		}
		return err
	}
	definitions := answer.Value.(*mysqlwire.Definitions)
	s.Params = len(definitions.Params)
	c.lastStatementID++
	c.statements[c.lastStatementID] = s
	c.w.Prepared(c.lastStatementID, definitions, c.capabilities)
	return nil
}

// execute runs a prepared statement.
func (c *client) execute(body []byte) error {
	cursor := &mysqlwire.Cursor{B: body}
	s := c.statement(cursor)
	if s == nil {
		return nil
	}
	longData, longDataBytes, invalid := s.longData, s.longDataBytes, s.longDataInvalid
	params := cursor.Execute(c.capabilities, s.Params, s.boundTypes, longData)
	defer c.Budget().Release(longDataBytes) // only after the answer, as the request uses the long data
	s.longDataBytes = 0                     // dropLongData must not release these bytes as well
	c.dropLongData(s)
	if cursor.Err != nil || invalid {
		c.writeError(errParameters)
		return nil
	}
	values, attributes := params[:s.Params], params[s.Params:]
	s.boundTypes = s.boundTypes[:0]
	for _, value := range values {
		s.boundTypes = append(s.boundTypes, value.Type)
	}
	meta := *s.Meta // a copy, because the query attributes of this execute override its fields
	command := &mysqlwire.Command{
		Kind:       mysqlwire.ComStmtExecute,
		Statement:  s.Statement,
		Params:     values,
		Attributes: attributes,
		Long:       longData,
	}
	return c.submit(&meta, command, len(body)+longDataBytes)
}

// storeLongData stores a part of a parameter's value for the next execute. The protocol has no answer to this command: an unknown
// statement is ignored, and if the part can't be stored, the next execute fails.
func (c *client) storeLongData(body []byte) {
	cursor := mysqlwire.Cursor{B: body}
	id := cursor.U32()
	param := int(cursor.U16())
	s := c.statements[id]
	if s == nil || cursor.Err != nil {
		return
	}
	size := len(cursor.B)
	fits := param < s.Params && s.longDataBytes+size <= maxLongDataBytes
	if s.longDataInvalid || !fits || !c.Budget().Reserve(size) {
		c.dropLongData(s)
		s.longDataInvalid = true
		return
	}
	s.longDataBytes += size
	if s.longData == nil {
		s.longData = map[int][]byte{}
	}
	s.longData[param] = append(s.longData[param], cursor.B...)
}

// statement returns the prepared statement whose id is next in a command. If there is none, it writes an error and returns nil.
func (c *client) statement(cursor *mysqlwire.Cursor) *prepared {
	s := c.statements[cursor.U32()]
	if s == nil || cursor.Err != nil {
		c.writeError(errUnknownStatement)
		return nil
	}
	return s
}

// closeStatement drops the statement whose id a command contains. The protocol has no answer to this command.
func (c *client) closeStatement(body []byte) {
	cursor := mysqlwire.Cursor{B: body}
	id := cursor.U32()
	if s := c.statements[id]; cursor.Err == nil && s != nil {
		c.drop(s)
		delete(c.statements, id)
	}
}

// dropStatements drops all statements.
func (c *client) dropStatements() {
	for id, s := range c.statements {
		c.drop(s)
		delete(c.statements, id)
	}
}

// drop releases a statement's memory. Each connection on which the statement is prepared closes it at its
// database host with the connection's next use.
func (c *client) drop(s *prepared) {
	s.Key.Drop()
	c.dropLongData(s)
	c.Budget().Release(len(s.Text))
}

// dropLongData discards the parameter values that were sent in advance, and releases their memory.
func (c *client) dropLongData(s *prepared) {
	c.Budget().Release(s.longDataBytes)
	s.longData = nil
	s.longDataBytes = 0
	s.longDataInvalid = false
}
