package processtest

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegate/internal/fake"
)

// asked is one request of a client with what came of it.
type asked struct {
	began   time.Time
	dialled time.Time // when its connection was begun
	write   bool
	unheard bool // its connection ended with no byte of an answer
	outcome string
	took    time.Duration // till its answer
}

// load is clients that ask again and again.
type load struct {
	r       *rig
	clients int
	stop    chan struct{}
	group   sync.WaitGroup
	once    sync.Once

	mu     sync.Mutex
	asked  map[string]*asked
	served []int // by client
	out    []out
	faults []string
}

// out is a host that may get nothing for a time.
type out struct {
	h           *host
	since, till time.Time // zero till: to the end
}

const leastWait = 350 * time.Millisecond // what a request has at least before its time is over, also as a process ends

const inFlight = time.Second // a host may read so late what was sent before; on loopback it takes far less

// unhurried gives all classes time that no busy machine uses up, where each request has to be served: one whose time is over
// is refused with right. The statements have to be unhurried too.
func unhurried(settings map[string]any) {
	for _, c := range settings["classes"].([]any) {
		c := c.(map[string]any)
		c["aimS"], c["deadlineS"] = patience.Seconds()/4, patience.Seconds()/4
	}
}

func unhurriedStatement(id string, group int, write bool) string {
	return strings.Replace(statement(id, group, write), "d=2000", fmt.Sprint("d=", (patience/4).Milliseconds()), 1)
}

func statement(id string, group int, write bool) string {
	if write {
		return fmt.Sprintf("/* id=%s,c=zusage,d=2000,cluster=%d */ INSERT INTO records (k) VALUES ('%s')", id, group, id)
	}
	return fmt.Sprintf("/* id=%s,c=platzsuche,d=2000,cluster=%d */ SELECT v FROM records WHERE k = '%s'", id, group, id)
}

// newLoad starts clients; the pause follows each answer.
func (r *rig) newLoad(clients int, pause time.Duration) *load {
	l := &load{r: r, clients: clients, stop: make(chan struct{}), asked: map[string]*asked{}, served: make([]int, clients)}
	for i := range clients {
		l.group.Go(func() { l.client(i, pause+time.Duration(i)*pause/time.Duration(clients)) })
	}
	r.t.Cleanup(l.end)
	return l
}

func (l *load) end() { l.once.Do(func() { close(l.stop) }); l.group.Wait() }

func (l *load) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) < 20 {
		l.faults = append(l.faults, fmt.Sprintf(format, args...))
	}
}

// dial starts up a connection with the gateway.
func (r *rig) dial() (*fake.PostgresClient, error) {
	raw, err := net.Dial("tcp", r.passed.Addr().String())
	if err != nil {
		return nil, err
	}
	raw.SetDeadline(time.Now().Add(patience))
	c, err := fake.DialPostgres(raw, "")
	if err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

// client asks until the end. What was turned back is asked again under a new id, as it may have run.
func (l *load) client(i int, pause time.Duration) {
	var c *fake.PostgresClient
	var dialled time.Time
	drop := func() {
		if c != nil {
			c.Close()
		}
		c = nil
	}
	defer drop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		if c != nil && !c.Alive() { // closed between requests: none was turned back
			drop()
		}
		id := fmt.Sprintf("c%d-%d", i, n)
		a := &asked{write: n%3 == 0, dialled: dialled}
		var err error
		if c == nil {
			dialled = time.Now()
			a.dialled, a.began = dialled, dialled
			c, err = l.r.dial()
			if took := time.Since(dialled); took > patience/2 {
				l.fault("%s: connecting took %v", id, took)
			}
			if err != nil {
				a.unheard = true
				l.keep(id, a)
				continue
			}
		}
		c.Conn.Conn.SetDeadline(time.Now().Add(patience))
		a.began = time.Now()
		l.keep(id, a)
		reply, err := c.Ask(statement(id, (i+n)%groups, a.write))
		if err == nil && c.Buffered() > 0 {
			l.fault("%s: something follows its answer", id)
		}
		if err == nil && reply.Outcome == "served" && reply.Value != "value of "+id {
			l.fault("%s: it has the answer %q", id, reply.Value)
		}
		if took := time.Since(a.began); took > patience/2 {
			l.fault("%s: it took %v", id, took)
		}
		l.mu.Lock()
		a.took = time.Since(a.began)
		switch {
		case err == nil:
			a.outcome = reply.Outcome
		case reply == (fake.Reply{}):
			a.unheard = true
		default:
			a.outcome = "cut"
		}
		if a.outcome == "served" {
			l.served[i]++
		}
		l.mu.Unlock()
		if err != nil {
			drop()
		}
	}
}

