package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestInvariantsHoldUnderRandomEvents plays fixed random events, doubled and late ones among them, and checks the
// five rules after each step against a simple account of its own.
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
		h := newHarness(t, cfg)
		w := newRuleChecker(h, rng)
		for range 800 {
			w.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		for range 400 {
			h.advance(10 * ms)
			w.check()
			w.expireAttempts()
		}
		for id := range w.requests {
			if w.requests[id].answers == 0 && h.rejected[id]+h.failed[id] != 1 {
				t.Fatalf("seed %d: request %d has no final answer", seed, id)
			}
		}
	}
}

// randomizeClasses gives classes and tenants settings of another customer: any effect, windows shorter and longer than deadlines,
// deadlines from 0.2 s, and aims that may lie past them.
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

// life is what the account knows of a request.
type requestRecord struct {
	class       int
	deadline    time.Duration
	minPosition int64 // position that a session or fresh read needs
	inFlight    []int // attempts out
	sentAt      []time.Duration
	mayHaveRun  []bool
	answers     int // ended by an answer or a leaving client
}

// account checks the module's actions one by one.
type ruleChecker struct {
	*harness
	rng          *rand.Rand
	requests     map[uint64]*requestRecord
	withdrawn    map[string]bool
	reported     map[string]int64 // highest position told of a member
	primary      map[string]bool  // was said to be primary, and not told otherwise since
	checkedSends int
	answered     map[uint64]bool
}

func newRuleChecker(h *harness, rng *rand.Rand) *ruleChecker {
	return &ruleChecker{harness: h, rng: rng, requests: map[uint64]*requestRecord{}, withdrawn: map[string]bool{},
		reported: map[string]int64{}, primary: map[string]bool{"a": true}, answered: map[uint64]bool{}}
}

// step plays one random event.
func (c *ruleChecker) step() {
	c.now += time.Duration(c.rng.IntN(30)) * ms
	names := []string{"a", "b", "c", "d"}
	switch c.rng.IntN(10) {
	case 0, 1, 2:
		class := c.rng.IntN(len(c.router.cfg.Classes))
		id := c.lastRequest + 1
		since := time.Duration(1+c.rng.IntN(2000)) * ms
		req := &requestRecord{class: class, deadline: c.now + c.router.cfg.Classes[class].Deadline}
		switch need := c.router.cfg.Classes[class].Consistency; {
		case need == ConsistencyStrong:
			req.minPosition = c.position(0)
		case need == ConsistencySession && !c.router.cfg.LocalSessions:
			req.minPosition = c.position(since)
		}
		c.requests[id] = req
		c.request(class, func(in *Request) {
			in.SinceWrite = since
			in.Session, in.Tenant = "s", c.rng.IntN(len(c.router.cfg.Tenants)+1)-1
		})
	case 3, 4, 5, 6:
		c.endRandomAttempt(names)
	case 7:
		name := names[c.rng.IntN(len(names))]
		phase := Phase(c.rng.IntN(3))
		c.withdrawn[name] = phase != PhaseServing
		leader := c.rng.IntN(3) == 0
		c.primary[name] = c.primary[name] || leader
		c.router.UpdateEndpoints(c.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: name, Group: 1, Phase: phase,
			Primary: leader, StartedAt: time.Duration(c.rng.IntN(2)) * c.now}}})
	case 8:
		check := HealthCheckResult{Member: names[c.rng.IntN(4)], Result: Result(c.rng.IntN(9)), Report: Report{
			HasPosition: true, Position: c.position(time.Duration(c.rng.IntN(3000)) * ms), Role: RoleReplica}}
		if c.rng.IntN(4) == 0 {
			check.Report.Role = RolePrimary
		}
		c.reported[check.Member] = max(c.reported[check.Member], check.Report.Position)
		c.primary[check.Member] = c.primary[check.Member] || check.Report.Role == RolePrimary
		c.router.HealthChecked(c.now, check)
	case 9:
		c.router.Timer(c.now, "sweep")
		c.router.Timer(c.now, "stale")
		c.router.UpdateEndpoints(c.now, EndpointList{Kind: EndpointListFailed})
	}
	c.check()
	c.expireAttempts()
}

