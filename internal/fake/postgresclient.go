package fake

import (
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"fmt"
	"net"
)

// Reply is an answer as a client sees it.
type Reply struct {
	Outcome string // served, refused, failed or empty (an empty query); "" without an answer
	Value   string // of a served request
	Code    string // error code of the front, if not served
}

// PostgresClient is a client of the PostgreSQL protocol.
type PostgresClient struct{ *framebuf.Conn }

// DialPostgres starts a session on an open connection. If text is not empty it is sent as the first query, together
// with the startup message, and the answer read here is the one to the startup.
func DialPostgres(raw net.Conn, text string) (*PostgresClient, error) {
	c := &PostgresClient{framebuf.New(raw, pgwire.MaxMessage)}
	b := pgwire.AppendStartup(nil, "svc", "main")
	if text != "" {
		b = pgwire.Append(b, 'Q', text, "\x00")
	}
	if _, err := raw.Write(b); err != nil {
		return nil, err
	}
	_, err := c.Read()
	return c, err
}

// Ask sends a statement and returns its answer. It reads while it still writes, because the gateway may answer before it
// has received the complete statement.
func (c *PostgresClient) Ask(text string) (Reply, error) {
	go c.Write(pgwire.Append(nil, 'Q', text, "\x00")) // if the write fails, Read fails too
	return c.Read()
}

// Read reads one answer, up to the next ReadyForQuery.
func (c *PostgresClient) Read() (r Reply, err error) {
	for {
		kind, body, err := pgwire.ReadMessage(c.Conn)
		if err != nil {
			return r, err
		}
		switch kind {
		case 'Z':
			return r, nil
		case 'I':
			r.Outcome = "empty"
		case 'D':
			columns, err := pgwire.Columns(body)
			if err != nil || len(columns) != 1 {
				return r, fmt.Errorf("row of %d columns: %w", len(columns), err)
			}
			r.Value = string(columns[0])
		case 'C':
			r.Outcome = "served"
		case 'E':
			r.Code = string(pgwire.Field(body, 'C'))
			if r.Outcome = "failed"; r.Code == "53300" || r.Code == "57P03" {
				r.Outcome = "refused"
			}
		}
	}
}
