package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/backoff"
	"cranegate/internal/core"
	"cranegate/internal/framebuf"
	"cranegate/internal/metrics"
	"cranegate/routing"
)

// CI's verdict never varies: the seed is fixed. The flags still override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

// TestAnswersInAnyFraming checks that an answer reads the same however it is framed and cut, and that the
// connection stays in step for the next.
func TestAnswersInAnyFraming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		var bodies []string
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			body := rapid.StringMatching(`[a-z\r\n]{0,300}`).Draw(t, "body")
			bodies = append(bodies, body)
			all.WriteString("HTTP/1.1 200 OK\r\nX-Other: 1\r\n")
			if rapid.Bool().Draw(t, "chunked") {
				all.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for rest := body; rest != ""; {
					n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
					fmt.Fprintf(&all, "%x;ext\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				all.WriteString("0\r\nTrailer: x\r\n\r\n")
			} else {
				fmt.Fprintf(&all, "content-length: %d\r\n\r\n%s", len(body), body)
			}
		}
		cut := rapid.IntRange(1, 200).Draw(t, "cut")
		near, far := net.Pipe()
		defer near.Close()
		go io.Copy(io.Discard, far)
		go func() {
			for s := all.String(); s != ""; s = s[min(cut, len(s)):] {
				io.WriteString(far, s[:min(cut, len(s))])
			}
		}()
		c := framebuf.New(near, mostTold)
		for _, want := range bodies {
			got, again, err := get(c, "x", "/")
			if err != nil || !again || string(got) != want {
				t.Fatalf("%q, %v, %v; want %q", got, again, err, want)
			}
		}
	})
}

// host gives answers as they stand, one for each call, cut into pieces that come some time apart.
func host(answer func(query string) string, piece int, apart time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			for b := make([]byte, 4096); ; {
				n, err := far.Read(b)
				if err != nil {
					return
				}
				for s := answer(string(b[:n])); s != ""; s = s[min(piece, len(s)):] {
					if _, err := io.WriteString(far, s[:min(piece, len(s))]); err != nil {
						return
					}
					time.Sleep(apart)
				}
			}
		}()
		return near, nil
	}
}

// chunked is a body in chunks of a size.
func chunked(body string, size int) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for ; body != ""; body = body[min(size, len(body)):] {
		s += fmt.Sprintf("%x;ext\r\n%s\r\n", min(size, len(body)), body[:min(size, len(body))])
	}
	return s + "0\r\nTrailer: x\r\n\r\n"
}

// TestLongIndentedList reads a list of 300 hosts that is indented up to the greatest length, whole and in chunks, from an
// agent that takes a second for each quarter. Longer by a byte it is not taken, whatever its header says.
func TestLongIndentedList(t *testing.T) {
	s := Snapshot{Rev: 7, All: true}
	for i := range 300 {
		s.Targets = append(s.Targets, Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: "10.1.0.18:5432", Zone: "a", State: "SERVING"})
	}
	text, err := json.MarshalIndent(s, "\t", strings.Repeat(" ", 80))
	if err != nil || len(text) > mostTold {
		t.Fatal(err, len(text))
	}
	for over := range 2 {
		body := string(text) + strings.Repeat("\n", mostTold-len(text)+over)
		for name, whole := range map[string]string{"whole": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
			"chunked": chunked(body, 4000)} {
			synctest.Test(t, func(t *testing.T) {
				told := 0
				w := NewWatcher("agent:1", Snapshot{Rev: -1}, func(l core.EndpointList) { told = len(l.Hosts) }, backoff.New(1, 1), &metrics.Counters{})
				w.dial = host(func(query string) string {
					if strings.Contains(query, "after") {
						return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
					}
					return whole
				}, len(whole)/4, time.Second)
				err := w.follow(t.Context(), "agent:1", true)
				time.Sleep(10 * time.Second) // the agent sees the end
				var long AnswerTooLongError
				if tooLong := errors.As(err, &long); tooLong != (over > 0) || (told == 300) != (over == 0) {
					t.Errorf("%s, %d bytes over: told of %d hosts, %v", name, over, told, err)
				}
			})
		}
	}
}

// TestBadAnswers guards against lengths that would be believed.
func TestBadAnswers(t *testing.T) {
	for _, s := range []string{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", strings.Repeat("x", 5000) + "\n"} {
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		go func() { io.WriteString(far, s); far.Close() }()
		if body, _, err := get(framebuf.New(near, mostTold), "x", "/"); err == nil {
			t.Errorf("%q: read %q", s, body)
		}
		near.Close()
	}
}

// TestTurnedAway guards the wait that discovery asks for when it has too many calls.
func TestTurnedAway(t *testing.T) {
	for header, want := range map[string]time.Duration{"": 0, "Retry-After: 7\r\n": 7 * time.Second, "Retry-After: -3\r\n": 0,
		"Retry-After: Tue, 01 Dec 2026 10:00:00 GMT\r\n": 0, "Retry-After: 999999999\r\n": time.Hour} {
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		go func() { io.WriteString(far, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"+header+"\r\n") }()
		var away turnedAway
		if _, _, err := get(framebuf.New(near, mostTold), "x", "/"); !errors.As(err, &away) || away.after != want {
			t.Errorf("%q: %v, wait %v", header, err, away.after)
		}
		near.Close()
	}
}

// TestEntries guards the reading of states: a word that is not known must not be sent anything new.
func TestEntries(t *testing.T) {
	l := Snapshot{Targets: []Target{{UID: "a", State: "SERVING", Replication: "primary", BootMS: 1767225600123},
		{UID: "b", State: "DRAINING"}, {UID: "c", State: "DELETED"}, {UID: "d", State: "RESTING"}}}.EndpointList(routing.EndpointListPatch)
	for i, want := range []routing.Phase{routing.PhaseServing, routing.PhaseDraining, routing.PhaseRemoved, routing.PhaseDraining} {
		if got := l.Hosts[i].Endpoint.Phase; got != want {
			t.Errorf("entry %d: phase %v, want %v", i, got, want)
		}
	}
	if e := l.Hosts[0].Endpoint; !e.Primary || e.StartedAt != 1767225600123*time.Millisecond {
		t.Errorf("entry %+v", e)
	}
}
