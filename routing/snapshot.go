package routing

import (
	"slices"
	"time"
)

// maxExportedSilence bounds a silence that is passed on, in times usual: far past all that decisions tell apart.
const maxExportedSilence = 1e9

// Learned is what a router has learned of its members and its traffic, for a process that takes its place. Times are on
// the module's clock, which has to be the same for both. It decides nothing.
type Snapshot struct {
	Members                 map[string]MemberSnapshot `json:"Members"`
	ExpectedLatency         []time.Duration           `json:"Usual"` // by class
	ExpectedWork            []time.Duration           `json:"Work"`  // by class
	WorkUpdatedAt           []time.Duration           `json:"WorkAt"`
	ReplicaLatencies        []LatencySnapshot         `json:"Replicas"`   // the pooled round trips
	PrimaryLatencies        []LatencySnapshot         `json:"Primaries"`  // the pooled round trips
	WarmThroughput          float64                   `json:"MemberFlow"` // work answered a second by a warm member; older versions told that of all as Flow
	MeanPriorityWeight      float64                   `json:"Worth"`
	MeanExpectedLatency     float64                   `json:"Weight"`
	ThroughputAt            time.Duration             `json:"FlowAt"`
	StartedAt               time.Duration             `json:"StartAt"`
	ConnectionShortageUntil time.Duration             `json:"TightUntil"`
	PrimaryWantedAt         map[int]time.Duration     `json:"Searches"`     // by group: when a request last wanted its primary in vain
	UnansweredShare         map[int]float64           `json:"Vain"`         // by group: the share of requests of late that ended unanswered
	RetryTokens             float64                   `json:"FurtherTries"` // what is left of their budgets
	HealthCheckTokens       float64                   `json:"Probes"`       // what is left of their budgets
}

// MemberSnapshot is what is known of one member.
type MemberSnapshot struct {
	Role                   Role              `json:"Role"`
	RolePosition           int64             `json:"RoleDate"`
	Position               int64             `json:"Position"`
	PositionAt             time.Duration     `json:"PosAt"`
	AnsweredAt             time.Duration     `json:"HeardAt"`
	NextTrialAt            time.Duration     `json:"TrialAt"`
	Failures               int               `json:"Failed"`
	ConnectFailures        int               `json:"Shut"`
	EndedSilence           float64           `json:"Lost"` // silence, with that of attempts that are still out
	Down                   bool              `json:"Down"`
	StartedAt              time.Duration     `json:"StartedAt"`
	TokensAt               time.Duration     `json:"CreditAt"`
	HealthCheckAnsweredAt  time.Duration     `json:"SeenAt"`
	UnansweredCheckAt      time.Duration     `json:"AskedAt"`
	PreviousStartedAt      time.Duration     `json:"WasAt"`
	AnsweredBeforeZoneLoss time.Duration     `json:"AwayAt"`
	Tokens                 float64           `json:"Credit"`
	LatencyWindow          []LatencySnapshot `json:"Window"`
}

// LatencySnapshot is one round trip over its class's usual.
type LatencySnapshot struct {
	At       time.Duration `json:"At"`
	Ratio    float64       `json:"Ratio"`
	Censored bool          `json:"Censored"`
}

