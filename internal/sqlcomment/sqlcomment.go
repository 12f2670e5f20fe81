// Package sqlcomment parses the comment that opens each statement of the platform:
//
//	/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT v FROM records WHERE k = '7f3a'
//
// Both database protocols use the package. It depends on neither of them.
package sqlcomment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxComment bounds the length of the comment, in bytes.
const MaxComment = 1024

// whiteSpace holds the characters that may precede the comment.
const whiteSpace = " \t\r\n"

// ErrNoComment reports that a statement does not open with a comment.
var ErrNoComment = errors.New("statement does not open with a comment of names and values")

// The names of the comment's fields. Query attributes have the same names.
const (
	fieldID          = "id"
	fieldClass       = "c"
	fieldTimeout     = "d" // in milliseconds
	fieldGroup       = "cluster"
	fieldMinPosition = "after"
	fieldRetry       = "r" // "1" for a retry
)

// Statement is one request, as its comment and its text describe it. Its strings are copies, so that one that is kept for long
// does not keep the text.
//
// Of the comment's fields, "id" is ID, "c" is Class, "d" is Timeout, "cluster" is Group, "after" is MinPosition and "r" is Retry.
type Statement struct {
	ID          string
	Class       string
	Timeout     time.Duration // how long the client waits
	HasTimeout  bool
	Group       int
	MinPosition int64  // position that a read has to see, in milliseconds of Unix time; 0 for none
	Retry       bool   // the client marked it as a retry
	Key         string // the first quoted text after the comment, which is the key in every statement of the platform; see ShortKey

	beforeTimeout, afterTimeout []byte // the text before and after the value of Timeout's field; all in the first without the field
}

// Parse parses a statement. The caller may reuse text afterwards. Unknown fields are ignored and stay in the text. Parse returns
// ErrNoComment, or an error for a comment that is too long or malformed.
func Parse(text []byte) (*Statement, error) {
	s, err := ParseOwned(text)
	if err != nil {
		return nil, err
	}
	s.beforeTimeout, s.afterTimeout = bytes.Clone(s.beforeTimeout), bytes.Clone(s.afterTimeout)
	return s, nil
}

// ParseOwned is Parse for a text that the statement may keep: the caller must not change it afterwards.
func ParseOwned(text []byte) (*Statement, error) {
	s, valueStart, valueEnd, err := parse(text)
	if err != nil {
		return nil, err
	}
	s.beforeTimeout = bytes.TrimLeft(text, whiteSpace)
	if s.HasTimeout {
		s.beforeTimeout, s.afterTimeout = s.beforeTimeout[:valueStart:valueStart], s.beforeTimeout[valueEnd:]
	}
	return s, nil
}

// ParseComment is Parse without a copy of the text, for a statement that is not sent on in this form. Text returns nothing then.
func ParseComment(text []byte) (*Statement, error) {
	s, _, _, err := parse(text)
	return s, err
}

// parse parses a statement except for its text, and returns where the value of Timeout's field is in the text without white space
// before it.
func parse(text []byte) (s *Statement, valueStart, valueEnd int, err error) {
	trimmed := bytes.TrimLeft(text, whiteSpace)
	if !bytes.HasPrefix(trimmed, []byte("/*")) {
		return nil, 0, 0, ErrNoComment
	}
	end := bytes.Index(trimmed[:min(len(trimmed), MaxComment)], []byte("*/"))
	if end < 0 {
		return nil, 0, 0, fmt.Errorf("comment without an end within %d bytes", MaxComment)
	}
	comment := string(trimmed[:end])
	s = &Statement{}
	for start := len("/*"); start < end; {
		fieldEnd := end
		if i := strings.IndexByte(comment[start:end], ','); i >= 0 {
			fieldEnd = start + i
		}
		field := comment[start:fieldEnd]
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, 0, 0, fmt.Errorf("comment field %q has no value", field)
		}
		trimmedName, trimmedValue := strings.TrimSpace(name), strings.TrimSpace(value)
		if err := s.Set(trimmedName, trimmedValue); err != nil {
			return nil, 0, 0, err
		}
		if trimmedName == fieldTimeout {
			valueStart = start + len(name) + len("=") + strings.Index(value, trimmedValue)
			valueEnd = valueStart + len(trimmedValue)
		}
		start = fieldEnd + 1
	}
	s.Key = ShortKey(FirstQuoted(trimmed[end+len("*/"):]))
	return s, valueStart, valueEnd, nil
}

// Set sets one field by its name in a comment or query attribute. Unknown names are ignored.
func (s *Statement) Set(name, value string) (err error) {
	switch name {
	case fieldID:
		s.ID = value
	case fieldClass:
		s.Class = value
	case fieldTimeout:
		s.Timeout, err = parseTimeout(value)
		s.HasTimeout = true
	case fieldGroup:
		s.Group, err = strconv.Atoi(value)
	case fieldMinPosition:
		s.MinPosition, err = strconv.ParseInt(value, 10, 64)
	case fieldRetry:
		s.Retry = value == "1"
	}
	if err != nil {
		return fmt.Errorf("field %s=%q: %w", name, value, err)
	}
	return nil
}

// parseTimeout parses a positive number of milliseconds.
func parseTimeout(value string) (time.Duration, error) {
	ms, err := strconv.ParseInt(value, 10, 32)
	if err == nil && ms <= 0 {
		err = errors.New("not positive")
	}
	return time.Duration(ms) * time.Millisecond, err
}

// Text returns the parts of the statement's text, which the caller must not change. In place of the client's timeout it has the
// time that this gateway will wait, rounded up to milliseconds.
func (s *Statement) Text(wait time.Duration) [][]byte {
	if s.afterTimeout == nil {
		return [][]byte{s.beforeTimeout}
	}
	ms := int64((wait + time.Millisecond - 1) / time.Millisecond)
	return [][]byte{s.beforeTimeout, strconv.AppendInt(nil, max(1, ms), 10), s.afterTimeout}
}

// FirstQuoted returns the first text in single quotes, or nil if there is none.
func FirstQuoted(text []byte) []byte {
	_, rest, _ := bytes.Cut(text, []byte("'"))
	quoted, _, ok := bytes.Cut(rest, []byte("'"))
	if !ok {
		return nil
	}
	return quoted
}

// maxKey bounds the length of a key that is kept as it is, in bytes.
const maxKey = 1024

// ShortKey returns a copy of a key or, if the key is over 1 KiB, a hash in place of it: keys are only compared, and a statement's
// key may be as long as the statement.
func ShortKey[T string | []byte](key T) string {
	if len(key) <= maxKey {
		return string(key)
	}
	hash := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(hash[:])
}
