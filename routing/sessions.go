package routing

import "time"

// maxSessionMarks limits the number of sessions whose last write positions are stored.
const maxSessionMarks = 100000

// sessionMarks holds the highest position that each of the latest sessions has written. It may lack marks:
// those of sessions that were dropped, and those of writes that another process of this gateway has served.
// All missing marks are at or below floor, unless another process still serves writes.
type sessionMarks struct {
	positions map[string]int64
	order     []string // the oldest session first
	floor     int64    // lowest position that is required of a session's read, as its mark may be missing
	shared    bool     // another process of this gateway may be serving writes of the same sessions
}

// put raises a session's position. It drops the oldest session if there are more than limit.
func (s *sessionMarks) put(session string, position int64, limit int) {
	if s.positions == nil {
		s.positions = map[string]int64{}
	}
	if _, ok := s.positions[session]; !ok {
		s.order = append(s.order, session)
		if len(s.order) > limit {
			s.drop(s.order[0])
			s.order = s.order[1:]
		}
	}
	s.positions[session] = max(position, s.positions[session])
}

// drop removes a session's mark. Reads of the session then require the floor.
func (s *sessionMarks) drop(session string) {
	s.floor = max(s.floor, s.positions[session])
	delete(s.positions, session)
}

// required returns the position that a read of a session requires. The position of the present is required
// while another process may be serving writes. A request without a session requires none.
func (s *sessionMarks) required(session string, present int64) int64 {
	switch {
	case session == "":
		return 0
	case s.shared:
		return present
	}
	return max(s.floor, s.positions[session])
}

// ShareSessions sets whether another process of this gateway may be serving writes, whose session marks this
// Router does not get. While one may, a session's read requires all commits before its arrival, which only
// the primary surely has. Afterwards it requires all commits before the end of that time. The call has no
// effect on requests that have arrived before it, or without Config.LocalSessions.
func (r *Router) ShareSessions(now time.Duration, shared bool) {
	r.advanceClock(now)
	if r.sessionMarks.shared && !shared {
		r.sessionMarks.floor = r.positionAt(r.now)
	}
	r.sessionMarks.shared = shared
}
