package mysql

import (
	"fmt"

	"cranegate/internal/core"
	"cranegate/internal/frontend"
	"cranegate/internal/mysqlwire"
)

// The errors with which the gateway itself answers.
var (
	errTooManyClients    = mysqlwire.Error{Code: 1040, State: "08004", Text: "too many clients"}
	errNoMemory          = mysqlwire.Error{Code: 1041, State: "HY000", Text: "no memory left for it, nothing has run"}
	errUnknownCommand    = mysqlwire.Error{Code: 1047, State: "08S01", Text: "command not served"}
	errDuplicateID       = mysqlwire.Error{Code: 1062, State: "23000", Text: frontend.ErrDuplicateID.Error()}
	errSyntax            = mysqlwire.Error{Code: 1064, State: "42000"}
	errEmptyQuery        = mysqlwire.Error{Code: 1065, State: "42000", Text: "query was empty"}
	errFailed            = mysqlwire.Error{Code: 1105, State: "HY000", Text: "failed, it may have run"}
	errTooLarge          = mysqlwire.Error{Code: 1153, State: "08S01", Text: "packet too large"}
	errParameters        = mysqlwire.Error{Code: 1210, State: "HY000", Text: "parameters do not match the statement"}
	errUnknownStatement  = mysqlwire.Error{Code: 1243, State: "HY000", Text: "no such prepared statement"}
	errTooManyStatements = mysqlwire.Error{Code: 1461, State: "42000", Text: "too many prepared statements"}
	errRejected          = mysqlwire.Error{Code: 1637, State: "HY000", Text: "refused, nothing has run"}
)

// writeError answers a command that was unusable, rejected or failed. Too many such commands in a row end the connection.
func (c *client) writeError(e mysqlwire.Error) {
	c.w.Err(e, c.capabilities)
	c.faultsErr = c.RecordFault()
}

// writeSyntaxError answers an unusable statement.
func (c *client) writeSyntaxError(err error) {
	e := errSyntax
	e.Text = err.Error()
	c.writeError(e)
}

// writeUnserved answers a request that was rejected or failed.
func (c *client) writeUnserved(a core.Answer) {
	if a.Status != core.Rejected {
		c.writeError(errFailed)
		return
	}
	e := errRejected
	if a.RetryAfter > 0 {
		e.Text = fmt.Sprintf("%s; retry_after_ms=%d", e.Text, frontend.RetryAfterMillis(a))
	}
	c.writeError(e)
}