// finish ends a random attempt that is out, and now and then tells it twice.
func (c *ruleChecker) endRandomAttempt(names []string) {
	for id := uint64(1); id <= c.lastRequest; id++ {
		req := c.requests[id]
		if len(req.inFlight) == 0 || c.rng.IntN(3) > 0 {
			continue
		}
		n := req.inFlight[0]
		req.inFlight = req.inFlight[1:]
		result := Result(c.rng.IntN(9))
		closed := result == ResultOK || c.answered[id] || req.answers > 0
		switch result {
		case ResultOverCapacity, ResultConnectFailed, ResultNotSent, ResultMissed:
		default:
			req.mayHaveRun[n] = true
		}
		if result == ResultOK && !c.answered[id] && req.answers == 0 {
			req.answers++
		}
		outcome := Outcome{Request: id, Attempt: n, Member: c.membersTried(id)[n], Result: result, Closed: closed,
			Role: Role(c.rng.IntN(3)), Position: c.position(time.Duration(c.rng.IntN(2000)) * ms)}
		c.reported[outcome.Member] = max(c.reported[outcome.Member], outcome.Position)
		c.primary[outcome.Member] = outcome.Role == RolePrimary || c.primary[outcome.Member] && outcome.Role != RoleReplica
		c.router.Outcome(c.now, outcome)
		c.check()
		if c.rng.IntN(4) == 0 {
			c.router.Outcome(c.now, outcome)
		}
		return
	}
}

// late plays the time-outs at the deadlines.
func (c *ruleChecker) expireAttempts() {
	for id := uint64(1); id <= c.lastRequest; id++ {
		req := c.requests[id]
		for len(req.inFlight) > 0 && c.now >= req.deadline {
			n := req.inFlight[0]
			req.inFlight = req.inFlight[1:]
			req.mayHaveRun[n] = true
			c.router.Outcome(c.now, Outcome{Request: id, Attempt: n, Member: c.membersTried(id)[n], Result: ResultTimeout,
				Closed: req.answers > 0 || c.answered[id]})
			c.check()
		}
	}
}

// check holds the new actions against the rules.
func (c *ruleChecker) check() {
	for ; c.checkedSends < len(c.sends); c.checkedSends++ {
		sent := c.sends[c.checkedSends]
		req := c.requests[sent.request]
		class := c.router.cfg.Classes[req.class]
		switch {
		case c.withdrawn[sent.member]:
			c.Errorf("send to %s, which drains or is gone", sent.member)
		case c.answered[sent.request] || req.answers > 0 || c.now >= req.deadline:
			c.Errorf("send of %d after its end", sent.request)
		case len(req.inFlight) > 0 && (!c.router.cfg.AllowHedging || class.Effect == NonIdempotent):
			c.Errorf("two attempts of %d out together", sent.request)
		}
		need := req.minPosition
		if class.Consistency == ConsistencyBounded {
			need = c.position(class.StalenessBound)
		}
		if c.router.cfg.StaleReads == StaleReadServed && class.Consistency != ConsistencyWrite && c.reported[sent.member] < need && !c.primary[sent.member] {
			c.Errorf("read %d sent to %s, which may be too far behind", sent.request, sent.member)
		}
		for i, ran := range req.mayHaveRun {
			if ran && (class.Effect == NonIdempotent || class.Effect == IdempotentByKey && c.now >= req.sentAt[i]+class.IdempotencyTTL) {
				c.Errorf("%d sent again though it may have run", sent.request)
			} else if ran && class.Effect == IdempotentByKey && sent.startBy > req.sentAt[i]+class.IdempotencyTTL {
				c.Errorf("%d may begin again %v after its window", sent.request, sent.startBy-req.sentAt[i]-class.IdempotencyTTL)
			}
		}
		req.inFlight = append(req.inFlight, len(req.sentAt))
		req.sentAt, req.mayHaveRun = append(req.sentAt, c.now), append(req.mayHaveRun, false)
	}
	for id, req := range c.requests {
		n := c.rejected[id] + c.failed[id]
		if n+req.answers > 1 {
			c.Errorf("%d has %d final answers", id, n+req.answers)
		}
		if n == 1 && !c.answered[id] {
			c.answered[id] = true
			for i := range req.mayHaveRun {
				ran := req.mayHaveRun[i] || contains(req.inFlight, i)
				if c.rejected[id] == 1 && ran && !harmless(c.router.cfg.Classes[req.class]) {
					c.Errorf("%d refused though it may have run", id)
				}
			}
		}
	}
}

