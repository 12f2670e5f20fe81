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

// errNoID is the error for a statement without an id: database hosts close the connection on it.
var errNoID = errors.New("no id")

// query answers one simple query. It returns an error where the connection must end.
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

// emptyQuery answers a query without a statement, which is the platform's health check.
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

// parse reads a statement with its comment. It returns an error where the statement can't be submitted.
func (c *client) parse(text []byte) (*sqlcomment.Statement, error) {
	statement, err := sqlcomment.Parse(text)
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

// writeUnusable answers a statement that was not submitted. Too many in a row end the connection.
func (c *client) writeUnusable(err error) error {
	c.Counters().Add("postgres_statements_unknown", 1)
	c.writeError(codeSyntax, err.Error())
	c.out = pgwire.AppendReady(c.out)
	return c.RecordFault()
}

// writeAnswer writes a request's answer. It returns an error where an answer breaks off that is forwarded as it comes: the
// client sees that from the end of its connection.
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

// forward sends a long answer as it comes from the database host.
func (c *client) forward(stream io.WriterTo, requestID string) error {
	n, err := stream.WriteTo(c.StreamWriter())
	if err == nil {
		return nil
	}
	c.Counters().Add("streams_cut", 1)
	slog.Warn("stream_cut", "request_id", requestID, "bytes", n, "error", err)
	return frontend.ErrDisconnected
}
