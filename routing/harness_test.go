package routing

import (
	"fmt"
	"testing"
	"time"

	"cranegate/internal/zones"
)

const ms = time.Millisecond

// sent is one attempt that the module asked for.
type sentAttempt struct {
	request   uint64
	member    string
	abandonAt time.Duration
	startBy   time.Duration
}

// recorder is a gateway that writes down what it is asked.
type recorder struct {
	sends                    []sentAttempt
	rejected, failed         map[uint64]int
	retryAfter               time.Duration
	reason                   Reason
	cancels                  []string
	healthChecks, closedIdle []string
	subscriptions            int
	timers                   int
	zones                    []zones.Change
}

func (r *recorder) Send(id uint64, m string, at, by time.Duration) {
	r.sends = append(r.sends, sentAttempt{id, m, at, by})
}
func (r *recorder) Cancel(id uint64, n int) { r.cancels = append(r.cancels, fmt.Sprint(id, "/", n)) }
func (r *recorder) Reject(id uint64, comeBack time.Duration, why Reason) {
	r.rejected[id]++
	r.retryAfter, r.reason = comeBack, why
}
func (r *recorder) Fail(id uint64, why Reason)                { r.failed[id]++; r.reason = why }
func (r *recorder) CloseIdle(m string)                        { r.closedIdle = append(r.closedIdle, m) }
func (r *recorder) CheckHealth(m string, by ConnPolicy)       { r.healthChecks = append(r.healthChecks, m) }
func (r *recorder) SetTimer(after time.Duration, name string) { r.timers++ }
func (r *recorder) Subscribe(on bool)                         { r.subscriptions++ }
func (r *recorder) FetchEndpoints()                           {}
func (r *recorder) ZoneChanged(change zones.Change)           { r.zones = append(r.zones, change) }
func (r *recorder) Log(string)                                {}

// Classes of the test configuration.
const (
	anyRead = iota
	boundedRead
	sessionRead
	strongRead
	nonIdempotentWrite
	idempotentWrite
)

func testConfig() Config {
	read := Class{LatencyObjective: 400 * ms, Deadline: time.Second, PriorityWeight: 1}
	cfg := Config{Gateways: 2, StaleReads: StaleReadRejected, Positions: true, RoleSource: RoleSourceDelayed, AllowCancel: true,
		AllowHedging: true, AllowHealthChecks: true, MaxAttempts: 10, MaxRetryAfter: time.Second,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second}
	for need := ConsistencyAny; need <= ConsistencyStrong; need++ {
		class := read
		class.Name, class.Consistency = fmt.Sprint("read", need), need
		cfg.Classes = append(cfg.Classes, class)
	}
	cfg.Classes[boundedRead].StalenessBound = 200 * ms
	write := Class{Name: "once", Consistency: ConsistencyWrite, LatencyObjective: 400 * ms, Deadline: 3 * time.Second, PriorityWeight: 4, LateShare: 0.5,
		Effect: NonIdempotent}
	keyed := write
	keyed.Name, keyed.Effect, keyed.IdempotencyTTL = "keyed", IdempotentByKey, 2*time.Second
	cfg.Classes = append(cfg.Classes, write, keyed)
	return cfg
}

// rig drives a router by hand.
type harness struct {
	*testing.T
	*recorder
	router        *Router
	now           time.Duration
	lastRequest   uint64
	attemptsEnded map[uint64]int // attempts of each request
}

func newHarness(t *testing.T, cfg Config, endpoints ...Endpoint) *harness {
	t.Helper()
	h := &harness{T: t, now: 100 * time.Second, attemptsEnded: map[uint64]int{},
		recorder: &recorder{rejected: map[uint64]int{}, failed: map[uint64]int{}}}
	router, err := New(h.now, cfg, 7, h.recorder)
	if err != nil {
		t.Fatal(err)
	}
	h.router = router
	if endpoints == nil {
		endpoints = []Endpoint{{Member: "a", Group: 1, Primary: true, Capacity: 1}, {Member: "b", Group: 1, Capacity: 1},
			{Member: "c", Group: 1, Capacity: 1}}
	}
	router.UpdateEndpoints(h.now, EndpointList{Kind: EndpointListStale, Endpoints: endpoints})
	return h
}

// pass lets time go by in sweeps.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 10 * ms
		h.router.Timer(h.now, "sweep")
	}
}

// ask brings a request and returns its id.
func (h *harness) request(class int, change ...func(*Request)) uint64 {
	h.lastRequest++
	req := Request{ID: h.lastRequest, Class: class, Tenant: -1, Remaining: h.router.cfg.Classes[class].Deadline, Group: 1}
	for _, f := range change {
		f(&req)
	}
	h.router.Request(h.now, req)
	return h.lastRequest
}

// to lists where the attempts of a request went.
func (h *harness) membersTried(id uint64) (out []string) {
	for _, sent := range h.sends {
		if sent.request == id {
			out = append(out, sent.member)
		}
	}
	return out
}

// answer ends the latest attempt of a request.
func (h *harness) endAttempt(id uint64, result Result, role Role, position int64) {
	h.Helper()
	to := h.membersTried(id)
	if len(to) == 0 {
		h.Fatalf("request %d was not sent", id)
	}
	h.router.Outcome(h.now, Outcome{Request: id, Attempt: len(to) - 1, Member: to[len(to)-1], Result: result,
		Latency: ms, Closed: result == ResultOK, Role: role, Position: position})
}

// at is the position of the present, less a lag.
func (h *harness) position(lag time.Duration) int64 { return int64((h.now - lag) / ms) }

// told lets every member tell its role and position by a probe.
func (h *harness) reportAll(primary string, lag time.Duration) {
	for _, member := range h.router.sortedMembers {
		report := Report{HasPosition: true, Position: h.position(lag), Role: RoleReplica}
		if member.id == primary {
			report.Role, report.Position = RolePrimary, h.position(0)
		}
		h.router.HealthChecked(h.now, HealthCheckResult{Member: member.id, Result: ResultOK, Report: report})
	}
}

func (h *harness) want(what string, got, want any) {
	h.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// expectedLatencyOf is a class's learned round trip.
func (router *Router) expectedLatencyOf(class int) *time.Duration {
	return &router.expectedLatency[class]
}