// harmless says that a repeat by the client does no harm.
func harmless(class Class) bool {
	return class.Effect == Idempotent || class.Effect == IdempotentByKey && class.KeyIsGlobal
}

func contains(list []int, n int) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// TestInvariantsHoldForRestartingGateways plays several gateways that restart over thirty members, with ghosts,
// roles claimed twice, empty reports and time standing still: sends stay inside the group and off drained members,
// and no request gets two final answers.
func TestInvariantsHoldForRestartingGateways(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := testConfig()
		cfg.Gateways, cfg.StaleReads, cfg.UseRemovedMembers = 40, StaleReadPolicy(rng.IntN(3)), rng.IntN(2) == 0
		cfg.AllowHealthChecks, cfg.AllowHedging, cfg.Positions = rng.IntN(3) > 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		group := func(name string) int { return int(name[1]-'0') % 6 }
		randomEndpoint := func() Endpoint {
			name := fmt.Sprint("m", rng.IntN(10), rng.IntN(4)) // the last quarter are ghosts: nobody answers there
			return Endpoint{Member: name, Group: group(name), Primary: rng.IntN(4) == 0, Capacity: 1}
		}
		for range 4 { // gateways, one after another: they share nothing
			var endpoints []Endpoint
			for range 60 {
				endpoints = append(endpoints, randomEndpoint())
			}
			h := newHarness(t, cfg, endpoints...)
			drained, groups := map[string]bool{}, map[uint64]int{}
			done, closed := 0, map[uint64]bool{}
			for range 600 {
				h.now += time.Duration(rng.IntN(20)) * ms
				if rng.IntN(100) == 0 {
					h.now += 700 * ms // stands still
				}
				switch rng.IntN(6) {
				case 0, 1:
					g := rng.IntN(6)
					groups[h.request(rng.IntN(len(cfg.Classes)), func(req *Request) { req.Group = g })] = g
				case 2:
					endpoint := randomEndpoint()
					endpoint.Phase = Phase(rng.IntN(2))
					drained[endpoint.Member] = drained[endpoint.Member] || endpoint.Phase == PhaseDraining
					h.router.UpdateEndpoints(h.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{endpoint}})
				case 3:
					h.router.HealthChecked(h.now, HealthCheckResult{Member: randomEndpoint().Member, Result: Result(rng.IntN(9)), Report: Report{
						HasPosition: rng.IntN(2) == 0, Position: h.position(time.Duration(rng.IntN(9000)) * ms), Role: Role(rng.IntN(3))}})
				case 4:
					if n := len(h.sends); n > 0 {
						sent := h.sends[rng.IntN(n)]
						result := Result(rng.IntN(9))
						for i := range h.membersTried(sent.request) { // only the attempts still out count
							over := closed[sent.request] || h.rejected[sent.request]+h.failed[sent.request] > 0
							h.router.Outcome(h.now, Outcome{Request: sent.request, Attempt: i, Member: sent.member, Result: result,
								Role: Role(rng.IntN(3)), Closed: result == ResultOK || over})
							closed[sent.request] = closed[sent.request] || result == ResultOK && !over
						}
					}
				}
				h.router.Timer(h.now, "sweep")
				for ; done < len(h.sends); done++ {
					sent := h.sends[done]
					if group(sent.member) != groups[sent.request] || drained[sent.member] {
						t.Fatalf("seed %d: request of group %d sent to %s, drained %v", seed, groups[sent.request], sent.member,
							drained[sent.member])
					}
				}
			}
			if done < 30 {
				t.Fatalf("seed %d: only %d sends to look at", seed, done)
			}
			for id := range groups {
				if n := h.rejected[id] + h.failed[id]; n > 1 {
					t.Fatalf("seed %d: request %d has %d final answers", seed, id, n)
				}
			}
		}
	}
}
