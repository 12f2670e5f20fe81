package processtest

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"cranegate/internal/fake"
)

// loadRequest is one request of a load client and its result.
type loadRequest struct {
	sentAt      time.Time
	connectedAt time.Time // when the client began to connect
	write       bool
	unanswered  bool // its connection failed or ended before an answer began
	outcome     string
	latency     time.Duration // until its answer
}

// outcomeTruncated is the outcome of a request whose answer was not complete.
const outcomeTruncated = "truncated"

// load is a set of clients, each of which sends one request after the other.
type load struct {
	harness *harness
	clients int
	stop    chan struct{}
	group   sync.WaitGroup
	once    sync.Once

	mu         sync.Mutex
	requests   map[string]*loadRequest
	served     []int // number of requests, by client
	exclusions []exclusion
	errors     []string // errors of individual requests
}

// withLongTimeouts gives all classes deadlines that do not pass on a busy machine, for tests in which each request must be served. Such
// tests send longTimeoutStatement.
func withLongTimeouts(settings map[string]any) {
	for _, c := range settings["classes"].([]any) {
		class := c.(map[string]any)
		class["aimS"] = eventualTimeout.Seconds() / 4
		class["deadlineS"] = eventualTimeout.Seconds() / 4
	}
}

// longTimeoutStatement returns a statement with the timeout of withLongTimeouts.
func longTimeoutStatement(id string, group int, write bool) string {
	return strings.Replace(statement(id, group, write), "d=2000", fmt.Sprint("d=", (eventualTimeout/4).Milliseconds()), 1)
}

// statement returns a statement with a timeout of 2 s.
func statement(id string, group int, write bool) string {
	if write {
		return fmt.Sprintf("/* id=%s,c=zusage,d=2000,cluster=%d */ INSERT INTO records (k) VALUES ('%s')", id, group, id)
	}
	return fmt.Sprintf("/* id=%s,c=platzsuche,d=2000,cluster=%d */ SELECT v FROM records WHERE k = '%s'", id, group, id)
}

// startLoad starts clients that pause after each answer.
func (h *harness) startLoad(clients int, pause time.Duration) *load {
	l := &load{harness: h, clients: clients, stop: make(chan struct{}), requests: map[string]*loadRequest{}, served: make([]int, clients)}
	for i := range clients {
		client := &loadClient{load: l, index: i, pause: pause + time.Duration(i)*pause/time.Duration(clients)}
		l.group.Go(client.run)
	}
	h.t.Cleanup(l.end)
	return l
}

// end stops the clients and waits for them.
func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.group.Wait()
}

// reportError keeps the first 20 errors for check.
func (l *load) reportError(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errors) < 20 {
		l.errors = append(l.errors, fmt.Sprintf(format, args...))
	}
}

// dial opens a connection to the gateway.
func (h *harness) dial() (*fake.PostgresClient, error) {
	raw, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	raw.SetDeadline(time.Now().Add(eventualTimeout))
	c, err := fake.DialPostgres(raw, "")
	if err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

// loadClient is one client of a load.
type loadClient struct {
	load        *load
	index       int
	pause       time.Duration
	conn        *fake.PostgresClient
	connectedAt time.Time // when the client began to connect conn
}

// run sends requests until the load ends. A request that was not answered is not repeated, as it may have run.
func (c *loadClient) run() {
	defer c.disconnect()
	for attempt := 0; ; attempt++ {
		select {
		case <-c.load.stop:
			return
		case <-time.After(c.pause):
		}
		if c.conn != nil && !c.conn.Alive() { // closed between requests: none was in flight
			c.disconnect()
		}
		id := fmt.Sprintf("c%d-%d", c.index, attempt)
		request := &loadRequest{write: attempt%3 == 0}
		if c.conn == nil && !c.connect(id, request) {
			continue
		}
		c.send(id, (c.index+attempt)%groupCount, request)
	}
}

func (c *loadClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// connect connects for a request. If that fails it records the request as unanswered and returns false.
func (c *loadClient) connect(id string, request *loadRequest) bool {
	c.connectedAt = time.Now()
	conn, err := c.load.harness.dial()
	if took := time.Since(c.connectedAt); took > eventualTimeout/2 {
		c.load.reportError("%s: connecting took %v", id, took)
	}
	if err != nil {
		request.connectedAt = c.connectedAt
		request.sentAt = c.connectedAt
		request.unanswered = true
		c.load.record(id, request)
		return false
	}
	c.conn = conn
	return true
}

// send sends a request and records and checks its answer. It closes a connection that failed.
func (c *loadClient) send(id string, group int, request *loadRequest) {
	c.conn.Conn.Conn.SetDeadline(time.Now().Add(eventualTimeout))
	request.connectedAt = c.connectedAt
	request.sentAt = time.Now()
	c.load.record(id, request)
	reply, err := c.conn.Ask(statement(id, group, request.write))
	if err == nil && c.conn.Buffered() > 0 {
		c.load.reportError("%s: something follows its answer", id)
	}
	if err == nil && reply.Outcome == "served" && reply.Value != "value of "+id {
		c.load.reportError("%s: it has the answer %q", id, reply.Value)
	}
	if took := time.Since(request.sentAt); took > eventualTimeout/2 {
		c.load.reportError("%s: it took %v", id, took)
	}
	c.load.recordReply(c.index, request, reply, err)
	if err != nil {
		c.disconnect()
	}
}

// recordReply records the result of a client's request.
func (l *load) recordReply(client int, request *loadRequest, reply fake.Reply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.latency = time.Since(request.sentAt)
	switch {
	case err == nil:
		request.outcome = reply.Outcome
	case reply == (fake.Reply{}):
		request.unanswered = true
	default:
		request.outcome = outcomeTruncated
	}
	if request.outcome == "served" {
		l.served[client]++
	}
}

// record records a request before its answer is known.
func (l *load) record(id string, request *loadRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = request
}

// waitProgress waits until each client has been served three more requests.
func (l *load) waitProgress() {
	l.harness.t.Helper()
	l.mu.Lock()
	before := append([]int(nil), l.served...)
	l.mu.Unlock()
	l.harness.eventually("all clients are served", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, n := range l.served {
			if n < before[i]+3 {
				return false
			}
		}
		return true
	})
}

// unansweredSince counts the unanswered requests on connections that were begun at or after from.
func (l *load) unansweredSince(from time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range l.requests {
		if request.unanswered && !request.connectedAt.Before(from) {
			n++
		}
	}
	return n
}
