// Package fake has small database hosts and clients of both protocols, for tests and for trying the gateway
// out. They follow the public specifications as far as the gateway needs them.
package fake

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cranegate/internal/framebuf"
	"cranegate/internal/mysqlwire"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
)

// Act is what a host makes of a statement.
type Act int

// The acts.
const (
	Serve            Act = iota // run it and answer
	Miss                        // turn it away: not the primary, or too far behind
	Reject                      // turn it away: no room
	Error                       // run it and answer with an error
	Reset                       // run it and drop the connection
	Silent                      // run it and never answer
	InvalidStatement            // turn it away: it can't be used
	NoCapacity                  // turn it away, and end the connection: there are too many (PostgreSQL alone)
)

// Host is a database host.
type Host struct {
	Primary bool
	// Password is what a MySQL login must know; Plugin is the way that it must take, if not the native one.
	Password, Plugin string
	// Act decides about a statement, or a prepare. Nil serves all.
	Act func(id, text string, prepare bool) Act
	// Tell is what the host says of itself, in answers or, where report is set, in reports: its position in Unix
	// milliseconds. Nil: Primary, at the present.
	Tell func(report bool) (primary bool, position int64)
	// Reports has answers carry the report, as a database host does whose load reports come with answers. Its position is told
	// nowhere else then.
	Reports bool
	// PrepareTimeout is how long a prepare takes.
	PrepareFor time.Duration
	// Spoil makes something else of a request's answer; nil leaves all as they are.
	Malform func(id string, answer []byte) Malformed

	mu       sync.Mutex
	ran      map[string]int
	open     int // prepared statements
	prepares int
	conns    map[net.Conn]bool
}

// Spoilt is what a host sends in place of an answer, and what follows it after a while though nothing was asked.
// Where it is dead nothing more is answered on that connection, which stays open.
type Malformed struct {
	Answer, Surplus []byte
	After           time.Duration
	Dead            bool
}

// send writes an answer as it is to be spoilt. False says that the connection has ended.
func (h *Host) send(c *framebuf.Conn, id string, answer []byte) bool {
	x := Malformed{Answer: answer}
	if h.Malform != nil && id != "" {
		x = h.Malform(id, answer)
	}
	if _, err := c.Write(x.Answer); err != nil {
		return false
	}
	if x.Surplus != nil {
		time.Sleep(x.After)
		c.Write(x.Surplus)
	}
	if x.Dead {
		c.Need(c.Buffered() + 1) // until the peer closes
	}
	return !x.Dead
}

// Ran is how often a request has run here.
func (h *Host) Ran(id string) int { h.mu.Lock(); defer h.mu.Unlock(); return h.ran[id] }

// Statements is how many prepared statements are open, and how many prepares have come.
func (h *Host) Statements() (open, prepares int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open, h.prepares
}

// Conns is how many connections are open.
func (h *Host) Conns() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.conns) }

// Die drops all connections, as a process that dies does.
func (h *Host) Die() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

// enter keeps a connection until the call that it returns.
func (h *Host) enter(c net.Conn) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns, h.ran = map[net.Conn]bool{}, map[string]int{}
	}
	h.conns[c] = true
	return func() {
		c.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.conns, c)
	}
}

