package routing

import (
	"fmt"
	"testing"
	"time"

	"cranegate/internal/zones"
)

const ms = time.Millisecond

// sentAttempt is one call of Gateway.Send.
type sentAttempt struct {
	request   uint64
	member    string
	abandonAt time.Duration
	startBy   time.Duration
}

// recorder is a Gateway that records its calls.
type recorder struct {
	sends         []sentAttempt
	rejected      map[uint64]int // by request
	failed        map[uint64]int // by request
	retryAfter    time.Duration  // of the last rejection
	reason        Reason         // of the last rejection or failure
	cancels       []string       // request/attempt
	healthChecks  []string       // members
	closedIdle    []string       // members
	subscriptions int
	timers        int
	zones         []zones.Change
}

func (r *recorder) Send(request uint64, member string, abandonAt, startBy time.Duration) {
	r.sends = append(r.sends, sentAttempt{request, member, abandonAt, startBy})
}

func (r *recorder) Cancel(request uint64, attempt int) {
	r.cancels = append(r.cancels, fmt.Sprint(request, "/", attempt))
}

func (r *recorder) Reject(request uint64, retryAfter time.Duration, reason Reason) {
	r.rejected[request]++
	r.retryAfter = retryAfter
	r.reason = reason
}

func (r *recorder) Fail(request uint64, reason Reason) {
	r.failed[request]++
	r.reason = reason
}

func (r *recorder) CloseIdle(member string) { r.closedIdle = append(r.closedIdle, member) }

func (r *recorder) CheckHealth(member string, _ ConnPolicy) {
	r.healthChecks = append(r.healthChecks, member)
}

func (r *recorder) ZoneChanged(change zones.Change) { r.zones = append(r.zones, change) }
func (r *recorder) SetTimer(time.Duration, string)  { r.timers++ }
func (r *recorder) Subscribe(bool)                  { r.subscriptions++ }
func (r *recorder) FetchEndpoints()                 {}
func (r *recorder) Log(string)                      {}

// Classes of the test configuration.
const (
	anyRead = iota
	boundedRead
	sessionRead
	strongRead
	nonIdempotentWrite
	idempotentWrite
)

// testConfig returns a configuration of six classes that allows cancellation, hedging and health checks.
func testConfig() Config {
	cfg := Config{
		Gateways:          2,
		StaleReads:        StaleReadRejected,
		Positions:         true,
		RoleSource:        RoleSourceDelayed,
		AllowCancel:       true,
		AllowHedging:      true,
		AllowHealthChecks: true,
		MaxAttempts:       10,
		MaxRetryAfter:     time.Second,
		SlowStartCapacity: 0.2,
		SlowStartDuration: 10 * time.Second,
		OverloadFactor:    3,
		OverloadWindow:    2 * time.Second,
	}
	for consistency := ConsistencyAny; consistency <= ConsistencyStrong; consistency++ {
		cfg.Classes = append(cfg.Classes, Class{
			Name:             fmt.Sprint("read", consistency),
			Consistency:      consistency,
			LatencyObjective: 400 * ms,
			Deadline:         time.Second,
			PriorityWeight:   1,
		})
	}
	cfg.Classes[boundedRead].StalenessBound = 200 * ms
	write := Class{
		Name:             "once",
		Consistency:      ConsistencyWrite,
		LatencyObjective: 400 * ms,
		Deadline:         3 * time.Second,
		PriorityWeight:   4,
		LateShare:        0.5,
		Effect:           NonIdempotent,
	}
	keyed := write
	keyed.Name = "keyed"
	keyed.Effect = IdempotentByKey
	keyed.IdempotencyTTL = 2 * time.Second
	cfg.Classes = append(cfg.Classes, write, keyed)
	return cfg
}

// harness drives a Router step by step on a simulated clock.
type harness struct {
	*testing.T
	*recorder
	router        *Router
	now           time.Duration
	lastRequest   uint64
	attemptsEnded map[uint64]int // by request, for tests that end attempts in order
}

// newHarness starts a Router with the given endpoints or, if there are none, with a primary a and two
// replicas b and c.
func newHarness(t *testing.T, cfg Config, endpoints ...Endpoint) *harness {
	t.Helper()
	h := &harness{
		T:             t,
		recorder:      &recorder{rejected: map[uint64]int{}, failed: map[uint64]int{}},
		now:           100 * time.Second,
		attemptsEnded: map[uint64]int{},
	}
	router, err := New(h.now, cfg, 7, h.recorder)
	if err != nil {
		t.Fatal(err)
	}
	h.router = router
	if endpoints == nil {
		endpoints = []Endpoint{
			{Member: "a", Group: 1, Primary: true, Capacity: 1},
			{Member: "b", Group: 1, Capacity: 1},
			{Member: "c", Group: 1, Capacity: 1},
		}
	}
	h.updateEndpoints(EndpointListStale, endpoints...)
	return h
}

// advance moves the clock forward, with a sweep every 10 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 10 * ms
		h.router.Timer(h.now, sweepTimer)
	}
}

// updateEndpoints passes an endpoint list message to the router.
func (h *harness) updateEndpoints(kind EndpointListKind, endpoints ...Endpoint) {
	h.router.UpdateEndpoints(h.now, EndpointList{Kind: kind, Endpoints: endpoints})
}

// request passes a request to the router and returns its id.
func (h *harness) request(class int, change ...func(*Request)) uint64 {
	h.lastRequest++
	deadline := h.router.cfg.Classes[class].Deadline
	req := Request{ID: h.lastRequest, Class: class, Tenant: -1, Remaining: deadline, Group: 1}
	for _, f := range change {
		f(&req)
	}
	h.router.Request(h.now, req)
	return h.lastRequest
}

// membersTried returns the members that the attempts of a request were sent to, in order.
func (h *harness) membersTried(id uint64) (members []string) {
	for _, sent := range h.sends {
		if sent.request == id {
			members = append(members, sent.member)
		}
	}
	return members
}

// endAttempt ends the last attempt of a request.
func (h *harness) endAttempt(id uint64, result Result, role Role, position int64) {
	h.Helper()
	tried := h.membersTried(id)
	if len(tried) == 0 {
		h.Fatalf("request %d was not sent", id)
	}
	last := len(tried) - 1
	h.router.Outcome(h.now, Outcome{Request: id, Attempt: last, Member: tried[last], Result: result,
		Latency: ms, Closed: result == ResultOK, Role: role, Position: position})
}

// position returns the position that the primary had a time lag ago.
func (h *harness) position(lag time.Duration) int64 { return int64((h.now - lag) / ms) }

// checkOK ends a health check of a member successfully, with a report of its role and position.
func (h *harness) checkOK(member string, role Role, lag time.Duration) {
	report := Report{HasPosition: true, Position: h.position(lag), Role: role}
	h.router.HealthChecked(h.now, HealthCheckResult{Member: member, Result: ResultOK, Report: report})
}

// reportAll ends a health check of every member with a report of its role and position. Replicas lag behind
// the primary.
func (h *harness) reportAll(primary string, lag time.Duration) {
	for _, member := range h.router.sortedMembers {
		if member.id == primary {
			h.checkOK(member.id, RolePrimary, 0)
		} else {
			h.checkOK(member.id, RoleReplica, lag)
		}
	}
}

// want reports an error if two values differ in their printed form.
func (h *harness) want(what string, got, want any) {
	h.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		h.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// expectedLatencyOf returns a class's expected latency, which a test may set.
func (r *Router) expectedLatencyOf(class int) *time.Duration { return &r.expectedLatency[class] }
