package mysqlwire

import "fmt"

// Handshake is what a server says first.
type Handshake struct {
	Version    string
	Caps       uint32
	AuthPlugin string
	Nonce      []byte // the challenge
}

// Nonce is the challenge that Handshake writes. It is fixed: the front asks for no password.
const Nonce = "cranegategatecranega"

// Handshake writes a server's first packet.
func (w *Writer) Handshake(version string, id, caps uint32) {
	w.Begin()
	w.Byte(10)
	w.Text(version + "\x00")
	w.U32(id)
	w.Text(Nonce[:8] + "\x00")
	w.U16(uint16(caps))
	w.Byte(45) // utf8mb4
	w.U16(StatusAutocommit)
	w.U16(uint16(caps >> 16))
	w.Byte(21)
	w.Text("\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00")
	w.Text(Nonce[8:] + "\x00")
	w.Text(NativePassword + "\x00")
	w.End()
}

// ParseHandshake reads a server's first packet.
func ParseHandshake(payload []byte) (Handshake, error) {
	c := Cursor{B: payload}
	var h Handshake
	if v := c.Byte(); v != 10 {
		return h, fmt.Errorf("handshake of version %d: %w", v, ErrMalformed)
	}
	h.Version = string(c.Zero())
	c.Take(4)
	h.Nonce = append(h.Nonce, c.Take(8)...)
	c.Take(1)
	h.Caps = uint32(c.U16())
	c.Take(1 + 2)
	h.Caps |= uint32(c.U16()) << 16
	n := int(c.Byte())
	c.Take(10)
	if h.Caps&CapSecure != 0 {
		if rest := c.Take(max(13, n-8)); c.Err == nil {
			h.Nonce = append(h.Nonce, rest[:12]...)
		}
	}
	if h.Caps&CapPluginAuth != 0 && c.Err == nil {
		h.AuthPlugin = string(c.Zero())
	}
	return h, c.Err
}

// Login is what a client answers to a handshake.
type Login struct {
	Caps           uint32
	User, Database string
	Auth           []byte // the answer to the challenge, 255 bytes at most
	Plugin         string
}

// Login writes a client's answer to the handshake.
func (w *Writer) Login(l Login) {
	w.Begin()
	w.U32(l.Caps)
	w.U32(MaxPacket)
	w.Byte(45)
	w.B = append(w.B, make([]byte, 23)...)
	w.Text(l.User + "\x00")
	w.Byte(byte(len(l.Auth)))
	w.B = append(w.B, l.Auth...)
	if l.Caps&CapConnectWithDB != 0 {
		w.Text(l.Database + "\x00")
	}
	if l.Caps&CapPluginAuth != 0 {
		w.Text(l.Plugin + "\x00")
	}
	w.End()
}

// ParseLogin reads a client's answer. One of before version 4.1, as an old health check sends it, has no more
// than flags and a user.
func ParseLogin(payload []byte) (Login, error) {
	c := Cursor{B: payload}
	var l Login
	if l.Caps = uint32(c.U16()); l.Caps&CapProtocol41 == 0 {
		c.Take(3)
		l.User = string(c.Zero())
		return l, c.Err
	}
	l.Caps |= uint32(c.U16()) << 16
	c.Take(4 + 1 + 23)
	if len(c.B) == 0 && l.Caps&CapSSL != 0 {
		return l, fmt.Errorf("encryption was not offered: %w", ErrMalformed)
	}
	l.User = string(c.Zero())
	switch {
	case l.Caps&CapLenencAuth != 0:
		l.Auth = append(l.Auth, c.String()...)
	case l.Caps&CapSecure != 0:
		l.Auth = append(l.Auth, c.Take(int(c.Byte()))...)
	default:
		c.Zero()
	}
	if l.Caps&CapConnectWithDB != 0 && len(c.B) > 0 {
		l.Database = string(c.Zero())
	}
	return l, c.Err
}

// OK is a packet that says that a command went through.
type OK struct {
	Affected, LastID uint64
	Status, Warnings uint16
	Session          [][2]string // session variables that have changed
}

// OK writes the packet with its opening byte: HeadOK, or HeadEOF at the end of rows.
func (w *Writer) OK(head byte, ok OK, caps uint32) {
	w.Begin()
	w.Byte(head)
	w.Int(ok.Affected)
	w.Int(ok.LastID)
	track := caps&CapSessionTrack != 0 && len(ok.Session) > 0
	if ok.Status |= StatusAutocommit; track {
		ok.Status |= StatusStateChanged
	}
	if caps&CapProtocol41 != 0 {
		w.U16(ok.Status)
		w.U16(ok.Warnings)
	}
	if track {
		w.String("") // no message
		var all []byte
		for _, v := range ok.Session {
			one := AppendInt(nil, uint64(len(v[0])))
			one = append(one, v[0]...)
			one = append(AppendInt(one, uint64(len(v[1]))), v[1]...)
			all = append(AppendInt(append(all, 0), uint64(len(one))), one...)
		}
		w.String(string(all))
	}
	w.End()
}

