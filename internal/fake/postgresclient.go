package fake

import (
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"fmt"
	"net"
)

// Reply is an answer as a client sees it.
type Reply struct {
	Outcome string
	Value   string // served
	Code    string // else: what the front's error said
}

// PostgresClient is a client of the platform's protocol.
type PostgresClient struct{ *framebuf.Conn }

// DialPostgres starts a session on a connection. If text is not empty it is sent as the first query, without waiting
// for the startup's answer.
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

// Ask sends a statement and returns its answer, which may come before the whole statement is sent.
func (c *PostgresClient) Ask(text string) (Reply, error) {
	go c.Write(pgwire.Append(nil, 'Q', text, "\x00")) // where it fails, so does Read
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
