package fake

import (
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"fmt"
	"net"
)

// MySQLClient is a client of the MySQL protocol.
type MySQLClient struct {
	*framebuf.Conn
	caps   uint32
	writer mysqlwire.Writer
}

// DialMySQL logs in on an open connection. caps are the client's capabilities in addition to the required ones.
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
	c.writer.Reset(seq + 1)
	c.writer.Login(mysqlwire.Login{Caps: c.caps, User: "svc", Plugin: mysqlwire.NativePassword})
	_, _, err = c.send()
	return c, err
}

// send writes the pending packets and reads the first packet of the answer.
func (c *MySQLClient) send() (Reply, []byte, error) {
	go c.Write(append([]byte(nil), c.writer.B...)) // if the write fails, the read below fails too
	return c.readFirst()
}

// ReadReply reads the first packet of an answer.
func (c *MySQLClient) ReadReply() (Reply, error) {
	r, _, err := c.readFirst()
	return r, err
}

// readFirst reads the first packet of an answer, and returns it if it is no error.
func (c *MySQLClient) readFirst() (Reply, []byte, error) {
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

// Command sends a command with a plain body, such as COM_PING.
func (c *MySQLClient) Command(kind byte, body string) (Reply, error) {
	c.writer.Reset(0)
	c.writer.Begin()
	c.writer.Byte(kind)
	c.writer.Text(body)
	c.writer.End()
	r, _, err := c.send()
	return r, err
}

// Query sends a text query with attributes.
func (c *MySQLClient) Query(text string, attributes ...mysqlwire.Param) (Reply, error) {
	c.writer.Reset(0)
	c.writer.Query(attributes, []byte(text), c.caps)
	return c.readResult(false)
}

// Prepare prepares a statement and returns its id and its number of parameters.
func (c *MySQLClient) Prepare(text string) (r Reply, id uint32, params int, err error) {
	c.writer.Reset(0)
	c.writer.Begin()
	c.writer.Byte(mysqlwire.ComStmtPrepare)
	c.writer.Text(text)
	c.writer.End()
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
			n++ // the EOF packet after the definitions
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
	c.writer.Reset(0)
	c.writer.Execute(id, params, attributes, c.caps)
	return c.readResult(true)
}

// LongData sends a part of a parameter's value. The host does not answer it.
func (c *MySQLClient) LongData(id uint32, param int, data string) error {
	c.writer.Reset(0)
	c.writer.Begin()
	c.writer.Byte(mysqlwire.ComStmtLongData)
	c.writer.U32(id)
	c.writer.U16(uint16(param))
	c.writer.Text(data)
	c.writer.End()
	_, err := c.Write(c.writer.B)
	return err
}

// CloseStatement closes a prepared statement. The host does not answer it.
func (c *MySQLClient) CloseStatement(id uint32) error {
	c.writer.Reset(0)
	c.writer.Begin()
	c.writer.Byte(mysqlwire.ComStmtClose)
	c.writer.U32(id)
	c.writer.End()
	_, err := c.Write(c.writer.B)
	return err
}

// readResult reads the answer to a query, with or without rows.
func (c *MySQLClient) readResult(binary bool) (Reply, error) {
	r, b, err := c.send()
	if err != nil || r.Outcome != "served" || b[0] == mysqlwire.HeadOK {
		return r, err
	}
	endMarkers := 0 // after the columns, unless CapDeprecateEOF is set, and after the rows
	if c.caps&mysqlwire.CapDeprecateEOF != 0 {
		endMarkers = 1
	}
	for columns := int(b[0]); endMarkers < 2; {
		_, b, err := mysqlwire.ReadPacket(c.Conn)
		switch {
		case err != nil:
			return r, err
		case columns > 0:
			columns--
		case mysqlwire.IsEOF(b, c.caps):
			endMarkers++
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
