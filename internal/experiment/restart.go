package experiment

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	gracefulShutdownDuration = 3 * time.Second        // from SIGTERM to the end of a process
	restartDelay             = 500 * time.Millisecond // from the end of a process to the next start
	hostDrainDuration        = 3 * time.Second        // from the start of a replaced host's drain to its end
)

// startReplacement restarts gateways or replaces hosts.
func (f *fleet) startReplacement(fault Fault) {
	switch fault.Kind {
	case Kill:
		for i, g := range f.gateways {
			if int(float64(i+1)*fault.Fraction) > int(float64(i)*fault.Fraction) {
				g.crash()
				f.after(fault.Duration, g.restart)
			}
		}
	case Restart:
		for i, g := range f.gateways {
			f.after(fault.Duration/10*time.Duration(i*10/len(f.gateways)), func() {
				g.down = true
				f.after(gracefulShutdownDuration, g.crash)
				f.after(gracefulShutdownDuration+restartDelay, g.restart)
			})
		}
	case Replace:
		hosts := f.affectedHosts(fault)
		for i, h := range hosts {
			f.after(fault.Duration*time.Duration(i)/time.Duration(len(hosts)), func() { f.replace(h) })
		}
	}
}

// crash ends the gateway's process. Clients with open requests lose their connections and may retry.
func (g *gateway) crash() {
	f := g.fleet
	g.down, g.router = true, nil
	g.incarnation++
	requests := g.requests
	g.requests = map[uint64]*request{}
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		request := requests[id]
		for _, a := range request.inFlight {
			a.finished = true
		}
		if !request.finished {
			request.finished = true
			f.judge.interruptedRequests++
			g.retry(request, false, 0)
		}
	}
	for _, h := range f.hosts {
		if p := g.pools[h]; p != nil {
			if h.up {
				h.connections -= len(p.idle) + len(p.inFlight)
			}
			g.pools[h] = &pool{}
		}
	}
}

// restart starts a new process of the gateway.
func (g *gateway) restart() {
	g.down = false
	g.start()
}

// replace starts a new host in place of another, which drains and ends.
func (f *fleet) replace(old *host) {
	if !old.up || old.removed {
		return
	}
	g := old.group
	h := &host{fleet: f, id: fmt.Sprintf("%s-%d", old.id, len(f.hosts)), group: g, zone: old.zone, up: true, started: f.now, position: old.position}
	g.members = append(g.members, h)
	f.hosts = append(f.hosts, h)
	for _, gateway := range f.gateways {
		gateway.hosts[h.id], gateway.pools[h] = h, &pool{}
	}
	f.notifyHostChanged(h)
	f.announce(h, draw(f.rng, 450*time.Millisecond, 2300*time.Millisecond))
	old.draining = true
	f.announce(old, draw(f.rng, 0, 400*time.Millisecond))
	f.after(hostDrainDuration, func() {
		old.removed = true
		g.members = slices.DeleteFunc(g.members, func(member *host) bool { return member == old })
		old.crash()
	})
}
