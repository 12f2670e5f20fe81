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

// fakeControl is a Control that records calls.
type fakeControl struct {
	mu    sync.Mutex
	calls []string
	err   error
	act   func(ctx context.Context, call string) error // if nil, err is returned at once
}

func (f *fakeControl) record(ctx context.Context, format string, args ...any) error {
	call := fmt.Sprintf(format, args...)
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	if f.act != nil {
		return f.act(ctx, call)
	}
	return f.err
}

func (f *fakeControl) Ready() error { return f.record(context.Background(), "ready") }
func (f *fakeControl) Detach(ctx context.Context, id string) error {
	return f.record(ctx, "detach %s", id)
}
func (f *fakeControl) Attach(ctx context.Context, id string) error {
	return f.record(ctx, "attach %s", id)
}
func (f *fakeControl) Lameduck(ctx context.Context, on bool) error {
	return f.record(ctx, "lameduck %t", on)
}

// start runs a server until the test ends, and returns its address.
func start(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("the server ended with %v", err)
		}
	})
	return l.Addr().String()
}

// bigPage is a page that is larger than any socket's buffers.
func bigPage(context.Context) (string, error) { return bigText, nil }

var bigText = strings.Repeat("member\n", 1<<19) // 3.5 MiB

// startServer starts a server with the page /big.
func startServer(t *testing.T, c Control) string {
	return start(t, New(c, &Serializer{}, map[string]Page{"/big": bigPage}, 24))
}

// call makes a call, and returns its answer and its body.
func call(method, url, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// TestCalls makes each call, with valid and invalid input.
func TestCalls(t *testing.T) {
	long := strings.Repeat("x", maxIDBytes)
	for _, c := range []struct {
		method, path string
		err          error
		status       int
		calls, body  string
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
		control := &fakeControl{err: c.err}
		body := ""
		if c.method == "POST" {
			body = "an unexpected body"
		}
		r, text, err := call(c.method, "http://"+startServer(t, control)+c.path, body)
		if err != nil {
			t.Fatal(err)
		}
		calls := strings.Join(control.calls, ",")
		if r.StatusCode != c.status || calls != c.calls || !r.Close || !strings.Contains(text, c.body) ||
			(r.StatusCode == 405) != (r.Header.Get("Allow") != "") {
			t.Errorf("%s %s: status %d, body %q, recorded calls %q; want %d, recorded calls %q and a closed connection", c.method, c.path,
				r.StatusCode, text, calls, c.status, c.calls)
		}
	}
}

// TestHealth makes the calls of load balancers.
func TestHealth(t *testing.T) {
	var unready error
	address := start(t, NewHealth(func(context.Context) (string, error) { return "ready\n", unready },
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
		head, body, _ := strings.Cut(string(got), "\r\n\r\n")
		if err != nil && c.head != "431" || !strings.Contains(head, c.head) || c.head != "431" && body != c.body {
			t.Errorf("%.40q: %q, %v", c.sent, got, err)
		}
	}
}

// TestConcurrentContradictions makes two contradictory calls at once. The call that was answered last must be in effect.
func TestConcurrentContradictions(t *testing.T) {
	var mu sync.Mutex
	state := map[string]string{} // the last action, by host
	control := &fakeControl{act: func(_ context.Context, call string) error {
		action, host, _ := strings.Cut(call, " ")
		mu.Lock()
		defer mu.Unlock()
		state[host] = action
		return nil
	}}
	address := startServer(t, control)
	for round := range 50 {
		host := fmt.Sprint("s-", round)
		var answeredAt [2]time.Time
		var group sync.WaitGroup
		for i, action := range []string{"detach", "attach"} {
			group.Go(func() {
				r, _, err := call("POST", "http://"+address+"/_database-hosts/"+action+"/"+host, "")
				answeredAt[i] = time.Now()
				if err != nil || r.StatusCode != 200 {
					t.Error(r, err)
				}
			})
		}
		group.Wait()
		mu.Lock()
		want := "detach"
		if answeredAt[1].After(answeredAt[0]) {
			want = "attach"
		}
		interval := answeredAt[1].Sub(answeredAt[0]).Abs()
		if state[host] != want && interval > 50*time.Millisecond {
			t.Errorf("%s is in effect, but %s was answered %v later", state[host], want, interval)
		}
		mu.Unlock()
	}
}

// TestActionTimeout has an action exceed its timeout. Its caller gets ErrTimeout, and so does the next caller for the same host until the
// action has ended. A call for another host is answered at once.
func TestActionTimeout(t *testing.T) {
	resume := make(chan struct{})
	address := startServer(t, &fakeControl{act: func(_ context.Context, call string) error {
		if call == "detach slow" {
			<-resume
		}
		return nil
	}})
	for _, c := range []struct {
		path   string
		status int
	}{{"detach/slow", 503}, {"attach/slow", 503}, {"attach/quick", 200}} {
		startedAt := time.Now()
		r, text, err := call("POST", "http://"+address+"/_database-hosts/"+c.path, "")
		if err != nil || r.StatusCode != c.status || c.status == 503 && text != ErrTimeout.Error()+"\n" {
			t.Errorf("%s: %v, %q, %v", c.path, r, text, err)
		}
		if took := time.Since(startedAt); took > 2*actionTimeout {
			t.Errorf("%s: an answer took %v", c.path, took)
		}
	}
	close(resume)
	r, _, err := call("POST", "http://"+address+"/_database-hosts/attach/slow", "")
	if err != nil || r.StatusCode != 200 {
		t.Error(r, err)
	}
}

// TestInnerTimeoutError has an action fail by a shorter timeout of its own. The caller must get that error's text, which says what can
// be done, and not ErrTimeout.
func TestInnerTimeoutError(t *testing.T) {
	inner := fmt.Errorf("the lock is held: %w", context.DeadlineExceeded)
	address := startServer(t, &fakeControl{err: inner})
	r, text, err := call("POST", "http://"+address+"/_lameduck/on", "")
	if err != nil || r.StatusCode != 503 || text != inner.Error()+"\n" {
		t.Errorf("%v, %q, %v; want 503 with %q", r, text, err, inner)
	}
}
