package fake

import (
	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/sqlcomment"
	"net"
	"strings"
	"time"
)

// mysqlConn is the host's side of one MySQL connection.
type mysqlConn struct {
	*framebuf.Conn
	host       *Host
	writer     mysqlwire.Writer
	caps       uint32
	statements map[uint32]*mysqlwire.Statement
	longData   map[uint32]map[int][]byte
	lastID     uint32
	requestID  string // ID of the request that is being answered
}

// mysqlHostCapabilities are the capabilities that the host offers.
const mysqlHostCapabilities = mysqlwire.CapConnectWithDB | mysqlwire.CapProtocol41 | mysqlwire.CapTransactions |
	mysqlwire.CapSecure | mysqlwire.CapPluginAuth | mysqlwire.CapSessionTrack | mysqlwire.CapDeprecateEOF |
	mysqlwire.CapQueryAttributes

// ServeMySQL serves one connection until it ends.
func (h *Host) ServeMySQL(raw net.Conn) {
	defer h.track(raw)()
	c := &mysqlConn{
		Conn:       framebuf.New(raw, mysqlwire.MaxPacket+4),
		host:       h,
		statements: map[uint32]*mysqlwire.Statement{},
		longData:   map[uint32]map[int][]byte{},
	}
	defer func() { c.countStatements(-len(c.statements)) }()
	if !c.login() {
		return
	}
	for {
		if len(c.writer.B) > 0 && !h.send(c.Conn, c.requestID, c.writer.B) {
			return
		}
		c.requestID = ""
		seq, b, err := mysqlwire.ReadPacket(c.Conn)
		if err != nil || len(b) == 0 {
			return
		}
		c.writer.Reset(seq + 1)
		if !c.command(b[0], mysqlwire.Cursor{B: b[1:]}) {
			return
		}
	}
}

// login runs the handshake and leaves its last packet in the writer, for the caller to send. It returns false if the
// connection must be closed.
func (c *mysqlConn) login() bool {
	c.writer.Handshake("8.0.0-standin", 7, mysqlHostCapabilities)
	if _, err := c.Write(c.writer.B); err != nil {
		return false
	}
	seq, b, err := mysqlwire.ReadPacket(c.Conn)
	if err != nil {
		return false
	}
	login, err := mysqlwire.ParseLogin(b)
	if err != nil {
		return false
	}
	c.caps = login.Caps
	c.writer.Reset(seq + 1)
	plugin := mysqlwire.NativePassword
	if c.host.Plugin != "" {
		plugin = c.host.Plugin
		c.writer.SwitchAuth(plugin, []byte(mysqlwire.Nonce))
		if _, err := c.Write(c.writer.B); err != nil {
			return false
		}
		if seq, login.Auth, err = mysqlwire.ReadPacket(c.Conn); err != nil {
			return false
		}
		c.writer.Reset(seq + 1)
		c.writer.Packet([]byte{mysqlwire.MoreAuth, mysqlwire.FastAuth})
	}
	if string(mysqlwire.Scramble(plugin, c.host.Password, []byte(mysqlwire.Nonce))) != string(login.Auth) {
		c.writer.Reset(seq + 1)
		c.writer.Err(mysqlwire.Error{Code: 1045, State: "28000", Text: "access denied"}, c.caps)
		c.Write(c.writer.B)
		return false
	}
	c.writer.OK(mysqlwire.HeadOK, mysqlwire.OK{}, c.caps)
	return true
}

// command answers one command. It returns false if the connection must be closed.
func (c *mysqlConn) command(kind byte, cursor mysqlwire.Cursor) bool {
	switch kind {
	case mysqlwire.ComQuery:
		attributes, text := cursor.Query(c.caps)
		if string(text) == "SHOW pressure" {
			c.sendRow("pressure", c.host.loadReport(), false)
			return true
		}
		return c.execute(string(text), attributes, false)
	case mysqlwire.ComStmtPrepare:
		return c.prepare(string(cursor.B))
	case mysqlwire.ComStmtLongData:
		c.appendLongData(cursor)
		return true
	case mysqlwire.ComStmtExecute:
		return c.executePrepared(cursor)
	case mysqlwire.ComStmtClose:
		id := cursor.U32()
		if c.statements[id] != nil {
			delete(c.statements, id)
			c.countStatements(-1)
		}
		return true
	}
	return false
}

