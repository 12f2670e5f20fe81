package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegate/internal/override"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// desk notes calls.
type desk struct {
	mu    sync.Mutex
	calls []string
	err   error
	act   func(ctx context.Context, call string) error // nil: err at once
}

func (d *desk) note(ctx context.Context, format string, args ...any) error {
	call := fmt.Sprintf(format, args...)
	d.mu.Lock()
	d.calls = append(d.calls, call)
	d.mu.Unlock()
	if d.act != nil {
		return d.act(ctx, call)
	}
	return d.err
}

func (d *desk) Ready() error                                { return d.note(context.Background(), "ready") }
func (d *desk) Detach(ctx context.Context, id string) error { return d.note(ctx, "detach %s", id) }
func (d *desk) Attach(ctx context.Context, id string) error { return d.note(ctx, "attach %s", id) }
func (d *desk) Lameduck(ctx context.Context, on bool) error { return d.note(ctx, "lameduck %t", on) }

// serve starts a server and returns its address.
func serve(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l) }()
	t.Cleanup(func() {
		if cancel(); <-ended != nil {
			t.Error("the server ended with an error")
		}
	})
	return l.Addr().String()
}

// big is a page that no socket takes without a reader.
func big(context.Context) (string, error) { return bigText, nil }

var bigText = strings.Repeat("member\n", 1<<19) // 3.5 MiB

func staff(t *testing.T, c Control) string {
	return serve(t, New(c, &Serializer{}, map[string]Page{"/big": big}, 24))
}

// call makes a call, and returns its answer with the text read.
func call(method, url, body string) (*http.Response, string, error) {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	r, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}).Do(q)
	if err != nil {
		return nil, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r, string(text), err
}

// TestCalls makes each call right and wrong.
func TestCalls(t *testing.T) {
	long := strings.Repeat("x", longestID)
	for _, c := range []struct {
		method, path string
		err          error
		status       int
		did, says    string
	}{
		{"GET", "/_ready", nil, 200, "ready", "yes\n"},
		{"HEAD", "/_ready", nil, 200, "ready", ""},
		{"HEAD", "/_ready", errors.New("starting"), 503, "ready", ""},
		{"GET", "/_ready", errors.New("starting: ask again"), 503, "ready", "starting: ask again\n"},
		{"POST", "/_database-hosts/detach/s-1", nil, 200, "detach s-1", "yes\n"},
		{"POST", "/_database-hosts/detach/s%2F1%20x", nil, 200, "detach s/1 x", "yes\n"},
		{"POST", "/_database-hosts/detach/..", nil, 200, "detach ..", "yes\n"},
		{"POST", "/_database-hosts/attach/" + long, nil, 200, "attach " + long, "yes\n"},
		{"POST", "/_database-hosts/attach/" + long + "x", nil, 404, "", "no database host has"},
		{"POST", "/_database-hosts/attach/%ff", nil, 400, "", "not valid UTF-8"},
		{"POST", "/_database-hosts/attach/s-2", fmt.Errorf("host: %w", override.UnknownHostError{ID: "s-2"}), 404, "attach s-2", "look it up"},
		{"POST", "/_database-hosts/detach/s-2", override.LimitError{Detached: 4096}, 409, "detach s-2", "call some back"},
		{"POST", "/_database-hosts/detach/s-2", context.DeadlineExceeded, 503, "detach s-2", "may be made twice"},
		{"POST", "/_lameduck/on", nil, 200, "lameduck true", "yes\n"},
		{"POST", "/_lameduck/off", nil, 200, "lameduck false", "yes\n"},
		{"GET", "/_lameduck/off", nil, 405, "", "ask by POST"},
		{"GET", "/_database-hosts/detach/s-1", nil, 405, "", "ask by POST"},
		{"POST", "/_ready", nil, 405, "", "ask by GET, HEAD"},
		{"POST", "/_database-hosts/detach/", nil, 404, "", "no such call"},
		{"POST", "/_database-hosts/detach/a/b", nil, 404, "", "no such call"},
		{"POST", "/_database-hosts/remove/s-1", nil, 404, "", "/_database-hosts/attach/ID"},
		{"GET", "/", nil, 404, "", "no such call"},
	} {
		d := &desk{err: c.err}
		body := ""
		if c.method == "POST" {
			body = "a body that nobody wants"
		}
		r, text, err := call(c.method, "http://"+staff(t, d)+c.path, body)
		if err != nil {
			t.Fatal(err)
		}
		if did := strings.Join(d.calls, ","); r.StatusCode != c.status || did != c.did || !r.Close || !strings.Contains(text, c.says) ||
			(r.StatusCode == 405) != (r.Header.Get("Allow") != "") {
			t.Errorf("%s %s: %d %q after %q, want %d after %q, and the connection's end", c.method, c.path, r.StatusCode, text, did, c.status, c.did)
		}
	}
}

