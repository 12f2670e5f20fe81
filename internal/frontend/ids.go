package frontend

import "cranegate/routing"

// openRequest records that a request with this id is open. It returns false if one is open already, because database hosts
// would take the second request for another attempt of the first. Requests without an id are never duplicates.
func (s *Server) openRequest(id string) bool {
	if id == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] {
		return false
	}
	if s.openIDs == nil {
		s.openIDs = map[string]bool{}
	}
	s.openIDs[id] = true
	return true
}

// closeRequest records that the request with this id is no longer open.
func (s *Server) closeRequest(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openIDs, id)
}

// claimID records the id of a request that is about to be submitted. It returns false if the request must not run twice and one with
// this id has been submitted before, here or in another process of the gateway.
func (s *Server) claimID(id string, effect routing.Effect) bool {
	if !s.remembersID(id, effect) {
		return true
	}
	return s.RequestIDs.Claim(s.Name + "/" + id)
}

// releaseID forgets the id of a request that was rejected, unless it may have run: members drop repeats of a key only for some time.
func (s *Server) releaseID(id string, effect routing.Effect) {
	if s.remembersID(id, effect) && effect == routing.NonIdempotent {
		s.RequestIDs.Release(s.Name + "/" + id)
	}
}

// remembersID reports whether a request's id outlives the request.
func (s *Server) remembersID(id string, effect routing.Effect) bool {
	return s.RequestIDs != nil && id != "" && effect != routing.Idempotent
}
