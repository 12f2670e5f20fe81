package discovery

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranegate/internal/backoff"
	"cranegate/internal/core"
	"cranegate/internal/metrics"
)

// init fixes rapid's seed, so that the result does not vary between CI runs. Flags on the command line override it.
func init() {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
}

// Times within which a change has to be notified, from docs/standing.md.
const (
	silenceBound       = 6 * time.Second // after the watch stopped being answered
	reachableBound     = 6 * time.Second // after discovery had the change and could be reached; this takes precedence over the others
	answerBound        = 2 * time.Second // after the wait that a call asks for has passed
	addressChangeBound = 4 * time.Second // after SIGHUP, with which an operator reloads the configuration
)

// testTimeout bounds the waits on real sockets. It allows for a busy machine.
const testTimeout = 20 * time.Second

// fakeAgent stands for discovery's agent. Each connection gets the next behaviour of the list; once only one is left, all further
// connections get it. The behaviours are:
//
//	live         every call is answered, watch calls when there is a change or their wait has passed
//	deaf         nothing is read
//	silent       calls are read and not answered
//	header       the answer stops within the header
//	body         the answer stops within the body
//	trickle      the answer comes a byte at a time, a second apart
//	hang         the connection is never established
//	refuse       the connection is refused
//	reject       calls are rejected at once
//	reject-late  calls are rejected after 2 s
//	retry-after  calls are rejected at once with a Retry-After of 30 s
//	cut          the connection ends within the answer
//	closing      every call is answered, and the connection is closed after each answer
//	late ...     the first call is answered, and the behaviour applies from the second call on
//	slow ...     the behaviour applies, and the connection is established just within dialTimeout
type fakeAgent struct {
	mu         sync.Mutex
	behaviours []string
	rev        int64
	queries    []string // of the calls made so far
	dialTimes  []time.Time
	done       chan struct{} // closed at a test's end; nil with synctest, where waiting for a minute takes no time
}

// reset sets the revision, and the behaviours of all later connections.
func (a *fakeAgent) reset(rev int64, behaviours ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev, a.behaviours = rev, behaviours
}

func (a *fakeAgent) setRev(rev int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev = rev
}

func (a *fakeAgent) currentRev() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rev
}

func (a *fakeAgent) calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queries)
}

// nextBehaviour returns the behaviour of a new connection.
func (a *fakeAgent) nextBehaviour() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	behaviour := a.behaviours[0]
	if len(a.behaviours) > 1 {
		a.behaviours = a.behaviours[1:]
	}
	a.dialTimes = append(a.dialTimes, time.Now())
	return behaviour
}

