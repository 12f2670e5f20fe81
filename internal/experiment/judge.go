package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"cranegate/routing"
)

// Judge watches a day from the hosts' and the clients' side. It shares no code with the module: what it knows of a
// host is what the host did, and of a request what its client got.
type Judge struct {
	f *fleet

	// What the rules forbid, counted.
	stale, second, unanswered, extra, tippedOver, drained, wrongAnswer int
	notes                                                              []string

	asks             []*ask
	runs             map[*request]int
	bound            map[*gateway]map[*host]time.Duration // when a gateway was told to send nothing more
	attempts         []tried
	snaps            []snap
	probes           int
	fullest          int // connections at one host, at most
	late             int // answers that came lateSlack after the client's time, on sockets
	broken           int // requests that ended with their gateway's process
	ramps            map[*host]*ramp
	connects, noRoom int // connections that came up and stayed, and that were ended with a refusal
}

// tried is one attempt, or a first one's place.
type tried struct {
	at          time.Duration
	gateway     int
	zone        string
	first, read bool
	replica     bool // it went to a member that is no primary,
	own         bool // and to the gateway's own zone
}

// snap is the state of the fleet at a moment.
type snap struct {
	at      time.Duration
	cores   []float64 // by group: that can be reached, warm as they are
	primary []bool    // by group
	newest  []time.Duration
}

func newJudge(f *fleet) *Judge {
	return &Judge{f: f, runs: map[*request]int{}, bound: map[*gateway]map[*host]time.Duration{}, ramps: map[*host]*ramp{}}
}

