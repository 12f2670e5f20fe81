package processtest

import (
	"testing"
	"time"
)

const (
	// minAttemptTimeout is the least time that a request has until its deadline, even in a process that is shutting down.
	minAttemptTimeout = 350 * time.Millisecond

	// maxForwardDelay bounds the time between forwarding a request and its arrival at the host; on loopback it is far shorter.
	maxForwardDelay = time.Second
)

// exclusion is a time in which a host must receive no requests. A zero until means that it has not ended.
type exclusion struct {
	host        *host
	from, until time.Time
}

// excludeHost marks the time from which a host must receive no requests. The returned function marks its end.
func (l *load) excludeHost(host *host) (include func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exclusions = append(l.exclusions, exclusion{host: host, from: time.Now()})
	index := len(l.exclusions) - 1
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.exclusions[index].until = time.Now()
	}
}

// requestsDuring counts the requests that a host received in violation of an exclusion: requests that clients sent after the
// exclusion began, and requests that arrived too late to have been forwarded before it began.
func (l *load) requestsDuring(e exclusion) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, arrival := range e.host.arrivals() {
		if !e.until.IsZero() && arrival.at.After(e.until) {
			continue
		}
		request := l.requests[arrival.id]
		sentAfter := request != nil && request.sentAt.After(e.from)
		if sentAfter || arrival.at.After(e.from.Add(maxForwardDelay)) {
			n++
		}
	}
	return n
}

// check ends the load and checks its history. At most maxUnanswered requests may be unanswered, and at least 90 % must be served.
func (l *load) check(t *testing.T, maxUnanswered int) {
	t.Helper()
	l.end()
	l.checkExecutions(t)
	for _, e := range l.exclusions {
		if n := l.requestsDuring(e); n > 0 {
			t.Errorf("%d requests went to %s while it was out of service", n, e.host.uid)
		}
	}
	for _, text := range l.errors {
		t.Error(text)
	}
	outcomes := map[string]int{}
	unanswered := 0
	for _, request := range l.requests {
		outcomes[request.outcome]++
		if request.unanswered {
			unanswered++
		}
	}
	if unanswered > maxUnanswered {
		t.Errorf("%d requests were not answered, at most %d may be", unanswered, maxUnanswered)
	}
	if total := len(l.requests); outcomes["served"] < total*9/10 {
		t.Errorf("only %d of %d requests were served", outcomes["served"], total)
	}
	t.Logf("%d requests: %v, %d not answered", len(l.requests), outcomes, unanswered)
}

// checkExecutions checks each request's outcome against how often the hosts executed it.
func (l *load) checkExecutions(t *testing.T) {
	t.Helper()
	for id, request := range l.requests {
		n := l.harness.executions(id)
		switch {
		case request.write && n > 1:
			t.Errorf("write %s ran %d times", id, n)
		case request.write && request.outcome == "served" && n != 1:
			t.Errorf("write %s was served, and ran %d times", id, n)
		case request.outcome == "refused" && n > 0 && (request.write || request.latency < minAttemptTimeout):
			// A read that ran may be refused when its deadline passes during a retry.
			t.Errorf("%s was refused, and ran %d times", id, n)
		case request.outcome == outcomeTruncated:
			t.Errorf("%s: its answer was truncated", id)
		case request.outcome == "" && !request.unanswered:
			t.Errorf("%s: no outcome was recorded", id)
		}
	}
}
