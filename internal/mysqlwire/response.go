package mysqlwire

import (
	"fmt"

	"cranegate/internal/framebuf"
)

// OK is the packet that reports success of a command.
type OK struct {
	Affected, LastID uint64
	Status, Warnings uint16
	Session          [][2]string // names and values of session variables that have changed
}

// OK writes the packet with its first byte: HeadOK, or HeadEOF at the end of rows.
func (w *Writer) OK(head byte, ok OK, caps uint32) {
	w.Begin()
	w.Byte(head)
	w.Int(ok.Affected)
	w.Int(ok.LastID)
	ok.Status |= StatusAutocommit
	trackSession := caps&CapSessionTrack != 0 && len(ok.Session) > 0
	if trackSession {
		ok.Status |= StatusStateChanged
	}
	if caps&CapProtocol41 != 0 {
		w.U16(ok.Status)
		w.U16(ok.Warnings)
	}
	if trackSession {
		w.String("") // no message
		w.String(string(encodeSession(ok.Session)))
	}
	w.End()
}

// trackSystemVariable is the kind of a session state change for the change of a system variable.
const trackSystemVariable = 0

// encodeSession encodes changed session variables.
func encodeSession(variables [][2]string) []byte {
	var changes []byte
	for _, variable := range variables {
		change := appendString(nil, variable[0])
		change = appendString(change, variable[1])
		changes = append(changes, trackSystemVariable)
		changes = appendString(changes, string(change))
	}
	return changes
}

// ParseOK parses an OK packet, or the packet that ends rows.
func ParseOK(payload []byte, caps uint32) (OK, error) {
	cursor := Cursor{B: payload}
	cursor.Byte()
	ok := OK{Affected: cursor.Int(), LastID: cursor.Int()}
	ok.Status = cursor.U16()
	ok.Warnings = cursor.U16()
	if caps&CapSessionTrack == 0 || ok.Status&StatusStateChanged == 0 || cursor.Err != nil {
		return ok, cursor.Err
	}
	cursor.String() // the message
	changes := cursor.String()
	if cursor.Err != nil {
		return ok, cursor.Err
	}
	ok.Session = parseSession(changes)
	return ok, nil
}

// parseSession parses changed session variables. It returns nil if they are malformed: the answer is valid without them.
func parseSession(changes []byte) (variables [][2]string) {
	c := Cursor{B: changes}
	for len(c.B) > 0 {
		kind := c.Byte()
		change := Cursor{B: c.String()}
		if kind == trackSystemVariable { // the gateway needs no other kind
			name := string(change.String())
			value := string(change.String())
			variables = append(variables, [2]string{name, value})
		}
		if change.Err != nil || c.Err != nil {
			return nil
		}
	}
	return variables
}

// RowFits reports whether the lengths of a row's values add up to the length of its packet. Of a binary row, in which the
// lengths depend on the types of the columns, it checks only the header.
func RowFits(row []byte, columns int, binary bool) bool {
	if binary {
		return len(row) >= 1+(columns+9)/8 && row[0] == HeadOK
	}
	c := Cursor{B: row}
	for range columns {
		if len(c.B) > 0 && c.B[0] == lenencNull {
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
	State string // the SQLSTATE
	Text  string
}

// Error implements the error interface.
func (e Error) Error() string { return fmt.Sprintf("%d (%s): %s", e.Code, e.State, e.Text) }

const (
	sqlStateMarker = '#'
	sqlStateBytes  = 5
	maxErrorText   = 512 // bytes of the text that ParseErr returns
)

// Err writes an ERR packet.
func (w *Writer) Err(e Error, caps uint32) {
	w.Begin()
	w.Byte(HeadErr)
	w.U16(e.Code)
	if caps&CapProtocol41 != 0 {
		w.Byte(sqlStateMarker)
		w.Text(e.State)
	}
	w.Text(e.Text)
	w.End()
}

// ParseErr parses an ERR packet.
func ParseErr(payload []byte) (Error, error) {
	c := Cursor{B: payload}
	c.Byte()
	e := Error{Code: c.U16()}
	if len(c.B) >= 1+sqlStateBytes && c.B[0] == sqlStateMarker {
		e.State = string(c.Take(1 + sqlStateBytes)[1:])
	}
	e.Text = string(c.B[:min(len(c.B), maxErrorText)])
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

// Lengths that distinguish a packet that ends rows from a row that begins with the same byte.
const (
	maxEOFPacket  = 9
	maxPacketSize = 1<<24 - 1
)

// IsEOF reports whether a payload ends rows or definitions.
func IsEOF(payload []byte, caps uint32) bool {
	if len(payload) == 0 || payload[0] != HeadEOF {
		return false
	}
	return caps&CapDeprecateEOF != 0 && len(payload) < maxPacketSize || len(payload) < maxEOFPacket
}

// Column writes the definition of a column or parameter.
func (w *Writer) Column(name string, kind byte) {
	const (
		fixedFieldsBytes = 0x0c
		charsetBinary    = 63
	)
	w.Begin()
	for _, s := range []string{"def", "", "", "", name, ""} { // catalog, schema, tables, name, original name
		w.String(s)
	}
	w.Byte(fixedFieldsBytes)
	w.U16(charsetBinary)
	w.U32(MaxPacket)
	w.Byte(kind)
	w.U16(0) // flags
	w.Byte(0)
	w.U16(0)
	w.End()
}

// Result is the result of a statement, with rows or without. Definitions and rows are as the host sent them.
type Result struct {
	Columns, Rows [][]byte
	OK            OK
	Memory        *framebuf.Reservation // for a long result, released when it has been written; nil: none
}

// Result writes a statement's result. The result includes the session variables that the host tracked, as they have the
// position at which the client's write was committed.
func (w *Writer) Result(r *Result, caps uint32) {
	if len(r.Columns) == 0 {
		w.OK(HeadOK, OK{Affected: r.OK.Affected, LastID: r.OK.LastID, Warnings: r.OK.Warnings, Session: r.OK.Session}, caps)
		return
	}
	w.Begin()
	w.Int(uint64(len(r.Columns)))
	w.End()
	for _, column := range r.Columns {
		w.Packet(column)
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

// Definitions are the parameters and columns of a prepared statement, as the host sent them.
type Definitions struct{ Params, Columns [][]byte }

// Prepared writes the answer to a prepare.
func (w *Writer) Prepared(id uint32, d *Definitions, caps uint32) {
	w.Begin()
	w.Byte(HeadOK)
	w.U32(id)
	w.U16(uint16(len(d.Columns)))
	w.U16(uint16(len(d.Params)))
	w.Byte(0)
	w.U16(0) // warnings
	w.End()
	for _, definitions := range [][][]byte{d.Params, d.Columns} {
		for _, definition := range definitions {
			w.Packet(definition)
		}
		if len(definitions) > 0 && caps&CapDeprecateEOF == 0 {
			w.EOF(0)
		}
	}
}
