package main

import (
	"fmt"
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

// What the settings of unchecked say, and how much later than it was sent a busy machine may hand a statement to its host.
const (
	uncheckedBound  = 500 * time.Millisecond
	uncheckedWindow = time.Second
	handedLate      = time.Second
)

// copyHost is a member of a group whose hosts check no read: it answers from what it has, and tells its position in reports alone.
type copyHost struct {
	fake.Host
	primary atomic.Bool
	stuck   atomic.Int64 // applied up to this, in Unix ms; 0: all
}

func (h *copyHost) position() int64 {
	if at := h.stuck.Load(); at > 0 {
		return at
	}
	return time.Now().UnixMilli()
}

// unchecked starts the program as a deployment would whose list shows no roles, whose hosts check no read and tell positions in
// reports alone, and whose writes carry a key that is good for a second. The last of its three hosts is the primary. What each
// statement meets at its host is judged by the test.
func unchecked(t *testing.T, meets func(h *copyHost, s *sqlcomment.Statement) fake.Act) (*world, []*copyHost) {
	w := start(t, nil)
	var hosts []*copyHost
	w.targets = nil
	for i := range 3 {
		h := &copyHost{}
		h.primary.Store(i == 2)
		h.Reports = true
		h.Tell = func(bool) (bool, int64) { return h.primary.Load(), h.position() }
		h.Act = func(_, text string, _ bool) fake.Act {
			s, err := sqlcomment.Parse([]byte(text))
			if err != nil {
				return fake.InvalidStatement
			}
			return meets(h, s)
		}
		l := listen(t)
		go fake.Accept(l, h.ServePostgres)
		hosts = append(hosts, h)
		w.targets = append(w.targets, discovery.Target{UID: fmt.Sprint("box-", i), Endpoint: l.Addr().String(), State: "SERVING", Capacity: 1})
	}
	w.discovery.Set(w.targets)
	class := func(name string, deadline, late float64, repeat string) map[string]any {
		return map[string]any{"name": name, "aimS": deadline / 2, "deadlineS": deadline, "points": 1, "lateWorth": late, "repeat": repeat}
	}
	keyed := class("order", 5, 0.5, "by_key")
	keyed["keyScope"], keyed["keyTtlS"] = "cell", uncheckedWindow.Seconds()
	w.again(func(config map[string]any) {
		delete(config, "admin")
		config["known"] = discovery.Snapshot{Rev: 0, All: true, Targets: w.targets}
		settings := config["settings"].(map[string]any)
		settings["discovery"] = "subscribe"
		settings["classes"] = []any{class("bounded", 3, 0.2, "repeatable"), class("session", 3, 0, "repeatable"),
			class("any", 3, 0.2, "repeatable"), keyed}
		settings["domain"] = map[string]any{"needsByClass": []string{"bounded", "session", "any", "write"},
			"classBoundS": []float64{uncheckedBound.Seconds(), 0, 0, 0}, "guards": "none", "positions": false, "roleInList": "none",
			"writeMarks": "carried"}
		settings["loadInfo"] = map[string]any{"source": "answers", "columns": []string{"x0", "x1", "inflight", "queue"}}
		settings["policyLimits"].(map[string]any)["retryAfter"] = false
		rules := settings["rules"].(map[string]any)
		rules["askWithinS"] = 6
	})
	w.serving()
	return w, hosts
}

// TestUncheckedReadsAreFresh has one host stop applying, and later another. No bounded read meets a host whose data is older than
// its bound, and no session read one that lacks what it has to see; reads of any age go on there, and what has caught up is read
// again. Every request gets one answer.
func TestUncheckedReadsAreFresh(t *testing.T) {
	var met [3]atomic.Int64 // reads of any but the last kind at each host
	var faults sync.Map
	var hosts []*copyHost
	var known sync.WaitGroup // hosts are known
	known.Add(1)
	w, made := unchecked(t, func(h *copyHost, s *sqlcomment.Statement) fake.Act {
		known.Wait()
		at := time.Now()
		for i, x := range hosts {
			if x != h {
				continue
			}
			if s.Class != "any" {
				met[i].Add(1)
			}
			old := at.Sub(time.UnixMilli(h.position()))
			if s.Class == "bounded" && old > uncheckedBound+handedLate || s.Class == "session" && s.MinPosition > 0 && h.position() < s.MinPosition {
				faults.Store(s.ID, fmt.Sprintf("%s at box-%d, %v old, wanted %d", s.Class, i, old, s.MinPosition))
			}
		}
		return fake.Serve
	})
	hosts = made
	known.Done()
	stop := make(chan struct{})
	var group sync.WaitGroup
	var served, others atomic.Int64
	for i, class := range []string{"bounded", "session", "any"} {
		p, err := fake.DialPostgres(w.dial(w.pg), "")
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
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
				p.SetDeadline(time.Now().Add(patience))
				r, err := p.Ask(fmt.Sprintf("/* id=%d-%d,c=%s,d=3000,cluster=0%s */ SELECT v FROM records WHERE k = 'k%d'", i, n, class, after, n))
				if err != nil {
					faults.Store(fmt.Sprint(i, "-", n), err.Error())
					return
				}
				if r.Outcome == "served" {
					served.Add(1)
				} else {
					others.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	meets := func(what string, i int) {
		t.Helper()
		before := met[i].Load()
		w.until(what, func() bool { return met[i].Load() > before })
	}
	meets("reads at a replica", 0)
	meets("reads at the other", 1)
	hosts[0].stuck.Store(time.Now().UnixMilli())
	time.Sleep(uncheckedBound + handedLate)
	meets("reads beside one that is stuck", 1)
	hosts[1].stuck.Store(time.Now().UnixMilli())
	time.Sleep(uncheckedBound + handedLate)
	meets("reads at the primary", 2)
	hosts[0].stuck.Store(0)
	meets("reads at one that has caught up", 0)
	close(stop)
	group.Wait()
	faults.Range(func(id, what any) bool { t.Errorf("%v: %v", id, what); return true })
	t.Logf("%d served, %d others", served.Load(), others.Load())
	if served.Load() < 50 {
		t.Errorf("%d reads were served, %d were not", served.Load(), others.Load())
	}
}

// TestUncheckedWrites: the primary is found though no list names it; a write that broke is sent again inside its key's window and
// not past it; no write runs at a replica; a new primary is found as the old one turns writes away.
func TestUncheckedWrites(t *testing.T) {
	var mu sync.Mutex
	calls, replicas := map[string]int{}, 0
	w, hosts := unchecked(t, func(h *copyHost, s *sqlcomment.Statement) fake.Act {
		mu.Lock()
		if !h.primary.Load() {
			replicas++
			mu.Unlock()
			return fake.Miss
		}
		calls[s.ID]++
		first := calls[s.ID] == 1
		mu.Unlock()
		switch {
		case first && strings.HasPrefix(s.ID, "soon"):
			return fake.Reset
		case first && strings.HasPrefix(s.ID, "late"):
			time.Sleep(uncheckedWindow + 200*time.Millisecond)
			return fake.Reset
		}
		return fake.Serve
	})
	p, err := fake.DialPostgres(w.dial(w.pg), "")
	if err != nil {
		t.Fatal(err)
	}
	write := func(id string) fake.Reply {
		t.Helper()
		r, err := p.Ask(fmt.Sprintf("/* id=%s,c=order,d=5000,k=key%s,cluster=0 */ INSERT INTO records (k, v) VALUES ('%s', '\\x01') RETURNING v", id, id, id))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	ran := func(id string) (n int) {
		for _, h := range hosts {
			n += h.Ran(id)
		}
		return n
	}
	if r := write("plain"); r.Outcome != "served" || ran("plain") != 1 {
		t.Errorf("a write got %+v and ran %d times", r, ran("plain"))
	}
	if r := write("soon"); r.Outcome != "served" || ran("soon") != 2 {
		t.Errorf("a write that broke inside its window got %+v and ran %d times", r, ran("soon"))
	}
	if r := write("late"); r.Outcome != "failed" || ran("late") != 1 {
		t.Errorf("a write that broke past its window got %+v and ran %d times", r, ran("late"))
	}
	hosts[2].primary.Store(false)
	hosts[0].primary.Store(true)
	n := 0
	w.until("writes at the new primary", func() bool {
		n++
		id := fmt.Sprint("moved", n)
		r := write(id)
		if r.Outcome != "served" && ran(id) > 0 || r.Outcome == "served" && ran(id) != 1 {
			t.Errorf("%s got %+v and ran %d times", id, r, ran(id))
		}
		return r.Outcome == "served"
	})
	p.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if kind, _, err := pgwire.ReadMessage(p.Conn); err == nil {
		t.Errorf("message %q behind the last answer", kind)
	}
	if replicas == 0 {
		t.Error("no write met a replica: the search for a primary was not tried")
	}
}
