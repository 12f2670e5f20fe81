package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRulesHoldUnderRandomEvents plays fixed random events, doubled and late ones among them, and checks the
// five rules after each step against a simple account of its own.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := config()
		c.StaleReads, c.AllowHedging = StaleReadPolicy(rng.IntN(3)), rng.IntN(2) == 0
		c.AllowCancel, c.LocalSessions, c.Subscribe = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		c.RoleSource = RoleSource(rng.IntN(3))
		if seed%2 == 1 {
			drawClasses(&c, rng)
		}
		b := newRig(t, c)
		w := newAccount(b, rng)
		for range 800 {
			w.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		for range 400 {
			b.pass(10 * ms)
			w.check()
			w.late()
		}
		for id := range w.requests {
			if w.requests[id].over == 0 && b.refused[id]+b.failed[id] != 1 {
				t.Fatalf("seed %d: request %d has no final answer", seed, id)
			}
		}
	}
}

// drawClasses gives classes and tenants settings of another customer: any effect, windows shorter and longer than deadlines,
// deadlines from 0.2 s, and aims that may lie past them.
func drawClasses(c *Config, rng *rand.Rand) {
	for i := range c.Classes {
		k := &c.Classes[i]
		k.Effect, k.KeyIsGlobal = Effect(rng.IntN(3)), rng.IntN(2) == 0
		k.IdempotencyTTL = time.Duration(rng.IntN(1000)) * ms
		k.Deadline = time.Duration(200+rng.IntN(2000)) * ms
		k.LatencyObjective = time.Duration(100+rng.IntN(3000)) * ms
		k.PriorityWeight, k.LateShare = float64(rng.IntN(7)), float64(rng.IntN(3))/2
	}
	for i := range rng.IntN(4) {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: float64(rng.IntN(3))})
	}
	c.OverQuotaWeight = rng.Float64()
}

// life is what the account knows of a request.
type life struct {
	class    int
	deadline time.Duration
	need     int64 // position that a session or fresh read needs
	out      []int // attempts out
	sentAt   []time.Duration
	mayRan   []bool
	over     int // ended by an answer or a leaving client
}

// account checks the module's actions one by one.
type account struct {
	*rig
	rng      *rand.Rand
	requests map[uint64]*life
	off      map[string]bool
	told     map[string]int64 // highest position told of a member
	primary  map[string]bool  // was said to be primary, and not told otherwise since
	seen     int
	done     map[uint64]bool
}

func newAccount(b *rig, rng *rand.Rand) *account {
	return &account{rig: b, rng: rng, requests: map[uint64]*life{}, off: map[string]bool{},
		told: map[string]int64{}, primary: map[string]bool{"a": true}, done: map[uint64]bool{}}
}

// step plays one random event.
func (w *account) step() {
	w.now += time.Duration(w.rng.IntN(30)) * ms
	names := []string{"a", "b", "c", "d"}
	switch w.rng.IntN(10) {
	case 0, 1, 2:
		class := w.rng.IntN(len(w.r.cfg.Classes))
		id := w.next + 1
		since := time.Duration(1+w.rng.IntN(2000)) * ms
		q := &life{class: class, deadline: w.now + w.r.cfg.Classes[class].Deadline}
		switch need := w.r.cfg.Classes[class].Consistency; {
		case need == ConsistencyStrong:
			q.need = w.at(0)
		case need == ConsistencySession && !w.r.cfg.LocalSessions:
			q.need = w.at(since)
		}
		w.requests[id] = q
		w.ask(class, func(q *Request) {
			q.SinceWrite = since
			q.Session, q.Tenant = "s", w.rng.IntN(len(w.r.cfg.Tenants)+1)-1
		})
	case 3, 4, 5, 6:
		w.finish(names)
	case 7:
		name := names[w.rng.IntN(len(names))]
		phase := Phase(w.rng.IntN(3))
		w.off[name] = phase != PhaseServing
		leader := w.rng.IntN(3) == 0
		w.primary[name] = w.primary[name] || leader
		w.r.UpdateEndpoints(w.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{{Member: name, Group: 1, Phase: phase,
			Primary: leader, StartedAt: time.Duration(w.rng.IntN(2)) * w.now}}})
	case 8:
		p := HealthCheckResult{Member: names[w.rng.IntN(4)], Result: Result(w.rng.IntN(9)), Report: Report{
			HasPosition: true, Position: w.at(time.Duration(w.rng.IntN(3000)) * ms), Role: RoleReplica}}
		if w.rng.IntN(4) == 0 {
			p.Report.Role = RolePrimary
		}
		w.told[p.Member] = max(w.told[p.Member], p.Report.Position)
		w.primary[p.Member] = w.primary[p.Member] || p.Report.Role == RolePrimary
		w.r.HealthChecked(w.now, p)
	case 9:
		w.r.Timer(w.now, "sweep")
		w.r.Timer(w.now, "stale")
		w.r.UpdateEndpoints(w.now, EndpointList{Kind: EndpointListFailed})
	}
	w.check()
	w.late()
}

