package raftlog

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

// stepRaft handles a raft message of another voter. It rejects messages that only the voter itself may generate, and
// proposals of conf changes, which only the leader's own ReplaceVoter makes.
func (v *Voter) stepRaft(message Message) error {
	raftMessage := &pb.Message{}
	err := proto.Unmarshal(message.Raft, raftMessage)
	if err != nil || raftMessage.GetFrom() != message.From || raftMessage.GetTo() != message.To {
		return fmt.Errorf("%w: raft", codec.ErrMalformed)
	}
	switch raftMessage.GetType() {
	case pb.MsgProp:
		if len(raftMessage.Entries) > maxProposalsPerMessage || slices.ContainsFunc(raftMessage.Entries, isInvalidProposal) {
			return fmt.Errorf("%w: proposal", codec.ErrMalformed)
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if raftMessage.GetTerm() >= v.rawNode.BasicStatus().GetTerm() {
			v.resetElectionTimer()
		}
	case pb.MsgTransferLeader, pb.MsgTimeoutNow, pb.MsgForgetLeader:
		return fmt.Errorf("%w: %v", codec.ErrMalformed, raftMessage.GetType())
	}
	if err := v.rawNode.Step(raftMessage); err != nil {
		return fmt.Errorf("consensus: %w", err) // raft dropped the message; the protocol tolerates lost messages
	}
	return nil
}

// isInvalidProposal reports whether an entry is one that another voter must not propose here.
func isInvalidProposal(entry *pb.Entry) bool {
	return entry.GetType() != pb.EntryNormal || len(entry.Data) > statemachine.MaxCommandBytes
}

// Ready returns the next Update to persist; ok is false if there is nothing to persist or send. Each Ready is followed
// by one Advance.
func (v *Voter) Ready() (update Update, ok bool) {
	if v.err != nil || v.pendingReady != nil {
		return Update{}, false
	}
	hasWork := v.rawNode.HasReady() || v.localSnapshot != nil || len(v.outgoing) > 0
	if !hasWork {
		return Update{}, false
	}
	ready := v.rawNode.Ready()
	v.pendingReady = &ready
	update = Update{HardState: ready.HardState, Entries: ready.Entries, MustSync: ready.MustSync}
	if !raft.IsEmptySnap(ready.Snapshot) {
		update.Snapshot, update.MustSync = ready.Snapshot, true
	} else if v.localSnapshot != nil {
		update.Snapshot, update.Compacted = v.localSnapshot, true
	}
	v.localSnapshot = nil
	return update, true
}

// Advance must be called after the latest Update was persisted. It applies the committed entries and returns the messages
// that may be sent now. It returns ErrUnexpectedAdvance if no Update is pending.
func (v *Voter) Advance() (messages []Message, err error) {
	if v.err != nil {
		return nil, v.err
	}
	if v.pendingReady == nil {
		return nil, ErrUnexpectedAdvance
	}
	defer v.recoverPanic(&err)
	ready := v.pendingReady
	v.pendingReady = nil
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := v.installSnapshot(ready.Snapshot); err != nil {
			v.err = err
			return nil, err
		}
	}
	if ready.HardState != nil {
		v.storage.SetHardState(ready.HardState)
	}
	if err := v.storage.Append(ready.Entries); err != nil {
		panic(err)
	}
	for _, message := range ready.Messages {
		v.sendRaft(message)
	}
	for _, entry := range ready.CommittedEntries {
		v.applyEntry(entry)
	}
	for _, readState := range ready.ReadStates {
		v.handleReadState(readState)
	}
	v.respondToReads()
	v.rawNode.Advance(*ready)
	v.compact()
	messages, v.outgoing = v.outgoing, nil
	return messages, nil
}

// sendRaft queues a message of raft for another voter.
func (v *Voter) sendRaft(message *pb.Message) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	switch {
	case message.GetType() == pb.MsgSnap:
		v.snapshotSentAt[message.GetTo()] = v.tick
	case message.GetType() == pb.MsgVoteResp && !message.GetReject():
		v.resetElectionTimer()
	}
	v.send(Message{To: message.GetTo(), Kind: RaftKind, Raft: encoded})
}

// applyEntry applies a committed entry to the state machine or, for a conf change, to raft's configuration.
func (v *Voter) applyEntry(entry *pb.Entry) {
	v.bytesSinceSnapshot += len(entry.Data) + entryOverheadBytes
	switch entry.GetType() {
	case pb.EntryConfChange:
		change := &pb.ConfChange{}
		mustUnmarshal(entry.Data, change)
		v.applyConfChange(entry.GetIndex(), change)
	case pb.EntryConfChangeV2:
		change := &pb.ConfChangeV2{}
		mustUnmarshal(entry.Data, change)
		v.applyConfChange(entry.GetIndex(), change)
	default:
		v.applyCommand(entry.GetIndex(), entry.Data)
	}
}

// applyConfChange applies a change of the voters. The state machine treats its entry as empty.
func (v *Voter) applyConfChange(index uint64, change pb.ConfChangeI) {
	v.confState = v.rawNode.ApplyConfChange(change)
	v.state.Apply(index, nil)
	v.notifyApplied(index, nil)
}

// applyCommand applies a command to the state machine and sends the result to the requesting gateway, if it requested
// the command from this voter.
func (v *Voter) applyCommand(index uint64, data []byte) {
	v.notifyApplied(index, data)
	key, result, ok := v.state.Apply(index, data)
	if ok {
		v.respond(key, result)
	} else if len(data) > 0 {
		v.trackRenewals()
	}
}

// mustUnmarshal decodes a committed conf change. It panics on an error, which means that the log is damaged; recoverPanic
// turns the panic into ErrInconsistentLog.
func mustUnmarshal(data []byte, change proto.Message) {
	if err := proto.Unmarshal(data, change); err != nil {
		panic(err)
	}
}

// notifyApplied calls Options.OnApply.
func (v *Voter) notifyApplied(index uint64, data []byte) {
	if v.options.OnApply != nil {
		v.options.OnApply(index, data)
	}
}
