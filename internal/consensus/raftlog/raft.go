package raftlog

import (
	"fmt"
	"iter"
	"maps"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"cranegate/internal/consensus/codec"
	"cranegate/internal/consensus/statemachine"
)

func keys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

// stepRaft takes a message of another voter. What only a voter itself may say, and changes of the council that come from
// elsewhere than the leader's own Change, are refused.
func (v *Voter) stepRaft(m Message) error {
	x := &pb.Message{}
	if err := proto.Unmarshal(m.Raft, x); err != nil || x.GetFrom() != m.From || x.GetTo() != m.To {
		return fmt.Errorf("%w: raft", codec.ErrMalformed)
	}
	switch x.GetType() {
	case pb.MsgProp:
		for _, e := range x.Entries {
			if e.GetType() != pb.EntryNormal || len(e.Data) > statemachine.MaxEntry || len(x.Entries) > 64 {
				return fmt.Errorf("%w: proposal", codec.ErrMalformed)
			}
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if x.GetTerm() >= v.rn.BasicStatus().GetTerm() {
			v.rest()
		}
	case pb.MsgTransferLeader, pb.MsgTimeoutNow, pb.MsgForgetLeader:
		return fmt.Errorf("%w: %v", codec.ErrMalformed, x.GetType())
	}
	if err := v.rn.Step(x); err != nil {
		return fmt.Errorf("council: %w", err) // dropped, which raft bears
	}
	return nil
}

// Ready says whether something is to be kept or sent. Each Ready is followed by one Saved.
func (v *Voter) Ready() (s Save, ok bool) {
	if v.err != nil || v.staged != nil || !v.rn.HasReady() && v.local == nil && len(v.out) == 0 {
		return Save{}, false
	}
	rd := v.rn.Ready()
	v.staged = &rd
	s = Save{Hard: rd.HardState, Entries: rd.Entries, Sync: rd.MustSync}
	if !raft.IsEmptySnap(rd.Snapshot) {
		s.Snapshot, s.Sync = rd.Snapshot, true
	} else if v.local != nil {
		s.Snapshot, s.Compacted = v.local, true
	}
	v.local = nil
	return s, true
}

// Saved says that the Save is kept. It applies what is committed and returns what may be sent now.
func (v *Voter) Saved() (out []Message, err error) {
	if v.err != nil {
		return nil, v.err
	}
	if v.staged == nil {
		return nil, ErrSave
	}
	defer v.guard(&err)
	rd := v.staged
	v.staged = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.install(rd.Snapshot); err != nil {
			v.err = err
			return nil, err
		}
	}
	if rd.HardState != nil {
		v.mem.SetHardState(rd.HardState)
	}
	if err := v.mem.Append(rd.Entries); err != nil {
		panic(err)
	}
	for _, m := range rd.Messages {
		v.carry(m)
	}
	for _, e := range rd.CommittedEntries {
		v.apply(e)
	}
	for _, r := range rd.ReadStates {
		v.confirmed(r)
	}
	v.serveReads()
	v.rn.Advance(*rd)
	v.compact()
	out, v.out = v.out, nil
	return out, nil
}

func (v *Voter) carry(m *pb.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	switch {
	case m.GetType() == pb.MsgSnap:
		v.snaps[m.GetTo()] = v.now
	case m.GetType() == pb.MsgVoteResp && !m.GetReject():
		v.rest()
	}
	v.send(Message{To: m.GetTo(), Kind: Raft, Raft: b})
}

// install replaces the facts by a snapshot's.
func (v *Voter) install(s *pb.Snapshot) error {
	state, err := statemachine.Restore(s.Data)
	if err != nil || state.Index != s.GetMetadata().GetIndex() {
		return fmt.Errorf("%w: a snapshot at %d: %w", ErrBroken, s.GetMetadata().GetIndex(), err)
	}
	state.Flaws = v.opt.Flaws
	if err := v.mem.ApplySnapshot(s); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	v.state, v.conf, v.snapAt, v.bytes = state, s.GetMetadata().GetConfState(), state.Index, 0
	v.see()
	return nil
}

func (v *Voter) apply(e *pb.Entry) {
	v.bytes += len(e.Data) + 32
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		var cc pb.ConfChangeI
		if e.GetType() == pb.EntryConfChange {
			x := &pb.ConfChange{}
			if err := proto.Unmarshal(e.Data, x); err != nil {
				panic(err)
			}
			cc = x
		} else {
			x := &pb.ConfChangeV2{}
			if err := proto.Unmarshal(e.Data, x); err != nil {
				panic(err)
			}
			cc = x
		}
		v.conf = v.rn.ApplyConfChange(cc)
		v.state.Apply(e.GetIndex(), nil)
		v.watch(e.GetIndex(), nil)
	default:
		v.watch(e.GetIndex(), e.Data)
		k, r, ok := v.state.Apply(e.GetIndex(), e.Data)
		if ok {
			v.answer(k, r)
		} else if len(e.Data) > 0 {
			v.see()
		}
	}
}

