package experiment

import (
	"fmt"
	"slices"
	"time"

	"cranegate/routing"
)

// Judge checks a run by what each host did and what each client received. It shares no code with the decision module.
type Judge struct {
	fleet *fleet

	// Violations of the invariants.
	staleReads      int
	duplicateRuns   int // of writes
	unanswered      int
	extraResponses  int
	overloadedHosts int
	sendsToDrained  int
	wrongAnswers    int
	notes           []string

	operations                 []*operation
	runs                       map[*request]int                     // executions of each request at hosts
	drainedSince               map[*gateway]map[*host]time.Duration // when the gateway was notified of the drain
	attempts                   []attemptRecord
	snapshots                  []fleetSnapshot
	healthChecks               int
	maxHostConnections         int // maximum number of connections to one host
	lateResponses              int // responses more than lateResponseSlack after the deadline, on sockets
	interruptedRequests        int // requests in flight when their gateway crashed
	slowStarts                 map[*host]*slowStartRecord
	connects, rejectedConnects int // established connections, and connections that a host at its limit rejected
}

// attemptRecord is one recorded attempt.
type attemptRecord struct {
	at          time.Duration
	gateway     int
	zone        string
	first, read bool // the first attempt of its request; a read that a replica may serve
	replica     bool // sent to a member that is not the primary
	sameZone    bool // sent to the gateway's own zone
}

// fleetSnapshot is the state of the fleet at one time.
type fleetSnapshot struct {
	at               time.Duration
	cores            []float64       // by group: cores of reachable hosts, reduced by slow start
	primaryReachable []bool          // by group
	newestPosition   []time.Duration // by group
}

// newJudge returns a judge of a fleet.
func newJudge(f *fleet) *Judge {
	return &Judge{fleet: f, runs: map[*request]int{}, drainedSince: map[*gateway]map[*host]time.Duration{}, slowStarts: map[*host]*slowStartRecord{}}
}

// note records a violation with its time, up to maxNotes.
func (j *Judge) note(format string, args ...any) {
	if len(j.notes) < maxNotes {
		j.notes = append(j.notes, fmt.Sprintf("%8.3fs ", (j.fleet.now-epoch).Seconds())+fmt.Sprintf(format, args...))
	}
}

// recordOperation records a client's operation.
func (j *Judge) recordOperation(op *operation) { j.operations = append(j.operations, op) }

// endpointNotified records an endpoint update that a gateway received. Once drainGracePeriod has passed, it must send
// nothing new to a draining or removed host.
func (j *Judge) endpointNotified(g *gateway, e routing.Endpoint) {
	if j.drainedSince[g] == nil {
		j.drainedSince[g] = map[*host]time.Duration{}
	}
	j.startNotified(g, g.hosts[e.Member], e.StartedAt)
	if e.Phase == routing.PhaseServing {
		delete(j.drainedSince[g], g.hosts[e.Member])
	} else if _, ok := j.drainedSince[g][g.hosts[e.Member]]; !ok {
		j.drainedSince[g][g.hosts[e.Member]] = j.fleet.now
	}
}

// attemptSent records an attempt. It counts a violation if the gateway has known for longer than drainGracePeriod that the
// host is draining or removed.
func (j *Judge) attemptSent(a *attempt) {
	consistency := a.request.class.Consistency
	j.attempts = append(j.attempts, attemptRecord{
		at:       j.fleet.now,
		gateway:  a.gateway.number,
		zone:     a.host.zone,
		first:    a.number == 0,
		read:     consistency != routing.ConsistencyWrite && consistency != routing.ConsistencyStrong,
		replica:  a.host != a.request.group.primary,
		sameZone: a.host.zone == a.gateway.zone,
	})
	if at, ok := j.drainedSince[a.gateway][a.host]; ok && j.fleet.now > at+drainGracePeriod {
		j.sendsToDrained++
		j.note("gateway %d sent to %s, which it knows to drain", a.gateway.number, a.host.id)
	}
}