func (l *load) keep(id string, a *asked) { l.mu.Lock(); defer l.mu.Unlock(); l.asked[id] = a }

// goesOn waits until each client has been served some requests more.
func (l *load) goesOn() {
	l.r.t.Helper()
	l.mu.Lock()
	from := append([]int(nil), l.served...)
	l.mu.Unlock()
	l.r.until("all clients are served", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, n := range l.served {
			if n < from[i]+3 {
				return false
			}
		}
		return true
	})
}

// unheard counts requests that were turned back, on connections begun from a time on.
func (l *load) unheard(from time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.asked {
		if a.unheard && !a.dialled.Before(from) {
			n++
		}
	}
	return n
}

// isOut has a host judged as out from now on, and the call ends that.
func (l *load) isOut(h *host) (back func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = append(l.out, out{h: h, since: time.Now()})
	n := len(l.out) - 1
	return func() { l.mu.Lock(); defer l.mu.Unlock(); l.out[n].till = time.Now() }
}

// sentTo counts the requests that a host got while it was out: those that came to the gateway after the yes, and all that
// the host got so much later that they can't have been on their way.
func (l *load) sentTo(o out) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range o.h.arrivals() {
		if !o.till.IsZero() && x.at.After(o.till) {
			continue
		}
		if a := l.asked[x.id]; a != nil && a.began.After(o.since) || x.at.After(o.since.Add(inFlight)) {
			n++
		}
	}
	return n
}

// judge ends the load and says what may never have happened; turned back is what may be at most. It returns how many were.
func (l *load) judge(t *testing.T, most int) int {
	t.Helper()
	l.end()
	runs := map[string]int{}
	for _, h := range l.r.hosts {
		for id := range l.asked {
			runs[id] += h.Ran(id)
		}
	}
	sums := map[string]int{}
	unheard := 0
	for id, a := range l.asked {
		sums[a.outcome]++
		if a.unheard {
			unheard++
		}
		switch n := runs[id]; {
		case a.write && n > 1:
			t.Errorf("write %s ran %d times", id, n)
		case a.write && a.outcome == "served" && n != 1:
			t.Errorf("write %s was answered with yes, and ran %d times", id, n)
		case a.outcome == "refused" && n > 0 && (a.write || a.took < leastWait): // a read whose time is over may be tried again
			t.Errorf("%s was refused, and ran %d times", id, n)
		case a.outcome == "cut":
			t.Errorf("%s: its answer was cut off", id)
		case a.outcome == "" && !a.unheard:
			t.Errorf("%s: lost", id)
		}
	}
	for _, o := range l.out {
		if n := l.sentTo(o); n > 0 {
			t.Errorf("%d requests went to %s while it was out", n, o.h.uid)
		}
	}
	for _, f := range l.faults {
		t.Error(f)
	}
	if unheard > most {
		t.Errorf("%d requests were turned back, %d may be", unheard, most)
	}
	if all := len(l.asked); sums["served"] < all*9/10 {
		t.Errorf("served: %d of %d", sums["served"], all)
	}
	t.Logf("%d requests: %v, %d turned back", len(l.asked), sums, unheard)
	return unheard
}
