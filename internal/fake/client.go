package fake

import (
	"fmt"
	"net"

	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
)

// Reply is a client's view of an answer: "served", "refused" or "failed".
type Reply struct {
	Outcome string
	Value   string // served
	Code    string // else: what the front's error said
}

// PostgresClient is a client of the platform's protocol.
type PostgresClient struct{ *framebuf.Conn }

// DialPostgres starts up on a connection. Text is a first query that is written right behind, or empty.
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

// Ask sends a statement and reads its answer, which may come before all is sent.
func (c *PostgresClient) Ask(text string) (Reply, error) {
	go c.Write(pgwire.Append(nil, 'Q', text, "\x00")) // where it fails, so does Read
	return c.Read()
}

// Read reads up to the next ReadyForQuery.
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

// MySQLClient is a client of the MySQL protocol.
type MySQLClient struct {
	*framebuf.Conn
	caps uint32
	w    mysqlwire.Writer
}

// DialMySQL logs in on a connection. Caps are what the client can do beside the least.
func DialMySQL(raw net.Conn, caps uint32) (*MySQLClient, error) {
	c := &MySQLClient{Conn: framebuf.New(raw, mysqlwire.MaxPacket+4)}
	seq, b, err := mysqlwire.ReadPacket(c.Conn)
	if err != nil {
		return nil, err
	}
	h, err := mysqlwire.ParseHandshake(b)
	if err != nil {
		return nil, err
	}
	c.caps = (mysqlwire.CapProtocol41 | mysqlwire.CapSecure | mysqlwire.CapPluginAuth | caps) & h.Caps
	c.w.Reset(seq + 1)
	c.w.Login(mysqlwire.Login{Caps: c.caps, User: "svc", Plugin: mysqlwire.NativePassword})
	_, _, err = c.send()
	return c, err
}

// send writes what is gathered and reads the first packet of the answer.
func (c *MySQLClient) send() (Reply, []byte, error) {
	go c.Write(append([]byte(nil), c.w.B...)) // where it fails, so does the read
	_, b, err := mysqlwire.ReadPacket(c.Conn)
	if err != nil || len(b) == 0 || b[0] != mysqlwire.HeadErr {
		return Reply{Outcome: "served"}, b, err
	}
	e, err := mysqlwire.ParseErr(b)
	r := Reply{Outcome: "failed", Code: fmt.Sprint(e.Code)}
	if e.Code == 1637 || e.Code == 1041 {
		r.Outcome = "refused"
	}
	return r, nil, err
}

// Command sends a command with a plain body, such as a ping.
func (c *MySQLClient) Command(kind byte, body string) (Reply, error) {
	c.w.Reset(0)
	c.w.Begin()
	c.w.Byte(kind)
	c.w.Text(body)
	c.w.End()
	r, _, err := c.send()
	return r, err
}

// Query sends a text query with attributes.
func (c *MySQLClient) Query(text string, attributes ...mysqlwire.Param) (Reply, error) {
	c.w.Reset(0)
	c.w.Query(attributes, []byte(text), c.caps)
	return c.rows(false)
}

// Prepare prepares a statement and returns its id and its number of parameters.
func (c *MySQLClient) Prepare(text string) (r Reply, id uint32, params int, err error) {
	c.w.Reset(0)
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtPrepare)
	c.w.Text(text)
	c.w.End()
	r, b, err := c.send()
	if err != nil || r.Outcome != "served" {
		return r, 0, 0, err
	}
	head := mysqlwire.Cursor{B: b}
	head.Byte()
	id = head.U32()
	columns := int(head.U16())
	params = int(head.U16())
	for _, n := range []int{params, columns} {
		if n > 0 && c.caps&mysqlwire.CapDeprecateEOF == 0 {
			n++ // the packet that ends them
		}
		for range n {
			if _, _, err := mysqlwire.ReadPacket(c.Conn); err != nil {
				return r, id, params, err
			}
		}
	}
	return r, id, params, head.Err
}

// Execute runs a prepared statement.
func (c *MySQLClient) Execute(id uint32, params []mysqlwire.Param, attributes ...mysqlwire.Param) (Reply, error) {
	c.w.Reset(0)
	c.w.Execute(id, params, attributes, c.caps)
	return c.rows(true)
}

// LongData sends a part of a parameter's value ahead. It is not answered.
func (c *MySQLClient) LongData(id uint32, param int, data string) error {
	c.w.Reset(0)
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtLongData)
	c.w.U32(id)
	c.w.U16(uint16(param))
	c.w.Text(data)
	c.w.End()
	_, err := c.Write(c.w.B)
	return err
}

// CloseStatement closes a prepared statement. It is not answered.
func (c *MySQLClient) CloseStatement(id uint32) error {
	c.w.Reset(0)
	c.w.Begin()
	c.w.Byte(mysqlwire.ComStmtClose)
	c.w.U32(id)
	c.w.End()
	_, err := c.Write(c.w.B)
	return err
}

// rows reads an answer with rows, or without.
func (c *MySQLClient) rows(binary bool) (Reply, error) {
	r, b, err := c.send()
	if err != nil || r.Outcome != "served" || b[0] == mysqlwire.HeadOK {
		return r, err
	}
	ends := 0 // packets that end the columns, and the rows
	if c.caps&mysqlwire.CapDeprecateEOF != 0 {
		ends = 1
	}
	for columns := int(b[0]); ends < 2; {
		_, b, err := mysqlwire.ReadPacket(c.Conn)
		switch {
		case err != nil:
			return r, err
		case columns > 0:
			columns--
		case mysqlwire.IsEOF(b, c.caps):
			ends++
		default:
			row := mysqlwire.Cursor{B: b}
			if binary {
				row.Take(2)
			}
			r.Value = string(row.String())
		}
	}
	return r, nil
}
