// Package pgwire reads and writes the messages of PostgreSQL's frontend/backend protocol, version 3, as far as the gateway
// needs it: no passwords, and only simple queries. Message bodies are slices of the connection's buffer and are valid until
// its next read.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"

	"cranegate/internal/framebuf"
)

// Limits of messages that are read, in bytes.
const (
	MaxStartup = 10 << 10
	MaxMessage = 192 << 10 // a value of 64 KiB, in hex digits or escaped, and the statement around it
)

// ProtocolVersion is the code in a startup message. A message that requests something else has one of the other codes instead.
const (
	ProtocolVersion = 3 << 16
	CancelRequest   = 80877102
	SSLRequest      = 80877103
	GSSENCRequest   = 80877104
)

const (
	textEnd            = "\x00"
	lengthBytes        = 4
	kindBytes          = 1
	startupHeaderBytes = lengthBytes + 4 // the length and the code
	messageHeaderBytes = kindBytes + lengthBytes
	columnCountBytes   = 2
	columnTypeBytes    = 18 // the fields of a column after its name in a RowDescription
	nullColumnLength   = -1
)

// ErrMalformed reports that the peer violated the protocol. The connection can't be used any more.
var ErrMalformed = errors.New("malformed message")

// ReadStartup reads the message that opens a connection. It returns ErrMalformed for one over MaxStartup.
func ReadStartup(c *framebuf.Conn) (code uint32, body []byte, err error) {
	b, err := c.Need(startupHeaderBytes)
	if err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(b))
	if length < startupHeaderBytes || length > MaxStartup {
		return 0, nil, fmt.Errorf("startup of %d bytes: %w", length, ErrMalformed)
	}
	if b, err = c.Need(length); err != nil {
		return 0, nil, err
	}
	c.Skip(length)
	return binary.BigEndian.Uint32(b[lengthBytes:]), b[startupHeaderBytes:length], nil
}

// ReadMessage reads one message. It returns framebuf.ErrTooLarge for one over MaxMessage.
func ReadMessage(c *framebuf.Conn) (kind byte, body []byte, err error) {
	b, err := c.Need(messageHeaderBytes)
	if err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(b[kindBytes:])) + kindBytes
	if length < messageHeaderBytes {
		return 0, nil, fmt.Errorf("message of %d bytes: %w", length, ErrMalformed)
	}
	if length > MaxMessage {
		return 0, nil, fmt.Errorf("message of %d bytes: %w", length, framebuf.ErrTooLarge)
	}
	if b, err = c.Need(length); err != nil {
		return 0, nil, err
	}
	c.Skip(length)
	return b[0], b[messageHeaderBytes:length], nil
}

// Text returns the zero-terminated string at the start of b, without the zero byte, and the bytes after it.
func Text(b []byte) (text, rest []byte, err error) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return nil, nil, fmt.Errorf("text without an end: %w", ErrMalformed)
	}
	return b[:i], b[i+1:], nil
}

// Parameter parses the body of a ParameterStatus message.
func Parameter(body []byte) (name, value []byte, err error) {
	name, rest, err := Text(body)
	if err != nil {
		return nil, nil, err
	}
	value, _, err = Text(rest)
	return name, value, err
}

// Field returns one field of an ErrorResponse, or nil if it is absent.
func Field(body []byte, kind byte) []byte {
	for len(body) > 1 && body[0] != 0 {
		text, rest, err := Text(body[1:])
		if err != nil {
			return nil
		}
		if body[0] == kind {
			return text
		}
		body = rest
	}
	return nil
}

// Columns returns the values of a DataRow's columns. A null value is nil.
func Columns(body []byte) ([][]byte, error) {
	if len(body) < columnCountBytes {
		return nil, fmt.Errorf("row: %w", ErrMalformed)
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[columnCountBytes:]
	var columns [][]byte
	for range count {
		if len(body) < lengthBytes {
			return nil, fmt.Errorf("row: %w", ErrMalformed)
		}
		length := int(int32(binary.BigEndian.Uint32(body)))
		body = body[lengthBytes:]
		if length == nullColumnLength {
			columns = append(columns, nil)
			continue
		}
		if length < 0 || length > len(body) {
			return nil, fmt.Errorf("row: %w", ErrMalformed)
		}
		columns = append(columns, body[:length])
		body = body[length:]
	}
	if len(body) > 0 {
		return nil, fmt.Errorf("%d bytes after the row: %w", len(body), ErrMalformed)
	}
	return columns, nil
}

// Names returns the names of a RowDescription's columns.
func Names(body []byte) ([]string, error) {
	if len(body) < columnCountBytes {
		return nil, fmt.Errorf("row description: %w", ErrMalformed)
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[columnCountBytes:]
	var names []string
	for range count {
		name, rest, err := Text(body)
		if err != nil || len(rest) < columnTypeBytes {
			return nil, fmt.Errorf("row description: %w", ErrMalformed)
		}
		names = append(names, string(name))
		body = rest[columnTypeBytes:]
	}
	if len(body) > 0 {
		return nil, fmt.Errorf("%d bytes after the row description: %w", len(body), ErrMalformed)
	}
	return names, nil
}

// Append appends a message whose body consists of parts.
func Append(b []byte, kind byte, parts ...string) []byte {
	length := lengthBytes
	for _, part := range parts {
		length += len(part)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(length))
	for _, part := range parts {
		b = append(b, part...)
	}
	return b
}

// QueryMessage returns a Query with a text in parts, which it does not copy, and the message's size in bytes.
func QueryMessage(text [][]byte) (message net.Buffers, size int64) {
	length := lengthBytes + len(textEnd)
	for _, part := range text {
		length += len(part)
	}
	head := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(length))
	message = append(net.Buffers{head}, text...)
	return append(message, []byte(textEnd)), int64(kindBytes + length)
}

// AppendRaw appends a message with a body.
func AppendRaw(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(len(body)+lengthBytes))
	return append(b, body...)
}

// AppendStartup appends the message that opens a connection.
func AppendStartup(b []byte, user, database string) []byte {
	body := "user\x00" + user + "\x00database\x00" + database + "\x00\x00"
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+startupHeaderBytes))
	return append(binary.BigEndian.AppendUint32(b, ProtocolVersion), body...)
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(b []byte, name, value string) []byte {
	return Append(b, 'S', name, "\x00", value, "\x00")
}

// AppendError appends an ErrorResponse. The detail may be empty.
func AppendError(b []byte, severity, code, text, detail string) []byte {
	parts := []string{"S", severity, "\x00V", severity, "\x00C", code, "\x00M", text}
	if detail != "" {
		parts = append(parts, "\x00D", detail)
	}
	return Append(b, 'E', append(parts, "\x00\x00")...)
}

// AppendReady appends a ReadyForQuery with the status of a connection outside a transaction.
func AppendReady(b []byte) []byte { return Append(b, 'Z', "I") }
