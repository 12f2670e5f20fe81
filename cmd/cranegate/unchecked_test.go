package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegate/internal/discovery"
	"cranegate/internal/fake"
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
)

// stalenessBound and keyWindow are settings of the program under test. deliveryDelay is how long a busy machine may take to deliver a
// statement to its host.
const (
	stalenessBound = 500 * time.Millisecond
	keyWindow      = time.Second
	deliveryDelay  = time.Second
)

// uncheckedHost is a host of a group whose hosts do not check the freshness of reads: it answers from the data that it has applied, and
// reports its position only in load reports.
type uncheckedHost struct {
	fake.Host
	primary  atomic.Bool
	pausedAt atomic.Int64 // position at which replication is paused, in Unix ms; 0: not paused
}

func (h *uncheckedHost) position() int64 {
	if at := h.pausedAt.Load(); at > 0 {
		return at
	}
	return time.Now().UnixMilli()
}

// pauseReplication pauses replication to the host, and returns once the host's data is older than any staleness bound.
func (h *uncheckedHost) pauseReplication() {
	h.pausedAt.Store(time.Now().UnixMilli())
	time.Sleep(stalenessBound + deliveryDelay)
}

// startUnchecked starts the program in a deployment whose endpoint list has no roles, whose hosts do not check reads and report their
// positions only in load reports, and whose writes carry an idempotency key that is valid for keyWindow. The last of the three hosts is
// the primary. act decides what a host does with a statement.
func startUnchecked(t *testing.T, act func(host *uncheckedHost, s *sqlcomment.Statement) fake.Act) (*harness, []*uncheckedHost) {
	h := startGateway(t, nil)
	var hosts []*uncheckedHost
	h.targets = nil
	for i := range 3 {
		host := newUncheckedHost(i == 2, act)
		l := listenLoopback(t)
		go fake.Accept(l, host.ServePostgres)
		hosts = append(hosts, host)
		h.targets = append(h.targets, discovery.Target{UID: fmt.Sprint("box-", i), Endpoint: l.Addr().String(), State: "SERVING", Capacity: 1})
	}
	h.discovery.Set(h.targets)
	h.restartWithConfig(func(config map[string]any) {
		delete(config, "admin")
		config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: h.targets}
		setUnchecked(config["settings"].(map[string]any))
	})
	h.waitServing()
	return h, hosts
}

func newUncheckedHost(primary bool, act func(host *uncheckedHost, s *sqlcomment.Statement) fake.Act) *uncheckedHost {
	h := &uncheckedHost{}
	h.primary.Store(primary)
	h.Reports = true
	h.RoleAndPosition = func(bool) (bool, int64) { return h.primary.Load(), h.position() }
	h.Act = func(_, text string, _ bool) fake.Act {
		s, err := sqlcomment.Parse([]byte(text))
		if err != nil {
			return fake.InvalidStatement
		}
		return act(h, s)
	}
	return h
}

// setUnchecked sets the classes, and a domain whose hosts do not check reads.
func setUnchecked(settings map[string]any) {
	class := func(name string, deadline, late float64, repeat string) map[string]any {
		return map[string]any{"name": name, "aimS": deadline / 2, "deadlineS": deadline, "points": 1, "lateWorth": late, "repeat": repeat}
	}
	keyed := class("order", 5, 0.5, "by_key")
	keyed["keyScope"], keyed["keyTtlS"] = "cell", keyWindow.Seconds()
	settings["discovery"] = "subscribe"
	settings["classes"] = []any{class("bounded", 3, 0.2, "repeatable"), class("session", 3, 0, "repeatable"),
		class("any", 3, 0.2, "repeatable"), keyed}
	settings["domain"] = map[string]any{"needsByClass": []string{"bounded", "session", "any", "write"},
		"classBoundS": []float64{stalenessBound.Seconds(), 0, 0, 0}, "guards": "none", "positions": false, "roleInList": "none",
		"writeMarks": "carried"}
	settings["loadInfo"] = map[string]any{"source": "answers", "columns": []string{"x0", "x1", "inflight", "queue"}}
	settings["policyLimits"].(map[string]any)["retryAfter"] = false
	settings["rules"].(map[string]any)["askWithinS"] = 6
}

// freshnessCheck records the reads that reach hosts, and those for which a host's data is too old.
type freshnessCheck struct {
	hosts      []*uncheckedHost
	hostsKnown sync.WaitGroup  // done once hosts is set
	reads      [3]atomic.Int64 // reads with a freshness requirement, by host
	faults     sync.Map        // by request id
	served     atomic.Int64
	unserved   atomic.Int64
}

// act decides what a host does with a statement.
func (c *freshnessCheck) act(host *uncheckedHost, s *sqlcomment.Statement) fake.Act {
	c.hostsKnown.Wait()
	now := time.Now()
	index := slices.Index(c.hosts, host)
	if s.Class != "any" {
		c.reads[index].Add(1)
	}
	age := now.Sub(time.UnixMilli(host.position()))
	stale := s.Class == "bounded" && age > stalenessBound+deliveryDelay
	behind := s.Class == "session" && s.MinPosition > 0 && host.position() < s.MinPosition
	if stale || behind {
		c.faults.Store(s.ID, fmt.Sprintf("%s at box-%d, %v old, wanted %d", s.Class, index, age, s.MinPosition))
	}
	return fake.Serve
}

