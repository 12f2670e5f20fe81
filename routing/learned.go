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
	Members           map[string]LearnedMember `json:"Members"`
	ExpectedLatency   []time.Duration          `json:"Usual"` // by class
	Work              []time.Duration          `json:"Work"`  // by class
	WorkAt            []time.Duration          `json:"WorkAt"`
	Replicas          []LearnedSample          `json:"Replicas"`   // the pooled round trips
	Primaries         []LearnedSample          `json:"Primaries"`  // the pooled round trips
	MemberFlow        float64                  `json:"MemberFlow"` // work answered a second by a warm member; older versions told that of all as Flow
	PriorityWeight    float64                  `json:"Worth"`
	Weight            float64                  `json:"Weight"`
	FlowAt            time.Duration            `json:"FlowAt"`
	StartAt           time.Duration            `json:"StartAt"`
	TightUntil        time.Duration            `json:"TightUntil"`
	Searches          map[int]time.Duration    `json:"Searches"`     // by group: when a request last wanted its primary in vain
	UnansweredShare   map[int]float64          `json:"Vain"`         // by group: the share of requests of late that ended unanswered
	RetryTokens       float64                  `json:"FurtherTries"` // what is left of their budgets
	HealthCheckTokens float64                  `json:"Probes"`       // what is left of their budgets
}

// LearnedMember is what is known of one member.
type LearnedMember struct {
	Role      Role            `json:"Role"`
	RoleDate  int64           `json:"RoleDate"`
	Position  int64           `json:"Position"`
	PosAt     time.Duration   `json:"PosAt"`
	HeardAt   time.Duration   `json:"HeardAt"`
	TrialAt   time.Duration   `json:"TrialAt"`
	Failed    int             `json:"Failed"`
	Shut      int             `json:"Shut"`
	Lost      float64         `json:"Lost"` // silence, with that of attempts that are still out
	Down      bool            `json:"Down"`
	StartedAt time.Duration   `json:"StartedAt"`
	CreditAt  time.Duration   `json:"CreditAt"`
	SeenAt    time.Duration   `json:"SeenAt"`
	AskedAt   time.Duration   `json:"AskedAt"`
	WasAt     time.Duration   `json:"WasAt"`
	AwayAt    time.Duration   `json:"AwayAt"`
	Credit    float64         `json:"Credit"`
	Window    []LearnedSample `json:"Window"`
}

// LearnedSample is one round trip over its class's usual.
type LearnedSample struct {
	At       time.Duration `json:"At"`
	Ratio    float64       `json:"Ratio"`
	Censored bool          `json:"Censored"`
}

// Learned returns what has been learned so far.
func (r *Router) Learned() Learned {
	l := Learned{Members: map[string]LearnedMember{}, ExpectedLatency: slices.Clone(r.usual), Work: slices.Clone(r.work),
		WorkAt: slices.Clone(r.workAt), Replicas: exported(r.pools[false]),
		Primaries: exported(r.pools[true]), MemberFlow: r.flow.sum, PriorityWeight: r.worth, Weight: r.weight, FlowAt: r.flow.at, StartAt: r.startAt,
		TightUntil: r.tightUntil, Searches: map[int]time.Duration{}, UnansweredShare: map[int]float64{}, RetryTokens: r.tokens, HealthCheckTokens: r.probes}
	for id, g := range r.groups {
		l.UnansweredShare[id] = g.vain
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
	if len(l.ExpectedLatency) != len(r.usual) || len(l.Work) != len(r.work) || len(l.WorkAt) != len(r.workAt) {
		return // of another configuration
	}
	copy(r.usual, l.ExpectedLatency)
	copy(r.work, l.Work)
	copy(r.workAt, l.WorkAt)
	r.pools[false], r.pools[true] = imported(l.Replicas), imported(l.Primaries)
	r.flow, r.startAt = decaying{l.MemberFlow, l.FlowAt}, min(r.startAt, l.StartAt)
	r.worth, r.weight, r.tokens, r.probes, r.tightUntil = l.PriorityWeight, l.Weight, l.RetryTokens, l.HealthCheckTokens, l.TightUntil
	for id, at := range l.Searches {
		if g := r.groups[id]; g != nil {
			g.soughtAt = at
		}
	}
	for id, vain := range l.UnansweredShare {
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
