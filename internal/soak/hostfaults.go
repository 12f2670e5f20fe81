package soak

import (
	"math/rand/v2"
	"time"

	"cranegate/internal/fake"
)

// failDiscovery makes discovery fail for one gateway or for all.
func failDiscovery(s *scenario, g *gateway, _ *host, rng *rand.Rand) {
	fault, duration := agentFault(1+rng.IntN(3)), randomDuration(rng, 300*time.Millisecond, 5*time.Second)
	all := []*gateway{g}
	if rng.IntN(3) == 0 {
		all = s.gateways
	}
	for _, g := range all {
		defer g.beginDiscoveryOutage()()
		for _, a := range g.agents {
			a.fault.Store(int32(fault))
			defer a.fault.Store(int32(agentHealthy))
		}
	}
	time.Sleep(duration)
}

// drainHost lists a host as draining, removes it from the list and ends it, then starts it as a new process and lists it
// again.
func drainHost(s *scenario, _ *gateway, h *host, rng *rand.Rand) {
	drainDuration := randomDuration(rng, time.Second, 8*time.Second)
	absentDuration := randomDuration(rng, 200*time.Millisecond, time.Second)
	if !h.tryReserve() {
		return
	}
	defer h.release()
	h.setListing("DRAINING", h.bootTimeMS())
	end := s.checker.beginWithdrawal(h, s.directory.set(s.targets()), nil)
	time.Sleep(drainDuration)
	h.setListing("", 0)
	s.directory.set(s.targets())
	s.setDown(h, true)
	time.Sleep(absentDuration)
	end()
	s.setDown(h, false)
	h.setListing("SERVING", time.Now().UnixMilli())
	s.directory.set(s.targets())
}

// setDown ends or starts a host's process.
func (s *scenario) setDown(h *host, down bool) {
	h.down.Store(down)
	if down {
		s.eachProxy(h, (*proxy).resetAll)
	}
}

// eachProxy applies do to the proxies of all gateways to a host.
func (s *scenario) eachProxy(h *host, do func(p *proxy)) {
	for _, g := range s.gateways {
		do(g.proxies[h.uid])
	}
}

// hangHost makes a host accept connections and statements without answering.
func hangHost(s *scenario, _ *gateway, h *host, rng *rand.Rand) {
	duration := randomDuration(rng, 300*time.Millisecond, 3*time.Second)
	if !h.tryReserve() {
		return
	}
	defer h.release()
	h.hanging.Store(true)
	time.Sleep(duration)
	h.hanging.Store(false)
}

// crashHost ends a host's process, which restarts some time later.
func crashHost(s *scenario, _ *gateway, h *host, rng *rand.Rand) {
	duration := randomDuration(rng, 200*time.Millisecond, 3*time.Second)
	if !h.tryReserve() {
		return
	}
	defer h.release()
	s.setDown(h, true)
	time.Sleep(duration)
	s.setDown(h, false)
	h.setListing("SERVING", time.Now().UnixMilli())
	s.directory.set(s.targets())
}

// delayConnects delays new connections to a host.
func delayConnects(s *scenario, _ *gateway, h *host, rng *rand.Rand) {
	delay := randomDuration(rng, 50*time.Millisecond, 1500*time.Millisecond)
	duration := randomDuration(rng, 500*time.Millisecond, 3*time.Second)
	s.eachProxy(h, func(p *proxy) { p.setConnectDelay(delay) })
	time.Sleep(duration)
	s.eachProxy(h, func(p *proxy) { p.setConnectDelay(0) })
}

// stallProxies stops all bytes between one gateway and a host, or between all gateways and the host.
func stallProxies(s *scenario, g *gateway, h *host, rng *rand.Rand) {
	duration := randomDuration(rng, 100*time.Millisecond, 3*time.Second)
	each := func(do func(p *proxy)) { do(g.proxies[h.uid]) }
	if rng.IntN(2) == 0 {
		each = func(do func(p *proxy)) { s.eachProxy(h, do) }
	}
	each(func(p *proxy) { p.setStalled(true) })
	time.Sleep(duration)
	each(func(p *proxy) { p.setStalled(false) })
}

// resetConnections resets a gateway's connections to a host, several times in a row.
func resetConnections(s *scenario, g *gateway, h *host, rng *rand.Rand) {
	for range 3 + rng.IntN(10) {
		wait := randomDuration(rng, 10*time.Millisecond, 200*time.Millisecond)
		g.proxies[h.uid].resetAll()
		time.Sleep(wait)
	}
}

// returnBadAnswers makes a host reject statements, fail them, reset their connections or leave them unanswered.
func returnBadAnswers(s *scenario, _ *gateway, h *host, rng *rand.Rand) {
	actions := []fake.Act{fake.Miss, fake.Reject, fake.Error, fake.Reset, fake.Silent, fake.NoCapacity}
	action, duration := actions[rng.IntN(len(actions))], randomDuration(rng, 100*time.Millisecond, 1500*time.Millisecond)
	if !h.tryReserve() {
		return
	}
	defer h.release()
	h.action.Store(int32(action))
	time.Sleep(duration)
	h.action.Store(int32(fake.Serve))
}
