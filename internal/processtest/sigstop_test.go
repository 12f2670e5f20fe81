package processtest

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// adminCallTimeout bounds an administrative call. It is answered within a second; the rest allows for a busy machine.
const adminCallTimeout = 3 * time.Second

// detachHost detaches a host by an administrative call to this process, while another process may be stopped. Within adminCallTimeout
// the call must succeed or fail with a reason. It returns the status.
func (p *process) detachHost(uid string) (status int) {
	p.harness.t.Helper()
	startedAt := time.Now()
	status, body := p.callAdmin("POST", "/_database-hosts/detach/"+uid)
	took := time.Since(startedAt)
	rejected := status == 503 && len(strings.TrimSpace(body)) > 0
	if status != 200 && !rejected || took > adminCallTimeout {
		p.harness.t.Errorf("detach: %d %q after %v", status, body, took)
	}
	p.harness.t.Logf("detach: %d %q after %v", status, strings.TrimSpace(body), took.Round(time.Millisecond))
	return status
}

// TestNewProcessStopped stops the new process before it is ready. Administrative calls to the old one are answered, and a detached
// host stays out of service there; once the new process continues, the host stays out of service there too.
func TestNewProcessStopped(t *testing.T) {
	h := newHarness(t, 256)
	old := h.start().waitReady()
	l := h.startLoad(12, 4*time.Millisecond)
	l.waitProgress()
	next := h.startStopped()
	old.detachHost("db-0-1")
	l.excludeHost(h.hosts[1])
	l.waitProgress()
	next.signal(syscall.SIGCONT)
	next.waitReady()
	l.waitProgress()
	if status := old.detachHost("db-0-1"); status != 200 {
		t.Errorf("detach once it continues: %d", status)
	}
	time.Sleep(50 * time.Millisecond)
	old.terminate()
	l.waitProgress()
	l.check(t, 0)
}

// TestOldProcessStopped stops the old process after the new one is ready, with partial requests on connections that the old one still
// holds. The new process serves and answers administrative calls; meanwhile the partial requests are completed. When the old process
// continues, it receives the detach calls; docs/design/hotrestart.md states that it may send requests to the detached hosts until
// then, and the test counts these requests.
func TestOldProcessStopped(t *testing.T) {
	h := newHarness(t, 256)
	old := h.start().waitReady()
	var kept []*partialRequest
	for n := range 8 { // partial, so that the old process keeps the connections
		partial, err := h.beginPartial(requestID("kept", n), n%groupCount, false)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, partial)
	}
	next := h.start().waitReady()
	old.waitEvent("superseded")
	old.stop()
	l := h.startLoad(12, 4*time.Millisecond)
	l.waitProgress()
	firstStatus := next.detachHost("db-0-1")
	l.excludeHost(h.hosts[1])
	secondStatus := next.detachHost("db-1-1")
	l.excludeHost(h.hosts[4])
	arrivalCount := func() int { return len(h.hosts[1].arrivals()) + len(h.hosts[4].arrivals()) }
	before := arrivalCount()
	l.waitProgress()
	for _, partial := range kept {
		partial.Write(partial.rest)
	}
	old.signal(syscall.SIGCONT)
	for _, partial := range kept {
		partial.rest = nil
		if err := partial.complete(); err != nil {
			t.Error(err)
		}
	}
	sent := arrivalCount() - before
	t.Logf("after the calls (%d, %d) the continued process sent %d of %d requests to detached hosts", firstStatus, secondStatus, sent, len(kept))
	if sent > 0 && firstStatus == 200 && secondStatus == 200 {
		t.Error("requests were sent to detached hosts although both detach calls had succeeded")
	}
	if status := next.detachHost("db-0-1"); status != 200 {
		t.Errorf("detach once it continues: %d", status)
	}
	before = arrivalCount()
	old.terminate()
	l.waitProgress()
	l.end()
	if n := arrivalCount() - before; n > 0 {
		t.Errorf("%d requests went to detached hosts after all processes had confirmed", n)
	}
	l.exclusions = nil // the requests that the old process sent when it continued are checked above
	l.check(t, 0)
}

// TestUpgradeWithPartialRequests upgrades while 50 connections have written half of a request: each is answered once it is complete. A
// write is executed once, a read at most as often as the configured attempts.
func TestUpgradeWithPartialRequests(t *testing.T) {
	for name, write := range map[string]bool{"writes": true, "reads": false} {
		t.Run(name, func(t *testing.T) { testPartialRequests(t, write) })
	}
}

// askAgain sends another request on a connection, or on a new connection if the old one was closed.
func (h *harness) askAgain(conn *fake.PostgresClient, id string) (fake.Reply, error) {
	reply, err := conn.Ask(longTimeoutStatement(id, 0, false))
	if err == nil {
		return reply, nil
	}
	if conn, err = h.dial(); err != nil {
		return fake.Reply{}, err
	}
	h.t.Cleanup(func() { conn.Close() })
	return conn.Ask(longTimeoutStatement(id, 0, false))
}

func testPartialRequests(t *testing.T, write bool) {
	h := newHarness(t, 256, withLongTimeouts)
	old := h.start().waitReady()
	var partials []*partialRequest
	for n := range 50 {
		partial, err := h.beginPartial(requestID("h", n), n%groupCount, write)
		if err != nil {
			t.Fatal(err)
		}
		partials = append(partials, partial)
	}
	h.start().waitReady()
	time.Sleep(50 * time.Millisecond)
	old.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	for _, partial := range partials {
		if n := h.executions(partial.id); n > 0 {
			t.Errorf("%s ran %d times before it was complete", partial.id, n)
		}
		if err := partial.complete(); err != nil {
			t.Error(err)
		}
	}
	for _, partial := range partials {
		id := partial.id + "-again"
		reply, err := h.askAgain(partial.PostgresClient, id)
		if err != nil || reply.Outcome != "served" || reply.Value != "value of "+id {
			t.Errorf("%s: the next request: %+v, %v", partial.id, reply, err)
		}
	}
	old.terminate()
	maxExecutions := 1
	if !write {
		maxExecutions = h.maxAttempts
	}
	for _, partial := range partials {
		if n := h.executions(partial.id); n < 1 || n > maxExecutions {
			t.Errorf("%s ran %d times, at most %d allowed", partial.id, n, maxExecutions)
		}
	}
}
