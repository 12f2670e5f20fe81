package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestInvariantsHoldUnderRandomEvents runs random events with fixed seeds, including duplicate and late ones.
// After each step it checks every attempt and final answer against a simple model.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cfg := testConfig()
		cfg.StaleReads, cfg.AllowHedging = StaleReadPolicy(rng.IntN(3)), rng.IntN(2) == 0
		cfg.AllowCancel, cfg.LocalSessions, cfg.Subscribe = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		cfg.RoleSource = RoleSource(rng.IntN(3))
		if seed%2 == 1 {
			randomizeClasses(&cfg, rng)
		}
		checker := newInvariantChecker(newHarness(t, cfg), rng)
		for range 800 {
			checker.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		for range 400 {
			checker.advance(10 * ms)
			checker.check()
			checker.expireAttempts()
		}
		for id, req := range checker.requests {
			if req.answers == 0 && checker.rejected[id]+checker.failed[id] != 1 {
				t.Fatalf("seed %d: request %d has no final answer", seed, id)
			}
		}
	}
}

// randomizeClasses draws settings of classes and tenants: any effect, idempotency TTLs shorter and longer
// than the deadline, deadlines from 0.2 s, and latency objectives that may be longer than the deadline.
func randomizeClasses(cfg *Config, rng *rand.Rand) {
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		class.Effect, class.KeyIsGlobal = Effect(rng.IntN(3)), rng.IntN(2) == 0
		class.IdempotencyTTL = time.Duration(rng.IntN(1000)) * ms
		class.Deadline = time.Duration(200+rng.IntN(2000)) * ms
		class.LatencyObjective = time.Duration(100+rng.IntN(3000)) * ms
		class.PriorityWeight, class.LateShare = float64(rng.IntN(7)), float64(rng.IntN(3))/2
	}
	for i := range rng.IntN(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: float64(rng.IntN(3))})
	}
	cfg.OverQuotaWeight = rng.Float64()
}

// requestRecord is the checker's model of a request.
type requestRecord struct {
	class       int
	deadline    time.Duration
	minPosition int64           // the position that a session or strong read requires
	inFlight    []int           // numbers of attempts
	sentAt      []time.Duration // by attempt
	mayHaveRun  []bool          // by attempt, once it has ended
	answers     int             // from members
}

// invariantChecker draws events and checks the router's actions one by one.
type invariantChecker struct {
	*harness
	rng          *rand.Rand
	requests     map[uint64]*requestRecord
	withdrawn    map[string]bool  // members that are listed as draining or removed
	reported     map[string]int64 // by member: the highest position
	primary      map[string]bool  // members that may be the primary, by the list, answers and reports
	checkedSends int
	answered     map[uint64]bool // requests that the router rejected or failed
}

func newInvariantChecker(h *harness, rng *rand.Rand) *invariantChecker {
	return &invariantChecker{
		harness:   h,
		rng:       rng,
		requests:  map[uint64]*requestRecord{},
		withdrawn: map[string]bool{},
		reported:  map[string]int64{},
		primary:   map[string]bool{"a": true},
		answered:  map[uint64]bool{},
	}
}

// step runs one random event.
func (c *invariantChecker) step() {
	c.now += time.Duration(c.rng.IntN(30)) * ms
	names := []string{"a", "b", "c", "d"}
	switch c.rng.IntN(10) {
	case 0, 1, 2:
		c.sendRandomRequest()
	case 3, 4, 5, 6:
		c.endRandomAttempt()
	case 7:
		c.updateRandomEndpoint(names[c.rng.IntN(len(names))])
	case 8:
		c.endRandomHealthCheck(names[c.rng.IntN(len(names))])
	case 9:
		c.router.Timer(c.now, sweepTimer)
		c.router.Timer(c.now, "stale")
		c.updateEndpoints(EndpointListFailed)
	}
	c.check()
	c.expireAttempts()
}

