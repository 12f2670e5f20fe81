// Package sqlcomment reads the comment that opens each statement of the platform:
//
//	/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT v FROM records WHERE k = '7f3a'
//
// Both fronts use it. It knows no wire protocol.
package sqlcomment

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxComment bounds the comment's length.
const MaxComment = 1024

// ErrNoComment says that a statement does not open with a comment.
var ErrNoComment = errors.New("statement does not open with a comment of names and values")

// Statement is one request as its text tells it. Its texts are copies.
type Statement struct {
	ID          string
	Class       string
	Timeout     time.Duration // d: how long the client waits
	HasTimeout  bool
	Group       int
	MinPosition int64 // Unix time in milliseconds that a read has to see, 0 for none
	Retry       bool  // the client marked it as a repeat
	Key         string

	head, tail string // the text before and after the value of d
}

// Parse reads a statement whose text the caller may reuse afterwards. Fields it does not know are kept.
func Parse(text []byte) (*Statement, error) {
	t := bytes.TrimLeft(text, " \t\r\n")
	if !bytes.HasPrefix(t, []byte("/*")) {
		return nil, ErrNoComment
	}
	end := bytes.Index(t[:min(len(t), MaxComment)], []byte("*/"))
	if end < 0 {
		return nil, fmt.Errorf("comment without an end within %d bytes", MaxComment)
	}
	s, all := &Statement{}, string(t)
	s.head = all
	for at := 2; at < end; {
		next := end
		if i := strings.IndexByte(all[at:end], ','); i >= 0 {
			next = at + i
		}
		name, value, ok := strings.Cut(all[at:next], "=")
		if !ok {
			return nil, fmt.Errorf("comment field %q has no value", all[at:next])
		}
		trimmed := strings.TrimSpace(value)
		if err := s.Set(strings.TrimSpace(name), trimmed); err != nil {
			return nil, err
		}
		if strings.TrimSpace(name) == "d" {
			from := at + len(name) + 1 + strings.Index(value, trimmed)
			s.head, s.tail = all[:from], all[from+len(trimmed):]
		}
		at = next + 1
	}
	s.Key = firstQuoted(all[end+2:])
	return s, nil
}

// Set takes one field by its name, as the comment or a query attribute gives it.
func (s *Statement) Set(name, value string) (err error) {
	switch name {
	case "id":
		s.ID = value
	case "c":
		s.Class = value
	case "d":
		var ms int64
		if ms, err = strconv.ParseInt(value, 10, 32); err == nil && ms <= 0 {
			err = errors.New("not positive")
		}
		s.Timeout, s.HasTimeout = time.Duration(ms)*time.Millisecond, true
	case "cluster":
		s.Group, err = strconv.Atoi(value)
	case "after":
		s.MinPosition, err = strconv.ParseInt(value, 10, 64)
	case "r":
		s.Retry = value == "1"
	}
	if err != nil {
		return fmt.Errorf("field %s=%q: %w", name, value, err)
	}
	return nil
}

// Append writes the statement with the time that this gateway will wait in place of the client's, rounded up.
func (s *Statement) Append(b []byte, wait time.Duration) []byte {
	b = append(b, s.head...)
	if s.HasTimeout && s.tail != "" {
		b = strconv.AppendInt(b, max(1, int64((wait+time.Millisecond-1)/time.Millisecond)), 10)
	}
	return append(b, s.tail...)
}

// Len is about the length of the text.
func (s *Statement) Len() int { return len(s.head) + len(s.tail) + 12 }

// firstQuoted returns the first quoted text: the key, in every statement of the platform.
func firstQuoted(s string) string {
	_, s, ok := strings.Cut(s, "'")
	if !ok {
		return ""
	}
	key, _, ok := strings.Cut(s, "'")
	if !ok {
		return ""
	}
	return key
}