// decide says what becomes of a statement and counts it if it runs.
func (h *Host) decide(id, text string, prepare bool) Act {
	act := Serve
	if h.Act != nil {
		act = h.Act(id, text, prepare)
	} else if !prepare && !h.Primary && strings.Contains(text, "INSERT") {
		act = Miss
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if prepare {
		h.prepares++
	} else if act != Miss && act != Reject && act != InvalidStatement {
		h.ran[id]++
	}
	return act
}

// tell is what the host says of itself.
func (h *Host) tell(report bool) (primary bool, position int64) {
	if h.Tell != nil {
		return h.Tell(report)
	}
	return h.Primary, time.Now().UnixMilli()
}

// note is what the host tells of itself.
func (h *Host) note() [][2]string {
	role := "standby"
	primary, position := h.tell(false)
	if primary {
		role = "primary"
	}
	if h.Reports {
		return [][2]string{{"replication_role", role}, {"pressure", h.report()}}
	}
	return [][2]string{{"replication_role", role}, {"log_position", strconv.FormatInt(position, 10)}}
}

// report is what a probe brings.
func (h *Host) report() string {
	role := "0"
	primary, position := h.tell(true)
	if primary {
		role = "1"
	}
	return "x0=" + strconv.FormatFloat(float64(position)/1000, 'f', 3, 64) + ",x1=" + role
}

// value is the answer to a statement with a key.
func value(key string) string { return "value of " + key }

var sqlErrors = map[Act][2]string{Reject: {"53300", "no room"}, NoCapacity: {"53300", "too many connections"}, Error: {"XX000", "it broke"}, InvalidStatement: {"42601", "no such thing"}}

// ServePostgres talks to one connection until it ends.
func (h *Host) ServePostgres(raw net.Conn) {
	defer h.enter(raw)()
	c := framebuf.New(raw, pgwire.MaxMessage)
	if _, _, err := pgwire.ReadStartup(c); err != nil {
		return
	}
	out, id := pgwire.AppendReady(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")), ""
	for {
		if !h.send(c, id, out) {
			return
		}
		id = ""
		kind, body, err := pgwire.ReadMessage(c)
		if err != nil || kind != 'Q' {
			return
		}
		text, _, _ := pgwire.Text(body)
		out = nil
		if string(text) == "SHOW pressure" {
			out = pgwire.AppendReady(pgRow(out, "pressure", h.report()))
			continue
		}
		s, err := sqlcomment.Parse(text)
		if err != nil {
			out = pgwire.AppendReady(pgwire.AppendError(out, "ERROR", "08P01", err.Error(), ""))
			continue
		}
		id = s.ID
		write := strings.Contains(string(text), "INSERT")
		act := h.decide(s.ID, string(text), false)
		switch act {
		case Reset:
			return
		case Silent:
			c.Need(c.Buffered() + 1) // until the peer closes
			return
		case Serve:
			out = pgRow(out, "v", value(s.Key))
		case Miss:
			code := "72000"
			if write {
				code = "25006"
			}
			out = pgwire.AppendError(out, "ERROR", code, "not here", "")
		default:
			out = pgwire.AppendError(out, "ERROR", sqlErrors[act][0], sqlErrors[act][1], "")
		}
		for _, v := range h.note() {
			out = pgwire.AppendParameter(out, v[0], v[1])
		}
		if out = pgwire.AppendReady(out); act == NoCapacity {
			h.send(c, id, out)
			return
		}
	}
}

// pgRow writes a result of one row of one column.
func pgRow(b []byte, name, v string) []byte {
	b = pgwire.Append(b, 'T', "\x00\x01", name, "\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := len(v)
	b = pgwire.Append(b, 'D', "\x00\x01", string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}), v)
	return pgwire.Append(b, 'C', "SELECT 1\x00")
}

// myConn is one connection to a host that speaks the MySQL protocol.
type myConn struct {
	*framebuf.Conn
	h          *Host
	w          mysqlwire.Writer
	caps       uint32
	statements map[uint32]*mysqlwire.Statement
	long       map[uint32]map[int][]byte
	lastID     uint32
	asked      string // the id of the request in hand
}

// ServeMySQL talks to one connection until it ends.
func (h *Host) ServeMySQL(raw net.Conn) {
	defer h.enter(raw)()
	c := &myConn{Conn: framebuf.New(raw, mysqlwire.MaxPacket+4), h: h, statements: map[uint32]*mysqlwire.Statement{},
		long: map[uint32]map[int][]byte{}}
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.open -= len(c.statements)
	}()
	c.w.Handshake("8.0.0-standin", 7, mysqlwire.CapConnectWithDB|mysqlwire.CapProtocol41|mysqlwire.CapTransactions|
		mysqlwire.CapSecure|mysqlwire.CapPluginAuth|mysqlwire.CapSessionTrack|mysqlwire.CapDeprecateEOF|
		mysqlwire.CapQueryAttributes)
	if _, err := c.Write(c.w.B); err != nil {
		return
	}
	seq, b, err := mysqlwire.ReadPacket(c.Conn)
	if err != nil {
		return
	}
	l, err := mysqlwire.ParseLogin(b)
	if err != nil {
		return
	}
	c.caps = l.Caps
	c.w.Reset(seq + 1)
	plugin := mysqlwire.NativePassword
	if h.Plugin != "" {
		plugin = h.Plugin
		c.w.SwitchAuth(plugin, []byte(mysqlwire.Nonce))
		if _, err := c.Write(c.w.B); err != nil {
			return
		}
		if seq, l.Auth, err = mysqlwire.ReadPacket(c.Conn); err != nil {
			return
		}
		c.w.Reset(seq + 1)
		c.w.Packet([]byte{mysqlwire.MoreAuth, mysqlwire.FastAuth})
	}
	if want := mysqlwire.Scramble(plugin, h.Password, []byte(mysqlwire.Nonce)); string(want) != string(l.Auth) {
		c.w.Reset(seq + 1)
		c.w.Err(mysqlwire.Error{Code: 1045, State: "28000", Text: "access denied"}, c.caps)
		c.Write(c.w.B)
		return
	}
	c.w.OK(mysqlwire.HeadOK, mysqlwire.OK{}, c.caps)
	for {
		if len(c.w.B) > 0 && !c.h.send(c.Conn, c.asked, c.w.B) {
			return
		}
		c.asked = ""
		seq, b, err := mysqlwire.ReadPacket(c.Conn)
		if err != nil || len(b) == 0 {
			return
		}
		c.w.Reset(seq + 1)
		if !c.command(b[0], mysqlwire.Cursor{B: b[1:]}) {
			return
		}
	}
}

