package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestInvariantsHoldForRestartingGateways runs gateways one after another, as after restarts, with up to
// forty members and random events, among them contradictory roles, reports without a position, and stalls.
// Attempts must stay within the request's group and avoid draining members, and no request may get two final
// answers.
func TestInvariantsHoldForRestartingGateways(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := testConfig()
		cfg.Gateways, cfg.StaleReads, cfg.UseRemovedMembers = 40, StaleReadPolicy(rng.IntN(3)), rng.IntN(2) == 0
		cfg.AllowHealthChecks, cfg.AllowHedging, cfg.Positions = rng.IntN(3) > 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		for range 4 { // gateways, one after another, without shared state
			run := newRestartRun(t, cfg, rng)
			for range 600 {
				run.step()
				run.checkSends(seed)
			}
			run.checkAnswers(seed)
		}
	}
}

// restartRun is a run of random events at one gateway.
type restartRun struct {
	*harness
	rng          *rand.Rand
	draining     map[string]bool
	groups       map[uint64]int // by request
	closed       map[uint64]bool
	checkedSends int
}

func newRestartRun(t *testing.T, cfg Config, rng *rand.Rand) *restartRun {
	var endpoints []Endpoint
	for range 60 {
		endpoints = append(endpoints, randomEndpoint(rng))
	}
	return &restartRun{
		harness:  newHarness(t, cfg, endpoints...),
		rng:      rng,
		draining: map[string]bool{},
		groups:   map[uint64]int{},
		closed:   map[uint64]bool{},
	}
}

// groupOfMember returns the group of a member by the member's name.
func groupOfMember(name string) int { return int(name[1]-'0') % 6 }

// randomEndpoint draws one of forty members, with a random role.
func randomEndpoint(rng *rand.Rand) Endpoint {
	name := fmt.Sprint("m", rng.IntN(10), rng.IntN(4))
	return Endpoint{Member: name, Group: groupOfMember(name), Primary: rng.IntN(4) == 0, Capacity: 1}
}

// step runs one random event and a sweep.
func (r *restartRun) step() {
	r.now += time.Duration(r.rng.IntN(20)) * ms
	if r.rng.IntN(100) == 0 {
		r.now += 700 * ms // a stall of the gateway
	}
	switch r.rng.IntN(6) {
	case 0, 1:
		group := r.rng.IntN(6)
		id := r.request(r.rng.IntN(len(r.router.cfg.Classes)), func(req *Request) { req.Group = group })
		r.groups[id] = group
	case 2:
		endpoint := randomEndpoint(r.rng)
		endpoint.Phase = Phase(r.rng.IntN(2))
		r.draining[endpoint.Member] = r.draining[endpoint.Member] || endpoint.Phase == PhaseDraining
		r.updateEndpoints(EndpointListPatch, endpoint)
	case 3:
		r.router.HealthChecked(r.now, HealthCheckResult{
			Member: randomEndpoint(r.rng).Member,
			Result: Result(r.rng.IntN(9)),
			Report: Report{
				HasPosition: r.rng.IntN(2) == 0,
				Position:    r.position(time.Duration(r.rng.IntN(9000)) * ms),
				Role:        Role(r.rng.IntN(3)),
			},
		})
	case 4:
		if len(r.sends) > 0 {
			r.endAttempts(r.sends[r.rng.IntN(len(r.sends))])
		}
	}
	r.router.Timer(r.now, sweepTimer)
}

// endAttempts ends all attempts of a request with one result. The router ignores attempts that have ended
// before.
func (r *restartRun) endAttempts(sent sentAttempt) {
	id := sent.request
	result := Result(r.rng.IntN(9))
	for i := range r.membersTried(id) {
		over := r.closed[id] || r.rejected[id]+r.failed[id] > 0
		r.router.Outcome(r.now, Outcome{Request: id, Attempt: i, Member: sent.member, Result: result,
			Role: Role(r.rng.IntN(3)), Closed: result == ResultOK || over})
		r.closed[id] = r.closed[id] || result == ResultOK && !over
	}
}

// checkSends checks the attempts since the last call.
func (r *restartRun) checkSends(seed uint64) {
	for ; r.checkedSends < len(r.sends); r.checkedSends++ {
		sent := r.sends[r.checkedSends]
		group := r.groups[sent.request]
		if groupOfMember(sent.member) != group || r.draining[sent.member] {
			r.Fatalf("seed %d: a request of group %d was sent to %s, draining: %v", seed, group, sent.member,
				r.draining[sent.member])
		}
	}
}

// checkAnswers checks the final answers, and that enough attempts were sent for the check to mean anything.
func (r *restartRun) checkAnswers(seed uint64) {
	if r.checkedSends < 30 {
		r.Fatalf("seed %d: only %d attempts were sent", seed, r.checkedSends)
	}
	for id := range r.groups {
		if n := r.rejected[id] + r.failed[id]; n > 1 {
			r.Fatalf("seed %d: request %d has %d final answers", seed, id, n)
		}
	}
}
