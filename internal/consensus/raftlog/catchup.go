package raftlog

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"cranegate/internal/consensus/codec"
)

// handleCatchUpRequest collects the replica's acknowledgement, and sends the replica the entries after its index that are
// applied here, or the latest snapshot if the log no longer has them.
func (v *Voter) handleCatchUpRequest(message Message) error {
	request := message.CatchUpRequest
	if request == nil {
		return codec.ErrMalformed
	}
	v.collectAck(request.Ack)
	response := &CatchUpResponse{Nonce: request.Nonce, Voters: slices.Clone(v.confState.GetVoters()), Age: UnknownAge}
	if age := v.age(); age != UnknownAge {
		response.ConfirmedIndex, response.Age = v.confirmation.index, age
	}
	first, _ := v.storage.FirstIndex()
	next := request.Applied + 1
	switch {
	case next < first:
		snapshot, _ := v.storage.Snapshot()
		response.Snapshot, response.More = snapshot.Data, true
	case next <= v.state.Index:
		entries, err := v.appliedEntries(next)
		if err != nil {
			return err
		}
		response.Entries = entries
		response.More = next+uint64(len(entries)) <= v.state.Index
	}
	v.send(Message{To: message.From, Kind: CatchUpResponseKind, CatchUpResponse: response})
	return nil
}

// appliedEntries returns the entries that are applied here, from an index on and limited to about maxEntriesBytes. It leaves
// out the data of conf changes.
func (v *Voter) appliedEntries(from uint64) (entries []Entry, err error) {
	stored, err := v.storage.Entries(from, v.state.Index+1, maxEntriesBytes)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	for _, raftEntry := range stored {
		entry := Entry{Index: raftEntry.GetIndex()}
		if raftEntry.GetType() == pb.EntryNormal {
			entry.Data = raftEntry.Data
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