// dial replaces a Watcher's dial function.
func (a *fakeAgent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	behaviour, slow := strings.CutPrefix(a.nextBehaviour(), "slow ")
	if slow {
		time.Sleep(dialTimeout - time.Millisecond)
	}
	switch behaviour {
	case "refuse":
		return nil, errors.New("connection refused")
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go a.serve(far, behaviour)
	return near, nil
}

// serve answers the calls on one connection.
func (a *fakeAgent) serve(c net.Conn, behaviour string) {
	defer c.Close()
	if behaviour == "deaf" {
		time.Sleep(time.Minute)
		return
	}
	behaviour, late := strings.CutPrefix(behaviour, "late ")
	buf := make([]byte, 4096)
	for call := 0; ; call++ {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		query, _, _ := strings.Cut(strings.TrimPrefix(string(buf[:n]), "GET /discovery/hosts"), " ")
		a.mu.Lock()
		a.queries = append(a.queries, query)
		a.mu.Unlock()
		if late && call == 0 {
			io.WriteString(c, a.answer(query, true))
		} else if !a.respond(c, behaviour, query) {
			return
		}
	}
}

// answer returns the answer to a call, at once or, if wait is set, when there is a change or the call's wait has passed.
func (a *fakeAgent) answer(query string, wait bool) string {
	var after, waitMS int64 = -1, 0
	fmt.Sscanf(query, "?after=%d&wait_ms=%d", &after, &waitMS)
	if wait {
		end := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
		for after >= a.currentRev() && time.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	rev := a.currentRev()
	body := fmt.Sprintf(`{"rev":%d,"all":false,"targets":[{"uid":"r%d","state":"DRAINING"}]}`, rev, rev)
	if after >= rev {
		body = fmt.Sprintf(`{"rev":%d,"all":false,"targets":[]}`, rev)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// respond handles one call according to a behaviour. It reports whether the connection stays open for another call.
func (a *fakeAgent) respond(c net.Conn, behaviour, query string) bool {
	answer := a.answer(query, behaviour == "live" || behaviour == "closing")
	switch behaviour {
	case "live":
		io.WriteString(c, answer)
		return true
	case "closing":
		io.WriteString(c, strings.Replace(answer, "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	case "reject":
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return true
	case "reject-late":
		time.Sleep(2 * time.Second)
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return true
	case "retry-after":
		io.WriteString(c, "HTTP/1.1 429 Later\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
		return true
	case "cut":
		io.WriteString(c, answer[:len(answer)-5])
		return false
	case "header":
		io.WriteString(c, answer[:30])
	case "body":
		io.WriteString(c, answer[:len(answer)-5])
	case "trickle":
		for i := range answer {
			if _, err := c.Write([]byte{answer[i]}); err != nil {
				return false
			}
			time.Sleep(time.Second)
		}
	}
	select { // nothing more is sent
	case <-time.After(time.Minute):
	case <-a.done:
	}
	return false
}

// runWatcher runs a Watcher against a fake agent for a duration of synctest's clock. It returns the time from the start to the first
// notification of each member. If during is not nil, it runs concurrently with the Watcher.
func runWatcher(t *testing.T, a *fakeAgent, known int64, seed uint64, duration time.Duration, during func(*Watcher)) map[string]time.Duration {
	t.Helper()
	var mu sync.Mutex
	notifiedAt := map[string]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w := NewWatcher("agent:1", Snapshot{Rev: known, All: true}, func(list core.EndpointList) {
			mu.Lock()
			defer mu.Unlock()
			for _, host := range list.Hosts {
				if _, ok := notifiedAt[host.Endpoint.Member]; !ok {
					notifiedAt[host.Endpoint.Member] = time.Since(start)
				}
			}
		}, backoff.New(300, seed), &metrics.Counters{})
		w.dial = a.dial
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		if during != nil {
			go during(w)
		}
		time.Sleep(duration)
		cancel()
		<-ended
		time.Sleep(2 * time.Minute) // the agent's connections end
	})
	return notifiedAt
}

// dialInPieces returns a dial function. Its connections answer each call with the text that answer returns, in pieces of a given size,
// with an interval after each.
func dialInPieces(answer func(query string) string, piece int, interval time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			for buf := make([]byte, 4096); ; {
				n, err := far.Read(buf)
				if err != nil {
					return
				}
				for rest := answer(string(buf[:n])); rest != ""; rest = rest[min(piece, len(rest)):] {
					if _, err := io.WriteString(far, rest[:min(piece, len(rest))]); err != nil {
						return
					}
					time.Sleep(interval)
				}
			}
		}()
		return near, nil
	}
}

// firstAnswerOnly returns a function that answers a call without a revision with answer, and any other call with an error.
func firstAnswerOnly(answer string) func(query string) string {
	return func(query string) string {
		if strings.Contains(query, "after") {
			return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
		}
		return answer
	}
}

// sizedResponse returns a response with a Content-Length.
func sizedResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunkedResponse returns a response whose body is sent in chunks of a given size.
func chunkedResponse(body string, size int) string {
	var s strings.Builder
	s.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; body != ""; body = body[min(size, len(body)):] {
		chunk := body[:min(size, len(body))]
		fmt.Fprintf(&s, "%x;ext\r\n%s\r\n", len(chunk), chunk)
	}
	return s.String() + "0\r\nTrailer: x\r\n\r\n"
}