func (v *Voter) watch(index uint64, text []byte) {
	if v.opt.Watch != nil {
		v.opt.Watch(index, text)
	}
}

// compact makes a snapshot when the log has grown to its bound.
func (v *Voter) compact() {
	if v.state.Index-v.snapAt < uint64(v.opt.Keep) && v.bytes < keepBytes || v.state.Index == v.snapAt {
		return
	}
	data, err := v.state.Encode()
	if err != nil {
		panic(err) // the bounds of the parts forbid it
	}
	s, err := v.mem.CreateSnapshot(v.state.Index, v.conf, data)
	if err != nil {
		panic(err)
	}
	upTo := v.state.Index
	if v.bytes < keepBytes {
		upTo -= min(upTo, uint64(v.opt.Keep)/4)
	}
	if first, _ := v.mem.FirstIndex(); upTo >= first {
		v.mem.Compact(upTo)
	}
	v.local, v.snapAt, v.bytes = s, v.state.Index, 0
}

// storage hands raft a snapshot of all that is applied: one from before a newcomer was taken in does not name it, and raft at
// the newcomer would refuse it.
type storage struct {
	*raft.MemoryStorage
	v *Voter
}

// Snapshot is for who lags too far, or comes in.
func (s storage) Snapshot() (*pb.Snapshot, error) {
	old, err := s.MemoryStorage.Snapshot()
	if err != nil || old.GetMetadata().GetIndex() >= s.v.state.Index {
		return old, err
	}
	term, err := s.Term(s.v.state.Index)
	if err != nil {
		return old, nil
	}
	data, err := s.v.state.Encode()
	if err != nil {
		return nil, err
	}
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: s.v.conf, Index: new(s.v.state.Index), Term: new(term)}}, nil
}

// Change brings the council a step nearer to having add in place of remove, if this voter leads: first add learns, and when
// it has caught up it votes and remove is out, in one change of two majorities (joint consensus). It is called again and again
// until Status shows it done, also at a new leader. add 0 means that nobody comes in; then nothing is done, as a
// smaller council bears no more losses.
func (v *Voter) Change(add, remove uint64) (err error) {
	if v.err != nil || add == 0 || !v.Leads() || len(v.conf.GetVotersOutgoing()) > 0 {
		return v.err
	}
	defer v.guard(&err)
	voters, learners := v.conf.GetVoters(), v.conf.GetLearners()
	single := func(t pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)}
	}
	var cc []*pb.ConfChangeSingle
	for _, id := range learners {
		if id != add { // of a change that was given up
			cc = append(cc, single(pb.ConfChangeRemoveNode, id))
			break
		}
	}
	switch {
	case cc != nil || !contains(voters, remove) || contains(voters, add):
	case !contains(learners, add):
		cc = append(cc, single(pb.ConfChangeAddLearnerNode, add))
	default:
		if p, ok := v.rn.Status().Progress[add]; ok && p.State == tracker.StateReplicate && p.RecentActive && p.Match+uint64(v.opt.Keep)/4 >= v.state.Index {
			cc = append(cc, single(pb.ConfChangeAddNode, add), single(pb.ConfChangeRemoveNode, remove))
		}
	}
	if cc == nil {
		return nil
	}
	return v.rn.ProposeConfChange(&pb.ConfChangeV2{Changes: cc})
}

func contains(ids []uint64, id uint64) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// quietLog keeps raft's own lines out of the gateway's log, and its panics in.
type quietLog struct{}

func (quietLog) Debug(...any)              {}
func (quietLog) Debugf(string, ...any)     {}
func (quietLog) Error(...any)              {}
func (quietLog) Errorf(string, ...any)     {}
func (quietLog) Info(...any)               {}
func (quietLog) Infof(string, ...any)      {}
func (quietLog) Warning(...any)            {}
func (quietLog) Warningf(string, ...any)   {}
func (quietLog) Fatal(x ...any)            { panic(fmt.Sprint(x...)) }
func (quietLog) Fatalf(f string, x ...any) { panic(fmt.Sprintf(f, x...)) }
func (quietLog) Panic(x ...any)            { panic(fmt.Sprint(x...)) }
func (quietLog) Panicf(f string, x ...any) { panic(fmt.Sprintf(f, x...)) }