// run sends reads of a class until stop is closed.
func (c *freshnessCheck) run(client *fake.PostgresClient, prefix int, class string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		after := ""
		if class == "session" { // it needs a write made just now
			after = fmt.Sprintf(",after=%d", time.Now().UnixMilli())
		}
		client.SetDeadline(time.Now().Add(testTimeout))
		r, err := client.Ask(fmt.Sprintf("/* id=%d-%d,c=%s,d=3000,cluster=0%s */ SELECT v FROM records WHERE k = 'k%d'", prefix, n, class, after, n))
		if err != nil {
			c.faults.Store(fmt.Sprint(prefix, "-", n), err.Error())
			return
		}
		if r.Outcome == "served" {
			c.served.Add(1)
		} else {
			c.unserved.Add(1)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// TestUncheckedReadsAreFresh pauses replication to one replica, and later to the other. No bounded read may reach a host whose data is
// older than its bound, and no session read a host that lacks the position it needs. Reads of class any continue there, and a host that
// has caught up gets reads again. Every request gets one answer.
func TestUncheckedReadsAreFresh(t *testing.T) {
	check := &freshnessCheck{}
	check.hostsKnown.Add(1)
	h, hosts := startUnchecked(t, check.act)
	check.hosts = hosts
	check.hostsKnown.Done()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, class := range []string{"bounded", "session", "any"} {
		client := h.dialClient()
		group.Go(func() { check.run(client, i, class, stop) })
	}
	untilRead := func(what string, host int) {
		t.Helper()
		before := check.reads[host].Load()
		h.until(what, func() bool { return check.reads[host].Load() > before })
	}
	untilRead("reads at a replica", 0)
	untilRead("reads at the other", 1)
	hosts[0].pauseReplication()
	untilRead("reads beside one that is stuck", 1)
	hosts[1].pauseReplication()
	untilRead("reads at the primary", 2)
	hosts[0].pausedAt.Store(0)
	untilRead("reads at one that has caught up", 0)
	close(stop)
	group.Wait()
	check.faults.Range(func(id, what any) bool {
		t.Errorf("%v: %v", id, what)
		return true
	})
	t.Logf("%d reads were served, %d were not", check.served.Load(), check.unserved.Load())
	if check.served.Load() < 50 {
		t.Errorf("%d reads were served, %d were not", check.served.Load(), check.unserved.Load())
	}
}

// resetWrites has the primary reset the connection on the first attempt of some writes, depending on the prefix of the request's id.
type resetWrites struct {
	mu        sync.Mutex
	attempts  map[string]int // by request id, at the primary
	atReplica int
}

const (
	resetWithinWindow = "soon" // reset within the key's window
	resetAfterWindow  = "late" // reset after it
)

// act decides what a host does with a statement.
func (b *resetWrites) act(host *uncheckedHost, s *sqlcomment.Statement) fake.Act {
	b.mu.Lock()
	if !host.primary.Load() {
		b.atReplica++
		b.mu.Unlock()
		return fake.Miss
	}
	b.attempts[s.ID]++
	first := b.attempts[s.ID] == 1
	b.mu.Unlock()
	switch {
	case first && strings.HasPrefix(s.ID, resetWithinWindow):
		return fake.Reset
	case first && strings.HasPrefix(s.ID, resetAfterWindow):
		time.Sleep(keyWindow + 200*time.Millisecond)
		return fake.Reset
	}
	return fake.Serve
}

// TestUncheckedWrites checks that the primary is found although no endpoint list names it, that a write whose connection was reset is
// retried within its key's window and not after it, that no write runs at a replica, and that a new primary is found once the old one
// rejects writes.
func TestUncheckedWrites(t *testing.T) {
	writes := &resetWrites{attempts: map[string]int{}}
	h, hosts := startUnchecked(t, writes.act)
	client := h.dialClient()
	write := func(id string) (reply fake.Reply, runs int) {
		t.Helper()
		reply, err := client.Ask(fmt.Sprintf("/* id=%s,c=order,d=5000,k=key%s,cluster=0 */ INSERT INTO records (k, v) VALUES ('%s', '\\x01') RETURNING v", id, id, id))
		if err != nil {
			t.Fatal(err)
		}
		for _, host := range hosts {
			runs += host.Ran(id)
		}
		return reply, runs
	}
	for _, c := range []struct {
		id, outcome string
		runs        int
	}{
		{"plain", "served", 1},
		{resetWithinWindow, "served", 2},
		{resetAfterWindow, "failed", 1},
	} {
		if r, runs := write(c.id); r.Outcome != c.outcome || runs != c.runs {
			t.Errorf("write %q got %+v and ran %d times, want %s and %d", c.id, r, runs, c.outcome, c.runs)
		}
	}
	hosts[2].primary.Store(false)
	hosts[0].primary.Store(true)
	n := 0
	h.until("writes at the new primary", func() bool {
		n++
		id := fmt.Sprint("moved", n)
		r, runs := write(id)
		if r.Outcome != "served" && runs > 0 || r.Outcome == "served" && runs != 1 {
			t.Errorf("%s got %+v and ran %d times", id, r, runs)
		}
		return r.Outcome == "served"
	})
	client.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if kind, _, err := pgwire.ReadMessage(client.Conn); err == nil {
		t.Errorf("message %q after the last answer", kind)
	}
	if writes.atReplica == 0 {
		t.Error("no write was sent to a replica, so the search for the primary was not tested")
	}
}
