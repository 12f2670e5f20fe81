package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The rule that a finding is about.
const (
	ruleCrash      = "crash"       // a process ended by itself
	ruleExit       = "exit"        // or did not end in order
	ruleLost       = "lost"        // a request was forwarded, and its connection closed with no answer
	ruleTurnedBack = "turned_back" // a connection was closed under a request with no reason
	ruleLate       = "late"        // no answer came in time
	ruleWrong      = "wrong"       // an answer that no host made for the request
	ruleTwice      = "ran_twice"   // a request that may run once, or one with a key outside its window, ran again
	ruleRefused    = "refused_ran" // a refusal of what has run
	ruleUnrun      = "unrun"       // a yes to a write that did not run
	ruleGone       = "gone"        // an attempt began after its client had closed
	ruleTime       = "time_told"   // a host was told of more time than the client has left
	ruleDrain      = "drain"       // something new went to a host that the gateway had been told of as draining
	ruleDeaf       = "deaf"        // or that it should have been told of by then
	ruleBan        = "ban"         // or that staff had taken out
	ruleHalf       = "half"        // a client that stopped in mid-message was held for too long
	ruleStuck      = "stuck"       // a gateway does not serve though all is well
	ruleMemory     = "memory"      // a process is over its limit
	ruleViolation  = "violation"   // a gateway's own guard has counted one
)

// Finding is something that a gateway may not do.
type Finding struct {
	Rule   string
	Where  string // the process or gateway, and the request
	Detail string
	At     time.Duration // since the start of the run
}

func (f Finding) String() string {
	return fmt.Sprintf("%s at %v: %s: %s", f.Rule, f.At.Round(time.Millisecond), f.Where, f.Detail)
}

// request is one request of a client.
type request struct {
	gateway  *gateway
	id       string
	class    string
	sent     time.Time
	wait     time.Duration // how long its client waits, as the statement says
	behind   int           // requests before it on its connection that had no answer yet
	ahead    time.Duration // how long their clients wait, together
	outcome  string        // served, refused or failed; empty: none came
	answered time.Time
	ended    time.Time // when its connection ended without an answer
	left     time.Time // when its client closed
}

// arrival is a request on its way from a gateway to a host, as the proxy heard it.
type arrival struct {
	gateway   *gateway
	host      *host
	id, class string
	at        time.Time
	left      time.Duration // the time that the host is told of
	reachable time.Time     // since when discovery could be reached then
}

// run is a request that ran at a host.
type run struct {
	host *host
	at   time.Time
}

// withdrawal is a time in which a host may get nothing new.
type withdrawal struct {
	host     *host
	rev      int64    // of the list that says so; 0 for a ban
	gateway  *gateway // of a ban
	from, to time.Time
}

// told is a version of the list that a gateway was told of.
type told struct {
	rev int64
	at  time.Time
}

// judge holds what happened, and says at the end what should not have.
type judge struct {
	site *site

	mu          sync.Mutex
	requests    map[string]*request
	arrivals    []arrival
	runs        map[string][]run
	withdrawals []*withdrawal
	versions    map[*gateway][]told
	found       []Finding
	perRule     map[string]int
}

// What bounds are widened by, beside a multiple of how long this process was held up.
const (
	slackLeast   = 150 * time.Millisecond
	slackLags    = 2
	judgedLag    = 500 * time.Millisecond // past it bounds in time are not judged
	goneGrace    = 100 * time.Millisecond
	drainGrace   = 250 * time.Millisecond
	timeGrace    = 150 * time.Millisecond
	answerGrace  = 500 * time.Millisecond
	toldWithin   = 6 * time.Second
	banGrace     = 300 * time.Millisecond
	halfWithin   = 3 * time.Second
	drainCrosses = 5 * time.Second // after a drain began connections may end
	mostFindings = 5               // of a rule
)

func newJudge(s *site) *judge {
	return &judge{site: s, requests: map[string]*request{}, runs: map[string][]run{}, versions: map[*gateway][]told{}, perRule: map[string]int{}}
}

// slack is what a bound in time is widened by. False: this machine is too busy for such bounds.
func (j *judge) slack() (time.Duration, bool) {
	lag := j.site.lag.most()
	return slackLeast + slackLags*lag, lag < judgedLag
}

