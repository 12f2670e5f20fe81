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

// Settings of the tests, and how much later than it was sent a busy machine may deliver a statement to its host.
const (
	stalenessBound = 500 * time.Millisecond
	keyWindow      = time.Second
	deliveryDelay  = time.Second
)

// uncheckedHost is a member of a group whose hosts check the freshness of no read: it answers from what it has, and tells its position
// in load reports alone.
type uncheckedHost struct {
	fake.Host
	primary atomic.Bool
	stuckAt atomic.Int64 // applied up to this, in Unix ms; 0: all
}

func (h *uncheckedHost) position() int64 {
	if at := h.stuckAt.Load(); at > 0 {
		return at
	}
	return time.Now().UnixMilli()
}

// stick has the host apply no more, and returns once what it has is older than any bound.
func (h *uncheckedHost) stick() {
	h.stuckAt.Store(time.Now().UnixMilli())
	time.Sleep(stalenessBound + deliveryDelay)
}

// startUnchecked starts the program as a deployment would whose endpoint list shows no roles, whose hosts check no read and tell positions
// in load reports alone, and whose writes carry an idempotency key that is good for keyWindow. The last of its three hosts is the primary.
// act decides what each statement meets at its host.
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

// setUnchecked sets classes and a domain whose hosts check no read.
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

// freshnessCheck judges the reads that hosts get.
type freshnessCheck struct {
	hosts      []*uncheckedHost
	hostsKnown sync.WaitGroup  // done once hosts is set
	reads      [3]atomic.Int64 // of the classes with a need of freshness, by host
	faults     sync.Map        // by request id
	served     atomic.Int64
	unserved   atomic.Int64
}

// act is the hosts' behaviour.
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
		if class == "session" { // written just now
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

// TestUncheckedReadsAreFresh has one host stop applying, and later another. No bounded read reaches a host whose data is older than
// its bound, and no session read one that lacks the position that it needs; reads of any age go on there, and a host that has caught up is
// read again. Every request gets one answer.
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
	hosts[0].stick()
	untilRead("reads beside one that is stuck", 1)
	hosts[1].stick()
	untilRead("reads at the primary", 2)
	hosts[0].stuckAt.Store(0)
	untilRead("reads at one that has caught up", 0)
	close(stop)
	group.Wait()
	check.faults.Range(func(id, what any) bool {
		t.Errorf("%v: %v", id, what)
		return true
	})
	t.Logf("%d served, %d others", check.served.Load(), check.unserved.Load())
	if check.served.Load() < 50 {
		t.Errorf("%d reads were served, %d were not", check.served.Load(), check.unserved.Load())
	}
}

// brokenWrites has hosts reset the connection on the first attempt of some writes, depending on the beginning of the request's id.
type brokenWrites struct {
	mu        sync.Mutex
	attempts  map[string]int // by request id, at the primary
	atReplica int
}

const (
	brokenSoon = "soon" // within the key's window
	brokenLate = "late" // past it
)

// act is the hosts' behaviour.
func (b *brokenWrites) act(host *uncheckedHost, s *sqlcomment.Statement) fake.Act {
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
	case first && strings.HasPrefix(s.ID, brokenSoon):
		return fake.Reset
	case first && strings.HasPrefix(s.ID, brokenLate):
		time.Sleep(keyWindow + 200*time.Millisecond)
		return fake.Reset
	}
	return fake.Serve
}

// TestUncheckedWrites: the primary is found though no endpoint list names it; a write that broke is retried inside its key's window and
// not past it; no write runs at a replica; a new primary is found as the old one rejects writes.
func TestUncheckedWrites(t *testing.T) {
	broken := &brokenWrites{attempts: map[string]int{}}
	h, hosts := startUnchecked(t, broken.act)
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
		{brokenSoon, "served", 2},
		{brokenLate, "failed", 1},
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
		t.Errorf("message %q behind the last answer", kind)
	}
	if broken.atReplica == 0 {
		t.Error("no write met a replica: the search for a primary was not tried")
	}
}