// finish ends a random attempt that is out, and now and then tells it twice.
func (w *account) finish(names []string) {
	for id := uint64(1); id <= w.next; id++ {
		q := w.requests[id]
		if len(q.out) == 0 || w.rng.IntN(3) > 0 {
			continue
		}
		n := q.out[0]
		q.out = q.out[1:]
		result := Result(w.rng.IntN(9))
		closed := result == ResultOK || w.done[id] || q.over > 0
		switch result {
		case ResultOverCapacity, ResultConnectFailed, ResultNotSent, ResultMissed:
		default:
			q.mayRan[n] = true
		}
		if result == ResultOK && !w.done[id] && q.over == 0 {
			q.over++
		}
		o := Outcome{Request: id, Attempt: n, Member: w.to(id)[n], Result: result, Closed: closed,
			Role: Role(w.rng.IntN(3)), Position: w.at(time.Duration(w.rng.IntN(2000)) * ms)}
		w.told[o.Member] = max(w.told[o.Member], o.Position)
		w.primary[o.Member] = o.Role == RolePrimary || w.primary[o.Member] && o.Role != RoleReplica
		w.r.Outcome(w.now, o)
		w.check()
		if w.rng.IntN(4) == 0 {
			w.r.Outcome(w.now, o)
		}
		return
	}
}

// late plays the time-outs at the deadlines.
func (w *account) late() {
	for id := uint64(1); id <= w.next; id++ {
		q := w.requests[id]
		for len(q.out) > 0 && w.now >= q.deadline {
			n := q.out[0]
			q.out = q.out[1:]
			q.mayRan[n] = true
			w.r.Outcome(w.now, Outcome{Request: id, Attempt: n, Member: w.to(id)[n], Result: ResultTimeout,
				Closed: q.over > 0 || w.done[id]})
			w.check()
		}
	}
}

// check holds the new actions against the rules.
func (w *account) check() {
	for ; w.seen < len(w.sends); w.seen++ {
		s := w.sends[w.seen]
		q := w.requests[s.request]
		k := w.r.cfg.Classes[q.class]
		switch {
		case w.off[s.member]:
			w.Errorf("send to %s, which drains or is gone", s.member)
		case w.done[s.request] || q.over > 0 || w.now >= q.deadline:
			w.Errorf("send of %d after its end", s.request)
		case len(q.out) > 0 && (!w.r.cfg.AllowHedging || k.Effect == NonIdempotent):
			w.Errorf("two attempts of %d out together", s.request)
		}
		need := q.need
		if k.Consistency == ConsistencyBounded {
			need = w.at(k.StalenessBound)
		}
		if w.r.cfg.StaleReads == StaleReadServed && k.Consistency != ConsistencyWrite && w.told[s.member] < need && !w.primary[s.member] {
			w.Errorf("read %d sent to %s, which may be too far behind", s.request, s.member)
		}
		for i, ran := range q.mayRan {
			if ran && (k.Effect == NonIdempotent || k.Effect == IdempotentByKey && w.now >= q.sentAt[i]+k.IdempotencyTTL) {
				w.Errorf("%d sent again though it may have run", s.request)
			} else if ran && k.Effect == IdempotentByKey && s.beginBy > q.sentAt[i]+k.IdempotencyTTL {
				w.Errorf("%d may begin again %v after its window", s.request, s.beginBy-q.sentAt[i]-k.IdempotencyTTL)
			}
		}
		q.out = append(q.out, len(q.sentAt))
		q.sentAt, q.mayRan = append(q.sentAt, w.now), append(q.mayRan, false)
	}
	for id, q := range w.requests {
		n := w.refused[id] + w.failed[id]
		if n+q.over > 1 {
			w.Errorf("%d has %d final answers", id, n+q.over)
		}
		if n == 1 && !w.done[id] {
			w.done[id] = true
			for i := range q.mayRan {
				ran := q.mayRan[i] || contains(q.out, i)
				if w.refused[id] == 1 && ran && !harmless(w.r.cfg.Classes[q.class]) {
					w.Errorf("%d refused though it may have run", id)
				}
			}
		}
	}
}

