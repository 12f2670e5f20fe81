package routing

import (
	"slices"
	"time"
)

// maxExportedSilence bounds the silence in a snapshot, in expected latencies: far above what decisions distinguish, and
// finite, so that it can be encoded.
const maxExportedSilence = 1e9

// Snapshot is what a Router has learned of its members and its traffic, for the Router of a successor process. Times
// are on the host's clock, which has to be the same for both. The JSON names are read by other versions.
type Snapshot struct {
	Members          map[string]MemberSnapshot `json:"Members"`   // by id
	ExpectedLatency  []time.Duration           `json:"Usual"`     // by class
	ExpectedWork     []time.Duration           `json:"Work"`      // by class
	WorkUpdatedAt    []time.Duration           `json:"WorkAt"`    // by class
	ReplicaLatencies []LatencySnapshot         `json:"Replicas"`  // the pool of all members but primaries
	PrimaryLatencies []LatencySnapshot         `json:"Primaries"` // the pool of primaries
	// WarmThroughput is the work answered by one warm member. Older versions give that of all members as "Flow".
	WarmThroughput          float64               `json:"MemberFlow"`
	MeanPriorityWeight      float64               `json:"Worth"`
	MeanExpectedLatency     float64               `json:"Weight"` // in seconds
	ThroughputAt            time.Duration         `json:"FlowAt"` // when WarmThroughput was computed
	StartedAt               time.Duration         `json:"StartAt"`
	ConnectionShortageUntil time.Duration         `json:"TightUntil"`
	PrimaryWantedAt         map[int]time.Duration `json:"Searches"`     // by group: when a request last found no member
	UnansweredShare         map[int]float64       `json:"Vain"`         // by group: of the latest requests
	RetryTokens             float64               `json:"FurtherTries"` // left of the retry budget
	HealthCheckTokens       float64               `json:"Probes"`       // left of the health check budget
}

// MemberSnapshot is what a Router has learned of one member.
type MemberSnapshot struct {
	Role                   Role              `json:"Role"`
	RolePosition           int64             `json:"RoleDate"` // the position that dates Role
	Position               int64             `json:"Position"` // the highest that it has reported
	PositionAt             time.Duration     `json:"PosAt"`    // when it reported that
	AnsweredAt             time.Duration     `json:"HeardAt"`
	NextTrialAt            time.Duration     `json:"TrialAt"`
	Failures               int               `json:"Failed"`
	ConnectFailures        int               `json:"Shut"`
	EndedSilence           float64           `json:"Lost"` // in expected latencies, including attempts in flight
	Down                   bool              `json:"Down"`
	StartedAt              time.Duration     `json:"StartedAt"`
	TokensAt               time.Duration     `json:"CreditAt"`
	HealthCheckAnsweredAt  time.Duration     `json:"SeenAt"`
	UnansweredCheckAt      time.Duration     `json:"AskedAt"`
	PreviousStartedAt      time.Duration     `json:"WasAt"`
	AnsweredBeforeZoneLoss time.Duration     `json:"AwayAt"`
	Tokens                 float64           `json:"Credit"` // slow start: seconds of work
	LatencyWindow          []LatencySnapshot `json:"Window"`
}

// LatencySnapshot is one round trip over the expected latency of its class. A censored one lasted at least so long.
type LatencySnapshot struct {
	At       time.Duration `json:"At"`
	Ratio    float64       `json:"Ratio"`
	Censored bool          `json:"Censored"`
}

// Snapshot returns what has been learned so far.
func (r *Router) Snapshot() Snapshot {
	snapshot := Snapshot{
		Members:                 map[string]MemberSnapshot{},
		ExpectedLatency:         slices.Clone(r.expectedLatency),
		ExpectedWork:            slices.Clone(r.expectedWork),
		WorkUpdatedAt:           slices.Clone(r.workUpdatedAt),
		ReplicaLatencies:        exportSamples(r.latencyPools[false]),
		PrimaryLatencies:        exportSamples(r.latencyPools[true]),
		WarmThroughput:          r.warmThroughput.sum,
		ThroughputAt:            r.warmThroughput.at,
		MeanPriorityWeight:      r.meanPriorityWeight,
		MeanExpectedLatency:     r.meanExpectedLatency,
		StartedAt:               r.startedAt,
		ConnectionShortageUntil: r.connectionShortageUntil,
		PrimaryWantedAt:         map[int]time.Duration{},
		UnansweredShare:         map[int]float64{},
		RetryTokens:             r.retryTokens,
		HealthCheckTokens:       r.healthCheckTokens,
	}
	for number, group := range r.groups {
		snapshot.UnansweredShare[number] = group.unansweredShare
		if group.primaryWantedAt > 0 {
			snapshot.PrimaryWantedAt[number] = group.primaryWantedAt
		}
	}
	for id, member := range r.members {
		snapshot.Members[id] = r.exportMember(member)
	}
	return snapshot
}

