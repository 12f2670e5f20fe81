package routing

import (
	"slices"
	"time"
)

// maxExportedSilence limits the silence in a snapshot, in expected latencies. It is far above any value that
// decisions distinguish, and finite, so that the silence can be encoded.
const maxExportedSilence = 1e9

// Snapshot is what a Router has learned about its members and its traffic, for the Router of a successor
// process. Times are on the caller's clock, which must be the same for both. Other versions read and write
// the JSON names. It has no session marks, as the predecessor goes on serving writes: see ShareSessions.
type Snapshot struct {
	Members          map[string]MemberSnapshot `json:"Members"`   // by id
	ExpectedLatency  []time.Duration           `json:"Usual"`     // by class
	ExpectedWork     []time.Duration           `json:"Work"`      // by class
	WorkUpdatedAt    []time.Duration           `json:"WorkAt"`    // by class
	ReplicaLatencies []LatencySnapshot         `json:"Replicas"`  // the pool of all members but primaries
	PrimaryLatencies []LatencySnapshot         `json:"Primaries"` // the pool of primaries
	// WarmThroughput is the work answered by one warm member, in seconds per second. Older versions write the
	// work answered by all members, as "Flow".
	WarmThroughput          float64               `json:"MemberFlow"`
	MeanPriorityWeight      float64               `json:"Worth"`
	MeanExpectedLatency     float64               `json:"Weight"` // in seconds
	ThroughputAt            time.Duration         `json:"FlowAt"` // when WarmThroughput was computed
	StartedAt               time.Duration         `json:"StartAt"`
	ConnectionShortageUntil time.Duration         `json:"TightUntil"`
	PrimaryWantedAt         map[int]time.Duration `json:"Searches"`     // by group, as in groupState
	UnansweredShare         map[int]float64       `json:"Vain"`         // by group, as in groupState
	RetryTokens             float64               `json:"FurtherTries"` // left of the retry budget
	HealthCheckTokens       float64               `json:"Probes"`       // left of the health check budget
}

// MemberSnapshot is what a Router has learned about one member.
type MemberSnapshot struct {
	Role                   Role              `json:"Role"`
	RolePosition           int64             `json:"RoleDate"` // the position as of which Role is known
	Position               int64             `json:"Position"` // the highest that it has reported
	PositionAt             time.Duration     `json:"PosAt"`    // when it reported Position
	AnsweredAt             time.Duration     `json:"HeardAt"`
	NextTrialAt            time.Duration     `json:"TrialAt"`
	Failures               int               `json:"Failed"`
	ConnectFailures        int               `json:"Shut"`
	EndedSilence           float64           `json:"Lost"` // in expected latencies, with attempts in flight
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

// LatencySnapshot is one round trip divided by the expected latency of its class. A censored one is a lower
// bound.
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

// exportMember returns the snapshot of one member.
func (r *Router) exportMember(member *memberState) MemberSnapshot {
	return MemberSnapshot{
		Role:                   member.role,
		RolePosition:           member.rolePosition,
		Position:               member.position,
		PositionAt:             member.positionReportedAt,
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

// Restore loads the snapshot of a predecessor process. Members that this Router does not have are skipped. It
// must be called right after the first endpoint list, because it overwrites what this Router has learned
// itself. A snapshot with another number of classes is ignored.
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

// restore loads the snapshot of a member. Observations of its process are skipped if a newer process has
// started.
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
		m.positionReportedAt = learned.PositionAt
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
