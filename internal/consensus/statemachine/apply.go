package statemachine

import "maps"

// Apply applies the next log entry. An empty entry (raft adds some itself), or one that is not a valid command, changes only
// Index and Checksum. ok is false if the entry is not the request of a client.
func (s *State) Apply(index uint64, data []byte) (key Key, result Result, ok bool) {
	s.Index = index
	s.updateChecksum(data)
	if len(data) == 0 {
		return Key{}, Result{}, false
	}
	command, err := Decode(data)
	if err != nil { // the same on every gateway, because it depends only on the data
		return Key{}, Result{}, false
	}
	if command.Op == Renew {
		s.applyRenewals(command)
		return Key{}, Result{}, false
	}
	return command.Key, s.applyOnce(command), true
}

// applyOnce applies a request that was not applied before; a retry gets the stored result. A request can't be applied
// twice: it is rejected if more than MaxRequestAge entries follow its CreatedIndex, and its client stays stored for at least
// MaxRequestAge entries after the request was applied, which was later than CreatedIndex.
func (s *State) applyOnce(command Command) Result {
	if s.InjectedFaults.SkipDeduplication {
		return s.execute(command)
	}
	if result, ok := s.StoredResult(command.Key); ok {
		return result
	}
	if command.CreatedIndex > s.Index || s.Index-command.CreatedIndex > MaxRequestAge {
		return Result{Code: Expired, Index: s.Index}
	}
	client := s.findOrAddClient(command.Key.Client)
	if client == nil {
		return Result{Code: Undecided, Index: s.Index}
	}
	client.LastUsed = s.Index
	if command.Key.Seq <= client.ReleasedSeq {
		return Result{Code: Released, Index: s.Index}
	}
	client.release(command.ReceivedSeq)
	if len(client.Seqs) >= MaxResultsPerClient {
		return Result{Code: Undecided, Index: s.Index}
	}
	result := s.execute(command)
	client.Seqs, client.Results = append(client.Seqs, command.Key.Seq), append(client.Results, result)
	return result
}

// findOrAddClient returns the client with an identity, and stores it if it is new. It returns nil if the client is new and
// MaxClients are in use.
func (s *State) findOrAddClient(id uint64) *client {
	if found := s.clients[id]; found != nil {
		return found
	}
	if len(s.clients) >= MaxClients {
		s.dropExpiredClients()
	}
	if len(s.clients) >= MaxClients {
		return nil
	}
	found := &client{ID: id}
	s.clients[id] = found
	return found
}

// dropExpiredClients drops the clients whose latest request is more than MaxRequestAge entries ago.
func (s *State) dropExpiredClients() {
	maps.DeleteFunc(s.clients, func(_ uint64, c *client) bool { return s.Index-c.LastUsed > MaxRequestAge })
}

// release drops the results up to receivedSeq, which the client has received.
func (c *client) release(receivedSeq uint64) {
	c.ReleasedSeq = max(c.ReleasedSeq, receivedSeq)
	var seqs []uint64
	var results []Result
	for i, seq := range c.Seqs {
		if seq > c.ReleasedSeq {
			seqs, results = append(seqs, seq), append(results, c.Results[i])
		}
	}
	c.Seqs, c.Results = seqs, results
}
