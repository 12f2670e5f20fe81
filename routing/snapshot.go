package routing

import (
	"slices"
	"time"
)

// maxExportedSilence bounds a silence that is passed on, in times usual: far past all that decisions tell apart.
const maxExportedSilence = 1e9

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
	l := Learned{Members: map[string]LearnedMember{}, ExpectedLatency: slices.Clone(r.expectedLatency), Work: slices.Clone(r.expectedWork),
		WorkAt: slices.Clone(r.workUpdatedAt), Replicas: exportSamples(r.latencyPools[false]),
		Primaries: exportSamples(r.latencyPools[true]), MemberFlow: r.warmThroughput.sum, PriorityWeight: r.meanPriorityWeight, Weight: r.meanExpectedLatency, FlowAt: r.warmThroughput.at, StartAt: r.startedAt,
		TightUntil: r.connectionShortageUntil, Searches: map[int]time.Duration{}, UnansweredShare: map[int]float64{}, RetryTokens: r.retryTokens, HealthCheckTokens: r.healthCheckTokens}
	for id, g := range r.groups {
		l.UnansweredShare[id] = g.unansweredShare
		if g.primaryWantedAt > 0 {
			l.Searches[id] = g.primaryWantedAt
		}
	}
	for id, m := range r.members {
		l.Members[id] = LearnedMember{Role: m.role, RoleDate: m.rolePosition, Position: m.position, PosAt: m.positionAt, HeardAt: m.answeredAt,
			TrialAt: m.nextTrialAt, Failed: m.failures, Shut: m.connectFailures, Lost: min(r.silence(m), maxExportedSilence), Down: m.down, StartedAt: m.startedAt,
			CreditAt: m.tokensAt, SeenAt: m.healthCheckAnsweredAt, AskedAt: m.uncheckedSince, WasAt: m.previousStartedAt, AwayAt: m.answeredBeforeZoneLoss,
			Credit: m.tokens, Window: exportSamples(m.latencyWindow)}
	}
	return l
}

// Learn takes over what another process's router had learned of members that this one knows. It comes right after the
// first list; what this router has learned itself is newer.
func (r *Router) Learn(l Learned) {
	if len(l.ExpectedLatency) != len(r.expectedLatency) || len(l.Work) != len(r.expectedWork) || len(l.WorkAt) != len(r.workUpdatedAt) {
		return // of another configuration
	}
	copy(r.expectedLatency, l.ExpectedLatency)
	copy(r.expectedWork, l.Work)
	copy(r.workUpdatedAt, l.WorkAt)
	r.latencyPools[false], r.latencyPools[true] = importSamples(l.Replicas), importSamples(l.Primaries)
	r.warmThroughput, r.startedAt = decayingSum{l.MemberFlow, l.FlowAt}, min(r.startedAt, l.StartAt)
	r.meanPriorityWeight, r.meanExpectedLatency, r.retryTokens, r.healthCheckTokens, r.connectionShortageUntil = l.PriorityWeight, l.Weight, l.RetryTokens, l.HealthCheckTokens, l.TightUntil
	for id, at := range l.Searches {
		if g := r.groups[id]; g != nil {
			g.primaryWantedAt = at
		}
	}
	for id, vain := range l.UnansweredShare {
		if g := r.groups[id]; g != nil {
			g.unansweredShare = vain
		}
	}
	for id, x := range l.Members {
		m := r.members[id]
		if m == nil {
			continue
		}
		if x.StartedAt >= m.startedAt { // else a new process has started there since
			m.failures, m.connectFailures, m.endedSilence, m.down, m.latencyWindow = x.Failed, x.Shut, x.Lost, x.Down, importSamples(x.Window)
			m.startedAt, m.tokens, m.tokensAt, m.previousStartedAt, m.answeredBeforeZoneLoss = x.StartedAt, x.Credit, x.CreditAt, x.WasAt, x.AwayAt
		}
		m.answeredAt, m.nextTrialAt, m.healthCheckAnsweredAt, m.uncheckedSince = x.HeardAt, x.TrialAt, x.SeenAt, x.AskedAt
		if x.Position > m.position {
			m.position, m.positionAt = x.Position, x.PosAt
		}
		m.role, m.rolePosition = x.Role, x.RoleDate
	}
}

func exportSamples(window []latencySample) []LearnedSample {
	var out []LearnedSample
	for _, s := range window {
		out = append(out, LearnedSample{s.at, s.ratio, s.censored})
	}
	return out
}

func importSamples(window []LearnedSample) []latencySample {
	var out []latencySample
	for _, s := range window {
		out = append(out, latencySample{s.At, s.Ratio, s.Censored})
	}
	return out
}
