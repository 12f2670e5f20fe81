package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// message appends one message of PostgreSQL's protocol, version 3.
func message(b []byte, kind byte, body string) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

// rowDescription is the description of a row of one binary column.
const rowDescription = "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"

// appendRow appends a result of one row with one column.
func appendRow(b []byte, value string) []byte {
	b = message(b, 'T', rowDescription)
	size := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = message(b, 'D', string(size)+value)
	return message(b, 'C', "SELECT 1\x00")
}

// appendError appends an ErrorResponse.
func appendError(b []byte, code, text string) []byte {
	return message(b, 'E', "SERROR\x00C"+code+"\x00M"+text+"\x00\x00")
}

func appendReady(b []byte) []byte { return message(b, 'Z', "I") }

// startup returns a startup message.
func startup() []byte {
	body := "\x00\x03\x00\x00user\x00svc\x00database\x00main\x00\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// readMessage reads one message.
func readMessage(r io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 64<<20 {
		return 0, nil, fmt.Errorf("message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// readStartup reads a startup message.
func readStartup(r io.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head[:]))-4)
	return err
}

// client is one connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

// dial connects and completes the startup.
func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(startup()); err != nil {
		conn.Close()
		return nil, err
	}
	if _, err := c.answer(); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return c, nil
}

// query writes one simple query.
func (c *client) query(text string) error {
	_, err := c.Write(message(nil, 'Q', text+"\x00"))
	return err
}

// answer is what a gateway has answered, up to ReadyForQuery.
type answer struct {
	value string // of the row
	row   bool
	empty bool   // EmptyQueryResponse
	code  string // of an ErrorResponse
}

// String returns the answer in a line of the record.
func (a answer) String() string {
	switch {
	case a.code != "":
		return "error " + a.code
	case a.empty:
		return "empty"
	case a.row:
		return fmt.Sprintf("row of %d bytes", len(a.value))
	}
	return "ready"
}

// answer reads one whole answer.
func (c *client) answer() (answer, error) {
	var a answer
	for {
		kind, body, err := readMessage(c.r)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'Z':
			return a, nil
		case 'I':
			a.empty = true
		case 'D':
			if len(body) >= 6 {
				a.row, a.value = true, string(body[6:])
			}
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.code = field[1:]
				}
			}
		}
	}
}
