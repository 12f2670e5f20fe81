// Package pgwire frames the messages of PostgreSQL's wire protocol, version 3, as far as the gateway speaks
// it: no password, simple queries. Bodies are slices of the connection's buffer and hold until its next read.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"cranegate/internal/framebuf"
)

// Limits of what is read.
const (
	MaxStartup = 10 << 10
	MaxMessage = 192 << 10 // a value of 64 KiB, in hex digits or escaped, and what stands round it
)

// The codes in place of a protocol version that ask for something else.
const (
	ProtocolVersion = 3 << 16
	CancelRequest   = 80877102
	SSLRequest      = 80877103
	GSSENCRequest   = 80877104
)

// ErrMalformed says that the peer broke the framing; the connection is of no more use.
var ErrMalformed = errors.New("malformed message")

// ReadStartup reads the message that opens a connection.
func ReadStartup(c *framebuf.Conn) (code uint32, body []byte, err error) {
	b, err := c.Need(8)
	if err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(b))
	if n < 8 || n > MaxStartup {
		return 0, nil, fmt.Errorf("startup of %d bytes: %w", n, ErrMalformed)
	}
	if b, err = c.Need(n); err != nil {
		return 0, nil, err
	}
	c.Skip(n)
	return binary.BigEndian.Uint32(b[4:]), b[8:n], nil
}

// ReadMessage reads one message.
func ReadMessage(c *framebuf.Conn) (kind byte, body []byte, err error) {
	b, err := c.Need(5)
	if err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(b[1:])) + 1
	if n < 5 {
		return 0, nil, fmt.Errorf("message of %d bytes: %w", n, ErrMalformed)
	}
	if n > MaxMessage {
		return 0, nil, fmt.Errorf("message of %d bytes: %w", n, framebuf.ErrTooLarge)
	}
	if b, err = c.Need(n); err != nil {
		return 0, nil, err
	}
	c.Skip(n)
	return b[0], b[5:n], nil
}

// Text returns a text that ends in a zero byte, and what follows it.
func Text(b []byte) (text, rest []byte, err error) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return nil, nil, fmt.Errorf("text without an end: %w", ErrMalformed)
	}
	return b[:i], b[i+1:], nil
}

// Parameter reads a ParameterStatus.
func Parameter(body []byte) (name, value []byte, err error) {
	name, rest, err := Text(body)
	if err != nil {
		return nil, nil, err
	}
	value, _, err = Text(rest)
	return name, value, err
}

// Field returns one field of an ErrorResponse, nil where it is absent.
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

// Columns reads a DataRow; a null column is nil.
func Columns(body []byte) ([][]byte, error) {
	if len(body) < 2 {
		return nil, fmt.Errorf("row: %w", ErrMalformed)
	}
	n := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	var out [][]byte
	for range n {
		if len(body) < 4 {
			return nil, fmt.Errorf("row: %w", ErrMalformed)
		}
		size := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if size == -1 {
			out = append(out, nil)
			continue
		}
		if size < 0 || size > len(body) {
			return nil, fmt.Errorf("row: %w", ErrMalformed)
		}
		out, body = append(out, body[:size]), body[size:]
	}
	if len(body) > 0 {
		return nil, fmt.Errorf("%d bytes after the row: %w", len(body), ErrMalformed)
	}
	return out, nil
}

// Names returns the names of a RowDescription's columns.
func Names(body []byte) ([]string, error) {
	if len(body) < 2 {
		return nil, fmt.Errorf("row description: %w", ErrMalformed)
	}
	n := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	var out []string
	for range n {
		name, rest, err := Text(body)
		if err != nil || len(rest) < 18 {
			return nil, fmt.Errorf("row description: %w", ErrMalformed)
		}
		out, body = append(out, string(name)), rest[18:]
	}
	if len(body) > 0 {
		return nil, fmt.Errorf("%d bytes after the row description: %w", len(body), ErrMalformed)
	}
	return out, nil
}

// Append writes a message of some parts.
func Append(b []byte, kind byte, parts ...string) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(n))
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// AppendRaw writes a message with a body.
func AppendRaw(b []byte, kind byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(len(body)+4))
	return append(b, body...)
}

// AppendStartup writes the message that opens a connection.
func AppendStartup(b []byte, user, database string) []byte {
	body := "user\x00" + user + "\x00database\x00" + database + "\x00\x00"
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+8))
	return append(binary.BigEndian.AppendUint32(b, ProtocolVersion), body...)
}

// AppendParameter writes a ParameterStatus.
func AppendParameter(b []byte, name, value string) []byte {
	return Append(b, 'S', name, "\x00", value, "\x00")
}

// AppendError writes an ErrorResponse; detail may be empty.
func AppendError(b []byte, severity, code, text, detail string) []byte {
	parts := []string{"S", severity, "\x00V", severity, "\x00C", code, "\x00M", text}
	if detail != "" {
		parts = append(parts, "\x00D", detail)
	}
	return Append(b, 'E', append(parts, "\x00\x00")...)
}

// AppendReady writes a ReadyForQuery.
func AppendReady(b []byte) []byte { return Append(b, 'Z', "I") }
