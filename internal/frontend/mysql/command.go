package mysql

import (
	"bytes"
	"errors"
	"strings"

	"cranegate/internal/core"
	"cranegate/internal/frontend"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/sqlcomment"
)

// keyAttribute is the query attribute that holds the session's key.
const keyAttribute = "k"

// command writes the answer to one command. It returns an error if the connection must be closed.
func (c *client) command(kind byte, body []byte) error {
	if c.capabilities&mysqlwire.CapProtocol41 == 0 && kind != mysqlwire.ComPing { // old clients, such as health checks, may only ping
		c.writeError(errUnknownCommand)
		return nil
	}
	switch kind {
	case mysqlwire.ComPing:
		<-c.Core().Ready()
		c.writeOK()
	case mysqlwire.ComInitDB:
		c.writeOK()
	case mysqlwire.ComResetConnection:
		c.dropStatements()
		c.writeOK()
	case mysqlwire.ComQuery:
		return c.query(body)
	case mysqlwire.ComStmtPrepare:
		return c.prepare(body)
	case mysqlwire.ComStmtExecute:
		return c.execute(body)
	case mysqlwire.ComStmtLongData:
		c.storeLongData(body)
	case mysqlwire.ComStmtReset:
		if s := c.statement(&mysqlwire.Cursor{B: body}); s != nil {
			c.dropLongData(s)
			c.writeOK()
		}
	case mysqlwire.ComStmtClose:
		c.closeStatement(body)
	default:
		c.writeError(errUnknownCommand)
	}
	return nil
}

// writeOK answers a command with success.
func (c *client) writeOK() {
	c.w.OK(mysqlwire.HeadOK, mysqlwire.OK{}, c.capabilities)
	c.RecordSuccess()
}

// query answers a text query.
func (c *client) query(body []byte) error {
	cursor := mysqlwire.Cursor{B: body}
	attributes, text := cursor.Query(c.capabilities)
	if cursor.Err != nil {
		c.writeError(errParameters)
		return nil
	}
	trimmed := bytes.TrimSpace(text)
	if isSet(trimmed) { // accepted but ignored, as by database hosts
		c.writeOK()
		return nil
	}
	if len(bytes.Trim(trimmed, ";")) == 0 {
		<-c.Core().Ready()
		c.w.Err(errEmptyQuery, c.capabilities)
		c.RecordSuccess()
		return nil
	}
	meta, err := c.ParseStatement(text)
	if err != nil {
		c.writeSyntaxError(err)
		return nil
	}
	return c.submit(meta, &mysqlwire.Command{Kind: mysqlwire.ComQuery, Attributes: attributes}, len(body))
}

// isSet reports whether a query is a SET statement.
func isSet(text []byte) bool {
	const keyword = "SET "
	return len(text) >= len(keyword) && strings.EqualFold(string(text[:len(keyword)]), keyword)
}

// submit submits a statement as a request and writes its answer. The request has about size bytes of text and values, of which an
// attempt has a copy.
func (c *client) submit(meta *sqlcomment.Statement, command *mysqlwire.Command, size int) error {
	if err := applyAttributes(meta, command.Attributes); err != nil {
		c.writeSyntaxError(err)
		return nil
	}
	if !c.hasClass(meta.Class) {
		c.Counters().Add("mysql_statements_unknown", 1)
		c.writeSyntaxError(frontend.ErrUnknownClass)
		return nil
	}
	command.Meta = meta
	size += len(meta.ID) + len(meta.Key) + mysqlwire.ParamBytes*(len(command.Params)+len(command.Attributes))
	answer, err := c.Do(frontend.NewRequest(meta, command), meta.ID, 2*size)
	if errors.Is(err, frontend.ErrDuplicateID) {
		c.writeError(errDuplicateID)
		return nil
	}
	if err != nil {
		return err
	}
	if answer.Status != core.Served {
		c.writeUnserved(answer)
		return nil
	}
	return c.writeResult(answer.Value.(*mysqlwire.Result))
}

// writeResult writes the result of a statement. A long one is sent at once, as its memory is needed for others.
func (c *client) writeResult(result *mysqlwire.Result) error {
	c.w.Result(result, c.capabilities)
	if result.Memory == nil {
		return nil
	}
	defer result.Memory.Release()
	defer c.w.Reset(0) // frees the buffer
	return c.Send(c.w.B)
}

// applyAttributes overrides the fields of a statement's comment by the query attributes of the same names.
func applyAttributes(meta *sqlcomment.Statement, attributes []mysqlwire.Param) error {
	for _, attribute := range attributes {
		if attribute.Name == keyAttribute {
			meta.Key = sqlcomment.ShortKey(attribute.Text())
		} else if err := meta.Set(attribute.Name, attribute.Text()); err != nil {
			return err
		}
	}
	return nil
}

// hasClass reports whether clients may use a request class.
func (c *client) hasClass(class string) bool {
	return class != PrepareClass && c.Core().HasClass(class)
}
