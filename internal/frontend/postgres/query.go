package postgres

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strconv"

	"cranegate/internal/core"
	"cranegate/internal/frontend"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
)

// errNoID is returned for a statement without an id, on which database hosts would close the connection.
var errNoID = errors.New("no id")

// query answers one simple query. It returns an error if the connection must be closed.
func (c *client) query(body []byte) error {
	text, rest, err := pgwire.Text(body)
	if err != nil || len(rest) > 0 {
		return pgwire.ErrMalformed
	}
	if len(bytes.Trim(text, " \t\r\n;")) == 0 {
		c.emptyQuery()
		return nil
	}
	statement, err := c.parse(text)
	if err != nil {
		return c.writeUnusable(err)
	}
	answer, err := c.Do(frontend.NewRequest(statement, statement), statement.ID, len(text))
	if errors.Is(err, frontend.ErrDuplicateID) {
		return c.writeUnusable(err)
	}
	if err != nil {
		return err
	}
	if err := c.writeAnswer(answer, statement.ID); err != nil {
		return err
	}
	c.out = pgwire.AppendReady(c.out)
	return nil
}

// emptyQuery answers a query without a statement. The platform uses such queries as health checks.
func (c *client) emptyQuery() {
	<-c.Core().Ready()
	c.RecordSuccess()
	if c.Draining() {
		c.writeError(codeDraining, "this gateway sends its clients away")
	} else {
		c.out = pgwire.Append(c.out, 'I')
	}
	c.out = pgwire.AppendReady(c.out)
}

// parse parses a statement and its comment. It returns an error if the statement can't be submitted.
func (c *client) parse(text []byte) (*sqlcomment.Statement, error) {
	statement, err := c.ParseStatement(text)
	if err != nil {
		return nil, err
	}
	if !c.Core().HasClass(statement.Class) {
		return nil, frontend.ErrUnknownClass
	}
	if statement.ID == "" {
		return nil, errNoID
	}
	return statement, nil
}

// writeUnusable answers an unusable statement, which was not submitted. Too many in a row end the connection.
func (c *client) writeUnusable(err error) error {
	c.Counters().Add("postgres_statements_unknown", 1)
	c.writeError(codeSyntax, err.Error())
	c.out = pgwire.AppendReady(c.out)
	return c.RecordFault()
}

// writeAnswer writes a request's answer. It returns an error if a streamed answer ends early. The connection is then closed, by
// which the client knows that the answer is incomplete.
func (c *client) writeAnswer(answer core.Answer, requestID string) error {
	switch answer.Status {
	case core.Served:
		if stream, ok := answer.Value.(io.WriterTo); ok {
			return c.forward(stream, requestID)
		}
		c.out = append(c.out, answer.Value.([]byte)...)
	case core.Rejected:
		retryAfter := ""
		if answer.RetryAfter > 0 {
			retryAfter = strconv.FormatInt(frontend.RetryAfterMillis(answer), 10)
		}
		c.out = pgwire.AppendError(c.out, severityError, codeRejected, "refused, nothing has run", retryAfter)
	case core.Failed:
		c.writeError(codeFailed, "failed, it may have run")
	}
	return nil
}

// forward streams a long answer to the client while it arrives from the database host.
func (c *client) forward(stream io.WriterTo, requestID string) error {
	n, err := stream.WriteTo(c.StreamWriter())
	if err == nil {
		return nil
	}
	c.Counters().Add("streams_cut", 1)
	slog.Warn("stream_cut", "request_id", requestID, "bytes", n, "error", err)
	return frontend.ErrDisconnected
}
