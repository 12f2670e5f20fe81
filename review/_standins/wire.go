package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"strings"
)

// maxBody bounds the body of a message that a stand-in reads.
const maxBody = 64 << 20

// errLength reports a message whose length is out of range.
var errLength = errors.New("message of an impossible length")

// appendMessage appends a message of PostgreSQL's protocol.
func appendMessage(b []byte, kind byte, body ...string) []byte {
	n := 4
	for _, part := range body {
		n += len(part)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(n))
	for _, part := range body {
		b = append(b, part...)
	}
	return b
}

// uint32Text returns a number of 4 bytes, the highest first.
func uint32Text(n int) string { return string(binary.BigEndian.AppendUint32(nil, uint32(n))) }

// appendRowHead appends a description of one column, and the head of a row with a value of this length.
func appendRowHead(b []byte, length int) []byte {
	b = appendMessage(b, 'T', "\x00\x01v\x00", strings.Repeat("\x00", 6)+uint32Text(17)+"\xff\xff\xff\xff\xff\xff\x00\x01")
	b = binary.BigEndian.AppendUint32(append(b, 'D'), uint32(4+2+4+length))
	return append(b, "\x00\x01"+uint32Text(length)...)
}

// appendRow appends a complete result without ReadyForQuery.
func appendRow(b []byte, value string) []byte {
	b = append(appendRowHead(b, len(value)), value...)
	return appendMessage(b, 'C', "SELECT 1\x00")
}

func appendParameter(b []byte, name, value string) []byte {
	return appendMessage(b, 'S', name, "\x00", value, "\x00")
}

func appendReady(b []byte) []byte { return appendMessage(b, 'Z', "I") }

func appendError(b []byte, code, text string) []byte {
	return appendMessage(b, 'E', "SERROR\x00VERROR\x00C", code, "\x00M", text, "\x00\x00")
}

func appendStartup(b []byte) []byte {
	body := "user\x00svc\x00database\x00main\x00\x00"
	b = append(b, uint32Text(8+len(body))...)
	return append(append(b, uint32Text(3<<16)...), body...)
}

// readStartup reads the message that opens a connection.
func readStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:])) - 4
	if n < 4 || n > 10<<10 {
		return errLength
	}
	_, err := r.Discard(n)
	return err
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > maxBody {
		return 0, nil, errLength
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// errorCode returns the SQLSTATE of an ErrorResponse's body.
func errorCode(body []byte) string {
	for _, field := range strings.Split(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			return field[1:]
		}
	}
	return ""
}

// commentField returns the value of a field of the comment that opens a statement.
func commentField(text, name string) string {
	comment, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(text), "/*"), "*/")
	for _, field := range strings.Split(comment, ",") {
		if key, value, ok := strings.Cut(field, "="); ok && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