// TestHealth asks as balancers do.
func TestHealth(t *testing.T) {
	var unready error
	address := serve(t, NewHealth(func(context.Context) (string, error) { return "ready\n", unready },
		func(context.Context) (string, error) { return "a=1\nb=2\n", nil }, 12))
	for _, c := range []struct {
		sent, head, body string
	}{
		{"GET /health HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK", "ready\n"},
		{"HEAD /health?x=1 HTTP/1.0\r\n\r\n", "Content-Length: 6", ""},
		{"OPTIONS / HTTP/1.0\r\n\r\n", "Allow: GET, HEAD, OPTIONS", "ready\n"},
		{"GET /counters HTTP/1.0\r\n\r\n", "200 OK", "a=1\nb=2\n"},
		{"GET /secret HTTP/1.0\r\n\r\n", "404", "no such call; there are /, /counters, /health\n"},
		{"POST /health HTTP/1.0\r\n\r\n", "405", "ask by GET, HEAD, OPTIONS\n"},
		{"nonsense\r\n\r\n", "400", "400 Bad Request"},
		{strings.Repeat("x", 20_000), "431", ""},
		{"GET /health HTTP/1.0\r\n\r\n", "503", "draining\n"},
	} {
		if c.head == "503" {
			unready = errors.New("draining")
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, c.sent)
		got, err := io.ReadAll(conn)
		conn.Close()
		if head, body, _ := strings.Cut(string(got), "\r\n\r\n"); err != nil && c.head != "431" || !strings.Contains(head, c.head) || c.head != "431" && body != c.body {
			t.Errorf("%.40q: %q, %v", c.sent, got, err)
		}
	}
}

// TestContradictions makes calls that contradict each other at once: the state is that of the yes which came last.
func TestContradictions(t *testing.T) {
	var mu sync.Mutex
	held := map[string]string{} // by host
	d := &desk{act: func(_ context.Context, call string) error {
		way, host, _ := strings.Cut(call, " ")
		mu.Lock()
		defer mu.Unlock()
		held[host] = way
		return nil
	}}
	address := staff(t, d)
	for round := range 50 {
		host := fmt.Sprint("s-", round)
		var last [2]time.Time
		var group sync.WaitGroup
		for i, way := range []string{"detach", "attach"} {
			group.Go(func() {
				r, _, err := call("POST", "http://"+address+"/_database-hosts/"+way+"/"+host, "")
				if last[i] = time.Now(); err != nil || r.StatusCode != 200 {
					t.Error(r, err)
				}
			})
		}
		group.Wait()
		mu.Lock()
		want := "detach"
		if last[1].After(last[0]) {
			want = "attach"
		}
		if apart := last[1].Sub(last[0]).Abs(); held[host] != want && apart > 50*time.Millisecond {
			t.Errorf("%s holds; the yes to %s came %v later", held[host], want, apart)
		}
		mu.Unlock()
	}
}

// TestNotInTime has an action go on beyond its time: the caller is told so, the next on the same host waits for it in
// vain until it has ended, and one on another does not.
func TestNotInTime(t *testing.T) {
	hold := make(chan struct{})
	address := staff(t, &desk{act: func(_ context.Context, call string) error {
		if call == "detach slow" {
			<-hold
		}
		return nil
	}})
	for _, c := range []struct {
		path   string
		status int
	}{{"detach/slow", 503}, {"attach/slow", 503}, {"attach/quick", 200}} {
		since := time.Now()
		if r, text, err := call("POST", "http://"+address+"/_database-hosts/"+c.path, ""); err != nil || r.StatusCode != c.status ||
			c.status == 503 && text != ErrTimeout.Error()+"\n" {
			t.Errorf("%s: %v, %q, %v", c.path, r, text, err)
		}
		if took := time.Since(since); took > 2*actFor {
			t.Errorf("%s: an answer took %v", c.path, took)
		}
	}
	close(hold)
	if r, _, err := call("POST", "http://"+address+"/_database-hosts/attach/slow", ""); err != nil || r.StatusCode != 200 {
		t.Error(r, err)
	}
}

// TestShorterWait has an action fail in its time since a wait inside it was shorter: the caller is told that wait's own
// words, which say what can be done, and not that the call's whole time has passed.
func TestShorterWait(t *testing.T) {
	inside := fmt.Errorf("the lock is held: %w", context.DeadlineExceeded)
	address := staff(t, &desk{err: inside})
	r, text, err := call("POST", "http://"+address+"/_lameduck/on", "")
	if err != nil || r.StatusCode != 503 || text != inside.Error()+"\n" {
		t.Errorf("%v, %q, %v; want 503 with %q", r, text, err, inside)
	}
}