// ParseOK reads an OK packet, or the one that ends rows.
func ParseOK(payload []byte, caps uint32) (OK, error) {
	c := Cursor{B: payload}
	c.Byte()
	ok := OK{Affected: c.Int(), LastID: c.Int()}
	ok.Status, ok.Warnings = c.U16(), c.U16()
	if caps&CapSessionTrack == 0 || ok.Status&StatusStateChanged == 0 || c.Err != nil {
		return ok, c.Err
	}
	c.String() // the message
	all := Cursor{B: c.String()}
	if c.Err != nil {
		return ok, c.Err
	}
	for len(all.B) > 0 {
		kind, one := all.Byte(), Cursor{B: all.String()}
		if kind == 0 { // a system variable; other kinds tell nothing that the gateway needs
			name, value := string(one.String()), string(one.String())
			ok.Session = append(ok.Session, [2]string{name, value})
		}
		if one.Err != nil || all.Err != nil { // notes that can't be read are passed over, and the answer is good without
			ok.Session = nil
			break
		}
	}
	return ok, nil
}

// RowFits says whether a row's lengths agree with its packet's. Of a binary row, whose values have lengths by their
// types, it sees the head alone.
func RowFits(row []byte, columns int, binary bool) bool {
	if binary {
		return len(row) >= 1+(columns+9)/8 && row[0] == HeadOK
	}
	c := Cursor{B: row}
	for range columns {
		if len(c.B) > 0 && c.B[0] == 0xfb { // null
			c.Byte()
		} else {
			c.String()
		}
	}
	return c.Err == nil && len(c.B) == 0
}

// Error is an ERR packet.
type Error struct {
	Code  uint16
	State string
	Text  string
}

func (e Error) Error() string { return fmt.Sprintf("%d (%s): %s", e.Code, e.State, e.Text) }

// Err writes an ERR packet.
func (w *Writer) Err(e Error, caps uint32) {
	w.Begin()
	w.Byte(HeadErr)
	w.U16(e.Code)
	if caps&CapProtocol41 != 0 {
		w.Text("#" + e.State)
	}
	w.Text(e.Text)
	w.End()
}

// ParseErr reads an ERR packet.
func ParseErr(payload []byte) (Error, error) {
	c := Cursor{B: payload}
	c.Byte()
	e := Error{Code: c.U16()}
	if len(c.B) >= 6 && c.B[0] == '#' {
		e.State = string(c.Take(6)[1:])
	}
	e.Text = string(c.B[:min(len(c.B), 512)])
	return e, c.Err
}

// EOF writes an EOF packet.
func (w *Writer) EOF(warnings uint16) {
	w.Begin()
	w.Byte(HeadEOF)
	w.U16(warnings)
	w.U16(StatusAutocommit)
	w.End()
}

// IsEOF says whether a payload ends rows or definitions.
func IsEOF(payload []byte, caps uint32) bool {
	if len(payload) == 0 || payload[0] != HeadEOF {
		return false
	}
	return caps&CapDeprecateEOF != 0 && len(payload) < 1<<24-1 || len(payload) < 9
}

// Column writes a column's or parameter's definition.
func (w *Writer) Column(name string, kind byte) {
	w.Begin()
	for _, s := range []string{"def", "", "", "", name, ""} {
		w.String(s)
	}
	w.Byte(0x0c)
	w.U16(63) // binary
	w.U32(MaxPacket)
	w.Byte(kind)
	w.U16(0)
	w.Byte(0)
	w.U16(0)
	w.End()
}

// Result is what a statement brought: rows, or none. Definitions and rows are kept as they came.
type Result struct {
	Columns, Rows [][]byte
	OK            OK
}

// Result writes a statement's result. Session variables that the host tracked go along: a client learns there
// which position its write was committed at.
func (w *Writer) Result(r *Result, caps uint32) {
	if len(r.Columns) == 0 {
		w.OK(HeadOK, OK{Affected: r.OK.Affected, LastID: r.OK.LastID, Warnings: r.OK.Warnings,
			Session: r.OK.Session}, caps)
		return
	}
	w.Begin()
	w.Int(uint64(len(r.Columns)))
	w.End()
	for _, c := range r.Columns {
		w.Packet(c)
	}
	if caps&CapDeprecateEOF == 0 {
		w.EOF(0)
	}
	for _, row := range r.Rows {
		w.Packet(row)
	}
	if caps&CapDeprecateEOF == 0 {
		w.EOF(r.OK.Warnings)
		return
	}
	w.OK(HeadEOF, OK{Warnings: r.OK.Warnings, Session: r.OK.Session}, caps)
}

// Definitions are what a prepare tells of a statement, as it came.
type Definitions struct{ Params, Columns [][]byte }

// Prepared writes the answer to a prepare.
func (w *Writer) Prepared(id uint32, d *Definitions, caps uint32) {
	w.Begin()
	w.Byte(HeadOK)
	w.U32(id)
	w.U16(uint16(len(d.Columns)))
	w.U16(uint16(len(d.Params)))
	w.Byte(0)
	w.U16(0)
	w.End()
	for _, list := range [][][]byte{d.Params, d.Columns} {
		for _, p := range list {
			w.Packet(p)
		}
		if len(list) > 0 && caps&CapDeprecateEOF == 0 {
			w.EOF(0)
		}
	}
}
