package routing

import (
	"hash/maphash"
	"time"
)

// maxSessionMarks limits the number of sessions whose last write positions are stored.
const maxSessionMarks = 100000

// sessionMarks holds the highest position that each of the latest sessions has written. It may lack marks:
// those of sessions that were dropped, and those of writes that another process of this gateway has served.
// All missing marks are at or below floor, unless another process still serves writes.
//
// A mark takes the same few bytes whatever the session's name is, as it stores the name's hash. Two sessions
// of the same hash share the higher of their marks.
type sessionMarks struct {
	seed     maphash.Seed
	recent   markGeneration // receives new marks, up to half of the limit
	previous markGeneration // is dropped when recent is full and takes its place
	floor    int64          // lowest position that a session's read requires, as its mark may be missing
	shared   bool           // another process of this gateway may be serving writes of the same sessions
}

// markGeneration holds the marks of sessions that wrote at about the same time.
type markGeneration struct {
	positions map[uint64]int64 // by the hash of the session's name
	highest   int64            // of positions
}

// newSessionMarks returns an empty set of marks.
func newSessionMarks() sessionMarks {
	return sessionMarks{seed: maphash.MakeSeed(), recent: newMarkGeneration(), previous: newMarkGeneration()}
}

func newMarkGeneration() markGeneration { return markGeneration{positions: map[uint64]int64{}} }

// put raises a session's position. If that makes more than limit marks, it drops the older half.
func (s *sessionMarks) put(session string, position int64, limit int) {
	hash := maphash.String(s.seed, session)
	s.recent.positions[hash] = max(position, s.recent.positions[hash])
	s.recent.highest = max(position, s.recent.highest)
	if len(s.recent.positions) >= limit/2 {
		s.floor = max(s.floor, s.previous.highest)
		s.previous, s.recent = s.recent, newMarkGeneration()
	}
}

// size returns the number of marks that are stored.
func (s *sessionMarks) size() int { return len(s.recent.positions) + len(s.previous.positions) }

// required returns the position that a read of a session requires. The position of the present is required
// while another process may be serving writes. A request without a session requires none.
func (s *sessionMarks) required(session string, present int64) int64 {
	switch {
	case session == "":
		return 0
	case s.shared:
		return present
	}
	hash := maphash.String(s.seed, session)
	return max(s.floor, s.recent.positions[hash], s.previous.positions[hash])
}

// ShareSessions sets whether another process of this gateway may be serving writes, whose session marks this
// Router does not get. While one may, a session's read requires all commits before its arrival, which only
// the primary surely has. Afterwards it requires all commits before the end of that time. The call has no
// effect on requests that have arrived before it, or without Config.LocalSessions.
func (r *Router) ShareSessions(now time.Duration, shared bool) {
	r.advanceClock(now)
	if r.sessionMarks.shared && !shared {
		r.sessionMarks.floor = max(r.sessionMarks.floor, r.positionAt(r.now))
	}
	r.sessionMarks.shared = shared
}