// sendRandomRequest sends a request of a random class and tenant.
func (c *invariantChecker) sendRandomRequest() {
	number := c.rng.IntN(len(c.router.cfg.Classes))
	class := c.router.cfg.Classes[number]
	sinceWrite := time.Duration(1+c.rng.IntN(2000)) * ms
	record := &requestRecord{class: number, deadline: c.now + class.Deadline}
	if class.Consistency == ConsistencyStrong {
		record.minPosition = c.position(0)
	} else if class.Consistency == ConsistencySession && !c.router.cfg.LocalSessions {
		record.minPosition = c.position(sinceWrite)
	}
	c.requests[c.lastRequest+1] = record
	c.request(number, func(req *Request) {
		req.SinceWrite = sinceWrite
		req.Session = "s"
		req.Tenant = c.rng.IntN(len(c.router.cfg.Tenants)+1) - 1
	})
}

// updateRandomEndpoint lists a member with a random phase and role, half of the time as restarted.
func (c *invariantChecker) updateRandomEndpoint(name string) {
	phase := Phase(c.rng.IntN(3))
	c.withdrawn[name] = phase != PhaseServing
	isPrimary := c.rng.IntN(3) == 0
	c.primary[name] = c.primary[name] || isPrimary
	startedAt := time.Duration(c.rng.IntN(2)) * c.now
	c.updateEndpoints(EndpointListPatch,
		Endpoint{Member: name, Group: 1, Phase: phase, Primary: isPrimary, StartedAt: startedAt})
}

// endRandomHealthCheck ends a health check with a random result and report.
func (c *invariantChecker) endRandomHealthCheck(name string) {
	check := HealthCheckResult{Member: name, Result: Result(c.rng.IntN(9)), Report: Report{
		HasPosition: true, Position: c.position(time.Duration(c.rng.IntN(3000)) * ms), Role: RoleReplica}}
	if c.rng.IntN(4) == 0 {
		check.Report.Role = RolePrimary
	}
	c.reported[name] = max(c.reported[name], check.Report.Position)
	c.primary[name] = c.primary[name] || check.Report.Role == RolePrimary
	c.router.HealthChecked(c.now, check)
}

// endRandomAttempt ends a random attempt, sometimes twice.
func (c *invariantChecker) endRandomAttempt() {
	for id := uint64(1); id <= c.lastRequest; id++ {
		req := c.requests[id]
		if len(req.inFlight) == 0 || c.rng.IntN(3) > 0 {
			continue
		}
		number := req.inFlight[0]
		req.inFlight = req.inFlight[1:]
		result := Result(c.rng.IntN(9))
		closed := result == ResultOK || c.answered[id] || req.answers > 0
		switch result {
		case ResultOverCapacity, ResultConnectFailed, ResultNotSent, ResultMissed:
		default:
			req.mayHaveRun[number] = true
		}
		if result == ResultOK && !c.answered[id] && req.answers == 0 {
			req.answers++
		}
		outcome := Outcome{
			Request:  id,
			Attempt:  number,
			Member:   c.membersTried(id)[number],
			Result:   result,
			Closed:   closed,
			Role:     Role(c.rng.IntN(3)),
			Position: c.position(time.Duration(c.rng.IntN(2000)) * ms),
		}
		c.observeOutcome(outcome)
		c.router.Outcome(c.now, outcome)
		c.check()
		if c.rng.IntN(4) == 0 {
			c.router.Outcome(c.now, outcome)
		}
		return
	}
}

// observeOutcome records the position and the role that an outcome reports.
func (c *invariantChecker) observeOutcome(outcome Outcome) {
	name := outcome.Member
	c.reported[name] = max(c.reported[name], outcome.Position)
	c.primary[name] = outcome.Role == RolePrimary || c.primary[name] && outcome.Role != RoleReplica
}

// expireAttempts ends the attempts of requests whose deadline has passed.
func (c *invariantChecker) expireAttempts() {
	for id := uint64(1); id <= c.lastRequest; id++ {
		req := c.requests[id]
		for len(req.inFlight) > 0 && c.now >= req.deadline {
			number := req.inFlight[0]
			req.inFlight = req.inFlight[1:]
			req.mayHaveRun[number] = true
			c.router.Outcome(c.now, Outcome{Request: id, Attempt: number, Member: c.membersTried(id)[number],
				Result: ResultTimeout, Closed: req.answers > 0 || c.answered[id]})
			c.check()
		}
	}
}