// find takes a finding.
func (j *judge) find(f Finding) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.findLocked(f)
}

func (j *judge) findLocked(f Finding) {
	f.At = time.Since(j.site.began)
	if j.perRule[f.Rule]++; j.perRule[f.Rule] <= mostFindings {
		j.found = append(j.found, f)
	}
}

func (j *judge) findings() []Finding {
	j.mu.Lock()
	defer j.mu.Unlock()
	found := slices.Clone(j.found)
	for rule, n := range j.perRule {
		if n > mostFindings {
			found = append(found, Finding{Rule: rule, Where: "all", Detail: fmt.Sprintf("%d in all", n)})
		}
	}
	return found
}

// ask notes a request that is about to be sent.
func (j *judge) ask(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.id] = r
}

// change changes a request under the judge's lock.
func (j *judge) change(r *request, f func(r *request)) { j.mu.Lock(); defer j.mu.Unlock(); f(r) }

// arrived notes a request on its way to a host.
func (j *judge) arrived(a arrival) {
	a.reachable = a.gateway.reachableSince()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

// ran notes a request that has run.
func (j *judge) ran(h *host, id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], run{h, at})
}

// withdraw notes that a host may get nothing new from now on; the call ends that. A gateway is named where it is a ban.
func (j *judge) withdraw(h *host, rev int64, g *gateway) (end func()) {
	w := &withdrawal{host: h, rev: rev, gateway: g, from: time.Now()}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.withdrawals = append(j.withdrawals, w)
	return func() { j.mu.Lock(); defer j.mu.Unlock(); w.to = time.Now() }
}

// told notes that a gateway was told of a version.
func (j *judge) told(g *gateway, rev int64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.versions[g]
	if len(all) == 0 || all[len(all)-1].rev < rev {
		j.versions[g] = append(all, told{rev, at})
	}
}

// forget drops what a gateway was told: another process knows nothing of it.
func (j *judge) forget(g *gateway) { j.mu.Lock(); defer j.mu.Unlock(); delete(j.versions, g) }

// toldOf is when a gateway's present process was told of a version or a later one.
func (j *judge) toldOf(g *gateway, rev int64) (time.Time, bool) {
	for _, t := range j.versions[g] {
		if t.rev >= rev {
			return t.at, true
		}
	}
	return time.Time{}, false
}

// outcomes counts the requests by their answers.
func (j *judge) outcomes() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := map[string]int{}
	for _, r := range j.requests {
		switch {
		case r.outcome != "":
			n[r.outcome]++
		case !r.left.IsZero():
			n["left"]++
		default:
			n["turned_back"]++
		}
	}
	return n
}

// conclude judges what happened. All processes have ended.
func (j *judge) conclude() {
	j.mu.Lock()
	defer j.mu.Unlock()
	slack, timed := j.slack()
	byID := map[string][]arrival{}
	for _, a := range j.arrivals {
		byID[a.id] = append(byID[a.id], a)
	}
	for id, r := range j.requests {
		j.judgeRuns(r, j.runs[id], slack)
		j.judgeEnd(r, byID[id])
		for _, a := range byID[id] {
			if timed {
				j.judgeArrival(r, a, slack)
			}
		}
	}
	for _, a := range j.arrivals {
		for _, w := range j.withdrawals {
			if timed && w.host == a.host && a.at.After(w.from) && (w.to.IsZero() || a.at.Before(w.to)) {
				j.judgeWithdrawn(a, w, slack)
			}
		}
	}
	for _, g := range j.site.gateways {
		for _, p := range g.all() {
			for _, line := range p.reported() {
				j.findLocked(Finding{Rule: ruleViolation, Where: p.String(), Detail: line})
			}
		}
	}
}

// where names a request.
func (r *request) where() string { return fmt.Sprintf("%s %s %s", r.gateway.name, r.class, r.id) }

