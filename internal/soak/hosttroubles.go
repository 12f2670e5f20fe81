package soak

import (
	"cranegate/internal/fake"
	"math/rand/v2"
	"time"
)

// discoveryFault has discovery fail beside a gateway, or beside all.
func discoveryFault(s *site, g *gateway, _ *host, rng *rand.Rand) {
	fault, lasts := agentFault(1+rng.IntN(3)), between(rng, 300*time.Millisecond, 5*time.Second)
	all := []*gateway{g}
	if rng.IntN(3) == 0 {
		all = s.gateways
	}
	for _, g := range all {
		defer g.unreachable()()
		for _, a := range g.agents {
			a.fault.Store(int32(fault))
			defer a.fault.Store(int32(agentGood))
		}
	}
	time.Sleep(lasts)
}

// drain has discovery list a host as draining, then not at all; it returns as a new process.
func drain(s *site, _ *gateway, h *host, rng *rand.Rand) {
	drains, away := between(rng, time.Second, 8*time.Second), between(rng, 200*time.Millisecond, time.Second)
	if !h.take() {
		return
	}
	defer h.release()
	h.list("DRAINING", h.boot())
	end := s.judge.withdraw(h, s.directory.set(s.targets()), nil)
	time.Sleep(drains)
	h.list("", 0)
	s.directory.set(s.targets())
	s.setDown(h, true)
	time.Sleep(away)
	end()
	s.setDown(h, false)
	h.list("SERVING", time.Now().UnixMilli())
	s.directory.set(s.targets())
}

// setDown ends a host's process, or starts it.
func (s *site) setDown(h *host, down bool) {
	h.down.Store(down)
	if down {
		s.eachProxy(h, (*proxy).resetAll)
	}
}

// eachProxy does something to all ways to a host.
func (s *site) eachProxy(h *host, do func(p *proxy)) {
	for _, g := range s.gateways {
		do(g.proxies[h.uid])
	}
}

// hang has a host accept and answer nothing.
func hang(s *site, _ *gateway, h *host, rng *rand.Rand) {
	lasts := between(rng, 300*time.Millisecond, 3*time.Second)
	if !h.take() {
		return
	}
	defer h.release()
	h.hang.Store(true)
	time.Sleep(lasts)
	h.hang.Store(false)
}

// hostDies kills a host's process, which starts anew some time later.
func hostDies(s *site, _ *gateway, h *host, rng *rand.Rand) {
	lasts := between(rng, 200*time.Millisecond, 3*time.Second)
	if !h.take() {
		return
	}
	defer h.release()
	s.setDown(h, true)
	time.Sleep(lasts)
	s.setDown(h, false)
	h.list("SERVING", time.Now().UnixMilli())
	s.directory.set(s.targets())
}

// lateConnects has connections to a host come up late.
func lateConnects(s *site, _ *gateway, h *host, rng *rand.Rand) {
	late, lasts := between(rng, 50*time.Millisecond, 1500*time.Millisecond), between(rng, 500*time.Millisecond, 3*time.Second)
	s.eachProxy(h, func(p *proxy) { p.setLate(late) })
	time.Sleep(lasts)
	s.eachProxy(h, func(p *proxy) { p.setLate(0) })
}

// stall has nothing pass between a gateway and a host, or between all and it.
func stall(s *site, g *gateway, h *host, rng *rand.Rand) {
	lasts := between(rng, 100*time.Millisecond, 3*time.Second)
	each := func(do func(p *proxy)) { do(g.proxies[h.uid]) }
	if rng.IntN(2) == 0 {
		each = func(do func(p *proxy)) { s.eachProxy(h, do) }
	}
	each(func(p *proxy) { p.setStalled(true) })
	time.Sleep(lasts)
	each(func(p *proxy) { p.setStalled(false) })
}

// resets resets a gateway's connections to a host, several times in a row.
func resets(s *site, g *gateway, h *host, rng *rand.Rand) {
	for range 3 + rng.IntN(10) {
		wait := between(rng, 10*time.Millisecond, 200*time.Millisecond)
		g.proxies[h.uid].resetAll()
		time.Sleep(wait)
	}
}

// badAnswers has a host answer otherwise than it should.
func badAnswers(s *site, _ *gateway, h *host, rng *rand.Rand) {
	acts := []fake.Act{fake.Miss, fake.Reject, fake.Error, fake.Reset, fake.Silent, fake.NoCapacity}
	act, lasts := acts[rng.IntN(len(acts))], between(rng, 100*time.Millisecond, 1500*time.Millisecond)
	if !h.take() {
		return
	}
	defer h.release()
	h.act.Store(int32(act))
	time.Sleep(lasts)
	h.act.Store(int32(fake.Serve))
}
