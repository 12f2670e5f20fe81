package routing

import (
	"fmt"
	"testing"
	"time"

	"cranegate/internal/zones"
)

const ms = time.Millisecond

// sent is one attempt that the module asked for.
type sent struct {
	request   uint64
	member    string
	abandonAt time.Duration
	beginBy   time.Duration
}

// recorder is a gateway that writes down what it is asked.
type recorder struct {
	sends           []sent
	refused, failed map[uint64]int
	advice          time.Duration
	why             Reason
	cancels         []string
	probes, closes  []string
	subscribed      int
	timers          int
	zones           []zones.Change
}

func (g *recorder) Send(q uint64, m string, at, by time.Duration) {
	g.sends = append(g.sends, sent{q, m, at, by})
}
func (g *recorder) Cancel(q uint64, n int) { g.cancels = append(g.cancels, fmt.Sprint(q, "/", n)) }
func (g *recorder) Reject(q uint64, comeBack time.Duration, why Reason) {
	g.refused[q]++
	g.advice, g.why = comeBack, why
}
func (g *recorder) Fail(q uint64, why Reason)                 { g.failed[q]++; g.why = why }
func (g *recorder) CloseIdle(m string)                        { g.closes = append(g.closes, m) }
func (g *recorder) CheckHealth(m string, by ConnPolicy)       { g.probes = append(g.probes, m) }
func (g *recorder) SetTimer(after time.Duration, name string) { g.timers++ }
func (g *recorder) Subscribe(on bool)                         { g.subscribed++ }
func (g *recorder) FetchEndpoints()                           {}
func (g *recorder) ZoneChanged(c zones.Change)                { g.zones = append(g.zones, c) }
func (g *recorder) Log(string)                                {}

// Classes of the test configuration.
const (
	anyRead = iota
	boundedRead
	sessionRead
	freshRead
	onceWrite
	keyedWrite
)

func config() Config {
	read := Class{LatencyObjective: 400 * ms, Deadline: time.Second, PriorityWeight: 1}
	c := Config{Gateways: 2, StaleReads: StaleReadRejected, Positions: true, RoleSource: RoleSourceDelayed, AllowCancel: true,
		AllowHedging: true, AllowHealthChecks: true, MaxAttempts: 10, MaxRetryAfter: time.Second,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second}
	for need := ConsistencyAny; need <= ConsistencyStrong; need++ {
		k := read
		k.Name, k.Consistency = fmt.Sprint("read", need), need
		c.Classes = append(c.Classes, k)
	}
	c.Classes[boundedRead].StalenessBound = 200 * ms
	write := Class{Name: "once", Consistency: ConsistencyWrite, LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 4, LateShare: 0.5,
		Effect: NonIdempotent}
	keyed := write
	keyed.Name, keyed.Effect, keyed.IdempotencyTTL = "keyed", IdempotentByKey, 2*time.Second
	c.Classes = append(c.Classes, write, keyed)
	return c
}

// rig drives a router by hand.
type rig struct {
	*testing.T
	*recorder
	r    *Router
	now  time.Duration
	next uint64
	made map[uint64]int // attempts of each request
}

func newRig(t *testing.T, c Config, entries ...Endpoint) *rig {
	t.Helper()
	b := &rig{T: t, now: 100 * time.Second, made: map[uint64]int{},
		recorder: &recorder{refused: map[uint64]int{}, failed: map[uint64]int{}}}
	r, err := New(b.now, c, 7, b.recorder)
	if err != nil {
		t.Fatal(err)
	}
	b.r = r
	if entries == nil {
		entries = []Endpoint{{Member: "a", Group: 1, Primary: true, Capacity: 1}, {Member: "b", Group: 1, Capacity: 1},
			{Member: "c", Group: 1, Capacity: 1}}
	}
	r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListStale, Endpoints: entries})
	return b
}

// pass lets time go by in sweeps.
func (b *rig) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 10 * ms
		b.r.Timer(b.now, "sweep")
	}
}

// ask brings a request and returns its id.
func (b *rig) ask(class int, change ...func(*Request)) uint64 {
	b.next++
	q := Request{ID: b.next, Class: class, Tenant: -1, Remaining: b.r.cfg.Classes[class].Deadline, Group: 1}
	for _, f := range change {
		f(&q)
	}
	b.r.Request(b.now, q)
	return b.next
}

// to lists where the attempts of a request went.
func (b *rig) to(q uint64) (out []string) {
	for _, s := range b.sends {
		if s.request == q {
			out = append(out, s.member)
		}
	}
	return out
}

// answer ends the latest attempt of a request.
func (b *rig) answer(q uint64, result Result, role Role, position int64) {
	b.Helper()
	to := b.to(q)
	if len(to) == 0 {
		b.Fatalf("request %d was not sent", q)
	}
	b.r.Outcome(b.now, Outcome{Request: q, Attempt: len(to) - 1, Member: to[len(to)-1], Result: result,
		Latency: ms, Closed: result == ResultOK, Role: role, Position: position})
}

// at is the position of the present, less a lag.
func (b *rig) at(lag time.Duration) int64 { return int64((b.now - lag) / ms) }

// told lets every member tell its role and position by a probe.
func (b *rig) told(primary string, lag time.Duration) {
	for _, m := range b.r.sortedMembers {
		p := Report{HasPosition: true, Position: b.at(lag), Role: RoleReplica}
		if m.id == primary {
			p.Role, p.Position = RolePrimary, b.at(0)
		}
		b.r.HealthChecked(b.now, HealthCheckResult{Member: m.id, Result: ResultOK, Report: p})
	}
}

func (b *rig) want(what string, got, want any) {
	b.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// requestUsual is a class's learned round trip.
func (r *Router) requestUsual(class int) *time.Duration { return &r.expectedLatency[class] }
