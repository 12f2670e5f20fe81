package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestProbesFollowTheTraffic(t *testing.T) {
	b := newRig(t, config())
	b.probes = nil
	for range 400 {
		b.pass(100 * ms)
		b.told("a", 10*ms)
	}
	b.want("probes of an idle gateway in 40 s", len(b.probes) <= int(maxHealthCheckTokens), true)
}

func TestProbesAreNotEatenByTheFirstMembersInDoubt(t *testing.T) {
	var entries []Endpoint
	for i := range 20 {
		entries = append(entries, Endpoint{Member: fmt.Sprint("m", 10+i), Group: i / 5, Primary: i%5 == 0})
	}
	b := newRig(t, config(), entries...)
	b.told("", 10*ms)
	for _, m := range b.r.sortedMembers {
		m.failures = maxFailures
	}
	b.probes = nil
	b.pass(2 * time.Second)
	n := map[string]int{}
	for _, m := range b.probes {
		n[m]++
		b.r.members[m].healthCheckPending = false
	}
	b.want("members probed", len(n), 20)
}

func TestLargeFleetIsNotProbedWholeAtEachStart(t *testing.T) {
	var entries []Endpoint
	for i := range 100 {
		entries = append(entries, Endpoint{Member: fmt.Sprint("m", 100+i), Group: i / 5, Primary: i%5 == 0})
	}
	b := newRig(t, config(), entries...)
	b.want("probes at the start", len(b.probes), 0)
	q := b.ask(boundedRead)
	if to := b.to(q); len(to) == 0 || to[0] == "m105" {
		t.Errorf("the first bounded read of a gateway that has heard nobody went %v", to)
	}
	c := config()
	c.StaleReads = StaleReadServed
	b = newRig(t, c, entries...)
	b.want("probes where members do not check reads", len(b.probes), 100)
}

func TestALargeSiteIsProbedLessForEachRequest(t *testing.T) {
	share := func(members int) float64 {
		var entries []Endpoint
		for i := range members {
			entries = append(entries, Endpoint{Member: fmt.Sprint("m", 10+i), Group: i / 4, Primary: i%4 == 0, Capacity: 1})
		}
		b := newRig(t, config(), entries...)
		for _, m := range b.r.sortedMembers {
			m.role = RoleReplica
			if m.listedPrimary {
				m.role = RolePrimary
			}
		}
		asked := 0
		for range 40 * 20 {
			b.pass(50 * ms)
			q := b.ask(anyRead, func(q *Request) { q.Group = asked % (members / 4) })
			if asked++; asked == 400 {
				b.probes = nil // what was saved up for the start is spent
			}
			b.answer(q, ResultOK, RoleReplica, b.at(0))
			for _, m := range b.r.sortedMembers {
				if m.healthCheckPending {
					b.r.HealthChecked(b.now, HealthCheckResult{Member: m.id, Result: ResultOK,
						Report: Report{HasPosition: true, Position: b.at(0)}})
				}
			}
		}
		return float64(len(b.probes)) / float64(asked-400)
	}
	few, many := share(8), share(60)
	if few < 0.1 || many > 0.1 || many == 0 {
		t.Errorf("%.2f probes a request with 8 members, %.2f with 60", few, many)
	}
}

func TestAPrimaryIsSoughtByProbesOnlyWhileARequestWantsIt(t *testing.T) {
	for _, class := range []int{freshRead, sessionRead, boundedRead} {
		b := newRig(t, config(), Endpoint{Member: "a", Group: 1}, Endpoint{Member: "b", Group: 1}, Endpoint{Member: "c", Group: 1})
		b.pass(time.Second)
		b.probes, b.r.healthCheckTokens = nil, 0 // what is saved up is spent
		for _, m := range b.r.sortedMembers {
			m.healthCheckPending = false
		}
		b.pass(2 * time.Second)
		b.want("probes while nothing wants the primary", len(b.probes), 0)
		b.ask(class, func(q *Request) { q.SinceWrite = ms })
		b.pass(300 * ms)
		if len(b.probes) < 3 {
			t.Errorf("%d probes while a read of class %d waits for the primary", len(b.probes), class)
		}
	}
}

// TestStartOfManyProbesNobody starts gateways beside few and beside many others: each probe of a start costs its member the
// same, and all gateways pay for it together.
func TestStartOfManyProbesNobody(t *testing.T) {
	var entries []Endpoint
	for i := range 24 {
		entries = append(entries, Endpoint{Member: fmt.Sprint("m", i), Group: i / 3, Primary: i%3 == 0, Capacity: 1})
	}
	for gateways, want := range map[int]int{2: 24, 6: 24, 36: 0} {
		c := config()
		c.Gateways = gateways
		if got := len(newRig(t, c, entries...).probes); got != want {
			t.Errorf("one of %d gateways probes %d members at its start, want %d", gateways, got, want)
		}
	}
}

// TestReadsThatMembersDoNotCheckFindFreshOnes has a gateway that sees little of a large site whose members answer from what they
// have. No position that it knows is recent enough for a bounded read, and the primary has no room: members of that group are
// asked, though the budget for probes is spent, and the read goes to one that has told.
func TestReadsThatMembersDoNotCheckFindFreshOnes(t *testing.T) {
	for _, guards := range []StaleReadPolicy{StaleReadServed, StaleReadDelayed} {
		c := config()
		c.StaleReads = guards
		b := newRig(t, c)
		b.told("a", 10*ms)
		b.pass(10 * time.Second)
		for _, m := range b.r.sortedMembers {
			m.healthCheckPending, m.answeredAt = false, b.now
		}
		a := b.r.members["a"]
		for len(a.inFlight) < 20 {
			a.inFlight = append(a.inFlight, &attemptState{request: &requestState{}, member: a, sentAt: b.now - 100*time.Second, expectedLatency: 2 * time.Second})
		}
		b.probes, b.r.healthCheckTokens = nil, 0
		q := b.ask(boundedRead)
		b.want("sent at once where members check", len(b.to(q)) == 1, guards != StaleReadServed)
		b.want("it pays for a probe", b.r.healthCheckTokens == 1, guards == StaleReadServed)
		b.pass(120 * ms)
		b.want("probes for the read", len(b.probes) > 0, guards == StaleReadServed)
		if guards != StaleReadServed {
			continue
		}
		b.told("a", 10*ms)
		b.pass(50 * ms)
		b.want("sent once a member has told", len(b.to(q)) == 1 && b.to(q)[0] != "a", true)
	}
}
