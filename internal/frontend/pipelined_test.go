package frontend_test

import (
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegate/internal/fake"
	"cranegate/internal/framebuf"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
)

// answerSlack is how long after a request's deadline its answer may be written. It equals core.Options.AnswerSlack of the harness.
const answerSlack = 20 * time.Millisecond

// timeoutRecorder records the timeouts in the statements that a host receives.
type timeoutRecorder struct {
	mu       sync.Mutex
	timeouts map[string]time.Duration // by request id
}

// act records an attempt's timeout and serves the attempt. The request "slow" takes 0.3 s.
func (r *timeoutRecorder) act(id, text string, _ bool) fake.Act {
	statement, _ := sqlcomment.Parse([]byte(text))
	r.mu.Lock()
	r.timeouts[id] = statement.Timeout
	r.mu.Unlock()
	if id == "slow" {
		time.Sleep(300 * time.Millisecond)
	}
	return fake.Serve
}

// TestDeadlineOfPipelinedRequests writes a slow request and others behind it in one segment. The deadline of each request counts from
// its arrival, not from the answer before it. A request with little time left when it is submitted is still answered within its
// deadline, a request whose deadline has passed is rejected at once without an attempt, and hosts receive the remaining time as the
// timeout.
func TestDeadlineOfPipelinedRequests(t *testing.T) {
	for name, connect := range map[string]func(*testing.T, *testHarness) net.Conn{
		"pipe": func(_ *testing.T, h *testHarness) net.Conn { return h.connect() },
		"socket": func(t *testing.T, h *testHarness) net.Conn {
			near, far := loopback(t)
			h.listener.conns <- far
			return near
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := &timeoutRecorder{timeouts: map[string]time.Duration{}}
			host := &fake.Host{Primary: true, Act: recorder.act}
			harness := newHarness(false, host)
			defer harness.close()
			client, err := fake.DialPostgres(connect(t, harness), "")
			if err != nil {
				t.Fatal(err)
			}
			checkDeadlines(t, client)
			if host.Ran("over") > 0 {
				t.Error("a request has run after its deadline")
			}
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			timeouts := recorder.timeouts
			if timeouts["short"] > 400*time.Millisecond || timeouts["short"] <= 0 || timeouts["long"] > 700*time.Millisecond {
				t.Errorf("hosts received the timeouts %v", timeouts)
			}
		})
	}
}

// checkDeadlines writes the requests with one call of Write and checks their answers.
func checkDeadlines(t *testing.T, client *fake.PostgresClient) {
	t.Helper()
	requests := []struct {
		id       string
		deadline int // ms
		outcome  string
		after    time.Duration // earliest time of the answer, from the write on
	}{
		{"slow", 1000, "served", 300 * time.Millisecond},
		{"over", 200, "refused", 300 * time.Millisecond},
		{"short", 700, "served", 0},
		{"long", 1000, "served", 0},
	}
	var out []byte
	for _, r := range requests {
		out = append(out, postgresQuery(fmt.Sprintf("/* id=%s,c=look,d=%d,cluster=4 */ SELECT v FROM records WHERE k = '%[1]s'",
			r.id, r.deadline))...)
	}
	began := time.Now()
	go client.Write(out)
	for _, want := range requests {
		r, err := client.Read()
		if took := time.Since(began); err != nil || r.Outcome != want.outcome || took < want.after {
			t.Errorf("%+v, %v after %v, want %+v", r, err, took, want)
		}
	}
}

// pipelinedPrefix is a kind of message that a client writes before a request.
type pipelinedPrefix string

const (
	prefixNone     pipelinedPrefix = ""
	prefixEmpty    pipelinedPrefix = "empty query"
	prefixFaulty   pipelinedPrefix = "faulty query"
	prefixExtended pipelinedPrefix = "extended query"
)

