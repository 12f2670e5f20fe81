package routing

import "time"

const (
	windowLen, windowAge = 40, 4 * time.Second // round trips kept a member; older say little

	prior     = 2.0 // answers of its role count as a member's own: it may have none
	sureCores = 2   // attempts that any member works on at once; the rest may be queued
)

// sample is one round trip over its class's usual; censored ones lasted at least so long.
type sample struct {
	at       time.Duration
	ratio    float64
	censored bool
}

// addSample keeps a round trip as if the member had had none but its sure share of our work.
func (r *Router) addSample(m *member, s sample) {
	s.ratio /= crowding(len(m.out) + 1)
	m.window = append(m.window[max(0, len(m.window)-windowLen+1):], s)
	pool := r.pools[m.role == RolePrimary]
	r.pools[m.role == RolePrimary] = append(pool[max(0, len(pool)-windowLen+1):], s)
}

// crowding is how much longer answers take with so many of our attempts there: those past sureCores queue.
func crowding(out int) float64 { return float64(max(out, sureCores)) / sureCores }

// chance is the share of a member's recent round trips within a time. Attempts out for longer count as too
// late at once, so a member that falls silent stops winning before any time-out.
func (r *Router) chance(m *member, left, usual time.Duration, extra int) float64 {
	target := float64(left) / float64(usual)
	each := target / crowding(len(m.out)+1+extra)
	hits, n := r.share(r.pools[m.role == RolePrimary], each, prior, prior)
	hits, n = r.share(m.window, each, prior*hits/n, prior)
	for _, a := range m.out {
		if float64(r.now-a.sentAt)/float64(a.usual) > target {
			n++
		}
	}
	return hits / n
}

// share adds to hits and n what a window says of round trips within a target.
func (r *Router) share(window []sample, target, hits, n float64) (float64, float64) {
	for _, s := range window {
		w := 2 * (1 - float64(r.now-s.at)/float64(windowAge)) // the newest say most
		if late := s.ratio > target; w > 0 && late {
			n += w
		} else if w > 0 && !s.censored {
			hits, n = hits+w, n+w
		}
	}
	return hits, n
}

// product is the best row's utility times the chance of its time.
func (r *Router) product(q *request, m *member) float64 {
	extra := 0
	if m == q.group.primary() && !q.atPrimary {
		extra = 1 // reads leave room for an attempt there
	}
	aim := r.chance(m, q.aimAt-r.now, *q.usual, extra)
	return max(aim, q.class.LateShare*r.chance(m, q.deadline-r.now, *q.usual, extra))
}
