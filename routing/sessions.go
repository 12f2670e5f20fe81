package routing

// maxSessionMarks limits the number of sessions whose last write positions are stored.
const maxSessionMarks = 100000

// sessionMarks holds the highest position that each of the latest sessions has written.
type sessionMarks struct {
	positions map[string]int64
	order     []string // the oldest session first
}

// put raises a session's position. It drops the oldest session if there are more than limit.
func (s *sessionMarks) put(session string, position int64, limit int) {
	if s.positions == nil {
		s.positions = map[string]int64{}
	}
	if _, ok := s.positions[session]; !ok {
		s.order = append(s.order, session)
		if len(s.order) > limit {
			delete(s.positions, s.order[0])
			s.order = s.order[1:]
		}
	}
	s.positions[session] = max(position, s.positions[session])
}
