package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	outcome string // served, refused, failed, empty; "" if the connection ended first
	value   string
	code    string
	err     error
}

func (r reply) String() string {
	switch {
	case r.outcome == "":
		return fmt.Sprintf("no answer (%v)", r.err)
	case r.outcome == "served":
		return fmt.Sprintf("served %.60q", r.value)
	}
	return r.outcome + " " + r.code
}

// client is one client's connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

// dial opens a connection, and reads up to the first ReadyForQuery.
func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{c, bufio.NewReader(c)}
	if _, err := c.Write(appendStartup(nil)); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if r := cl.read(); r.err != nil {
		c.Close()
		return nil, r.err
	}
	c.SetReadDeadline(time.Time{})
	return cl, nil
}

// read reads one answer, up to ReadyForQuery.
func (c *client) read() (r reply) {
	for {
		kind, body, err := readMessage(c.r)
		if err != nil {
			return reply{err: err}
		}
		switch kind {
		case 'Z':
			return r
		case 'I':
			r.outcome = "empty"
		case 'D':
			if len(body) >= 6 {
				r.value = string(body[6:])
			}
		case 'C':
			r.outcome = "served"
		case 'E':
			r.code = errorCode(body)
			if r.outcome = "failed"; r.code == "53300" || r.code == "57P03" {
				r.outcome = "refused"
			}
		}
	}
}

// lastID makes ids.
var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1b1f000000000000+lastID.Add(1)) }

// statement returns a request's text. The session's or record's key is its id, so that each request's value differs.
func statement(id, class string, d time.Duration, extra string) string {
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=0%s */ ", id, class, d.Milliseconds(), extra)
	if class == "zusage" {
		return comment + "INSERT INTO records (k, v) VALUES ('" + id + "', '\\x9f03') RETURNING v"
	}
	return comment + "SELECT v FROM records WHERE k = '" + id + "'"
}

func queryMessage(text string) []byte { return appendMessage(nil, 'Q', text, "\x00") }
