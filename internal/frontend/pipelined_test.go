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
	"cranegate/internal/pgwire"
	"cranegate/internal/sqlcomment"
)

// answerLate is how much later than a request's time its answer may be written: the core's slack in these tests.
const answerLate = 20 * time.Millisecond

// TestTimeRunsBehindOthers writes requests behind a slow one, in one segment. Their clients wait from then on: one whose turn
// comes with little time left gets its answer in it, one whose time was up is answered at once and not begun, and what is left
// is what hosts are told.
func TestTimeRunsBehindOthers(t *testing.T) {
	for name, connect := range map[string]func(*testing.T, *rig) net.Conn{
		"pipe": func(_ *testing.T, r *rig) net.Conn { return r.connect() },
		"socket": func(t *testing.T, r *rig) net.Conn {
			near, far := loopback(t)
			r.pipes.conns <- far
			return near
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			told := map[string]time.Duration{}
			host := &fake.Host{Primary: true}
			host.Act = func(id, text string, _ bool) fake.Act {
				s, _ := sqlcomment.Parse([]byte(text))
				mu.Lock()
				told[id] = s.Timeout
				mu.Unlock()
				if id == "slow" {
					time.Sleep(300 * time.Millisecond)
				}
				return fake.Serve
			}
			rig := newRig(false, host)
			defer rig.close()
			c, err := fake.DialPostgres(connect(t, rig), "")
			if err != nil {
				t.Fatal(err)
			}
			var out []byte
			ids := []string{"slow", "over", "short", "long"}
			for i, wait := range []int{1000, 200, 700, 1000} {
				out = pgwire.Append(out, 'Q', fmt.Sprintf("/* id=%s,c=look,d=%d,cluster=4 */ SELECT v FROM records WHERE k = '%s'\x00",
					ids[i], wait, ids[i]))
			}
			began := time.Now()
			go c.Write(out)
			for _, want := range []struct {
				outcome string
				after   time.Duration // of the writing, at the earliest
			}{{"served", 300 * time.Millisecond}, {"refused", 300 * time.Millisecond}, {"served", 0}, {"served", 0}} {
				r, err := c.Read()
				if took := time.Since(began); err != nil || r.Outcome != want.outcome || took < want.after {
					t.Errorf("%+v, %v after %v, want %+v", r, err, took, want)
				}
			}
			if host.Ran("over") > 0 {
				t.Error("one whose client had gone by its time was begun")
			}
			if mu.Lock(); told["short"] > 400*time.Millisecond || told["short"] <= 0 || told["long"] > 700*time.Millisecond {
				t.Errorf("hosts were told %v", told)
			}
			mu.Unlock()
		})
	}
}

// piped is a request that is written ahead of the answers before it.
type piped struct {
	After time.Duration // since the one before was written
	Wait  time.Duration
	Class string
	Acts  []fake.Act
	Takes time.Duration // that its host works on it
	Cut   int           // it is written in pieces of so many bytes, and the writer rests between them
	Rest  time.Duration
	Form  string // what stands before it: nothing, an empty query, a faulty one or an extended query
}

var pipedRequests = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) piped {
	ms := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
	}
	return piped{After: ms("after", 0, 60), Wait: ms("wait", 20, 1000),
		Class: rapid.SampledFrom([]string{"look", "look", "put"}).Draw(t, "class"),
		Acts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fake.Act {
			return fake.Act(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 4, 5, 6}).Draw(t, "act"))
		}), 1, 3).Draw(t, "acts"),
		Takes: ms("takes", 0, 250), Cut: rapid.IntRange(1, 400).Draw(t, "cut"), Rest: ms("rest", 0, 3),
		Form: rapid.SampledFrom([]string{"", "", "", "empty", "faulty", "extended"}).Draw(t, "form")}
}), 1, 14)

// TestPipelinedRequests writes random requests ahead of their answers, in pieces and with other messages between them, before
// hosts that do anything, and judges as a client does. As many answers come as are owed, in order, each made for its request;
// one whose turn comes in its time is answered by the end of it, one whose turn comes later at once; none is begun at a host
// after its time, no host is told more than is left, and no write runs twice.
func TestPipelinedRequests(t *testing.T) {
	check(t, pipedRequests, playPiped)
}

func playPiped(plan []piped) (err error) {
	var mu sync.Mutex
	written := make([]time.Time, len(plan))
	var fault error
	calls := map[string]int{}
	rig := newRig(false, &fake.Host{Primary: true}, &fake.Host{}, &fake.Host{})
	for _, h := range rig.hosts {
		h.Act = func(id, text string, _ bool) fake.Act {
			var i int
			fmt.Sscanf(id, "q%d", &i)
			s, e := sqlcomment.Parse([]byte(text))
			mu.Lock()
			left := time.Until(written[i].Add(plan[i].Wait))
			if e != nil || left < 0 || s.Timeout > left+time.Millisecond {
				fault = cmp.Or(fault, fmt.Errorf("%s is told %v with %v left, %v", id, s.Timeout, left, e))
			}
			calls[id]++
			act := plan[i].Acts[min(calls[id], len(plan[i].Acts))-1]
			mu.Unlock()
			time.Sleep(plan[i].Takes)
			return act
		}
	}
	defer func() { err = cmp.Or(err, rig.close()) }()
	c, err := fake.DialPostgres(rig.connect(), "")
	if err != nil {
		return err
	}
	defer c.Close()
	go func() {
		for i, p := range plan {
			time.Sleep(p.After)
			var out []byte
			switch p.Form {
			case "empty":
				out = pgwire.Append(out, 'Q', " ;\x00")
			case "faulty":
				out = pgwire.Append(out, 'Q', "SELECT 1\x00")
			case "extended":
				out = pgwire.Append(pgwire.Append(out, 'P', "\x00SELECT 1\x00\x00\x00"), 'S')
			}
			id := fmt.Sprint("q", i)
			out = pgwire.Append(out, 'Q', fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=4 */ %s'%s'\x00", id, p.Class,
				p.Wait.Milliseconds(), verbs[p.Class], id))
			mu.Lock()
			written[i] = time.Now().Add(p.Rest * time.Duration(len(out)/p.Cut)) // when its last piece will be, at the latest
			mu.Unlock()
			for part := range chunks(out, p.Cut) {
				if _, err := c.Write(part); err != nil {
					return
				}
				time.Sleep(p.Rest)
			}
		}
	}()
	for i, p := range plan {
		if p.Form != "" {
			if r, err := c.Read(); err != nil || p.Form == "empty" && r.Outcome != "empty" || p.Form != "empty" && r.Outcome != "failed" {
				return fmt.Errorf("before q%d: %+v, %v", i, r, err)
			}
		}
		turn := time.Now()
		r, err := c.Read()
		now := time.Now()
		mu.Lock()
		over := written[i].Add(p.Wait)
		if turn.After(over) {
			over = turn
		}
		if written[i].After(over) {
			over = written[i]
		}
		id := fmt.Sprint("q", i)
		mu.Unlock()
		ran := 0
		for _, h := range rig.hosts {
			ran += h.Ran(id)
		}
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", id, err)
		case now.After(over.Add(answerLate)):
			return fmt.Errorf("%s (%+v) answered %v after its time", id, p, now.Sub(over))
		case !strings.Contains("served refused failed", r.Outcome), r.Outcome == "served" && ran == 0,
			r.Outcome == "served" && p.Class == "look" && r.Value != "value of "+id,
			r.Outcome == "refused" && p.Class == "put" && ran > 0, p.Class == "put" && ran > 1:
			return fmt.Errorf("%s got %+v, ran %d times", id, r, ran)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return fault
}
