package discovery

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranegate/internal/framebuf"
)

// Silent says that discovery has not given a whole answer in time. See whether its agent runs at the address; the old list
// stays in use meanwhile, and the call is made again.
type TimeoutError struct {
	Address string
	Timeout time.Duration
}

func (e TimeoutError) Error() string {
	return fmt.Sprintf("no whole answer from %s within %v; see whether discovery's agent runs there", e.Address, e.Timeout)
}

// AnswerTooLongError says that an answer is longer than any list may be. See whether discovery is what answers at the address; a list
// that is really so long needs fewer entries, or shorter ones.
type AnswerTooLongError struct{ Address string }

func (e AnswerTooLongError) Error() string {
	return fmt.Sprintf("the answer of %s is over %d bytes; see whether it is discovery, and how long its list is", e.Address, mostTold)
}

// turnedAway is an answer that says that discovery has too many calls.
type turnedAway struct {
	code  string
	after time.Duration // the wait that it asks for, 0 for none
	took  time.Duration // since the call was made
}

func (e turnedAway) Error() string {
	return fmt.Sprintf("status %q: discovery has too many calls", e.code)
}

// get makes one HTTP/1.1 call. The body holds until the connection's next read; the second result says whether
// the connection can be used again. An answer may have no length: then the end of the connection is its own. A reset is no
// end, and nor is one before a body has begun.
func get(c *framebuf.Conn, host, target string) (body []byte, again bool, err error) {
	if _, err := c.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")); err != nil {
		return nil, false, err
	}
	status, err := c.Line()
	if err != nil {
		return nil, false, err
	}
	version, code, _ := strings.Cut(status, " ")
	code, _, _ = strings.Cut(code, " ")
	again = version == "HTTP/1.1"
	size, chunked, after := -1, false, 0
	for {
		h, err := c.Line()
		if err != nil {
			return nil, false, err
		}
		if h == "" {
			break
		}
		name, value, _ := strings.Cut(h, ":")
		value = strings.ToLower(strings.TrimSpace(value))
		switch strings.ToLower(name) {
		case "content-length":
			if size, err = strconv.Atoi(value); err != nil || size < 0 {
				return nil, false, fmt.Errorf("content-length %q", value)
			} else if size > mostTold {
				return nil, false, AnswerTooLongError{host}
			}
		case "transfer-encoding":
			if chunked = value == "chunked"; !chunked {
				return nil, false, fmt.Errorf("transfer-encoding %q", value)
			}
		case "retry-after": // in seconds; a date is passed over, as our own wait does
			after, _ = strconv.Atoi(value)
		case "connection":
			words := strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
			again = (again || slices.Contains(words, "keep-alive")) && !slices.Contains(words, "close")
		}
	}
	switch {
	case chunked:
		if body, err = chunks(c); errors.Is(err, framebuf.ErrTooLarge) {
			err = AnswerTooLongError{host}
		}
	case size >= 0:
		if body, err = c.Need(size); err == nil {
			body = body[:size]
			c.Skip(size)
		}
	case code != "200":
		again = false // whatever follows, it is no list
	default:
		again = false
		if body, err = rest(c); errors.Is(err, framebuf.ErrTooLarge) {
			err = AnswerTooLongError{host}
		}
	}
	if err == nil && (code == "503" || code == "429") {
		err = turnedAway{code: code, after: time.Duration(min(max(after, 0), 3600)) * time.Second}
	} else if err == nil && code != "200" {
		err = fmt.Errorf("status %q", code)
	}
	return body, again, err
}

// rest reads a body up to the end of the connection.
func rest(c *framebuf.Conn) ([]byte, error) {
	var body []byte
	for {
		b, err := c.Need(1)
		if err == io.EOF && len(body) > 0 {
			return body, nil
		} else if err != nil {
			return nil, err
		}
		if len(body)+len(b) > mostTold {
			return nil, framebuf.ErrTooLarge
		}
		body = append(body, b...)
		c.Skip(len(b))
	}
}

// chunks reads a chunked body.
func chunks(c *framebuf.Conn) ([]byte, error) {
	var body []byte
	for {
		head, err := c.Line()
		if err != nil {
			return nil, err
		}
		head, _, _ = strings.Cut(head, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(head), 16, 31)
		if err != nil {
			return nil, fmt.Errorf("chunk: %w", err)
		}
		if len(body)+int(n) > mostTold {
			return nil, framebuf.ErrTooLarge
		}
		if n == 0 {
			for { // trailers
				if t, err := c.Line(); err != nil || t == "" {
					return body, err
				}
			}
		}
		b, err := c.Need(int(n))
		if err != nil {
			return nil, err
		}
		body = append(body, b[:n]...)
		c.Skip(int(n))
		if end, err := c.Line(); err != nil {
			return nil, err
		} else if end != "" {
			return nil, errors.New("chunk without an end")
		}
	}
}