// Learned returns what has been learned so far.
func (r *Router) Snapshot() Snapshot {
	l := Snapshot{Members: map[string]MemberSnapshot{}, ExpectedLatency: slices.Clone(r.expectedLatency), ExpectedWork: slices.Clone(r.expectedWork),
		WorkUpdatedAt: slices.Clone(r.workUpdatedAt), ReplicaLatencies: exportSamples(r.latencyPools[false]),
		PrimaryLatencies: exportSamples(r.latencyPools[true]), WarmThroughput: r.warmThroughput.sum, MeanPriorityWeight: r.meanPriorityWeight, MeanExpectedLatency: r.meanExpectedLatency, ThroughputAt: r.warmThroughput.at, StartedAt: r.startedAt,
		ConnectionShortageUntil: r.connectionShortageUntil, PrimaryWantedAt: map[int]time.Duration{}, UnansweredShare: map[int]float64{}, RetryTokens: r.retryTokens, HealthCheckTokens: r.healthCheckTokens}
	for id, g := range r.groups {
		l.UnansweredShare[id] = g.unansweredShare
		if g.primaryWantedAt > 0 {
			l.PrimaryWantedAt[id] = g.primaryWantedAt
		}
	}
	for id, m := range r.members {
		l.Members[id] = MemberSnapshot{Role: m.role, RolePosition: m.rolePosition, Position: m.position, PositionAt: m.positionAt, AnsweredAt: m.answeredAt,
			NextTrialAt: m.nextTrialAt, Failures: m.failures, ConnectFailures: m.connectFailures, EndedSilence: min(r.silence(m), maxExportedSilence), Down: m.down, StartedAt: m.startedAt,
			TokensAt: m.tokensAt, HealthCheckAnsweredAt: m.healthCheckAnsweredAt, UnansweredCheckAt: m.unansweredCheckAt, PreviousStartedAt: m.previousStartedAt, AnsweredBeforeZoneLoss: m.answeredBeforeZoneLoss,
			Tokens: m.tokens, LatencyWindow: exportSamples(m.latencyWindow)}
	}
	return l
}

// Learn takes over what another process's router had learned of members that this one knows. It comes right after the
// first list; what this router has learned itself is newer.
func (r *Router) Restore(l Snapshot) {
	if len(l.ExpectedLatency) != len(r.expectedLatency) || len(l.ExpectedWork) != len(r.expectedWork) || len(l.WorkUpdatedAt) != len(r.workUpdatedAt) {
		return // of another configuration
	}
	copy(r.expectedLatency, l.ExpectedLatency)
	copy(r.expectedWork, l.ExpectedWork)
	copy(r.workUpdatedAt, l.WorkUpdatedAt)
	r.latencyPools[false], r.latencyPools[true] = importSamples(l.ReplicaLatencies), importSamples(l.PrimaryLatencies)
	r.warmThroughput, r.startedAt = decayingSum{l.WarmThroughput, l.ThroughputAt}, min(r.startedAt, l.StartedAt)
	r.meanPriorityWeight, r.meanExpectedLatency, r.retryTokens, r.healthCheckTokens, r.connectionShortageUntil = l.MeanPriorityWeight, l.MeanExpectedLatency, l.RetryTokens, l.HealthCheckTokens, l.ConnectionShortageUntil
	for id, at := range l.PrimaryWantedAt {
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
			m.failures, m.connectFailures, m.endedSilence, m.down, m.latencyWindow = x.Failures, x.ConnectFailures, x.EndedSilence, x.Down, importSamples(x.LatencyWindow)
			m.startedAt, m.tokens, m.tokensAt, m.previousStartedAt, m.answeredBeforeZoneLoss = x.StartedAt, x.Tokens, x.TokensAt, x.PreviousStartedAt, x.AnsweredBeforeZoneLoss
		}
		m.answeredAt, m.nextTrialAt, m.healthCheckAnsweredAt, m.unansweredCheckAt = x.AnsweredAt, x.NextTrialAt, x.HealthCheckAnsweredAt, x.UnansweredCheckAt
		if x.Position > m.position {
			m.position, m.positionAt = x.Position, x.PositionAt
		}
		m.role, m.rolePosition = x.Role, x.RolePosition
	}
}

func exportSamples(window []latencySample) []LatencySnapshot {
	var out []LatencySnapshot
	for _, s := range window {
		out = append(out, LatencySnapshot{s.at, s.ratio, s.censored})
	}
	return out
}

func importSamples(window []LatencySnapshot) []latencySample {
	var out []latencySample
	for _, s := range window {
		out = append(out, latencySample{s.At, s.Ratio, s.Censored})
	}
	return out
}
