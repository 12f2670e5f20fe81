package routing

import "testing"

// recordAll replaces the latency windows of all members with n samples. The function ratio returns the ratio
// of each sample by its index.
func (h *harness) recordAll(n int, ratio func(i int) float64) {
	for _, member := range h.router.sortedMembers {
		member.latencyWindow = nil
		for i := range n {
			h.router.recordLatency(member, latencySample{at: h.now, ratio: ratio(i)})
		}
	}
}

func TestSheddingEndsWhenLatenciesRecover(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	h.recordAll(40, func(int) float64 { return 100 })
	countRejected := func(n int) (rejected int) {
		for range n {
			h.advance(10 * ms)
			h.reportAll("a", 10*ms)
			id := h.request(anyRead)
			rejected += h.rejected[id]
			if len(h.membersTried(id)) > 0 {
				h.endAttempt(id, ResultOK, RoleReplica, 0)
			}
		}
		return rejected
	}
	if n := countRejected(100); n < 50 {
		t.Errorf("%d of 100 rejected while all answers are late", n)
	}
	h.advance(latencyWindowAge)
	h.want("rejected once answers are in time", countRejected(100), 0)
}

func TestRequestsOverQuotaAreShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "one", Quota: 10}, {Name: "two", Quota: 90}}
	cfg.OverQuotaWeight = 0.1
	h := newHarness(t, cfg)
	h.reportAll("a", 10*ms)
	h.recordAll(38, func(int) float64 { // two in three are on time
		return 100 * float64(h.router.rng.IntN(3)/2)
	})
	over, within := 0, 0
	for range 60 {
		first := h.request(anyRead, func(req *Request) { req.Tenant = 0 })
		over += h.rejected[first]
		second := h.request(anyRead, func(req *Request) { req.Tenant = 1 })
		within += h.rejected[second]
		for _, id := range []uint64{first, second} {
			if len(h.membersTried(id)) > 0 {
				h.endAttempt(id, ResultCancelled, RoleUnknown, 0)
			}
		}
	}
	if over <= within {
		t.Errorf("%d requests over quota and %d within quota were rejected", over, within)
	}
}

func TestHighPriorityWeightIsShedLast(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	rejected := map[int]int{}
	for range 200 {
		for _, member := range h.router.sortedMembers {
			member.inFlight = nil
			member.endedSilence = 0
		}
		h.recordAll(10, func(i int) float64 { return 100 * float64(i%5/4) }) // four of five are on time
		for _, class := range []int{anyRead, nonIdempotentWrite} {
			id := h.request(class)
			rejected[class] += h.rejected[id]
			if len(h.membersTried(id)) > 0 {
				h.endAttempt(id, ResultNotSent, RoleUnknown, 0)
			}
		}
	}
	reads, writes := rejected[anyRead], rejected[nonIdempotentWrite]
	if reads < 20 || writes > reads/2 {
		t.Errorf("rejected %d reads of weight 1 and %d writes of weight 4", reads, writes)
	}
}

// TestMarkedRetriesAreNotAdmittedAtRandom checks that, while a quarter of the answers are late, a share of
// the first tries is admitted but no marked retry: a new random draw for each retry would admit the same
// share of them again. While answers are on time, or nothing is known, all requests are admitted, except
// marked retries of a class that the group has shed: these are admitted again when a latency objective has
// passed without shedding.
func TestMarkedRetriesAreNotAdmittedAtRandom(t *testing.T) {
	h := newHarness(t, testConfig())
	h.reportAll("a", 10*ms)
	first := func(*Request) {}
	retry := func(req *Request) { req.Retry = true }
	h.want("a retry where nothing is known", len(h.membersTried(h.request(anyRead, retry))), 1)
	countSent := func(n int, lateRatio float64, change func(*Request)) (sent int) {
		for range n {
			for _, member := range h.router.sortedMembers {
				member.inFlight = nil
			}
			h.recordAll(40, func(i int) float64 {
				if i%4 == 0 {
					return lateRatio
				}
				return 0.1
			})
			sent += len(h.membersTried(h.request(anyRead, change)))
		}
		return sent
	}
	firstSent, retriesSent := countSent(400, 1e3, first), countSent(400, 1e3, retry)
	if firstSent < 50 || firstSent > 350 || retriesSent > 0 {
		t.Errorf("%d of 400 first tries and %d of 400 retries were sent while a quarter of the answers are late",
			firstSent, retriesSent)
	}
	h.want("retries sent while answers are in time, but some were shed just now", countSent(10, 0.1, retry), 0)
	h.want("first tries then", countSent(100, 0.1, first), 100)
	h.advance(h.router.cfg.Classes[anyRead].LatencyObjective / 2)
	h.want("retries sent half a latency objective later", countSent(10, 0.1, retry), 0)
	h.advance(h.router.cfg.Classes[anyRead].LatencyObjective / 2) // rejected retries delay no other retries
	h.want("retries sent a latency objective later", countSent(100, 0.1, retry), 100)
}
