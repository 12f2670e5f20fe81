package routing

import (
	"slices"
	"time"
)

// mostLost bounds a silence that is passed on, in times usual: far past all that decisions tell apart.
const mostLost = 1e9

// Learned is what a router has learned of its members and its traffic, for a process that takes its place. Times are on
// the module's clock, which has to be the same for both. It decides nothing.
type Learned struct {
	Members              map[string]LearnedMember
	Usual, Work          []time.Duration // by class
	WorkAt               []time.Duration
	Replicas, Primaries  []LearnedSample // the pooled round trips
	MemberFlow           float64         // work answered a second by a warm member; older versions told that of all as Flow
	Worth, Weight        float64
	FlowAt, StartAt      time.Duration
	TightUntil           time.Duration
	Searches             map[int]time.Duration // by group: when a request last wanted its primary in vain
	Vain                 map[int]float64       // by group: the share of requests of late that ended unanswered
	FurtherTries, Probes float64               // what is left of their budgets
}

// LearnedMember is what is known of one member.
type LearnedMember struct {
	Role                           Role
	RoleDate, Position             int64
	PosAt, HeardAt, TrialAt        time.Duration
	Failed, Shut                   int
	Lost                           float64 // silence, with that of attempts that are still out
	Down                           bool
	StartedAt, CreditAt            time.Duration
	SeenAt, AskedAt, WasAt, AwayAt time.Duration
	Credit                         float64
	Window                         []LearnedSample
}

// LearnedSample is one round trip over its class's usual.
type LearnedSample struct {
	At       time.Duration
	Ratio    float64
	Censored bool
}

// Learned returns what has been learned so far.
func (r *Router) Learned() Learned {
	l := Learned{Members: map[string]LearnedMember{}, Usual: slices.Clone(r.usual), Work: slices.Clone(r.work),
		WorkAt: slices.Clone(r.workAt), Replicas: exported(r.pools[false]),
		Primaries: exported(r.pools[true]), MemberFlow: r.flow.sum, Worth: r.worth, Weight: r.weight, FlowAt: r.flow.at, StartAt: r.startAt,
		TightUntil: r.tightUntil, Searches: map[int]time.Duration{}, Vain: map[int]float64{}, FurtherTries: r.tokens, Probes: r.probes}
	for id, g := range r.groups {
		l.Vain[id] = g.vain
		if g.soughtAt > 0 {
			l.Searches[id] = g.soughtAt
		}
	}
	for id, m := range r.members {
		l.Members[id] = LearnedMember{Role: m.role, RoleDate: m.roleDate, Position: m.position, PosAt: m.posAt, HeardAt: m.heardAt,
			TrialAt: m.trialAt, Failed: m.failed, Shut: m.shut, Lost: min(r.silence(m), mostLost), Down: m.down, StartedAt: m.startedAt,
			CreditAt: m.creditAt, SeenAt: m.seenAt, AskedAt: m.askedAt, WasAt: m.was, AwayAt: m.awayAt,
			Credit: m.credit, Window: exported(m.window)}
	}
	return l
}

// Learn takes over what another process's router had learned of members that this one knows. It comes right after the
// first list; what this router has learned itself is newer.
func (r *Router) Learn(l Learned) {
	if len(l.Usual) != len(r.usual) || len(l.Work) != len(r.work) || len(l.WorkAt) != len(r.workAt) {
		return // of another configuration
	}
	copy(r.usual, l.Usual)
	copy(r.work, l.Work)
	copy(r.workAt, l.WorkAt)
	r.pools[false], r.pools[true] = imported(l.Replicas), imported(l.Primaries)
	r.flow, r.startAt = decaying{l.MemberFlow, l.FlowAt}, min(r.startAt, l.StartAt)
	r.worth, r.weight, r.tokens, r.probes, r.tightUntil = l.Worth, l.Weight, l.FurtherTries, l.Probes, l.TightUntil
	for id, at := range l.Searches {
		if g := r.groups[id]; g != nil {
			g.soughtAt = at
		}
	}
	for id, vain := range l.Vain {
		if g := r.groups[id]; g != nil {
			g.vain = vain
		}
	}
	for id, x := range l.Members {
		m := r.members[id]
		if m == nil {
			continue
		}
		if x.StartedAt >= m.startedAt { // else a new process has started there since
			m.failed, m.shut, m.lost, m.down, m.window = x.Failed, x.Shut, x.Lost, x.Down, imported(x.Window)
			m.startedAt, m.credit, m.creditAt, m.was, m.awayAt = x.StartedAt, x.Credit, x.CreditAt, x.WasAt, x.AwayAt
		}
		m.heardAt, m.trialAt, m.seenAt, m.askedAt = x.HeardAt, x.TrialAt, x.SeenAt, x.AskedAt
		if x.Position > m.position {
			m.position, m.posAt = x.Position, x.PosAt
		}
		m.role, m.roleDate = x.Role, x.RoleDate
	}
}

func exported(window []sample) []LearnedSample {
	var out []LearnedSample
	for _, s := range window {
		out = append(out, LearnedSample{s.at, s.ratio, s.censored})
	}
	return out
}

func imported(window []LearnedSample) []sample {
	var out []sample
	for _, s := range window {
		out = append(out, sample{s.At, s.Ratio, s.Censored})
	}
	return out
}
