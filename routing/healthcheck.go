package routing

import "time"

const (
	probeUnheard, probeSearch = 300 * time.Millisecond, 100 * time.Millisecond // unheard; in a search

	probeShare, probeMembers = 0.25, 12.0 // for each request, fewer past so many: each is met seldom

	probeBurst = 30.0 // and this many saved up, for a start or a search
	doubtsMost = 8    // probes of doubtful zones at each look
)

// probeAll probes members unheard lately, in turn: where there is doubt (silence, lag, a primary sought) and
// from the upper half of the budget elsewhere; all at a start if these and gateways are few.
func (r *Router) probeAll() {
	for i, n, doubts := r.probeNext, len(r.sorted), 0; n > 0; i, n = i+1, n-1 {
		m, few := r.sorted[i%len(r.sorted)], len(r.sorted)+r.cfg.Gateways <= probeBurst
		after, least, p := probeUnheard, probeBurst/2, m.group.primary()
		lost := p == nil || r.suspect(p) || r.cfg.StaleReads == StaleReadServed // then what is unheard can't be read
		if r.suspect(m) || lost && r.now-m.group.soughtAt < probeUnheard {
			after, least = max(probeSearch, (r.now-m.heardAt)/8), -probeBurst
		} else if r.ms(m.posAt)-m.position > laggard {
			least = 1
		}
		first := m.probedAt+m.posAt == 0 && (few || r.cfg.StaleReads == StaleReadServed)
		due := first || r.now-m.heardAt >= after && r.now-m.probedAt >= after && r.probes >= least
		if m.usable && !m.probing && m.at.Doubtful() && doubts < doubtsMost && r.now-m.seenAt >= sweepEvery {
			doubts, due = doubts+1, true // its zone may be gone, and a search may have used up the budget
		}
		if by := m.probeBy(); r.cfg.AllowHealthChecks && m.usable && !m.probing && (due || by == ConnOldest) {
			m.probing, m.probedAt, r.probeNext = true, r.now, i+1
			m.ask(r.now)
			if r.gw.CheckHealth(m.id, by); !first {
				r.probes = max(-2*probeBurst, r.probes-1)
			}
		}
	}
}
