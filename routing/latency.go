package routing

import "time"

const (
	latencyWindowSize, latencyWindowAge = 40, 4 * time.Second // round trips kept a member; older say little

	priorWeight        = 2.0 // answers of its role count as a member's own: it may have none
	assumedConcurrency = 2   // attempts that any member works on at once; the rest may be queued
)

// sample is one round trip over its class's usual; censored ones lasted at least so long.
type latencySample struct {
	at       time.Duration
	ratio    float64
	censored bool
}

// recordLatency keeps a round trip as if the member had had none but its sure share of our work.
func (r *Router) recordLatency(m *memberState, s latencySample) {
	s.ratio /= queueingFactor(len(m.inFlight) + 1)
	m.latencyWindow = append(m.latencyWindow[max(0, len(m.latencyWindow)-latencyWindowSize+1):], s)
	pool := r.latencyPools[m.role == RolePrimary]
	r.latencyPools[m.role == RolePrimary] = append(pool[max(0, len(pool)-latencyWindowSize+1):], s)
}

// crowding is how much longer answers take with so many of our attempts there: those past assumedConcurrency queue.
func queueingFactor(out int) float64 {
	return float64(max(out, assumedConcurrency)) / assumedConcurrency
}

// chance is the share of a member's recent round trips within a time. Attempts out for longer count as too
// late at once, so a member that falls silent stops winning before any time-out.
func (r *Router) onTimeProbability(m *memberState, left, usual time.Duration, extra int) float64 {
	target := float64(left) / float64(usual)
	each := target / queueingFactor(len(m.inFlight)+1+extra)
	hits, n := r.countOnTime(r.latencyPools[m.role == RolePrimary], each, priorWeight, priorWeight)
	hits, n = r.countOnTime(m.latencyWindow, each, priorWeight*hits/n, priorWeight)
	for _, a := range m.inFlight {
		if float64(r.now-a.sentAt)/float64(a.expectedLatency) > target {
			n++
		}
	}
	return hits / n
}

// share adds to hits and n what a window says of round trips within a target.
func (r *Router) countOnTime(window []latencySample, target, hits, n float64) (float64, float64) {
	for _, s := range window {
		w := 2 * (1 - float64(r.now-s.at)/float64(latencyWindowAge)) // the newest say most
		if late := s.ratio > target; w > 0 && late {
			n += w
		} else if w > 0 && !s.censored {
			hits, n = hits+w, n+w
		}
	}
	return hits, n
}

// product is the best row's utility times the chance of its time.
func (r *Router) score(q *requestState, m *memberState) float64 {
	extra := 0
	if m == q.group.primary() && !q.needsPrimary {
		extra = 1 // reads leave room for an attempt there
	}
	aim := r.onTimeProbability(m, q.latencyObjectiveAt-r.now, *q.expectedLatency, extra)
	return max(aim, q.class.LateShare*r.onTimeProbability(m, q.deadline-r.now, *q.expectedLatency, extra))
}