// bytes returns the messages.
func (p pipelinedPrefix) bytes() []byte {
	switch p {
	case prefixEmpty:
		return pgwire.Append(nil, 'Q', " ;\x00")
	case prefixFaulty:
		return pgwire.Append(nil, 'Q', "SELECT 1\x00")
	case prefixExtended:
		return pgwire.Append(pgwire.Append(nil, 'P', "\x00SELECT 1\x00\x00\x00"), 'S')
	}
	return nil
}

// outcome returns the expected outcome of the answer to the messages.
func (p pipelinedPrefix) outcome() string {
	if p == prefixEmpty {
		return "empty"
	}
	return "failed"
}

// pipelinedRequest is a request that is written without waiting for the answers to earlier requests.
type pipelinedRequest struct {
	After          time.Duration // delay after the request before it was written
	RequestTimeout time.Duration // the request's timeout
	Class          string
	Acts           []fake.Act    // for each attempt in order; the last act repeats
	HostDelay      time.Duration // how long an attempt takes at the host
	PieceSize      int           // size of the pieces in which the request is written, in bytes
	PieceInterval  time.Duration // pause between two pieces
	Prefix         pipelinedPrefix
}

// pipelinedPlans generates sequences of requests for one connection.
var pipelinedPlans = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pipelinedRequest {
	ms := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	prefixes := []pipelinedPrefix{prefixNone, prefixNone, prefixNone, prefixEmpty, prefixFaulty, prefixExtended}
	return pipelinedRequest{After: ms("after", 0, 60), RequestTimeout: ms("wait", 20, 1000),
		Class: rapid.SampledFrom([]string{"look", "look", "put"}).Draw(t, "class"),
		Acts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fake.Act {
			return fake.Act(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4, 5, 6}).Draw(t, "act"))
		}), 1, 3).Draw(t, "acts"),
		HostDelay: ms("takes", 0, 250), PieceSize: rapid.IntRange(1, 400).Draw(t, "cut"), PieceInterval: ms("rest", 0, 3),
		Prefix: rapid.SampledFrom(prefixes).Draw(t, "form")}
}), 1, 14)

// TestPipelinedRequests writes random requests without waiting for answers, in pieces and with other messages between them, to hosts
// with random behaviour. It checks that answers come in order, one for each request and with its value; that a request is answered
// by its deadline, or at once if the answer before it came later; that no attempt begins after the deadline; that no host receives
// a timeout longer than the remaining time; and that no write runs twice.
func TestPipelinedRequests(t *testing.T) {
	checkPlans(t, pipelinedPlans, runPipelined)
}

// pipeline is a run of a plan on one connection.
type pipeline struct {
	*testHarness
	plan   []pipelinedRequest
	client *fake.PostgresClient

	mu       sync.Mutex
	written  []time.Time    // the latest time at which each request is completely written
	attempts map[string]int // number of attempts by request id
	hostErr  error          // the first attempt that was late or had too long a timeout
}

