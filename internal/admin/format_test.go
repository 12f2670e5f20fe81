package admin

import (
	"context"
	"errors"
	"testing"

	"cranegate/internal/override"
)

// TestBodies pins the bodies of answers, which staff's tools read.
func TestBodies(t *testing.T) {
	const calls = "/_database-hosts/attach/ID, /_database-hosts/detach/ID, /_lameduck/off, /_lameduck/on, /_ready, /big"
	for _, c := range []struct {
		method, path string
		err          error
		body         string
	}{
		{"GET", "/_ready", nil, "yes\n"},
		{"POST", "/_lameduck/on", nil, "yes\n"},
		{"POST", "/_database-hosts/detach/a", nil, "yes\n"},
		{"POST", "/_lameduck/on", errors.New("not now"), "not now\n"},
		{"GET", "/none", nil, "no such call; there are " + calls + "\n"},
		{"GET", "/_lameduck/on", nil, "ask by POST\n"},
		{"POST", "/_ready", nil, "ask by GET, HEAD\n"},
		{"POST", "/_database-hosts/detach/%ff", nil,
			"the id \"\\xff\" is not valid UTF-8; give it as discovery's list has it, escaped for a URL\n"},
		{"POST", "/_database-hosts/detach/a", override.UnknownHostError{ID: "a"},
			"no database host has the id \"a\"; look it up in discovery's list\n"},
		{"POST", "/_database-hosts/detach/a", override.LimitError{Detached: 4096},
			"4096 database hosts are out already; call some back first\n"},
		{"POST", "/_database-hosts/detach/a", context.DeadlineExceeded,
			"not done within 800ms: it may or may not hold; ask again, the call may be made twice\n"},
	} {
		r, text, err := call(c.method, "http://"+startServer(t, &fakeControl{err: c.err})+c.path, "")
		if err != nil || text != c.body || r.Header.Get("Content-Type") != "text/plain; charset=utf-8" || r.Header.Get("Cache-Control") != "no-store" {
			t.Errorf("%s %s: %q, %v, want %q", c.method, c.path, text, err, c.body)
		}
	}
}