// prepare answers a prepare. It returns false if the connection must be closed.
func (c *mysqlConn) prepare(text string) bool {
	act := c.host.decide("", text, true)
	time.Sleep(c.host.PrepareFor)
	switch act {
	case Reset:
		return false
	case Silent:
		c.Need(c.Buffered() + 1) // until the peer closes or sends more
		return false
	case Serve:
	default:
		return c.sendError(act, text)
	}
	c.lastID++
	statement := &mysqlwire.Statement{Text: text, Params: strings.Count(text, "?")}
	c.statements[c.lastID] = statement
	c.countStatements(1)
	var column mysqlwire.Writer
	column.Column("v", mysqlwire.TypeVarString)
	definitions := &mysqlwire.Definitions{Columns: [][]byte{column.B[4:]}}
	for range statement.Params {
		definitions.Params = append(definitions.Params, column.B[4:])
	}
	c.writer.Prepared(c.lastID, definitions, c.caps)
	return true
}

// appendLongData appends a part of a parameter's value to the parts received before.
func (c *mysqlConn) appendLongData(cursor mysqlwire.Cursor) {
	id := cursor.U32()
	param := int(cursor.U16())
	if c.longData[id] == nil {
		c.longData[id] = map[int][]byte{}
	}
	c.longData[id][param] = append(c.longData[id][param], cursor.B...)
}

// executePrepared answers the execution of a prepared statement. It returns false if the connection must be closed.
func (c *mysqlConn) executePrepared(cursor mysqlwire.Cursor) bool {
	id := cursor.U32()
	statement := c.statements[id]
	if statement == nil {
		c.writer.Err(mysqlwire.Error{Code: 1243, State: "HY000", Text: "no such statement"}, c.caps)
		return true
	}
	params := cursor.Execute(c.caps, statement.Params, nil, c.longData[id])
	text := statement.Text
	for i := range statement.Params {
		value, isLong := c.longData[id][i]
		if !isLong && cursor.Err == nil {
			value = []byte(params[i].Text())
		}
		text = strings.Replace(text, "?", "'"+string(value)+"'", 1)
	}
	delete(c.longData, id)
	if cursor.Err != nil {
		return false
	}
	return c.execute(text, params[statement.Params:], true)
}

// countStatements adds to the host's number of open prepared statements.
func (c *mysqlConn) countStatements(n int) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	c.host.openStatements += n
}

// execute answers a statement. It returns false if the connection must be closed.
func (c *mysqlConn) execute(text string, attributes []mysqlwire.Param, binary bool) bool {
	statement, err := sqlcomment.Parse([]byte(text))
	if err != nil {
		c.writer.Err(mysqlwire.Error{Code: 1064, State: "42000", Text: err.Error()}, c.caps)
		return true
	}
	for _, p := range attributes {
		statement.Set(p.Name, p.Text())
	}
	c.requestID = statement.ID
	switch act := c.host.decide(statement.ID, text, false); act {
	case Reset:
		return false
	case Silent:
		c.Need(c.Buffered() + 1) // until the peer closes or sends more
		return false
	case Serve:
		if strings.Contains(text, "INSERT") {
			c.writer.Result(&mysqlwire.Result{OK: mysqlwire.OK{Affected: 1, Session: c.host.sessionVariables()}}, c.caps)
		} else {
			c.sendRow("v", valueOf(text), binary)
		}
		return true
	default:
		return c.sendError(act, text)
	}
}

// sendError answers with the error of an act. The connection stays open.
func (c *mysqlConn) sendError(act Act, text string) bool {
	e := mysqlwire.Error{Code: 1105, State: "HY000", Text: "internal error"}
	switch {
	case act == Miss && strings.Contains(text, "INSERT"):
		e = mysqlwire.Error{Code: 1290, State: "HY000", Text: "read-only"}
	case act == Miss:
		e.State, e.Text = "72000", "too stale"
	case act == InvalidStatement:
		e = mysqlwire.Error{Code: 1064, State: "42000", Text: "syntax error"}
	case act == Reject:
		e = mysqlwire.Error{Code: 1203, State: "42000", Text: "over capacity"}
	}
	c.writer.Err(e, c.caps)
	return true
}

// sendRow sends a result of one row with one column.
func (c *mysqlConn) sendRow(name, value string, binary bool) {
	var w mysqlwire.Writer
	w.Column(name, mysqlwire.TypeVarString)
	row := append(mysqlwire.AppendInt(nil, uint64(len(value))), value...)
	if binary {
		row = append([]byte{0, 0}, row...)
	}
	c.writer.Result(&mysqlwire.Result{Columns: [][]byte{w.B[4:]}, Rows: [][]byte{row},
		OK: mysqlwire.OK{Session: c.host.sessionVariables()}}, c.caps)
}