func (j *Judge) note(format string, args ...any) {
	if len(j.notes) < 20 {
		j.notes = append(j.notes, fmt.Sprintf("%8.3fs ", (j.f.now-epoch).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (j *Judge) asked(a *ask) { j.asks = append(j.asks, a) }

// told notes what a gateway was told; from drainGrace on nothing new may come to a host that drains or is gone.
func (j *Judge) told(g *gateway, e routing.Endpoint) {
	if j.bound[g] == nil {
		j.bound[g] = map[*host]time.Duration{}
	}
	j.knows(g, g.hosts[e.Member], e.StartedAt)
	if e.Phase == routing.PhaseServing {
		delete(j.bound[g], g.hosts[e.Member])
	} else if _, ok := j.bound[g][g.hosts[e.Member]]; !ok {
		j.bound[g][g.hosts[e.Member]] = j.f.now
	}
}

func (j *Judge) sent(a *attempt) {
	j.attempts = append(j.attempts, tried{j.f.now, a.g.number, a.h.zone, a.number == 0,
		a.q.class.Consistency != routing.ConsistencyWrite && a.q.class.Consistency != routing.ConsistencyStrong, a.h != a.q.group.primary, a.h.zone == a.g.zone})
	if at, ok := j.bound[a.g][a.h]; ok && j.f.now > at+drainGrace {
		j.drained++
		j.note("gateway %d sent to %s, which it knows to drain", a.g.number, a.h.id)
	}
}

// begun counts copies that are out together where none may be.
func (j *Judge) begun(a *attempt) {
	if a.q.class.Effect == routing.NonIdempotent {
		for _, x := range a.q.out {
			if x != a && x.begun && !x.over {
				j.second++
				j.note("two copies of one write are out")
			}
		}
	}
}

// ran counts the runs of a request at hosts.
func (j *Judge) ran(a *attempt, h *host) {
	j.runs[a.q]++
	if j.runs[a.q] > 1 && a.q.class.Effect == routing.NonIdempotent {
		j.second++
		j.note("a write ran again at %s", h.id)
	}
}

func (j *Judge) tipped(h *host) {
	j.tippedOver++
	j.note("%s was pushed over, %.1f s after its start", h.id, (j.f.now - h.started).Seconds())
}

// served takes an answer with data of a position.
func (j *Judge) served(q *request, a *attempt, position time.Duration) {
	need := a.need // as of the send
	if q.class.Consistency == routing.ConsistencyAny || q.class.Consistency == routing.ConsistencyWrite {
		need = 0
	}
	if position < need {
		j.stale++
		j.note("%s was served by %s with data %v too old", q.class.Name, a.h.id, need-position)
	}
	if j.runs[q] == 0 {
		j.wrongAnswer++
		j.note("%s was served though it never ran", q.class.Name)
	}
	switch d := j.f.now - q.arrived; {
	case q.settled:
	case d <= q.class.LatencyObjective:
		q.earned = q.class.PriorityWeight
	case d <= q.class.Deadline:
		q.earned = q.class.PriorityWeight * q.class.LateShare
	}
	q.settled = true
}

// turnedDown takes a refusal or a failure. A refused request must not have run where that matters.
func (j *Judge) turnedDown(q *request, harmless bool) {
	if harmless && q.class.Effect == routing.NonIdempotent && j.runs[q] > 0 {
		j.wrongAnswer++
		j.note("a write was refused though it ran")
	}
}

// tick keeps the state of the fleet, for what remains possible.
func (j *Judge) tick() {
	n := len(j.f.groups)
	s := snap{at: j.f.now, cores: make([]float64, n), primary: make([]bool, n), newest: make([]time.Duration, n)}
	for _, h := range j.f.hosts {
		if h.ok() {
			s.cores[h.group.number] += cores * h.speed()
			s.newest[h.group.number] = max(s.newest[h.group.number], h.position)
		}
	}
	for i, g := range j.f.groups {
		s.primary[i] = g.primary != nil && g.primary.ok()
	}
	j.snaps = append(j.snaps, s)
}

// possible is the first moment within a time at which a member could have begun a request, or 0.
func (j *Judge) possible(a *ask, within time.Duration) time.Duration {
	i := sort.Search(len(j.snaps), func(i int) bool { return j.snaps[i].at >= a.arrived })
	for ; i < len(j.snaps) && j.snaps[i].at <= a.arrived+within-a.work; i++ {
		s, g := j.snaps[i], a.group.number
		ok := s.primary[g]
		switch a.class.Consistency {
		case routing.ConsistencyAny:
			ok = s.newest[g] > 0
		case routing.ConsistencyBounded:
			ok = ok || s.newest[g] >= s.at-a.class.StalenessBound
		case routing.ConsistencySession:
			ok = ok || s.newest[g] > 0 && s.newest[g] >= a.token
		}
		if ok {
			return s.at
		}
	}
	return 0
}

// slice is the grain in which the capacity that remains is shared out.
const slice = 100 * time.Millisecond

// allowed is the worth that the capacity that remained could have served of some requests: an all-knowing allocation in
// order of worth per work, which gives each the group's free capacity from the first moment that a member could serve it
// until its aim, or, where late answers earn, until its deadline. It knows neither queues nor the network.
func (j *Judge) allowed(asks []*ask, from time.Duration) (worth float64) {
	room := map[[2]int]float64{}
	for _, s := range j.snaps {
		for g, c := range s.cores {
			room[[2]int{g, int((s.at - from) / slice)}] += c * logTick.Seconds()
		}
	}
	rate := func(a *ask) float64 { return a.class.PriorityWeight / a.work.Seconds() }
	sorted := slices.SortedStableFunc(slices.Values(asks), func(a, b *ask) int { return cmp.Compare(rate(b), rate(a)) })
	fit := func(a *ask, within time.Duration) bool {
		first := j.possible(a, within)
		if first == 0 {
			return false
		}
		g, lo, hi, free := a.group.number, int((first-from)/slice), int((a.arrived+within-from)/slice), 0.0
		for i := lo; i <= hi; i++ {
			free += room[[2]int{g, i}]
		}
		if free < a.work.Seconds() {
			return false
		}
		for i, left := lo, a.work.Seconds(); left > 0 && i <= hi; i++ {
			take := min(left, room[[2]int{g, i}])
			room[[2]int{g, i}] -= take
			left -= take
		}
		return true
	}
	for _, a := range sorted {
		if fit(a, a.class.LatencyObjective) {
			worth += a.class.PriorityWeight
		} else if a.class.LateShare > 0 && fit(a, a.class.Deadline) {
			worth += a.class.PriorityWeight * a.class.LateShare
		}
	}
	return worth
}

// worth sums what was asked, what was earned, and what the capacity that remained allowed, for arrivals in a window.
func (j *Judge) worth(from, to time.Duration) (asked, earned, allowed float64) {
	in, asked, earned := j.earned(from, to)
	return asked, earned, j.allowed(in, from)
}

// earned sums what was asked and what was earned for arrivals in a window.
func (j *Judge) earned(from, to time.Duration) (in []*ask, asked, earned float64) {
	for _, a := range j.asks {
		if a.arrived >= from && a.arrived < to {
			asked, earned = asked+a.class.PriorityWeight, earned+a.earned
			in = append(in, a)
		}
	}
	return in, asked, earned
}

// forget drops what is older than a time, for days without an end.
func (j *Judge) forget(before time.Duration) {
	j.asks = slices.DeleteFunc(j.asks, func(a *ask) bool { return a.arrived < before })
	j.attempts = slices.DeleteFunc(j.attempts, func(t tried) bool { return t.at < before })
	j.snaps = slices.DeleteFunc(j.snaps, func(s snap) bool { return s.at < before })
	for q := range j.runs {
		if q.taken < before {
			delete(j.runs, q)
		}
	}
}

// avoided is the time after which at most a twentieth of a gateway's new attempts still go to a zone, the worst of
// all gateways: the end of the last window of 20 attempts that holds more.
func (j *Judge) avoided(zone string, from, to time.Duration) time.Duration {
	worst := time.Duration(0)
	for g := range j.f.gateways {
		var at []time.Duration
		var bad []bool
		for _, t := range j.attempts {
			if t.gateway == g && t.at >= from && t.at < to {
				at, bad = append(at, t.at), append(bad, t.zone == zone)
			}
		}
		for i := len(at) - 1; i >= 19; i-- {
			n := 0
			for _, b := range bad[i-19 : i+1] {
				if b {
					n++
				}
			}
			if n > 1 {
				for k := i; k >= 0; k-- { // the last of them that went there
					if bad[k] {
						worst = max(worst, at[k]-from)
						break
					}
				}
				break
			}
		}
	}
	return worst
}

// share is the part of first attempts of reads in a window that went to a zone.
func (j *Judge) share(zone string, from, to time.Duration) float64 {
	n, all := 0.0, 0.0
	for _, t := range j.attempts {
		if t.first && t.read && t.at >= from && t.at < to {
			if all++; t.zone == zone {
				n++
			}
		}
	}
	return n / max(all, 1)
}

// away is the part of first attempts in a window that left their gateway's zone: of reads that went to replicas, and
// of all.
func (j *Judge) away(from, to time.Duration) (reads, all float64) {
	var n, every, left, total float64
	for _, t := range j.attempts {
		if !t.first || t.at < from || t.at >= to {
			continue
		}
		if total++; !t.own {
			left++
		}
		if t.read && t.replica {
			if every++; !t.own {
				n++
			}
		}
	}
	return n / max(every, 1), left / max(total, 1)
}

// ruleNames are the names of the rules, in the order in which they are shown.
var ruleNames = []string{"stale_reads", "second_runs", "without_one_answer", "wrong_answers", "tipped_over", "sends_to_drained"}

// rules lists what was broken, by name.
func (j *Judge) rules() map[string]float64 {
	return map[string]float64{"stale_reads": float64(j.stale), "second_runs": float64(j.second),
		"without_one_answer": float64(j.unanswered + j.extra), "wrong_answers": float64(j.wrongAnswer),
		"tipped_over": float64(j.tippedOver), "sends_to_drained": float64(j.drained)}
}