// harmless says that a repeat by the client does no harm.
func harmless(k Class) bool {
	return k.Effect == Idempotent || k.Effect == IdempotentByKey && k.KeyIsGlobal
}

func contains(list []int, n int) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// TestManyGatewaysOverManyMembersKeepTheRules plays several gateways that restart over thirty members, with ghosts,
// roles claimed twice, empty reports and time standing still: sends stay inside the group and off drained members,
// and no request gets two final answers.
func TestManyGatewaysOverManyMembersKeepTheRules(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := config()
		c.Gateways, c.StaleReads, c.UseRemovedMembers = 40, StaleReadPolicy(rng.IntN(3)), rng.IntN(2) == 0
		c.AllowHealthChecks, c.AllowHedging, c.Positions = rng.IntN(3) > 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		group := func(name string) int { return int(name[1]-'0') % 6 }
		entry := func() Endpoint {
			name := fmt.Sprint("m", rng.IntN(10), rng.IntN(4)) // the last quarter are ghosts: nobody answers there
			return Endpoint{Member: name, Group: group(name), Primary: rng.IntN(4) == 0, Capacity: 1}
		}
		for range 4 { // gateways, one after another: they share nothing
			var entries []Endpoint
			for range 60 {
				entries = append(entries, entry())
			}
			b := newRig(t, c, entries...)
			drained, groups := map[string]bool{}, map[uint64]int{}
			done, closed := 0, map[uint64]bool{}
			for range 600 {
				b.now += time.Duration(rng.IntN(20)) * ms
				if rng.IntN(100) == 0 {
					b.now += 700 * ms // stands still
				}
				switch rng.IntN(6) {
				case 0, 1:
					g := rng.IntN(6)
					groups[b.ask(rng.IntN(len(c.Classes)), func(q *Request) { q.Group = g })] = g
				case 2:
					e := entry()
					e.Phase = Phase(rng.IntN(2))
					drained[e.Member] = drained[e.Member] || e.Phase == PhaseDraining
					b.r.UpdateEndpoints(b.now, EndpointList{Kind: EndpointListPatch, Endpoints: []Endpoint{e}})
				case 3:
					b.r.HealthChecked(b.now, HealthCheckResult{Member: entry().Member, Result: Result(rng.IntN(9)), Report: Report{
						HasPosition: rng.IntN(2) == 0, Position: b.at(time.Duration(rng.IntN(9000)) * ms), Role: Role(rng.IntN(3))}})
				case 4:
					if n := len(b.sends); n > 0 {
						s := b.sends[rng.IntN(n)]
						result := Result(rng.IntN(9))
						for i := range b.to(s.request) { // only the attempts still out count
							over := closed[s.request] || b.refused[s.request]+b.failed[s.request] > 0
							b.r.Outcome(b.now, Outcome{Request: s.request, Attempt: i, Member: s.member, Result: result,
								Role: Role(rng.IntN(3)), Closed: result == ResultOK || over})
							closed[s.request] = closed[s.request] || result == ResultOK && !over
						}
					}
				}
				b.r.Timer(b.now, "sweep")
				for ; done < len(b.sends); done++ {
					s := b.sends[done]
					if group(s.member) != groups[s.request] || drained[s.member] {
						t.Fatalf("seed %d: request of group %d sent to %s, drained %v", seed, groups[s.request], s.member,
							drained[s.member])
					}
				}
			}
			if done < 30 {
				t.Fatalf("seed %d: only %d sends to look at", seed, done)
			}
			for id := range groups {
				if n := b.refused[id] + b.failed[id]; n > 1 {
					t.Fatalf("seed %d: request %d has %d final answers", seed, id, n)
				}
			}
		}
	}
}