// attemptWritten counts concurrent attempts of a request that is not idempotent.
func (j *Judge) attemptWritten(a *attempt) {
	if a.request.class.Effect != routing.NonIdempotent {
		return
	}
	for _, other := range a.request.inFlight {
		if other != a && other.written && !other.finished {
			j.duplicateRuns++
			j.note("two copies of one write are out")
		}
	}
}

// attemptRan counts the executions of a request at hosts.
func (j *Judge) attemptRan(a *attempt, h *host) {
	j.runs[a.request]++
	if j.runs[a.request] > 1 && a.request.class.Effect == routing.NonIdempotent {
		j.duplicateRuns++
		j.note("a write ran again at %s", h.id)
	}
}

// hostOverloaded counts a host that crashed under its load during slow start.
func (j *Judge) hostOverloaded(h *host) {
	j.overloadedHosts++
	j.note("%s was pushed over, %.1f s after its start", h.id, (j.fleet.now - h.started).Seconds())
}

// requestServed checks a response with data of the given position and credits its priority weight.
func (j *Judge) requestServed(request *request, attempt *attempt, position time.Duration) {
	required := attempt.requiredPosition // at the time of the send
	if request.class.Consistency == routing.ConsistencyAny || request.class.Consistency == routing.ConsistencyWrite {
		required = 0
	}
	if position < required {
		j.staleReads++
		j.note("%s was served by %s with data %v too old", request.class.Name, attempt.host.id, required-position)
	}
	if j.runs[request] == 0 {
		j.wrongAnswers++
		j.note("%s was served though it never ran", request.class.Name)
	}
	switch latency := j.fleet.now - request.arrived; {
	case request.settled:
	case latency <= request.class.LatencyObjective:
		request.earned = request.class.PriorityWeight
	case latency <= request.class.Deadline:
		request.earned = request.class.PriorityWeight * request.class.LateShare
	}
	request.settled = true
}

// requestRejected checks a rejection or failure. A request that is not idempotent must not have run if the response
// promises so.
func (j *Judge) requestRejected(request *request, nothingRan bool) {
	if nothingRan && request.class.Effect == routing.NonIdempotent && j.runs[request] > 0 {
		j.wrongAnswers++
		j.note("a write was refused though it ran")
	}
}

// takeSnapshot records the state of the fleet, from which the achievable weight is computed.
func (j *Judge) takeSnapshot() {
	n := len(j.fleet.groups)
	snapshot := fleetSnapshot{at: j.fleet.now, cores: make([]float64, n), primaryReachable: make([]bool, n), newestPosition: make([]time.Duration, n)}
	for _, h := range j.fleet.hosts {
		if h.reachable() {
			snapshot.cores[h.group.number] += coresPerHost * h.speed()
			snapshot.newestPosition[h.group.number] = max(snapshot.newestPosition[h.group.number], h.position)
		}
	}
	for i, g := range j.fleet.groups {
		snapshot.primaryReachable[i] = g.primary != nil && g.primary.reachable()
	}
	j.snapshots = append(j.snapshots, snapshot)
}

// discardBefore drops records older than a time, which bounds the memory of long runs.
func (j *Judge) discardBefore(before time.Duration) {
	j.operations = slices.DeleteFunc(j.operations, func(a *operation) bool { return a.arrived < before })
	j.attempts = slices.DeleteFunc(j.attempts, func(t attemptRecord) bool { return t.at < before })
	j.snapshots = slices.DeleteFunc(j.snapshots, func(s fleetSnapshot) bool { return s.at < before })
	for q := range j.runs {
		if q.acceptedAt < before {
			delete(j.runs, q)
		}
	}
}

// violationNames lists the invariants in the order in which they are shown.
var violationNames = []string{"stale_reads", "second_runs", "without_one_answer", "wrong_answers", "tipped_over", "sends_to_drained"}

// violations returns the number of violations of each invariant.
func (j *Judge) violations() map[string]float64 {
	return map[string]float64{
		"stale_reads":        float64(j.staleReads),
		"second_runs":        float64(j.duplicateRuns),
		"without_one_answer": float64(j.unanswered + j.extraResponses),
		"wrong_answers":      float64(j.wrongAnswers),
		"tipped_over":        float64(j.overloadedHosts),
		"sends_to_drained":   float64(j.sendsToDrained),
	}
}