// judgeRuns judges how often a write ran.
func (j *judge) judgeRuns(r *request, runs []run, slack time.Duration) {
	if r.class != classOnce && r.class != classKeyed {
		return
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	if r.class == classOnce && len(runs) > 1 {
		j.findLocked(Finding{Rule: ruleTwice, Where: r.where(), Detail: fmt.Sprintf("it ran %d times", len(runs))})
	}
	if r.class == classKeyed && len(runs) > 1 {
		if late := runs[len(runs)-1].at.Sub(runs[0].at); late > seconds(keyWindow)+timeGrace+slack {
			j.findLocked(Finding{Rule: ruleTwice, Where: r.where(), Detail: fmt.Sprintf("a repeat came %v after the first", late)})
		}
	}
	if r.outcome == "refused" && len(runs) > 0 {
		j.findLocked(Finding{Rule: ruleRefused, Where: r.where(), Detail: fmt.Sprintf("it ran %d times", len(runs))})
	}
	if r.outcome == "served" && len(runs) == 0 {
		j.findLocked(Finding{Rule: ruleUnrun, Where: r.where(), Detail: "it was served"})
	}
}

// judgeEnd judges a request whose connection ended without an answer.
func (j *judge) judgeEnd(r *request, arrivals []arrival) {
	if r.outcome != "" || r.ended.IsZero() || r.gateway.excusedIn(r.sent, r.ended) {
		return
	}
	if len(arrivals) > 0 {
		j.findLocked(Finding{Rule: ruleLost, Where: r.where(), Detail: fmt.Sprintf("sent to %s, closed after %v", arrivals[0].host.uid, r.ended.Sub(r.sent))})
	} else if !r.gateway.drainedIn(r.sent.Add(-drainCrosses), r.ended) {
		j.findLocked(Finding{Rule: ruleTurnedBack, Where: r.where(), Detail: fmt.Sprintf("closed after %v", r.ended.Sub(r.sent))})
	}
}

// judgeArrival judges one attempt by its client's time.
func (j *judge) judgeArrival(r *request, a arrival, slack time.Duration) {
	if a.gateway.excusedIn(r.sent, a.at) {
		return
	}
	if late := a.at.Sub(r.left); !r.left.IsZero() && late > goneGrace+slack {
		j.findLocked(Finding{Rule: ruleGone, Where: r.where(), Detail: fmt.Sprintf("an attempt at %s %v after its client's close", a.host.uid, late)})
	}
	if over := a.left - r.sent.Add(r.wait).Sub(a.at); r.behind == 0 && over > timeGrace+slack {
		j.findLocked(Finding{Rule: ruleTime, Where: r.where(), Detail: fmt.Sprintf("%s was told of %v, %v more than the client has left", a.host.uid, a.left, over)})
	}
}

// judgeWithdrawn judges an attempt at a host that drains, is off the list, or is out by hand.
func (j *judge) judgeWithdrawn(a arrival, w *withdrawal, slack time.Duration) {
	where := fmt.Sprintf("%s %s", a.gateway.name, a.id)
	if w.gateway != nil {
		if late := a.at.Sub(w.from); w.gateway == a.gateway && late > banGrace+slack {
			j.findLocked(Finding{Rule: ruleBan, Where: where, Detail: fmt.Sprintf("sent to %s %v after the yes", a.host.uid, late)})
		}
		return
	}
	if at, ok := j.toldOf(a.gateway, w.rev); ok && a.at.Sub(at) > drainGrace+slack && !a.gateway.excusedIn(at, a.at) && !a.gateway.drainedIn(at, a.at) {
		j.findLocked(Finding{Rule: ruleDrain, Where: where, Detail: fmt.Sprintf("sent to %s %v after it was told", a.host.uid, a.at.Sub(at))})
	}
	since := w.from
	if a.reachable.After(since) {
		since = a.reachable
	}
	if a.at.Sub(since) > toldWithin+slack && !a.gateway.excusedIn(since, a.at) {
		j.findLocked(Finding{Rule: ruleDeaf, Where: where, Detail: fmt.Sprintf("sent to %s %v after discovery had it", a.host.uid, a.at.Sub(since))})
	}
}

// Rules lists the rules of findings in order.
func Rules(found []Finding) []string {
	var rules []string
	for _, f := range found {
		rules = append(rules, f.Rule)
	}
	slices.SortFunc(rules, cmp.Compare[string])
	return slices.Compact(rules)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
