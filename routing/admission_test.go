package routing

import "testing"

func TestSheddingEndsWhenLatenciesRecover(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	for _, member := range h.router.sortedMembers {
		for range 40 {
			h.router.recordLatency(member, latencySample{at: h.now, ratio: 100})
		}
	}
	shed := func(n int) (refused int) {
		for range n {
			h.advance(10 * ms)
			h.reportAll("a", 10*ms)
			id := h.request(anyRead)
			refused += h.rejected[id]
			if len(h.membersTried(id)) > 0 {
				h.endAttempt(id, ResultOK, RoleReplica, 0)
			}
		}
		return refused
	}
	if n := shed(100); n < 50 {
		t.Errorf("%d of 100 refused while nothing comes in time", n)
	}
	h.advance(latencyWindowAge)
	h.want("refused once answers are good", shed(100), 0)
}

func TestRequestsOverQuotaAreShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverQuotaWeight = []Tenant{{Name: "one", Quota: 10}, {Name: "two", Quota: 90}}, 0.1
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	for _, member := range h.router.sortedMembers {
		for range 38 { // two in three in time
			h.router.recordLatency(member, latencySample{at: h.now, ratio: 100 * float64(h.router.rng.IntN(3)/2)})
		}
	}
	over, within := 0, 0
	for range 60 {
		read := h.request(anyRead, func(req *Request) { req.Tenant = 0 })
		over += h.rejected[read]
		other := h.request(anyRead, func(req *Request) { req.Tenant = 1 })
		within += h.rejected[other]
		for _, id := range []uint64{read, other} {
			if len(h.membersTried(id)) > 0 {
				h.endAttempt(id, ResultCancelled, RoleUnknown, 0)
			}
		}
	}
	if over <= within {
		t.Errorf("refused past the share %d, others %d", over, within)
	}
}

func TestHighPriorityWeightIsShedLast(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	refused := map[int]int{}
	for range 200 {
		for _, member := range h.router.sortedMembers { // four of five in time everywhere
			member.latencyWindow, member.inFlight, member.endedSilence = nil, nil, 0
			for i := range 10 {
				h.router.recordLatency(member, latencySample{at: h.now, ratio: 100 * float64(i%5/4)})
			}
		}
		for _, class := range []int{anyRead, nonIdempotentWrite} {
			id := h.request(class)
			refused[class] += h.rejected[id]
			if len(h.membersTried(id)) > 0 {
				h.endAttempt(id, ResultNotSent, RoleUnknown, 0)
			}
		}
	}
	if refused[anyRead] < 20 || refused[nonIdempotentWrite] > refused[anyRead]/2 {
		t.Errorf("refused %d reads worth 1 and %d writes worth 4", refused[anyRead], refused[nonIdempotentWrite])
	}
}

// TestMarkedRetriesAreNotDrawnAgain has a quarter of the answers come too late: of first tries a share goes, of marked retries none, as
// each draw of theirs would let the same share of them in again. Where answers are in time, or a gateway has seen none, all go,
// but those of a class that their group has shed: they wait till an aim has passed without.
func TestMarkedRetriesAreNotDrawnAgain(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	repeat := func(req *Request) { req.Retry = true }
	h.want("a retry where nothing is known", len(h.membersTried(h.request(anyRead, repeat))), 1)
	sent := func(n int, ratio float64, change func(*Request)) (sent int) {
		for range n {
			for _, member := range h.router.sortedMembers {
				member.latencyWindow, member.inFlight = nil, nil
				for i := range 40 {
					s := latencySample{at: h.now, ratio: 0.1}
					if i%4 == 0 {
						s.ratio = ratio
					}
					h.router.recordLatency(member, s)
				}
			}
			sent += len(h.membersTried(h.request(anyRead, change)))
		}
		return sent
	}
	first, again := sent(400, 1e3, func(*Request) {}), sent(400, 1e3, repeat)
	if first < 50 || first > 350 || again > 0 {
		t.Errorf("%d of 400 first tries and %d of 400 retries were sent where a quarter of the answers come late", first, again)
	}
	h.want("retries sent as answers are in time again, but some were shed just now", sent(10, 0.1, repeat), 0)
	h.want("first tries then", sent(100, 0.1, func(*Request) {}), 100)
	h.advance(h.router.cfg.Classes[anyRead].LatencyObjective / 2)
	h.want("retries sent half an aim later", sent(10, 0.1, repeat), 0)
	h.advance(h.router.cfg.Classes[anyRead].LatencyObjective / 2) // those that were refused since keep none waiting
	h.want("retries sent an aim later", sent(100, 0.1, repeat), 100)
}
