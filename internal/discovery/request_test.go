package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/framebuf"
)

// TestAnyFraming checks that the body that is read does not depend on an answer's framing or on how it is split into reads, and that
// the next answer on the connection is read from its beginning.
func TestAnyFraming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		var bodies []string
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			body := rapid.StringMatching(`[a-z\r\n]{0,300}`).Draw(t, "body")
			bodies = append(bodies, body)
			stream.WriteString("HTTP/1.1 200 OK\r\nX-Other: 1\r\n")
			if rapid.Bool().Draw(t, "chunked") {
				stream.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for rest := body; rest != ""; {
					n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
					fmt.Fprintf(&stream, "%x;ext\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				stream.WriteString("0\r\nTrailer: x\r\n\r\n")
			} else {
				fmt.Fprintf(&stream, "content-length: %d\r\n\r\n%s", len(body), body)
			}
		}
		cut := rapid.IntRange(1, 200).Draw(t, "cut")
		near, far := net.Pipe()
		defer near.Close()
		go io.Copy(io.Discard, far)
		go func() {
			for s := stream.String(); s != ""; s = s[min(cut, len(s)):] {
				io.WriteString(far, s[:min(cut, len(s))])
			}
		}()
		c := framebuf.New(near, maxAnswerBytes)
		for _, want := range bodies {
			got, reusable, err := get(c, "x", "/")
			if err != nil || !reusable || string(got) != want {
				t.Fatalf("%q, %v, %v; want %q", got, reusable, err, want)
			}
		}
	})
}

// TestMalformedAnswers checks that malformed answers and error statuses are errors. It guards against returning a body whose length
// is wrong or missing.
func TestMalformedAnswers(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", strings.Repeat("x", 5000) + "\n"} {
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		go func() {
			io.WriteString(far, answer)
			far.Close()
		}()
		if body, _, err := get(framebuf.New(near, maxAnswerBytes), "x", "/"); err == nil {
			t.Errorf("%q: no error, and the body %q", answer, body)
		}
		near.Close()
	}
}

// TestRetryAfter checks the bounds of the Retry-After value of a rejected call.
func TestRetryAfter(t *testing.T) {
	for header, want := range map[string]time.Duration{"": 0, "Retry-After: 7\r\n": 7 * time.Second, "Retry-After: -3\r\n": 0,
		"Retry-After: Tue, 01 Dec 2026 10:00:00 GMT\r\n": 0, "Retry-After: 999999999\r\n": time.Hour} {
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		go func() { io.WriteString(far, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"+header+"\r\n") }()
		var rejected rejectedError
		if _, _, err := get(framebuf.New(near, maxAnswerBytes), "x", "/"); !errors.As(err, &rejected) || rejected.retryAfter != want {
			t.Errorf("%q: %v, wait %v", header, err, rejected.retryAfter)
		}
		near.Close()
	}
}
