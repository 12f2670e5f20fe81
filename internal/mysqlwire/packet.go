// Package mysqlwire reads and writes the MySQL client/server protocol as far as the gateway needs it: the handshake of version
// 10, text queries, prepared statements, query attributes and session tracking. Payloads are slices of the connection's buffer
// and are valid until its next read.
package mysqlwire

import (
	"errors"
	"fmt"

	"cranegate/internal/framebuf"
)

// MaxPacket bounds a packet's payload, in bytes: a value of 64 KiB, escaped, and the statement around it.
const MaxPacket = 192 << 10

// headerBytes is the size of a packet's header: a length of 3 bytes and the sequence number.
const headerBytes = 4

// ErrMalformed reports that the peer violated the protocol. The connection can't be used any more.
var ErrMalformed = errors.New("malformed packet")

// Capability flags.
const (
	CapConnectWithDB   = 1 << 3
	CapProtocol41      = 1 << 9
	CapSSL             = 1 << 11
	CapTransactions    = 1 << 13
	CapSecure          = 1 << 15
	CapPluginAuth      = 1 << 19
	CapConnectAttrs    = 1 << 20
	CapLenencAuth      = 1 << 21
	CapSessionTrack    = 1 << 23
	CapDeprecateEOF    = 1 << 24
	CapQueryAttributes = 1 << 27
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

// The first bytes of responses.
const (
	HeadOK  = 0x00
	HeadEOF = 0xfe
	HeadErr = 0xff
)

// The first bytes of length-encoded numbers over 250, of a null value, and one that is not allowed.
const (
	lenencNull    = 0xfb
	lenenc2Bytes  = 0xfc
	lenenc3Bytes  = 0xfd
	lenenc8Bytes  = 0xfe
	lenencInvalid = 0xff
)

// ReadPacket reads one packet. It returns framebuf.ErrTooLarge for one over MaxPacket.
func ReadPacket(c *framebuf.Conn) (seq byte, payload []byte, err error) {
	b, err := c.Need(headerBytes)
	if err != nil {
		return 0, nil, err
	}
	length := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if length > MaxPacket {
		return 0, nil, fmt.Errorf("packet of %d bytes: %w", length, framebuf.ErrTooLarge)
	}
	if b, err = c.Need(headerBytes + length); err != nil {
		return 0, nil, err
	}
	c.Skip(headerBytes + length)
	return b[3], b[headerBytes : headerBytes+length], nil
}