// command answers one command; false ends the connection.
func (c *myConn) command(kind byte, cursor mysqlwire.Cursor) bool {
	switch kind {
	case mysqlwire.ComQuery:
		attributes, text := cursor.Query(c.caps)
		if string(text) == "SHOW pressure" {
			c.rows("pressure", c.h.report(), false)
			return true
		}
		return c.run(string(text), attributes, false)
	case mysqlwire.ComStmtPrepare:
		text := string(cursor.B)
		act := c.h.decide("", text, true)
		time.Sleep(c.h.PrepareFor)
		switch act {
		case Reset:
			return false
		case Silent:
			c.Need(c.Buffered() + 1)
			return false
		case Serve:
		default:
			return c.refuse(act, text)
		}
		c.lastID++
		s := &mysqlwire.Statement{Text: text, Params: strings.Count(text, "?")}
		c.statements[c.lastID] = s
		c.count(1)
		var w mysqlwire.Writer
		w.Column("v", mysqlwire.TypeVarString)
		d := &mysqlwire.Definitions{Columns: [][]byte{w.B[4:]}}
		for range s.Params {
			d.Params = append(d.Params, w.B[4:])
		}
		c.w.Prepared(c.lastID, d, c.caps)
	case mysqlwire.ComStmtLongData:
		id, i := cursor.U32(), int(cursor.U16())
		if c.long[id] == nil {
			c.long[id] = map[int][]byte{}
		}
		c.long[id][i] = append(c.long[id][i], cursor.B...)
	case mysqlwire.ComStmtExecute:
		id := cursor.U32()
		s := c.statements[id]
		if s == nil {
			c.w.Err(mysqlwire.Error{Code: 1243, State: "HY000", Text: "no such statement"}, c.caps)
			return true
		}
		all := cursor.Execute(c.caps, s.Params, nil, c.long[id])
		text := s.Text
		for i := range s.Params {
			v, isLong := c.long[id][i]
			if !isLong && cursor.Err == nil {
				v = []byte(all[i].Text())
			}
			text = strings.Replace(text, "?", "'"+string(v)+"'", 1)
		}
		delete(c.long, id)
		if cursor.Err != nil {
			return false
		}
		return c.run(text, all[s.Params:], true)
	case mysqlwire.ComStmtClose:
		id := cursor.U32()
		if c.statements[id] != nil {
			delete(c.statements, id)
			c.count(-1)
		}
	default:
		return false
	}
	return true
}

func (c *myConn) count(n int) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.open += n
}

// run answers a statement.
func (c *myConn) run(text string, attributes []mysqlwire.Param, binary bool) bool {
	s, err := sqlcomment.Parse([]byte(text))
	if err != nil {
		c.w.Err(mysqlwire.Error{Code: 1064, State: "42000", Text: err.Error()}, c.caps)
		return true
	}
	for _, p := range attributes {
		s.Set(p.Name, p.Text())
	}
	c.asked = s.ID
	switch act := c.h.decide(s.ID, text, false); act {
	case Reset:
		return false
	case Silent:
		c.Need(c.Buffered() + 1)
		return false
	case Serve:
		if strings.Contains(text, "INSERT") {
			c.w.Result(&mysqlwire.Result{OK: mysqlwire.OK{Affected: 1, Session: c.h.note()}}, c.caps)
		} else {
			c.rows("v", value(s.Key), binary)
		}
		return true
	default:
		return c.refuse(act, text)
	}
}

// refuse answers with the error of an act.
func (c *myConn) refuse(act Act, text string) bool {
	e := mysqlwire.Error{Code: 1105, State: "HY000", Text: "it broke"}
	switch {
	case act == Miss && strings.Contains(text, "INSERT"):
		e = mysqlwire.Error{Code: 1290, State: "HY000", Text: "read-only"}
	case act == Miss:
		e.State, e.Text = "72000", "too far behind"
	case act == InvalidStatement:
		e = mysqlwire.Error{Code: 1064, State: "42000", Text: "no such thing"}
	case act == Reject:
		e = mysqlwire.Error{Code: 1203, State: "42000", Text: "no room"}
	}
	c.w.Err(e, c.caps)
	return true
}

// rows writes a result of one row of one column.
func (c *myConn) rows(name, v string, binary bool) {
	var w mysqlwire.Writer
	w.Column(name, mysqlwire.TypeVarString)
	row := append(mysqlwire.AppendInt(nil, uint64(len(v))), v...)
	if binary {
		row = append([]byte{0, 0}, row...)
	}
	c.w.Result(&mysqlwire.Result{Columns: [][]byte{w.B[4:]}, Rows: [][]byte{row},
		OK: mysqlwire.OK{Session: c.h.note()}}, c.caps)
}