// runPipelined runs a plan in a new harness.
func runPipelined(plan []pipelinedRequest) (err error) {
	p := &pipeline{plan: plan, written: make([]time.Time, len(plan)), attempts: map[string]int{}}
	p.testHarness = newHarness(false, &fake.Host{Primary: true}, &fake.Host{}, &fake.Host{})
	for _, host := range p.hosts {
		host.Act = p.act
	}
	defer func() { err = cmp.Or(err, p.close()) }()
	p.client, err = fake.DialPostgres(p.connect(), "")
	if err != nil {
		return err
	}
	defer p.client.Close()
	go p.write()
	for i := range plan {
		if err := p.checkAnswer(i); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostErr
}

// act checks the timeout of an attempt and returns how the host handles it.
func (p *pipeline) act(id, text string, _ bool) fake.Act {
	var i int
	fmt.Sscanf(id, "q%d", &i)
	statement, err := sqlcomment.Parse([]byte(text))
	p.mu.Lock()
	left := time.Until(p.written[i].Add(p.plan[i].RequestTimeout))
	if err != nil || left < 0 || statement.Timeout > left+time.Millisecond {
		p.hostErr = cmp.Or(p.hostErr, fmt.Errorf("%s has timeout %v with %v left, %v", id, statement.Timeout, left, err))
	}
	p.attempts[id]++
	act := p.plan[i].Acts[min(p.attempts[id], len(p.plan[i].Acts))-1]
	p.mu.Unlock()
	time.Sleep(p.plan[i].HostDelay)
	return act
}

// write writes all requests, each with its prefix.
func (p *pipeline) write() {
	for i, r := range p.plan {
		time.Sleep(r.After)
		out := r.Prefix.bytes()
		id := fmt.Sprint("q", i)
		out = append(out, postgresQuery(fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=4 */ %s'%[1]s'", id, r.Class,
			r.RequestTimeout.Milliseconds(), statementPrefix[r.Class]))...)
		p.mu.Lock()
		p.written[i] = time.Now().Add(r.PieceInterval * time.Duration(len(out)/r.PieceSize))
		p.mu.Unlock()
		for part := range chunks(out, r.PieceSize) {
			if _, err := p.client.Write(part); err != nil {
				return
			}
			time.Sleep(r.PieceInterval)
		}
	}
}

// checkAnswer reads and checks the answers to one request and to its prefix.
func (p *pipeline) checkAnswer(i int) error {
	request, id := p.plan[i], fmt.Sprint("q", i)
	if request.Prefix != prefixNone {
		if r, err := p.client.Read(); err != nil || r.Outcome != request.Prefix.outcome() {
			return fmt.Errorf("prefix of %s: %+v, %v", id, r, err)
		}
	}
	turn := time.Now()
	r, err := p.client.Read()
	now := time.Now()
	p.mu.Lock()
	deadline := p.written[i].Add(request.RequestTimeout)
	p.mu.Unlock()
	if turn.After(deadline) {
		deadline = turn
	}
	ran := p.ran(id)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", id, err)
	case now.After(deadline.Add(answerSlack)):
		return fmt.Errorf("%s (%+v) answered %v after its deadline", id, request, now.Sub(deadline))
	case !strings.Contains("served refused failed", r.Outcome), r.Outcome == "served" && ran == 0,
		r.Outcome == "served" && request.Class == "look" && r.Value != "value of "+id,
		r.Outcome == "refused" && request.Class == "put" && ran > 0, request.Class == "put" && ran > 1:
		return fmt.Errorf("%s got %+v, ran %d times", id, r, ran)
	}
	return nil
}

// TestPipelinedPastTheBuffer has a client pipeline more bytes than the gateway reads while a request is open, and stay connected. Each
// request must be answered.
func TestPipelinedPastTheBuffer(t *testing.T) {
	const more = 12
	release, began := make(chan struct{}), make(chan struct{}, more+1)
	host := &fake.Host{Primary: true, Act: func(string, string, bool) fake.Act {
		began <- struct{}{}
		<-release
		return fake.Serve
	}}
	harness := newHarness(false, host)
	t.Cleanup(harness.closeNow)
	client, gateway := harness.login(t)
	gateway.SetReadBuffer(1 << 20)
	var out strings.Builder
	for i := range more + 1 {
		out.WriteString(harness.requestBytes("look", fmt.Sprint("q", i), strings.Repeat(" ", 30<<10)))
	}
	go fmt.Fprint(client, out.String())
	receive(t, "the first attempt", began)
	waitFor(t, "unread bytes", func() bool { return harness.counters.Get("test_looks_past_unread") > 1 })
	close(release)
	c := fake.PostgresClient{Conn: framebuf.New(client, pgwire.MaxMessage)}
	client.SetReadDeadline(time.Now().Add(20 * time.Second))
	for i := range more + 1 {
		if a, err := c.Read(); err != nil || a.Value != fmt.Sprint("value of q", i) {
			t.Fatalf("answer %d: %+v, %v", i, a, err)
		}
	}
}
