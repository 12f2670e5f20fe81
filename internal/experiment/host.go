package experiment

import (
	"slices"
	"time"

	"cranegate/routing"
)

// host is one modelled database host.
type host struct {
	fleet         *fleet
	id, zone      string
	group         *group
	up            bool // the process runs
	partitions    int  // active faults that isolate the host
	slow          bool
	draining      bool
	removed       bool          // replaced by another host
	overloaded    bool          // crashed under load in slow start: stays down
	started       time.Duration // start of the process; 0: before the run
	position      time.Duration
	incarnation   int // counts process ends
	connections   int
	running       int // jobs that occupy a core
	waiting       []*job
	recentWork    []workSample
	cachedReport  healthReport
	reportExpires time.Duration
}

// workSample is work that reached a host during its slow start, in seconds of one core.
type workSample struct {
	at   time.Duration
	work float64
}

// healthReport is the answer of a host to a health check.
type healthReport struct {
	position time.Duration
	primary  bool
}

// job is one attempt in the queue or on a core of a host.
type job struct {
	attempt     *attempt
	work        time.Duration
	incarnation int
}

// reachable reports whether the process runs and no partition separates the host.
func (h *host) reachable() bool { return h.up && h.partitions == 0 }

// endpoint returns the host's entry in the endpoint list.
func (h *host) endpoint() routing.Endpoint {
	e := routing.Endpoint{Member: h.id, Group: h.group.number, Zone: h.zone, Capacity: 1, Primary: h.group.primary == h, StartedAt: h.started}
	if h.fleet.HideZones {
		e.Zone = ""
	}
	switch {
	case !h.up:
		e.Phase = routing.PhaseRemoved
	case h.draining:
		e.Phase = routing.PhaseDraining
	}
	return e
}

// speed returns the fraction of its full capacity that the host has now.
func (h *host) speed() float64 {
	s := 1.0
	if h.started > 0 && h.fleet.now < h.started+slowStartDuration {
		s = slowStartCapacity + (1-slowStartCapacity)*float64(h.fleet.now-h.started)/float64(slowStartDuration)
	}
	if h.slow {
		s /= 4
	}
	return s
}

// crash ends the process: connections are reset and all work is lost.
func (h *host) crash() {
	h.up, h.incarnation, h.running, h.waiting, h.connections, h.recentWork = false, h.incarnation+1, 0, nil, 0, nil
	h.fleet.notifyHostChanged(h)
	for _, g := range h.fleet.gateways {
		g.resetConnections(h)
	}
	h.fleet.announce(h, draw(h.fleet.rng, time.Second, 3*time.Second))
}

// start starts a new process in slow start, with the log at its last position. An overloaded host stays down.
func (h *host) start() {
	if h.overloaded {
		return
	}
	h.up, h.started = true, h.fleet.now
	h.fleet.notifyHostChanged(h)
	h.fleet.announce(h, draw(h.fleet.rng, time.Second, 3*time.Second))
}

// recordWork adds work received during slow start. The host crashes permanently when the work within
// overloadWindow exceeds overloadFactor times its current capacity.
func (h *host) recordWork(work time.Duration) {
	if h.speed() >= 1 || h.slow || h.fleet.DisableOverload {
		return
	}
	h.recentWork = slices.DeleteFunc(h.recentWork, func(sample workSample) bool { return sample.at < h.fleet.now-overloadWindow })
	h.recentWork = append(h.recentWork, workSample{h.fleet.now, work.Seconds()})
	total := 0.0
	for _, sample := range h.recentWork {
		total += sample.work
	}
	if total > overloadFactor*h.speed()*coresPerHost*overloadWindow.Seconds() && len(h.recentWork) > 1 {
		h.fleet.judge.hostOverloaded(h)
		h.overloaded = true
		h.crash()
	}
}