// exportMember returns what has been learned of a member.
func (r *Router) exportMember(member *memberState) MemberSnapshot {
	return MemberSnapshot{
		Role:                   member.role,
		RolePosition:           member.rolePosition,
		Position:               member.position,
		PositionAt:             member.positionAt,
		AnsweredAt:             member.answeredAt,
		NextTrialAt:            member.nextTrialAt,
		Failures:               member.failures,
		ConnectFailures:        member.connectFailures,
		EndedSilence:           min(r.silence(member), maxExportedSilence),
		Down:                   member.down,
		StartedAt:              member.startedAt,
		TokensAt:               member.tokensAt,
		HealthCheckAnsweredAt:  member.healthCheckAnsweredAt,
		UnansweredCheckAt:      member.unansweredCheckAt,
		PreviousStartedAt:      member.previousStartedAt,
		AnsweredBeforeZoneLoss: member.answeredBeforeZoneLoss,
		Tokens:                 member.tokens,
		LatencyWindow:          exportSamples(member.latencyWindow),
	}
}

// Restore takes over what the Router of a predecessor process has learned of the members that are known here. It has to
// be called right after the first endpoint list: it overwrites what this Router has learned itself. A snapshot of
// another number of classes is ignored.
func (r *Router) Restore(snapshot Snapshot) {
	classes := len(r.cfg.Classes)
	if len(snapshot.ExpectedLatency) != classes || len(snapshot.ExpectedWork) != classes ||
		len(snapshot.WorkUpdatedAt) != classes {
		return
	}
	copy(r.expectedLatency, snapshot.ExpectedLatency)
	copy(r.expectedWork, snapshot.ExpectedWork)
	copy(r.workUpdatedAt, snapshot.WorkUpdatedAt)
	r.latencyPools[false] = importSamples(snapshot.ReplicaLatencies)
	r.latencyPools[true] = importSamples(snapshot.PrimaryLatencies)
	r.warmThroughput = decayingSum{snapshot.WarmThroughput, snapshot.ThroughputAt}
	r.startedAt = min(r.startedAt, snapshot.StartedAt)
	r.meanPriorityWeight = snapshot.MeanPriorityWeight
	r.meanExpectedLatency = snapshot.MeanExpectedLatency
	r.retryTokens = snapshot.RetryTokens
	r.healthCheckTokens = snapshot.HealthCheckTokens
	r.connectionShortageUntil = snapshot.ConnectionShortageUntil
	for number, at := range snapshot.PrimaryWantedAt {
		if group := r.groups[number]; group != nil {
			group.primaryWantedAt = at
		}
	}
	for number, share := range snapshot.UnansweredShare {
		if group := r.groups[number]; group != nil {
			group.unansweredShare = share
		}
	}
	for id, learned := range snapshot.Members {
		if member := r.members[id]; member != nil {
			member.restore(learned)
		}
	}
}

// restore takes over what was learned of a member. What belongs to its process is left out if a newer one has started.
func (m *memberState) restore(learned MemberSnapshot) {
	if learned.StartedAt >= m.startedAt {
		m.failures = learned.Failures
		m.connectFailures = learned.ConnectFailures
		m.endedSilence = learned.EndedSilence
		m.down = learned.Down
		m.latencyWindow = importSamples(learned.LatencyWindow)
		m.startedAt = learned.StartedAt
		m.tokens = learned.Tokens
		m.tokensAt = learned.TokensAt
		m.previousStartedAt = learned.PreviousStartedAt
		m.answeredBeforeZoneLoss = learned.AnsweredBeforeZoneLoss
	}
	m.answeredAt = learned.AnsweredAt
	m.nextTrialAt = learned.NextTrialAt
	m.healthCheckAnsweredAt = learned.HealthCheckAnsweredAt
	m.unansweredCheckAt = learned.UnansweredCheckAt
	if learned.Position > m.position {
		m.position = learned.Position
		m.positionAt = learned.PositionAt
	}
	m.role = learned.Role
	m.rolePosition = learned.RolePosition
}

// exportSamples copies samples to a snapshot.
func exportSamples(window []latencySample) []LatencySnapshot {
	var out []LatencySnapshot
	for _, s := range window {
		out = append(out, LatencySnapshot{s.at, s.ratio, s.censored})
	}
	return out
}

// importSamples copies samples from a snapshot.
func importSamples(window []LatencySnapshot) []latencySample {
	var out []latencySample
	for _, s := range window {
		out = append(out, latencySample{s.At, s.Ratio, s.Censored})
	}
	return out
}