// check checks the attempts and final answers since the last call.
func (c *invariantChecker) check() {
	for ; c.checkedSends < len(c.sends); c.checkedSends++ {
		sent := c.sends[c.checkedSends]
		req := c.requests[sent.request]
		c.checkSend(sent, req)
		c.checkFreshness(sent, req)
		c.checkRetry(sent, req)
		req.inFlight = append(req.inFlight, len(req.sentAt))
		req.sentAt = append(req.sentAt, c.now)
		req.mayHaveRun = append(req.mayHaveRun, false)
	}
	for id, req := range c.requests {
		c.checkAnswers(id, req)
	}
}

// checkSend checks that an attempt goes to a serving member while its request is open, and that another
// attempt is in flight at the same time only if hedging is allowed.
func (c *invariantChecker) checkSend(sent sentAttempt, req *requestRecord) {
	class := c.router.cfg.Classes[req.class]
	mayHedge := c.router.cfg.AllowHedging && class.Effect != NonIdempotent
	switch {
	case c.withdrawn[sent.member]:
		c.Errorf("request %d was sent to %s, which is draining or removed", sent.request, sent.member)
	case c.answered[sent.request] || req.answers > 0 || c.now >= req.deadline:
		c.Errorf("request %d was sent after its end", sent.request)
	case len(req.inFlight) > 0 && !mayHedge:
		c.Errorf("two attempts of request %d are in flight at the same time", sent.request)
	}
}

// checkFreshness checks that a read goes to a member that is known to be fresh enough, if members do not
// check reads.
func (c *invariantChecker) checkFreshness(sent sentAttempt, req *requestRecord) {
	class := c.router.cfg.Classes[req.class]
	if c.router.cfg.StaleReads != StaleReadServed || class.Consistency == ConsistencyWrite {
		return
	}
	required := req.minPosition
	if class.Consistency == ConsistencyBounded {
		required = c.position(class.StalenessBound)
	}
	if c.reported[sent.member] < required && !c.primary[sent.member] {
		c.Errorf("read %d was sent to %s, which may lag too far", sent.request, sent.member)
	}
}

// checkRetry checks that a request that may have run is retried only if a repeat does no harm at that time.
func (c *invariantChecker) checkRetry(sent sentAttempt, req *requestRecord) {
	class := c.router.cfg.Classes[req.class]
	for i, mayHaveRun := range req.mayHaveRun {
		if !mayHaveRun {
			continue
		}
		retryBy := req.sentAt[i] + class.IdempotencyTTL
		switch {
		case class.Effect == NonIdempotent, class.Effect == IdempotentByKey && c.now >= retryBy:
			c.Errorf("request %d was sent again though it may have run", sent.request)
		case class.Effect == IdempotentByKey && sent.startBy > retryBy:
			c.Errorf("request %d may be sent again %v after its TTL", sent.request, sent.startBy-retryBy)
		}
	}
}

// checkAnswers checks that a request has at most one final answer, and is rejected only if a retry by the
// client does no harm.
func (c *invariantChecker) checkAnswers(id uint64, req *requestRecord) {
	routerAnswers := c.rejected[id] + c.failed[id]
	if routerAnswers+req.answers > 1 {
		c.Errorf("request %d has %d final answers", id, routerAnswers+req.answers)
	}
	if routerAnswers != 1 || c.answered[id] {
		return
	}
	c.answered[id] = true
	for i := range req.mayHaveRun {
		mayHaveRun := req.mayHaveRun[i] || slices.Contains(req.inFlight, i)
		if c.rejected[id] == 1 && mayHaveRun && !harmless(c.router.cfg.Classes[req.class]) {
			c.Errorf("request %d was rejected though it may have run", id)
		}
	}
}

// harmless reports whether a retry by the client does no harm for a class.
func harmless(class Class) bool {
	return class.Effect == Idempotent || class.Effect == IdempotentByKey && class.KeyIsGlobal
}