// receive handles an attempt whose last byte has arrived.
func (h *host) receive(attempt *attempt, work time.Duration) {
	h.fleet.judge.recordSlowStartCall(h, attempt.gateway, 1)
	h.recordWork(work)
	if !h.up {
		return
	}
	consistency, onPrimary := attempt.request.class.Consistency, h.group.primary == h
	checksStaleness := h.fleet.StaleReads != routing.StaleReadServed
	needsPrimary := consistency == routing.ConsistencyWrite || consistency == routing.ConsistencyStrong && checksStaleness
	switch {
	case needsPrimary && !onPrimary:
		h.reply(attempt, routing.ResultMissed, 0)
	case len(h.waiting) >= queueCapacity:
		h.reply(attempt, routing.ResultOverCapacity, 0)
	case checksStaleness && h.position < attempt.requiredPosition:
		h.fleet.after(catchUpTimeout, h.ifAlive(func() {
			if h.position < attempt.requiredPosition {
				h.reply(attempt, routing.ResultMissed, 0)
			} else {
				h.enqueue(attempt, work)
			}
		}))
	default:
		h.enqueue(attempt, work)
	}
}

// ifAlive returns a function that calls call, unless the host's current process has ended by then.
func (h *host) ifAlive(call func()) func() {
	incarnation := h.incarnation
	return func() {
		if h.incarnation == incarnation {
			call()
		}
	}
}

// enqueue queues an attempt and dispatches it if a core is free.
func (h *host) enqueue(a *attempt, work time.Duration) {
	h.waiting = append(h.waiting, &job{a, work, h.incarnation})
	h.dispatch()
}

// dispatch starts queued jobs while a core is free. Attempts abandoned in the meantime are dropped.
func (h *host) dispatch() {
	for h.up && h.running < coresPerHost && len(h.waiting) > 0 {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		if j.attempt.finished || h.fleet.now >= j.attempt.abandonAt {
			if j.attempt.onOutcome != nil {
				j.attempt.finish(routing.Outcome{Result: routing.ResultTimeout}, 0)
			}
			continue
		}
		h.running++
		h.fleet.judge.attemptRan(j.attempt, h)
		h.fleet.after(time.Duration(float64(j.work)/h.speed()), func() {
			if h.incarnation != j.incarnation {
				return
			}
			h.running--
			position := h.position
			if h.group.primary == h {
				position = h.fleet.now
			}
			if j.attempt.request.class.Consistency == routing.ConsistencyWrite {
				if h.group.primary != h { // it was demoted while it ran the write
					h.reply(j.attempt, routing.ResultError, 0)
					h.dispatch()
					return
				}
				position = h.fleet.now
			}
			h.reply(j.attempt, routing.ResultOK, position)
			h.dispatch()
		})
	}
}

// reply sends an outcome back, unless a partition or a crash prevents it.
func (h *host) reply(attempt *attempt, result routing.Result, position time.Duration) {
	outcome := routing.Outcome{Result: result, Role: routing.RoleReplica, Position: h.position.Milliseconds()}
	if h.group.primary == h {
		outcome.Role = routing.RolePrimary
	}
	if result == routing.ResultOK && attempt.request.class.Consistency == routing.ConsistencyWrite {
		outcome.Position = position.Milliseconds() + 1
	}
	incarnation := h.incarnation
	h.fleet.after(attempt.gateway.networkDelay(h), func() {
		if h.partitions == 0 && h.incarnation == incarnation {
			attempt.finish(outcome, position)
		}
	})
}

// currentReport returns the health report, which the host refreshes every 110 to 240 ms.
func (h *host) currentReport() healthReport {
	if h.reportExpires == 0 || h.fleet.now >= h.reportExpires {
		h.cachedReport = healthReport{h.position, h.group.primary == h}
		h.reportExpires = h.fleet.now + draw(h.fleet.rng, 110*time.Millisecond, 240*time.Millisecond)
	}
	return h.cachedReport
}
