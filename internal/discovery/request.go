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

// maxAnswerBytes bounds the body of an answer: 2 KiB for each of 1,024 hosts. The buffer grows as the bytes arrive.
const maxAnswerBytes = 2 << 20

// maxRetryAfterSeconds bounds the Retry-After value that is passed to the backoff.
const maxRetryAfterSeconds = 3600

const (
	codeOK              = "200"
	codeTooManyRequests = "429"
	codeUnavailable     = "503"
)

// responseHead holds the values that are used of a response's status line and header.
type responseHead struct {
	code          string
	contentLength int // -1 if not given
	chunked       bool
	retryAfter    int  // in seconds, 0 if not given
	reusable      bool // the connection stays open after the body
}

// get makes one HTTP/1.1 GET request. The body is valid until the connection's next read; reusable reports whether the
// connection can carry another call.
//
// A body with neither a length nor chunks ends where the peer closes the connection. A reset is an error, and so is a close before the
// first byte of the body. A rejected call returns a rejectedError, an answer over maxAnswerBytes an AnswerTooLongError.
func get(conn *framebuf.Conn, host, target string) (body []byte, reusable bool, err error) {
	if _, err := conn.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")); err != nil {
		return nil, false, err
	}
	head, err := readHead(conn, host)
	if err != nil {
		return nil, false, err
	}
	body, err = head.readBody(conn)
	if errors.Is(err, framebuf.ErrTooLarge) {
		err = AnswerTooLongError{host}
	}
	if err != nil {
		return nil, false, err
	}
	switch head.code {
	case codeOK:
		return body, head.reusable, nil
	case codeUnavailable, codeTooManyRequests:
		seconds := min(max(head.retryAfter, 0), maxRetryAfterSeconds)
		return nil, false, rejectedError{code: head.code, retryAfter: time.Duration(seconds) * time.Second}
	default:
		return nil, false, fmt.Errorf("unexpected status %q", head.code)
	}
}

// readHead reads a response up to the end of its header.
func readHead(c *framebuf.Conn, host string) (responseHead, error) {
	status, err := c.Line()
	if err != nil {
		return responseHead{}, err
	}
	version, code, _ := strings.Cut(status, " ")
	code, _, _ = strings.Cut(code, " ")
	head := responseHead{code: code, contentLength: -1, reusable: version == "HTTP/1.1"}
	for {
		line, err := c.Line()
		if err != nil {
			return responseHead{}, err
		}
		if line == "" {
			return head, nil
		}
		if err := head.parseField(line, host); err != nil {
			return responseHead{}, err
		}
	}
}

// parseField parses one header line and stores its value.
func (h *responseHead) parseField(line, host string) (err error) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.ToLower(strings.TrimSpace(value))
	switch strings.ToLower(name) {
	case "content-length":
		h.contentLength, err = strconv.Atoi(value)
		if err != nil || h.contentLength < 0 {
			return fmt.Errorf("invalid content-length %q", value)
		}
		if h.contentLength > maxAnswerBytes {
			return AnswerTooLongError{host}
		}
	case "transfer-encoding":
		h.chunked = value == "chunked"
		if !h.chunked {
			return fmt.Errorf("unsupported transfer-encoding %q", value)
		}
	case "retry-after":
		h.retryAfter, _ = strconv.Atoi(value) // a date is ignored: the gateway's own backoff applies
	case "connection":
		options := strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
		keepAlive := h.reusable || slices.Contains(options, "keep-alive")
		h.reusable = keepAlive && !slices.Contains(options, "close")
	}
	return nil
}

// readBody reads the body that the header announces. It clears reusable if the body ends only with the connection.
func (h *responseHead) readBody(c *framebuf.Conn) ([]byte, error) {
	switch {
	case h.chunked:
		return readChunked(c)
	case h.contentLength >= 0:
		body, err := c.Need(h.contentLength)
		if err != nil {
			return nil, err
		}
		c.Skip(h.contentLength)
		return body[:h.contentLength], nil
	case h.code != codeOK:
		h.reusable = false // the body of an error has no list, and without a length it is not read
		return nil, nil
	default:
		h.reusable = false
		return readUntilClose(c)
	}
}

// readUntilClose reads a body up to the end of the connection.
func readUntilClose(c *framebuf.Conn) ([]byte, error) {
	var body []byte
	for {
		unread, err := c.Need(1)
		if err == io.EOF && len(body) > 0 {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body)+len(unread) > maxAnswerBytes {
			return nil, framebuf.ErrTooLarge
		}
		body = append(body, unread...)
		c.Skip(len(unread))
	}
}

// readChunked reads a chunked body and skips its trailers.
func readChunked(c *framebuf.Conn) ([]byte, error) {
	var body []byte
	for {
		size, err := readChunkSize(c)
		if err != nil {
			return nil, err
		}
		if len(body)+size > maxAnswerBytes {
			return nil, framebuf.ErrTooLarge
		}
		if size == 0 {
			return body, skipTrailers(c)
		}
		chunk, err := c.Need(size)
		if err != nil {
			return nil, err
		}
		body = append(body, chunk[:size]...)
		c.Skip(size)
		end, err := c.Line()
		if err != nil {
			return nil, err
		}
		if end != "" {
			return nil, errors.New("a chunk is not followed by a line break")
		}
	}
}

// readChunkSize reads the line before a chunk. Extensions are ignored.
func readChunkSize(c *framebuf.Conn) (int, error) {
	line, err := c.Line()
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, fmt.Errorf("parsing a chunk's size: %w", err)
	}
	return int(size), nil
}

// skipTrailers reads up to the empty line that ends a chunked body.
func skipTrailers(c *framebuf.Conn) error {
	for {
		trailer, err := c.Line()
		if err != nil || trailer == "" {
			return err
		}
	}
}
