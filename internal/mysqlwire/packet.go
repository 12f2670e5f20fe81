// Package mysqlwire frames and reads the MySQL client/server protocol as far as the gateway speaks it: the
// handshake of version 10 without a password, text queries, prepared statements, query attributes and session
// tracking. Payloads are slices of the connection's buffer and hold until its next read.
package mysqlwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"cranegate/internal/framebuf"
)

// MaxPacket bounds a packet: a value of 64 KiB, escaped, and what stands round it.
const MaxPacket = 192 << 10

// ErrMalformed says that the peer broke the protocol; the connection is of no more use.
var ErrMalformed = errors.New("malformed packet")

// Capability flags.
const (
	CapConnectWithDB   = 1 << 3
	CapProtocol41      = 1 << 9
	CapTransactions    = 1 << 13
	CapSecure          = 1 << 15
	CapPluginAuth      = 1 << 19
	CapConnectAttrs    = 1 << 20
	CapLenencAuth      = 1 << 21
	CapSessionTrack    = 1 << 23
	CapDeprecateEOF    = 1 << 24
	CapQueryAttributes = 1 << 27
	CapSSL             = 1 << 11
)

// Commands.
const (
	ComQuit            = 0x01
	ComInitDB          = 0x02
	ComQuery           = 0x03
	ComPing            = 0x0e
	ComStmtPrepare     = 0x16
	ComStmtExecute     = 0x17
	ComStmtLongData    = 0x18
	ComStmtClose       = 0x19
	ComStmtReset       = 0x1a
	ComResetConnection = 0x1f
)

// Status flags.
const (
	StatusAutocommit   = 0x0002
	StatusMoreResults  = 0x0008
	StatusStateChanged = 0x4000
)

// The bytes that open a response.
const (
	HeadOK  = 0x00
	HeadEOF = 0xfe
	HeadErr = 0xff
)

// ReadPacket reads one packet.
func ReadPacket(c *framebuf.Conn) (seq byte, payload []byte, err error) {
	b, err := c.Need(4)
	if err != nil {
		return 0, nil, err
	}
	n := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if n > MaxPacket {
		return 0, nil, fmt.Errorf("packet of %d bytes: %w", n, framebuf.ErrTooLarge)
	}
	if b, err = c.Need(4 + n); err != nil {
		return 0, nil, err
	}
	c.Skip(4 + n)
	return b[3], b[4 : 4+n], nil
}

// Writer builds packets with rising sequence numbers.
type Writer struct {
	B     []byte
	Seq   byte
	start int
}

// Reset empties the writer; the next packet has the sequence number given.
func (w *Writer) Reset(seq byte) {
	if cap(w.B) > 16<<10 {
		w.B = nil
	}
	w.B, w.Seq = w.B[:0], seq
}

// Begin opens a packet; End closes it.
func (w *Writer) Begin() {
	w.start = len(w.B)
	w.B = append(w.B, 0, 0, 0, w.Seq)
	w.Seq++
}

// End closes the packet that Begin opened.
func (w *Writer) End() {
	n := len(w.B) - w.start - 4
	w.B[w.start], w.B[w.start+1], w.B[w.start+2] = byte(n), byte(n>>8), byte(n>>16)
}

// Packet writes a whole packet.
func (w *Writer) Packet(payload []byte) {
	w.Begin()
	w.B = append(w.B, payload...)
	w.End()
}

// Byte appends one byte to the open packet.
func (w *Writer) Byte(b byte) { w.B = append(w.B, b) }

// U16 appends a 2-byte number, little-endian.
func (w *Writer) U16(n uint16) { w.B = binary.LittleEndian.AppendUint16(w.B, n) }

// U32 appends a 4-byte number, little-endian.
func (w *Writer) U32(n uint32) { w.B = binary.LittleEndian.AppendUint32(w.B, n) }

// Int appends a length-encoded number.
func (w *Writer) Int(n uint64) { w.B = AppendInt(w.B, n) }

// Text appends the bytes of s without their length.
func (w *Writer) Text(s string) { w.B = append(w.B, s...) }

// String appends a length-encoded string.
func (w *Writer) String(s string) {
	w.Int(uint64(len(s)))
	w.Text(s)
}

// AppendInt writes a length-encoded number.
func AppendInt(b []byte, n uint64) []byte {
	switch {
	case n < 251:
		return append(b, byte(n))
	case n < 1<<16:
		return binary.LittleEndian.AppendUint16(append(b, 0xfc), uint16(n))
	case n < 1<<24:
		return append(b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0xfe), n)
}

// Cursor takes a payload apart. Err keeps the first fault; reads after it return nothing.
type Cursor struct {
	B   []byte
	Err error
}

// Take returns the next n bytes.
func (c *Cursor) Take(n int) []byte {
	if c.Err != nil || n < 0 || n > len(c.B) {
		c.B, c.Err = nil, ErrMalformed
		return nil
	}
	b := c.B[:n:n]
	c.B = c.B[n:]
	return b
}

func (c *Cursor) number(n int) (x uint64) {
	for i, b := range c.Take(n) {
		x |= uint64(b) << (8 * i)
	}
	return x
}

// Byte returns the next byte.
func (c *Cursor) Byte() byte { return byte(c.number(1)) }

// U16 returns a 2-byte number.
func (c *Cursor) U16() uint16 { return uint16(c.number(2)) }

// U32 returns a 4-byte number.
func (c *Cursor) U32() uint32 { return uint32(c.number(4)) }

// Int returns a length-encoded number.
func (c *Cursor) Int() uint64 {
	switch b := c.Byte(); b {
	case 0xfc:
		return c.number(2)
	case 0xfd:
		return c.number(3)
	case 0xfe:
		return c.number(8)
	case 0xfb, 0xff:
		c.Err = ErrMalformed
		return 0
	default:
		return uint64(b)
	}
}

// String returns a length-encoded string.
func (c *Cursor) String() []byte {
	n := c.Int()
	if n > uint64(len(c.B)) {
		c.B, c.Err = nil, ErrMalformed
		return nil
	}
	return c.Take(int(n))
}

// Zero returns a text up to a zero byte.
func (c *Cursor) Zero() []byte {
	for i, b := range c.B {
		if b == 0 {
			return c.Take(i + 1)[:i]
		}
	}
	c.B, c.Err = nil, ErrMalformed
	return nil
}
