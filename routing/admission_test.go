package routing

import "testing"

func TestSheddingLetsGoWhenAnswersAreGoodAgain(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	for _, m := range b.r.sortedMembers {
		for range 40 {
			b.r.recordLatency(m, latencySample{at: b.now, ratio: 100})
		}
	}
	shed := func(n int) (refused int) {
		for range n {
			b.pass(10 * ms)
			b.told("a", 10*ms)
			q := b.ask(anyRead)
			refused += b.refused[q]
			if len(b.to(q)) > 0 {
				b.answer(q, ResultOK, RoleReplica, 0)
			}
		}
		return refused
	}
	if n := shed(100); n < 50 {
		t.Errorf("%d of 100 refused while nothing comes in time", n)
	}
	b.pass(latencyWindowAge)
	b.want("refused once answers are good", shed(100), 0)
}

func TestWorkPastATenantsShareIsRefusedFirst(t *testing.T) {
	c := config()
	c.Tenants, c.OverQuotaWeight = []Tenant{{Name: "one", Quota: 10}, {Name: "two", Quota: 90}}, 0.1
	b := newRig(t, c)
	b.told("a", 10*ms)
	for _, m := range b.r.sortedMembers {
		for range 38 { // two in three in time
			b.r.recordLatency(m, latencySample{at: b.now, ratio: 100 * float64(b.r.rng.IntN(3)/2)})
		}
	}
	over, within := 0, 0
	for range 60 {
		q := b.ask(anyRead, func(q *Request) { q.Tenant = 0 })
		over += b.refused[q]
		p := b.ask(anyRead, func(q *Request) { q.Tenant = 1 })
		within += b.refused[p]
		for _, id := range []uint64{q, p} {
			if len(b.to(id)) > 0 {
				b.answer(id, ResultCancelled, RoleUnknown, 0)
			}
		}
	}
	if over <= within {
		t.Errorf("refused past the share %d, others %d", over, within)
	}
}

func TestWritesWorthMoreForTheirWorkAreRefusedLaterThanReads(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	refused := map[int]int{}
	for range 200 {
		for _, m := range b.r.sortedMembers { // four of five in time everywhere
			m.latencyWindow, m.inFlight, m.endedSilence = nil, nil, 0
			for i := range 10 {
				b.r.recordLatency(m, latencySample{at: b.now, ratio: 100 * float64(i%5/4)})
			}
		}
		for _, class := range []int{anyRead, onceWrite} {
			q := b.ask(class)
			refused[class] += b.refused[q]
			if len(b.to(q)) > 0 {
				b.answer(q, ResultNotSent, RoleUnknown, 0)
			}
		}
	}
	if refused[anyRead] < 20 || refused[onceWrite] > refused[anyRead]/2 {
		t.Errorf("refused %d reads worth 1 and %d writes worth 4", refused[anyRead], refused[onceWrite])
	}
}

// TestMarkedRetriesGetNoSecondDraw has a quarter of the answers come too late: of first tries a share goes, of marked retries none, as
// each draw of theirs would let the same share of them in again. Where answers are in time, or a gateway has seen none, all go,
// but those of a class that their group has shed: they wait till an aim has passed without.
func TestMarkedRetriesGetNoSecondDraw(t *testing.T) {
	b := newRig(t, config())
	b.told("a", 10*ms)
	repeat := func(q *Request) { q.Retry = true }
	b.want("a retry where nothing is known", len(b.to(b.ask(anyRead, repeat))), 1)
	sent := func(n int, ratio float64, change func(*Request)) (sent int) {
		for range n {
			for _, m := range b.r.sortedMembers {
				m.latencyWindow, m.inFlight = nil, nil
				for i := range 40 {
					s := latencySample{at: b.now, ratio: 0.1}
					if i%4 == 0 {
						s.ratio = ratio
					}
					b.r.recordLatency(m, s)
				}
			}
			sent += len(b.to(b.ask(anyRead, change)))
		}
		return sent
	}
	first, again := sent(400, 1e3, func(*Request) {}), sent(400, 1e3, repeat)
	if first < 50 || first > 350 || again > 0 {
		t.Errorf("%d of 400 first tries and %d of 400 retries were sent where a quarter of the answers come late", first, again)
	}
	b.want("retries sent as answers are in time again, but some were shed just now", sent(10, 0.1, repeat), 0)
	b.want("first tries then", sent(100, 0.1, func(*Request) {}), 100)
	b.pass(b.r.cfg.Classes[anyRead].LatencyObjective / 2)
	b.want("retries sent half an aim later", sent(10, 0.1, repeat), 0)
	b.pass(b.r.cfg.Classes[anyRead].LatencyObjective / 2) // those that were refused since keep none waiting
	b.want("retries sent an aim later", sent(100, 0.1, repeat), 100)
}
